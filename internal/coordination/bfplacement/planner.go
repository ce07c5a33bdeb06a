package bfplacement

import (
	"fmt"
	"time"
)

const (
	// unplaced is the site of a block that has none.
	unplaced = -1
	// termShift leaves room for 2^32 versions in a leader's term.
	termShift = 32
)

// Planner assigns blocks to sites in steps.
type Planner struct {
	limits Limits
	*blockTable
	site    []int16
	classes []int8
	// load is kept between steps; loadOutdated reports whether demand, blocks or sites
	// have changed outside a step, so that load must be recomputed.
	load         loads
	loadOutdated bool
	version      uint64
	// initial is true until the first step or until an assignment is adopted.
	initial bool
	// failedOver is true if blocks failed over since the last step.
	failedOver bool
	residuals  []residualLoad
	capCharges []capCharge
	// upSince, wasDown and lastLoad hold, per site, when it came up, whether it was down
	// in the last step, and its last fresh load.
	upSince    []time.Time
	wasDown    []bool
	lastLoad   []Rate
	siteRegion []int
}

// NewPlanner returns a planner for the given blocks; the first step places all of them.
func NewPlanner(limits Limits, services []Service, blocks Blocks, regions int) (*Planner, error) {
	t, err := newBlockTable(services, blocks, regions)
	if err != nil {
		return nil, err
	}
	p := &Planner{limits: limits, blockTable: t, initial: true, loadOutdated: true}
	p.site, p.classes = make([]int16, t.blockCount), make([]int8, t.blockCount)
	for b := range p.site {
		p.site[b] = unplaced
	}
	return p, nil
}

// Adopt continues from an assignment that an earlier leader published, so that a new
// leader moves no block without need. Sites are matched by name. Only tests use it, to
// compare the plans of an old and a new leader: the Coordinator starts from an adopted
// assignment with SetBlocks.
func (p *Planner) Adopt(a *Assignment, sites []Site) error {
	if a.BlockSetChecksum != p.blockSetChecksum || len(a.ListIndex) != p.blockCount {
		return fmt.Errorf("bfplacement: assignment %d belongs to another block set", a.Version)
	}
	siteIndex := map[string]int16{}
	for i, s := range sites {
		siteIndex[s.Name] = int16(i)
	}
	for b, listIndex := range a.ListIndex {
		l := a.Lists[listIndex]
		p.site[b], p.classes[b] = unplaced, 0
		if l.Classes == 0 || len(l.Sites) == 0 {
			continue
		}
		if site, ok := siteIndex[a.Sites[l.Sites[0]]]; ok {
			p.site[b], p.classes[b] = site, int8(min(int(l.Classes), p.classCount))
		}
	}
	p.version, p.initial, p.loadOutdated = max(p.version, a.Version), false, true
	return nil
}

// StartTerm raises the version above those of all earlier terms, so that entries accept a
// new leader's assignment even if that leader knew only an old one.
func (p *Planner) StartTerm(term uint64) { p.version = max(p.version, term<<termShift) }

// SetDemand replaces the demand of every block.
func (p *Planner) SetDemand(demand []Rate) error {
	p.loadOutdated = true
	return p.setDemand(demand)
}

// Site returns the site of a block, or -1, and how many of its classes are served.
func (p *Planner) Site(b int) (site, classes int) { return int(p.site[b]), int(p.classes[b]) }

// Step makes the decisions of one interval. Equal states and arguments give equal
// plans. The plan of the first step lists no shifts, since there is no earlier
// assignment to compare with.
func (p *Planner) Step(now time.Time, net Network) (Plan, error) {
	if err := p.checkNetwork(net); err != nil {
		return Plan{}, err
	}
	s := newStepState(now, net, p.classCount)
	s.uncapped = p.initial
	s.changed, p.failedOver = p.failedOver, false
	p.updateSiteHistory(s)
	p.dropExpired(now)
	p.unplaceFromDownSites(s)
	if p.loadOutdated {
		p.recomputeLoads(s)
	}
	s.addResiduals(p.residuals)
	s.addUnplannedLoad(p.load, p.lastLoad)
	s.setShiftCaps(p.limits, p.capCharges)
	p.evictOverLimit(s)
	for class := range p.classCount {
		p.admit(s, class)
	}
	p.moveOffDrainingSites(s)
	if !s.hasDemandHeldByCap() {
		p.rebalance(s)
	}
	return p.finishPlan(s), nil
}

