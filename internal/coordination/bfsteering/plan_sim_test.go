package bfsteering

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"sort"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/coordination/bfplan"
	"briarferry/internal/state/bffleet"
)

const (
	simTick     = 20 * time.Millisecond
	simMaxShift = 0.15
	// simColdTime and simWarmTime are the times of a request at a server without and with its
	// key.
	simColdTime = 600 * time.Millisecond
	simWarmTime = 200 * time.Millisecond
	// minCounted is the number of requests in a window from which on its shares are compared.
	minCounted = 80
)

type (
	// planSim simulates three regions with a backend service, their entries and, with a plan,
	// the leader that plans. Messages arrive at once.
	planSim struct {
		rng       *rand.Rand
		start     time.Time
		now       time.Time
		state     *bffleet.State
		regions   []string
		entries   []*Steering
		caches    map[string]*lru
		busy      map[string]int
		inFlight  []simTry
		rate      func(region int, at time.Duration) float64
		planned   bool
		planner   *bfplan.Planner
		collector *bfplan.Collector
		plan      *bfplan.Plan
		sequence  uint64
		// outcomes are all requests in the order of their arrival.
		outcomes []simOutcome
		reasons  map[LeaveReason]int
		messages int
	}

	simTry struct {
		try *Try
		// freeAt is when the server has handled the request; the answer arrives at endsAt.
		freeAt  time.Time
		freed   bool
		endsAt  time.Time
		outcome int
	}

	simOutcome struct {
		at time.Duration
		// from is the region of callers, and to the region in which the request ran, or -1.
		from, to int
		onTime   bool
	}
)

func newPlanSim(seed uint64, servers []int, entries int, planned bool, rate func(int, time.Duration) float64) *planSim {
	s := &planSim{
		rng: rand.New(rand.NewPCG(seed, 11)), start: time.Unix(1000, 0), regions: []string{"r1", "r2", "r3"}, planned: planned, rate: rate,
		caches: map[string]*lru{}, busy: map[string]int{}, reasons: map[LeaveReason]int{},
	}
	s.now = s.start
	s.state = &bffleet.State{Revision: 1, Routes: &briarferry.RouteTable{Version: 1, Services: []briarferry.RouteService{
		{Name: "prices", ConnectionLimit: 100, ColdStart: briarferry.Duration(3 * time.Second), ColdRate: 8},
	}}}
	id := 0
	for region, n := range servers {
		for i := range n {
			id++
			s.state.Servers = append(s.state.Servers, bffleet.Server{Instance: briarferry.Instance{
				ID: fmt.Sprintf("i-%03d", id), Service: "prices", FailureDomain: s.regions[region] + []string{"-a", "-b"}[i%2], Slots: 3, Started: 1,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 80),
			}})
		}
	}
	domains := map[string]string{}
	for _, r := range s.regions {
		domains[r+"-a"], domains[r+"-b"] = r, r
	}
	for i := range entries {
		region := s.regions[i%3]
		e := &Steering{
			Name: fmt.Sprint("entry-", i), Region: region, FailureDomain: region + []string{"-a", "-b"}[i/3%2], Log: zerolog.Nop(), Regions: domains,
			Entries: func() int { return entries }, RegionPeers: func() int { return entries/3 - 1 },
			Limits: Limits{RetryShare: 0.2, RetrySlack: 64, RetryWindow: 10 * time.Second, MaxShift: simMaxShift},
		}
		for _, r := range s.regions {
			if r != region {
				e.SetRoundTripTime(r, 110*time.Millisecond)
			}
		}
		e.Update(s.now, s.state)
		if !planned {
			// The entry chooses itself, as entries without this plan do.
			e.plan.own = -1
		}
		s.entries = append(s.entries, e)
	}
	s.newLeader(1)
	return s
}

func (s *planSim) newLeader(term uint64) {
	s.planner = &bfplan.Planner{Term: term, Regions: s.regions, MaxShift: simMaxShift}
	s.collector = &bfplan.Collector{Regions: s.regions}
}

func (s *planSim) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(simTick) {
		if s.planned && s.now.Sub(s.start)%bfplan.Interval == 0 {
			s.exchange()
		}
		s.finish()
		for i, e := range s.entries {
			rate := s.rate(i%3, s.now.Sub(s.start)) / float64((len(s.entries)+2-i%3)/3)
			// More than one request of an entry in a tick is rare enough to leave out.
			if s.rng.Float64() < rate*simTick.Seconds() {
				s.send(i%3, e)
			}
		}
	}
}

// exchange lets all entries report, plans, and lets all entries take over the plan.
func (s *planSim) exchange() {
	s.sequence++
	for _, e := range s.entries {
		for _, r := range e.PlanReports(s.now) {
			r.Entry, r.Sequence, r.Gossip = e.Name, s.sequence, netip.MustParseAddrPort("10.0.0.1:1")
			s.collector.Add(s.now, &r)
			s.messages++
		}
	}
	plan, _ := s.planner.Step(s.now, s.collector.Observe(s.now, s.slots()))
	if plan == nil {
		return
	}
	s.plan = plan
	for i, e := range s.entries {
		for _, r := range plan.Replies(&bfplan.Report{Region: uint8(i % 3)}, bfplan.RegionSet(s.regions)) {
			e.ApplyPlan(s.now, &r)
			s.messages++
		}
	}
}

