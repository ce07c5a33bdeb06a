// Package bfplan plans the shares of each region's requests that run in each region. It has
// no clock, network or goroutine.
package bfplan

import (
	"math"
	"slices"
	"time"
)

const (
	// Window is the length of the windows whose shares of regions are compared.
	Window = 2 * time.Second
	// Interval is the time between two steps of the planner, and between two reports.
	Interval = 500 * time.Millisecond
	// ReportLifetime is the time for which a report counts, so that lost ones cause no change.
	ReportLifetime = 2 * time.Second
	// PlanLifetime is the time for which entries follow a plan without hearing of it again.
	PlanLifetime = 5 * time.Second
	// ColdSlotShare is the part of a cold server's slots that counts as usable.
	ColdSlotShare = 0.3

	// maxStepShare is the largest share of the limit on shifts by which shares may change
	// within a Window, and minStepShare the smallest. Two neighbouring windows can differ by two such
	// steps, as a request may come at the start of the first and at the end of the second. The rest is left for what entries
	// decide by chance and for requests that leave their planned region.
	maxStepShare = 0.4
	minStepShare = 0.05
	// chanceDeviations is the number of standard deviations that are left for chance.
	chanceDeviations = 3
	// moveThreshold is the least distance from the wanted shares at which a move begins, and
	// settledDistance the one at which it ends. Where few requests are counted, a move begins
	// at demandDeviations standard deviations of the measured demand.
	moveThreshold    = 0.04
	settledDistance  = 0.01
	demandDeviations = 3
	// learnTime is the time for which a new leader collects the shares in force before its
	// first plan, and holdTime the time before the first change of a share.
	learnTime = time.Second
	holdTime  = Window
	// quietTime is the time without requests after which shares may change freely: no two
	// windows with requests are left to compare.
	quietTime = 2 * Window
	// demandSmoothing and slotTimeSmoothing are the times in which the planner's view of
	// demand and of the time that a request takes a slot approaches a change by 63%. Slot
	// times depend on where requests run, so they must change more slowly than shares.
	demandSmoothing   = 2 * time.Second
	slotTimeSmoothing = 10 * time.Second
	// lostSlotsShare is the share of a region's slots whose loss moves requests at once.
	lostSlotsShare = 0.1
	// slotsMemory is the time in which the number of slots that counts as usual approaches the
	// present one by 63%.
	slotsMemory = 10 * time.Second
)

type (
	// Planner keeps the shares of all services. Its exported fields must be set before use.
	Planner struct {
		// Term is the term of the leader that plans.
		Term uint64
		// Regions are the names of the regions, sorted.
		Regions []string
		// MaxShift is the largest share of a region's requests that may change its region
		// from one Window to the next.
		MaxShift float64

		startedAt, steppedAt time.Time
		sequence             uint64
		services             map[string]*serviceState
	}

	// Observation is what the leader knows at one time.
	Observation struct {
		Services map[string]*Service
		// RTT holds the round trip times between regions.
		RTT [][]time.Duration
		// Heard reports for each region whether entries there reported recently.
		Heard []bool
		// Variance is the variance of the number of requests in a Window, by region of callers,
		// that run in a region by chance instead of by the plan.
		Variance []float64
	}

	// Service is what the leader knows of a service. All lists are by region.
	Service struct {
		// Demand is the requests per second by region of callers that the plan may place, and
		// Fixed that of the requests it may not, by the region in which they run.
		Demand, Fixed []float64
		// Slots is the number of usable slots.
		Slots []float64
		// SlotTime is the mean time that a request occupies a slot, or 0 if it is unknown.
		SlotTime time.Duration
		// InForce holds the shares that entries use, by region of callers; nil means unknown.
		InForce [][]float64
	}

	// Plan holds the shares of all services.
	Plan struct {
		Term, Sequence uint64
		// Services holds the rows of a service by region of callers.
		Services map[string][]Row
	}

	// Row holds the shares of one region's requests.
	Row struct {
		Shares []float64
		// Forced is the sequence of the latest plan that changed this row at once because
		// servers were lost. Entries follow it at once.
		Forced uint64
	}

	serviceState struct {
		rows     []*rowState
		demand   []float64
		slotTime float64
		// usualSlots follows the number of slots with slotsMemory.
		usualSlots []float64
	}

	rowState struct {
		Row
		moving bool
		// demandSince and demandUntil bound the last period with requests.
		demandSince, demandUntil time.Time
	}
)

