package bfplacement

import (
	"fmt"
	"time"
)

const (
	// unplaced marks a block without a site.
	unplaced = -1
	// termShift leaves room for 2^32 versions in a leader's term.
	termShift = 32
)

// Planner assigns blocks to sites step by step.
type Planner struct {
	limits Limits
	*table
	site  []int16
	level []int8
	// load is kept between steps; stale asks for a new sum after a change of demand.
	load    loads
	stale   bool
	version uint64
	// fresh is true until the first step or an adopted assignment.
	fresh bool
	// moved tells that blocks failed over since the last step.
	moved      bool
	departures []departure
	arrivals   []arrival
	// upSince and seen remember, per site, when it came up and its last fresh load.
	upSince []time.Time
	wasDown []bool
	seen    []Rate
	regions []int
}

// NewPlanner returns a planner for the given blocks; the first step places all of them.
func NewPlanner(limits Limits, services []Service, blocks Blocks, regions int) (*Planner, error) {
	t, err := newTable(services, blocks, regions)
	if err != nil {
		return nil, err
	}
	p := &Planner{limits: limits, table: t, fresh: true, stale: true}
	p.site, p.level = make([]int16, t.n), make([]int8, t.n)
	for b := range p.site {
		p.site[b] = unplaced
	}
	return p, nil
}

// Adopt continues from an assignment that a leader before published, so that a new
// leader moves no block without need. Sites are matched by name.
func (p *Planner) Adopt(a *Assignment, sites []Site) error {
	if a.BlockSetChecksum != p.blockSet || len(a.ListIndex) != p.n {
		return fmt.Errorf("bfplacement: assignment %d is about another block set", a.Version)
	}
	number := map[string]int16{}
	for i, s := range sites {
		number[s.Name] = int16(i)
	}
	for b, id := range a.ListIndex {
		l := a.Lists[id]
		p.site[b], p.level[b] = unplaced, 0
		if l.Classes == 0 || len(l.Sites) == 0 {
			continue
		}
		if at, ok := number[a.Sites[l.Sites[0]]]; ok {
			p.site[b], p.level[b] = at, int8(min(int(l.Classes), p.k))
		}
	}
	p.version, p.fresh, p.stale = max(p.version, a.Version), false, true
	return nil
}

// StartTerm starts the versions of a leader's term above those of all earlier terms, so
// that entries accept a new leader's assignment even where it knew an old one only.
func (p *Planner) StartTerm(term uint64) { p.version = max(p.version, term<<termShift) }

// SetDemand replaces the demand of every block.
func (p *Planner) SetDemand(demand []Rate) error {
	p.stale = true
	return p.setDemand(demand)
}

// Site returns the site of a block, or -1, and how many classes it serves.
func (p *Planner) Site(b int) (site, classes int) { return int(p.site[b]), int(p.level[b]) }

// Step makes the decisions of one interval. Equal states and arguments give equal
// plans. The plan of the first step lists no shifts, since no earlier assignment
// is known that they could be counted from.
func (p *Planner) Step(now time.Time, net Network) (Plan, error) {
	if err := p.checkNetwork(net); err != nil {
		return Plan{}, err
	}
	s := newStep(now, net, p.k)
	s.unlimited = p.fresh
	s.changed, p.moved = p.moved, false
	p.observe(s)
	p.expire(now)
	p.release(s)
	if p.stale {
		p.sumLoads(s)
	}
	s.addDepartures(p.departures)
	s.addMeasured(p.load, p.seen)
	s.setCaps(p.limits, p.arrivals)
	p.evictOverLimit(s)
	for c := range p.k {
		p.admit(s, c)
	}
	p.drain(s)
	if !s.waitsForCap() {
		p.improve(s)
	}
	return p.finish(s), nil
}

func (p *Planner) checkNetwork(net Network) error {
	if len(net.Regions) != p.r {
		return fmt.Errorf("bfplacement: %d regions, not %d", len(net.Regions), p.r)
	}
	if p.seen == nil {
		p.upSince = make([]time.Time, len(net.Sites))
		p.wasDown = make([]bool, len(net.Sites))
		p.seen = make([]Rate, len(net.Sites))
		for _, site := range net.Sites {
			p.regions = append(p.regions, site.Region)
		}
	}
	if len(net.Sites) != len(p.seen) {
		return fmt.Errorf("bfplacement: %d sites, not %d", len(net.Sites), len(p.seen))
	}
	for i, site := range net.Sites {
		if site.Region < 0 || site.Region >= p.r || site.Region != p.regions[i] {
			return fmt.Errorf("bfplacement: sites[%d] has region %d of %d, first %d", i, site.Region, p.r, p.regions[i])
		}
	}
	for i, l := range net.Links {
		if min(l.A, l.B) < 0 || max(l.A, l.B) >= p.r || l.A == l.B {
			return fmt.Errorf("bfplacement: links[%d] joins regions %d and %d of %d", i, l.A, l.B, p.r)
		}
	}
	return nil
}