func (p *Planner) checkNetwork(net Network) error {
	if len(net.Regions) != p.regionCount {
		return fmt.Errorf("bfplacement: network has %d regions, planner has %d", len(net.Regions), p.regionCount)
	}
	if p.lastLoad == nil {
		p.upSince = make([]time.Time, len(net.Sites))
		p.wasDown = make([]bool, len(net.Sites))
		p.lastLoad = make([]Rate, len(net.Sites))
		for _, site := range net.Sites {
			p.siteRegion = append(p.siteRegion, site.Region)
		}
	}
	if len(net.Sites) != len(p.lastLoad) {
		return fmt.Errorf("bfplacement: network has %d sites, planner has %d", len(net.Sites), len(p.lastLoad))
	}
	for i, site := range net.Sites {
		if site.Region < 0 || site.Region >= p.regionCount || site.Region != p.siteRegion[i] {
			return fmt.Errorf("bfplacement: sites[%d] is in region %d of %d, but was in region %d", i, site.Region, p.regionCount, p.siteRegion[i])
		}
	}
	for i, l := range net.Links {
		if min(l.A, l.B) < 0 || max(l.A, l.B) >= p.regionCount || l.A == l.B {
			return fmt.Errorf("bfplacement: links[%d] must connect two different regions, not %d and %d of %d", i, l.A, l.B, p.regionCount)
		}
	}
	return nil
}

// updateSiteHistory records each site's load and time of coming up, and determines which
// sites are stale or cold.
func (p *Planner) updateSiteHistory(s *stepState) {
	for i, site := range s.Sites {
		s.stale[i] = site.MeasurementAge >= p.limits.StaleAfter
		if !s.stale[i] {
			p.lastLoad[i] = site.Load
		}
		if site.State == SiteDown {
			p.wasDown[i], p.lastLoad[i] = true, 0
			continue
		}
		if p.wasDown[i] {
			p.wasDown[i], p.upSince[i] = false, s.now
		}
		warming := !p.upSince[i].IsZero() && s.now.Sub(p.upSince[i]) < p.limits.WarmUp
		s.cold[i] = site.Cold || warming
	}
}

// dropExpired drops residual load and cap charges that have expired. A cap charge lasts
// for an interval and the life of a cached look-up. The load of a shift arrives spread
// over that life, so all load that arrives in one interval comes from shifts within these
// two periods.
func (p *Planner) dropExpired(now time.Time) {
	residuals := p.residuals[:0]
	for _, r := range p.residuals {
		if r.expires.After(now) {
			residuals = append(residuals, r)
		}
	}
	capCharges := p.capCharges[:0]
	for _, c := range p.capCharges {
		if c.expires.After(now) {
			capCharges = append(capCharges, c)
		}
	}
	p.residuals, p.capCharges = residuals, capCharges
}

// unplaceFromDownSites removes the blocks from sites that are down.
func (p *Planner) unplaceFromDownSites(s *stepState) {
	for b, site := range p.site {
		if site != unplaced && (int(site) >= len(s.Sites) || s.Sites[site].State == SiteDown) {
			if !p.loadOutdated {
				p.updateLoad(s, b, int(site), int(p.classes[b]), 0)
			}
			p.site[b], p.classes[b] = unplaced, 0
			s.changed = true
		}
	}
}

func (p *Planner) recomputeLoads(s *stepState) {
	p.load, p.loadOutdated = newLoads(len(s.Sites), p.regionCount, p.classCount), false
	for b, site := range p.site {
		if site != unplaced {
			p.updateLoad(s, b, int(site), 0, int(p.classes[b]))
		}
	}
}

// updateLoad changes a block's load at a site from one number of classes to another.
func (p *Planner) updateLoad(s *stepState, b, site, from, to int) {
	rate := p.servedRate(b, to) - p.servedRate(b, from)
	region, home := s.Sites[site].Region, int(p.homeRegion[b])
	p.load.site[site] += rate
	p.load.region[region] += rate
	for c := min(from, to); c < max(from, to); c++ {
		classRate := p.servedRate(b, c+1) - p.servedRate(b, c)
		if to < from {
			classRate = -classRate
		}
		p.load.class[site*p.classCount+c] += classRate
	}
	if home != region {
		p.load.link[linkIndex(home, region, p.regionCount)] += p.servedBits(b, to) - p.servedBits(b, from)
	}
}

func (p *Planner) finishPlan(s *stepState) Plan {
	for _, r := range s.newResiduals {
		if r.rate > 0 || r.bits > 0 {
			p.residuals = append(p.residuals, r)
		}
	}
	for _, c := range s.newCapCharges {
		if c.rate > 0 {
			p.capCharges = append(p.capCharges, c)
		}
	}
	p.initial = false
	if s.changed {
		p.version++
	}
	s.plan.Version = p.version
	for _, h := range s.held {
		if h.Blocks > 0 {
			s.plan.Held = append(s.plan.Held, h)
		}
	}
	s.plan.Refused = p.refusedDemand()
	return s.plan
}

func (p *Planner) refusedDemand() []RefusedDemand {
	sums := make([]Rate, p.regionCount*p.classCount)
	for b := range p.blockCount {
		for c := int(p.classes[b]); c < p.classCount; c++ {
			sums[int(p.homeRegion[b])*p.classCount+c] += p.servedRate(b, c+1) - p.servedRate(b, c)
		}
	}
	var out []RefusedDemand
	for i, rate := range sums {
		if rate > 0 {
			out = append(out, RefusedDemand{Region: i / p.classCount, Urgency: p.urgencies[i%p.classCount], Rate: rate})
		}
	}
	return out
}