// StepPerSecond returns how fast a share may change at most.
func StepPerSecond(maxShift float64) float64 { return maxStepShare * maxShift / Window.Seconds() }

// stepPerSecond returns how fast the shares of a region's requests may change.
func (p *Planner) stepPerSecond(region int, o *Observation) float64 {
	requests := 0.0
	for _, s := range o.Services {
		requests += s.Demand[region] * Window.Seconds()
	}
	if requests == 0 {
		return StepPerSecond(p.MaxShift)
	}
	// Two windows are compared, each with this variance.
	chance := chanceDeviations * math.Sqrt(2*o.Variance[region]) / requests
	step := (p.MaxShift*(1-leaveShare) - chance) / 2
	return min(maxStepShare*p.MaxShift, max(minStepShare*p.MaxShift, step)) / Window.Seconds()
}

// InitialShares returns the shares for requests of which nothing is known: all regions get
// equal demand, and all slots the same part of it.
func InitialShares(slots []float64, rtt [][]time.Duration) [][]float64 {
	load := make([]float64, len(slots))
	for r := range load {
		load[r] = 1
	}
	return allocate(load, make([]float64, len(slots)), slots, rtt, 0)
}

// Step updates the shares. It returns the plan and whether a share has changed; the plan is
// nil while a new leader learns which shares are in force.
func (p *Planner) Step(now time.Time, o *Observation) (*Plan, bool) {
	if p.startedAt.IsZero() {
		p.startedAt, p.steppedAt, p.services = now, now, map[string]*serviceState{}
	}
	elapsed := min(Interval, now.Sub(p.steppedAt))
	p.steppedAt = now
	changed := false
	for name, observed := range o.Services {
		s := p.services[name]
		if s == nil {
			s = newServiceState(len(p.Regions))
			p.services[name] = s
		}
		changed = p.stepService(now, elapsed, s, observed, o) || changed
	}
	for name := range p.services {
		if o.Services[name] == nil {
			delete(p.services, name)
		}
	}
	if now.Sub(p.startedAt) < learnTime {
		return nil, false
	}
	if changed || p.sequence == 0 {
		p.sequence++
	}
	return p.plan(), changed
}

func newServiceState(regions int) *serviceState {
	s := &serviceState{demand: make([]float64, regions), rows: make([]*rowState, regions)}
	for r := range s.rows {
		s.rows[r] = &rowState{}
	}
	return s
}

// plan returns a copy of the shares.
func (p *Planner) plan() *Plan {
	out := &Plan{Term: p.Term, Sequence: p.sequence, Services: map[string][]Row{}}
	for name, s := range p.services {
		rows := make([]Row, len(s.rows))
		for r, row := range s.rows {
			rows[r] = Row{Shares: slices.Clone(row.Shares), Forced: row.Forced}
		}
		out.Services[name] = rows
	}
	return out
}

func (p *Planner) stepService(now time.Time, elapsed time.Duration, s *serviceState, observed *Service, o *Observation) bool {
	s.smooth(elapsed, observed, o.Heard)
	initial := InitialShares(observed.Slots, o.RTT)
	wanted := initial
	if s.slotTime > 0 && sum(s.demand) > 0 {
		load, fixed := scaled(s.demand, s.slotTime), scaled(observed.Fixed, s.slotTime)
		wanted = allocate(load, fixed, observed.Slots, o.RTT, targetUtilization)
	}
	lost := s.lostSlots(elapsed, observed.Slots)
	changed := false
	for r, row := range s.rows {
		if observed.Demand[r] > 0 {
			if now.Sub(row.demandUntil) > quietTime {
				row.demandSince = now
			}
			row.demandUntil = now
		}
		before := slices.Clone(row.Shares)
		p.stepRow(now, row, rowInput{
			initial: initial[r], wanted: wanted[r], inForce: inForceOf(observed, r), heard: o.Heard[r], slots: observed.Slots, lost: lost,
			step: p.stepPerSecond(r, o) * elapsed.Seconds(), threshold: startThreshold(s.demand[r]),
		})
		changed = changed || !slices.Equal(before, row.Shares)
	}
	return changed
}