// observe keeps what the planner must remember of each site's measurements.
func (p *Planner) observe(s *step) {
	for i, site := range s.Sites {
		s.frozen[i] = site.MeasurementAge >= p.limits.StaleAfter
		if !s.frozen[i] {
			p.seen[i] = site.Load
		}
		if site.State == SiteDown {
			p.wasDown[i], p.seen[i] = true, 0
			continue
		}
		if p.wasDown[i] {
			p.wasDown[i], p.upSince[i] = false, s.now
		}
		warming := !p.upSince[i].IsZero() && s.now.Sub(p.upSince[i]) < p.limits.WarmUp
		s.cold[i] = site.Cold || warming
	}
}

// expire forgets departures whose look-ups have run out, and arrivals older than
// an interval and a look-up's life: the load of a shift arrives spread over the
// life, so that any interval sees at most the shifts of both together.
func (p *Planner) expire(now time.Time) {
	departures := p.departures[:0]
	for _, d := range p.departures {
		if d.until.After(now) {
			departures = append(departures, d)
		}
	}
	arrivals := p.arrivals[:0]
	for _, a := range p.arrivals {
		if a.until.After(now) {
			arrivals = append(arrivals, a)
		}
	}
	p.departures, p.arrivals = departures, arrivals
}

// release takes the blocks off sites that are down.
func (p *Planner) release(s *step) {
	for b, at := range p.site {
		if at != unplaced && (int(at) >= len(s.Sites) || s.Sites[at].State == SiteDown) {
			if !p.stale {
				p.addLoad(s, b, int(at), int(p.level[b]), 0)
			}
			p.site[b], p.level[b] = unplaced, 0
			s.changed = true
		}
	}
}

func (p *Planner) sumLoads(s *step) {
	p.load, p.stale = newLoads(len(s.Sites), p.r, p.k), false
	for b, at := range p.site {
		if at != unplaced {
			p.addLoad(s, b, int(at), 0, int(p.level[b]))
		}
	}
}

// addLoad changes the loads of a block's site from one level to another.
func (p *Planner) addLoad(s *step, b, at, from, to int) {
	rate := p.served(b, to) - p.served(b, from)
	region, home := s.Sites[at].Region, int(p.home[b])
	p.load.site[at] += rate
	p.load.region[region] += rate
	for c := min(from, to); c < max(from, to); c++ {
		own := p.served(b, c+1) - p.served(b, c)
		if to < from {
			own = -own
		}
		p.load.class[at*p.k+c] += own
	}
	if home != region {
		p.load.link[pair(home, region, p.r)] += p.servedBits(b, to) - p.servedBits(b, from)
	}
}

func (p *Planner) finish(s *step) Plan {
	for _, d := range s.left {
		if d.rate > 0 || d.bits > 0 {
			p.departures = append(p.departures, d)
		}
	}
	for _, a := range s.arrived {
		if a.rate > 0 {
			p.arrivals = append(p.arrivals, a)
		}
	}
	p.fresh = false
	if s.changed {
		p.version++
	}
	s.plan.Version = p.version
	for _, h := range s.held {
		if h.Blocks > 0 {
			s.plan.Held = append(s.plan.Held, h)
		}
	}
	s.plan.Refused = p.refusals()
	return s.plan
}

func (p *Planner) refusals() []RefusedDemand {
	sums := make([]Rate, p.r*p.k)
	for b := range p.n {
		for c := int(p.level[b]); c < p.k; c++ {
			sums[int(p.home[b])*p.k+c] += p.served(b, c+1) - p.served(b, c)
		}
	}
	var out []RefusedDemand
	for i, rate := range sums {
		if rate > 0 {
			out = append(out, RefusedDemand{Region: i / p.k, Urgency: p.urgencies[i%p.k], Rate: rate})
		}
	}
	return out
}