func (s *planSim) slots() map[string][]float64 {
	out := make([]float64, 3)
	for _, srv := range s.state.Servers {
		if srv.Draining {
			continue
		}
		for r, name := range s.regions {
			if srv.FailureDomain[:2] == name {
				out[r] += float64(srv.Slots)
			}
		}
	}
	return map[string][]float64{"prices": out}
}

func (s *planSim) finish() {
	kept := s.inFlight[:0]
	for _, x := range s.inFlight {
		id := x.try.Backend.InstanceID
		if !x.freed && !x.freeAt.After(s.now) {
			x.freed = true
			s.busy[id]--
		}
		if x.endsAt.After(s.now) {
			kept = append(kept, x)
			continue
		}
		s.caches[id].touch(x.try.key, 20)
		x.try.Done(s.now, Report{Outcome: Answered, HasLoad: true, Load: briarferry.ServerLoad{Running: s.busy[id], Slots: 3}, Bytes: 1000})
		s.outcomes[x.outcome].onTime = x.endsAt.Sub(x.try.started) <= readRoute().Target.Std()
	}
	s.inFlight = kept
}

func (s *planSim) send(region int, e *Steering) {
	s.outcomes = append(s.outcomes, simOutcome{at: s.now.Sub(s.start), from: region, to: -1})
	o := &s.outcomes[len(s.outcomes)-1]
	try, err := e.Choose(s.now, request(fmt.Sprint("k", s.rng.IntN(4*len(s.state.Servers)))))
	if err != nil {
		return
	}
	id := try.Backend.InstanceID
	c := s.caches[id]
	if c == nil {
		c = &lru{}
		s.caches[id] = c
	}
	took := simColdTime
	if c.has(try.key) {
		took = simWarmTime
	}
	s.busy[id]++
	if over := s.busy[id] - 3; over > 0 {
		took += time.Duration(float64(over) / 3 * float64(took))
	}
	for r, name := range s.regions {
		if try.Backend.Region == name {
			o.to = r
		}
	}
	if try.LeaveReason != "" {
		s.reasons[try.LeaveReason]++
	}
	s.inFlight = append(s.inFlight, simTry{try: try, freeAt: s.now.Add(took + try.network/2), endsAt: s.now.Add(took + try.network), outcome: len(s.outcomes) - 1})
}

// between returns the requests that arrived in a span of time.
func (s *planSim) between(from, until time.Duration) []simOutcome {
	index := func(at time.Duration) int {
		return sort.Search(len(s.outcomes), func(i int) bool { return s.outcomes[i].at >= at })
	}
	return s.outcomes[index(from):index(until)]
}

// shares returns the shares of the regions in which the requests of a region ran in a window,
// and their number.
func (s *planSim) shares(region int, from time.Duration) ([]float64, int) {
	out, all := make([]float64, 3), 0
	for _, o := range s.between(from, from+shiftWindow) {
		if o.from == region && o.to >= 0 {
			out[o.to]++
			all++
		}
	}
	for r := range out {
		out[r] /= math.Max(1, float64(all))
	}
	return out, all
}

// largestShift returns the largest change of a region's shares between two windows that begin
// from the given time on.
func (s *planSim) largestShift(from time.Duration) (worst float64, at time.Duration) {
	for ; from+2*shiftWindow <= s.now.Sub(s.start); from += bucketLength {
		for r := range s.regions {
			a, n := s.shares(r, from)
			b, m := s.shares(r, from+shiftWindow)
			if d := bfplan.Distance(a, b); n >= minCounted && m >= minCounted && d > worst {
				worst, at = d, from
			}
		}
	}
	return worst, at
}

// onTime returns the part of a region's requests that were answered on time.
func (s *planSim) onTime(region int, from, until time.Duration) float64 {
	good, all := 0.0, 0.0
	for _, o := range s.between(from, until) {
		if o.from == region {
			all++
			good += indicator(o.onTime)
		}
	}
	return good / math.Max(1, all)
}

// served returns the part of a region's requests that a server ran.
func (s *planSim) served(region int) float64 {
	ran, all := 0.0, 0.0
	for _, o := range s.outcomes {
		if o.from == region {
			all++
			ran += indicator(o.to >= 0)
		}
	}
	return ran / math.Max(1, all)
}

// remote returns the part of the requests that ran in another region than their caller's.
func (s *planSim) remote() float64 {
	n := 0.0
	for _, o := range s.outcomes {
		n += indicator(o.to >= 0 && o.to != o.from)
	}
	return n / float64(len(s.outcomes))
}

// lag returns the time after which the requests of region 1 in a window are answered on time
// at least 0.8 times as often as those of the best region, for the first time.
func (s *planSim) lag() time.Duration {
	for from := time.Duration(0); from+shiftWindow <= s.now.Sub(s.start); from += bucketLength {
		best := 0.0
		for r := range s.regions {
			best = max(best, s.onTime(r, from, from+shiftWindow))
		}
		if best > 0 && s.onTime(1, from, from+shiftWindow) >= 0.8*best {
			return from
		}
	}
	return s.now.Sub(s.start)
}
