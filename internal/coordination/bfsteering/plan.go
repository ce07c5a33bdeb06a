package bfsteering

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarferry/internal/coordination/bfplan"
)

// The reasons why a request runs outside its entry's region.
const (
	// LeftPlanned means that the plan of regions says so.
	LeftPlanned LeaveReason = "planned"
	// LeftNoServerInTime means that no server of the planned region could answer in time.
	LeftNoServerInTime LeaveReason = "no server in time"
	// LeftNoUsableServer means that no server of the planned region could get the request.
	LeftNoUsableServer LeaveReason = "no usable server"
	// LeftOwnChoice means that the entry follows no plan and chose a server elsewhere.
	LeftOwnChoice LeaveReason = "own choice"
)

// placeMultiplier is an odd number that spreads the hash of a key once more.
const placeMultiplier = 0x9e3779b97f4a7c15

type (
	// LeaveReason says why a request runs outside its entry's region.
	LeaveReason string

	// PlanCounts counts requests by how they followed the plan of regions.
	PlanCounts struct {
		// Followed counts requests that ran in their planned region, and Remote those of them
		// that ran outside the entry's region.
		Followed, Remote atomic.Int64
		// NoServerInTime and NoUsableServer count those that left their planned region, and
		// Refused those that were refused because they might not.
		NoServerInTime, NoUsableServer, Refused atomic.Int64
	}

	// regionPlan is the plan of the regions in which requests run, as far as this entry has
	// it. It is guarded by its own mutex, which may be acquired while holding a service's.
	regionPlan struct {
		mu       sync.Mutex
		maxShift float64
		regions  []string
		own      int
		entry    string
		// firstUsedAt is when the entry got its first servers.
		firstUsedAt time.Time
		demand      demandMeter

		// term and sequence identify the newest plan. received has the parts of it that the
		// entry has, whole is true once it has all.
		term, sequence uint64
		received       map[uint8]bool
		whole          bool
		heardAt        time.Time
		rows           map[string]plannedRow
		services       map[string]*plannedService
		// credits are shared by all services.
		credits    bfplan.Credits
		reportedAt time.Time
	}

	// plannedRow is one service's row of the plan.
	plannedRow struct {
		shares []float64
		// term and sequence are those of the plan that the row belongs to.
		term, sequence uint64
		forced         uint64
	}

	// planDecision is what the plan says about one request.
	planDecision struct {
		planned  bool
		region   string
		mayLeave bool
	}
)

// configure sets the limit and the regions; it keeps what is known if they are unchanged.
func (p *regionPlan) configure(now time.Time, s *Steering) {
	regions := slices.Compact(slices.Sorted(maps.Values(s.Regions)))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxShift, p.entry = s.Limits.MaxShift, s.Name
	if p.firstUsedAt.IsZero() {
		p.firstUsedAt = now
	}
	if slices.Equal(regions, p.regions) && p.services != nil {
		return
	}
	p.regions, p.own = regions, slices.Index(regions, s.Region)
	p.rows, p.services, p.received = map[string]plannedRow{}, map[string]*plannedService{}, map[uint8]bool{}
	p.term, p.sequence, p.whole = 0, 0, false
}

// enabled reports whether requests may be planned at all.
func (p *regionPlan) enabled() bool {
	return p.maxShift > 0 && p.own >= 0 && len(p.regions) > 1 && len(p.regions) <= bfplan.MaxRegions
}

// plannable reports whether the plan may place the request. Requests that are bound to regions
// have no other place, and large bodies cost too much between regions.
func (r *Request) plannable() bool {
	return !r.HasHomes() && !r.Route.LargeAnswers && !r.Route.LargeBodies
}

// place returns the number from 0 to 1 that determines to which region requests with the key
// go, or -1 without a key.
func (r *Request) place() float64 {
	key := r.key()
	if key == "" {
		return -1
	}
	// The hash orders servers too, so it is mixed once more.
	return float64((xxhash.Sum64String(key)*placeMultiplier)>>11) / (1 << 53)
}

// isFirstTry reports whether no server was chosen for the request before.
func (r *Request) isFirstTry() bool { return !r.Retry && !r.OnTimeOnly && len(r.Avoid) == 0 }