// rowInput is what determines the next shares of a row.
type rowInput struct {
	initial, wanted, inForce []float64
	heard                    bool
	slots                    []float64
	lost                     []bool
	// step is the largest change of the shares, and threshold the distance at which a move
	// begins.
	step, threshold float64
}

func (p *Planner) stepRow(now time.Time, row *rowState, in rowInput) {
	learning, idle := now.Sub(p.startedAt) < learnTime, false
	switch {
	case row.Shares == nil && in.inForce == nil, !learning && in.heard && now.Sub(row.demandUntil) > quietTime && now.Sub(p.startedAt) >= holdTime:
		row.Shares, row.moving, idle = slices.Clone(in.initial), false, true
	case learning && in.inForce != nil, row.Shares == nil:
		row.Shares = normalized(in.inForce, 0)
	}
	if mustMove(row.Shares, in) {
		row.Shares, row.moving, row.Forced = slices.Clone(in.wanted), false, p.sequence+1
		return
	}
	if idle || learning || !in.heard || now.Sub(p.startedAt) < holdTime || now.Sub(row.demandSince) < holdTime {
		return
	}
	gap := Distance(row.Shares, in.wanted)
	row.moving = gap > in.threshold || row.moving && gap > settledDistance
	if row.moving {
		Approach(row.Shares, in.wanted, in.step)
	}
}

// startThreshold returns the distance from the wanted shares at which a move begins. Demand is
// averaged over about four times demandSmoothing, by entries and by the planner.
func startThreshold(demand float64) float64 {
	counted := demand * 4 * demandSmoothing.Seconds()
	if counted <= 0 {
		return moveThreshold
	}
	return max(moveThreshold, demandDeviations/math.Sqrt(counted))
}

// mustMove reports whether shares have to change at once, as their region has no usable slots
// or has lost many.
func mustMove(shares []float64, in rowInput) bool {
	for r, share := range shares {
		if in.slots[r] <= 0 && share > 0 && in.wanted[r] < share {
			return true
		}
		if in.lost[r] && share > in.wanted[r]+settledDistance {
			return true
		}
	}
	return false
}

// inForceOf returns the shares that entries of a region use, or nil.
func inForceOf(s *Service, region int) []float64 {
	if s.InForce == nil || sum(s.InForce[region]) <= 0 {
		return nil
	}
	return s.InForce[region]
}

// smooth updates the view of demand and slot time. Regions without reports keep their demand.
func (s *serviceState) smooth(elapsed time.Duration, observed *Service, heard []bool) {
	for r, demand := range observed.Demand {
		switch {
		case !heard[r]:
		case s.demand[r] == 0:
			s.demand[r] = demand
		default:
			s.demand[r] += weight(elapsed, demandSmoothing) * (demand - s.demand[r])
		}
	}
	measured := observed.SlotTime.Seconds()
	switch {
	case measured <= 0:
	case s.slotTime == 0:
		s.slotTime = measured
	default:
		s.slotTime += weight(elapsed, slotTimeSmoothing) * (measured - s.slotTime)
	}
}

// lostSlots reports for each region whether it has far fewer slots than usual. The loss is
// reported once.
func (s *serviceState) lostSlots(elapsed time.Duration, slots []float64) []bool {
	lost := make([]bool, len(slots))
	if s.usualSlots == nil {
		s.usualSlots = slices.Clone(slots)
	}
	for r, n := range slots {
		if n < (1-lostSlotsShare)*s.usualSlots[r] {
			lost[r], s.usualSlots[r] = true, n
			continue
		}
		s.usualSlots[r] += weight(elapsed, slotsMemory) * (n - s.usualSlots[r])
	}
	return lost
}

func weight(elapsed, smoothing time.Duration) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(smoothing))
}

func scaled(list []float64, by float64) []float64 {
	out := make([]float64, len(list))
	for i, v := range list {
		out[i] = v * by
	}
	return out
}

// Distance returns the share of requests whose region differs between two rows of shares.
func Distance(a, b []float64) float64 {
	d := 0.0
	for i := range a {
		d += math.Abs(a[i]-b[i]) / 2
	}
	return d
}

// Approach changes the shares towards the target by at most the given distance.
func Approach(shares, target []float64, limit float64) {
	gap := Distance(shares, target)
	if gap <= limit {
		copy(shares, target)
		return
	}
	for i := range shares {
		shares[i] += (target[i] - shares[i]) * limit / gap
	}
}