// decide draws the region of a request. A later try of a request keeps its region but may
// leave it. The service's mutex must be held.
func (p *regionPlan) decide(now time.Time, s *Steering, v *service, r *Request) planDecision {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.enabled() {
		return planDecision{}
	}
	if !r.isFirstTry() {
		return planDecision{planned: r.PlannedRegion != "", region: r.PlannedRegion, mayLeave: true}
	}
	if changed, follows := p.demand.add(now, s.entries()); changed {
		s.Log.Info().Bool("follows", follows).Int("requests", p.demand.lastWindow).Int("entries", s.entries()).Msg("use of the plan of regions changed")
	}
	if !r.plannable() {
		return planDecision{}
	}
	t := p.service(v.name)
	t.arrivals++
	if !p.demand.follows {
		t.ignore(now)
		return planDecision{}
	}
	if t.due(now) {
		p.stepService(now, s, v, t)
	}
	draw := t.follower.Next(now, r.place(), p.maxShift)
	if !draw.Planned {
		return planDecision{}
	}
	return planDecision{planned: true, region: p.regions[draw.Region], mayLeave: draw.MayLeave}
}

// service returns the state of a service, which it adds if there is none.
func (p *regionPlan) service(name string) *plannedService {
	t := p.services[name]
	if t == nil {
		t = &plannedService{runs: make([]float64, len(p.regions)), fixed: make([]float64, len(p.regions)), fixedRates: make([]float64, len(p.regions))}
		t.follower.Own, t.follower.Common = p.own, &p.credits
		t.follower.Phase, t.follower.LeavePhase = phase(p.entry, name), phase(name, p.entry)
		p.services[name] = t
	}
	return t
}

// stepService moves the shares of a service towards the plan. Until the first plan arrives,
// the entry uses the shares with which the leader would start.
func (p *regionPlan) stepService(now time.Time, s *Steering, v *service, t *plannedService) {
	t.steppedAt = now
	row, known := p.rows[v.name]
	start := t.sharesOfRuns()
	switch {
	case known && now.Sub(p.heardAt) <= bfplan.PlanLifetime:
		if start == nil {
			start = row.shares
		}
		t.follower.Follow(now, row.shares, start, row.term, row.forced, p.maxShift)
	case p.term == 0 && now.Sub(p.firstUsedAt) <= bfplan.PlanLifetime:
		initial := bfplan.InitialShares(v.slots(now, p.regions), p.roundTripTimes(s))[p.own]
		if start == nil {
			start = initial
		}
		t.follower.Follow(now, initial, start, 0, 0, p.maxShift)
	default:
		t.follower.Release(now, p.maxShift)
	}
}

// roundTripTimes returns the round trip times between regions, as far as the entry knows them.
func (p *regionPlan) roundTripTimes(s *Steering) [][]time.Duration {
	out := make([][]time.Duration, len(p.regions))
	for a := range out {
		out[a] = make([]time.Duration, len(p.regions))
		for b := range out[a] {
			switch {
			case a == b:
			case a == p.own:
				out[a][b] = s.rtts.get(p.regions[b], s.Region)
			default:
				out[a][b] = defaultRTT
			}
		}
	}
	return out
}

// slots returns the usable slots by region. The service's mutex must be held.
func (v *service) slots(now time.Time, regions []string) []float64 {
	out := make([]float64, len(regions))
	for _, srv := range v.servers {
		r := slices.Index(regions, srv.region)
		switch {
		case r < 0 || srv.withdrawn():
		case now.Before(srv.coldUntil):
			out[r] += bfplan.ColdSlotShare * float64(srv.Slots)
		default:
			out[r] += float64(srv.Slots)
		}
	}
	return out
}

// usablePercent returns the part of the service's slots in a region that this entry can use.
// The service's mutex must be held.
func (v *service) usablePercent(now time.Time, region string) uint8 {
	usable, all := 0, 0
	for _, srv := range v.servers {
		if srv.region != region || srv.withdrawn() {
			continue
		}
		all += srv.Slots
		if !srv.ejected() && !srv.availability.closed(now) {
			usable += srv.Slots
		}
	}
	if all == 0 {
		return 100
	}
	return uint8(100 * usable / all)
}

// recordRun counts a request that runs in a region.
func (p *regionPlan) recordRun(v *service, r *Request, region string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.regions, region)
	if i < 0 || !p.enabled() || !r.isFirstTry() {
		return
	}
	t := p.service(v.name)
	if r.plannable() {
		t.runs[i]++
		return
	}
	t.fixed[i]++
}

// recordSlotTime records how long a request occupied a slot.
func (p *regionPlan) recordSlotTime(service string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.services[service]; t != nil {
		t.slotTime.add(d)
	}
}
