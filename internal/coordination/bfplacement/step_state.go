package bfplacement

import "time"

const (
	balanceUnknown regionBalance = iota
	balanceEven
	balanceUneven
)

type (
	regionBalance uint8

	// loads holds the assigned rates of all sites, regions and links.
	loads struct {
		site   []Rate
		region []Rate
		// class has a row for each site and a column for each class.
		class []Rate
		// link is indexed by linkIndex.
		link []int64
	}

	// stepState is the state of one step, derived from the network.
	stepState struct {
		Network
		now           time.Time
		siteLimit     []Rate
		regionLimit   []Rate
		linkLimit     []int64
		sitesInRegion [][]int
		stale         []bool
		cold          []bool
		// extraLoad is what a site, region or link carries beyond its assigned blocks:
		// residual load and measured load above the plan.
		extraLoad loads
		// shiftCap is the full shift cap of each region, shiftCapLeft what is left of it,
		// and coldCapLeft what is left for its cold sites.
		shiftCap     []Rate
		shiftCapLeft []Rate
		coldCapLeft  []Rate
		// evictCursor is, by site and class, the next block to consider for eviction.
		evictCursor []int
		// uncapped disables the shift caps in a planner's first step, when it is not known
		// where the load is.
		uncapped bool
		plan     Plan
		held     []HeldDemand
		// newResiduals and newCapCharges sum the shifts of the step. Residuals are by site,
		// home region and whether the block left the region; charges are by region and
		// whether the site is cold.
		newResiduals  []residualLoad
		newCapCharges []capCharge
		changed       bool
		// balance caches, by region, whether the utilization of its sites differs by more
		// than the hysteresis. A shift resets it.
		balance []regionBalance
	}

	// residualLoad is the load that cached look-ups still send to a former site.
	residualLoad struct {
		expires    time.Time
		site       int
		homeRegion int
		// leftRegion reports whether the block also left the site's region.
		leftRegion bool
		rate       Rate
		bits       int64
	}

	// capCharge is a rate that counts against a region's shift cap until it expires.
	capCharge struct {
		expires time.Time
		region  int
		cold    bool
		rate    Rate
	}
)

func newLoads(sites, regions, classes int) loads {
	return loads{
		site: make([]Rate, sites), region: make([]Rate, regions),
		class: make([]Rate, sites*classes), link: make([]int64, regions*regions),
	}
}

func linkIndex(a, b, regions int) int { return min(a, b)*regions + max(a, b) }

func newStepState(now time.Time, net Network, classes int) *stepState {
	s := &stepState{Network: net, now: now}
	r := len(net.Regions)
	s.siteLimit = make([]Rate, len(net.Sites))
	s.regionLimit = make([]Rate, r)
	s.linkLimit = make([]int64, r*r)
	s.sitesInRegion = make([][]int, r)
	s.stale = make([]bool, len(net.Sites))
	s.cold = make([]bool, len(net.Sites))
	s.extraLoad = newLoads(len(net.Sites), r, classes)
	s.evictCursor = make([]int, len(net.Sites)*classes)
	s.held = make([]HeldDemand, r*reasonCount)
	s.balance = make([]regionBalance, r)
	s.newResiduals = make([]residualLoad, len(net.Sites)*r*2)
	s.newCapCharges = make([]capCharge, r*2)
	for i, site := range net.Sites {
		s.sitesInRegion[site.Region] = append(s.sitesInRegion[site.Region], i)
		if site.State == SiteDown {
			continue
		}
		s.siteLimit[i] = site.Capacity
		s.regionLimit[site.Region] += site.Capacity
	}
	for i, region := range net.Regions {
		if region.Limit > 0 {
			s.regionLimit[i] = min(s.regionLimit[i], region.Limit)
		}
	}
	for _, l := range net.Links {
		s.linkLimit[linkIndex(l.A, l.B, r)] += l.BitsPerSecond
	}
	return s
}

// setShiftCaps computes what each region may still receive in this interval.
func (s *stepState) setShiftCaps(l Limits, charges []capCharge) {
	s.shiftCap = make([]Rate, len(s.Regions))
	s.shiftCapLeft = make([]Rate, len(s.Regions))
	s.coldCapLeft = make([]Rate, len(s.Regions))
	for i, limit := range s.regionLimit {
		shiftCap := Rate(float64(limit) * l.ShiftCapShare)
		s.shiftCap[i], s.shiftCapLeft[i] = shiftCap, shiftCap
		s.coldCapLeft[i] = Rate(float64(shiftCap) * l.ColdCapShare)
	}
	for _, c := range charges {
		s.shiftCapLeft[c.region] -= c.rate
		if c.cold {
			s.coldCapLeft[c.region] -= c.rate
		}
	}
}

// addResiduals adds the load that cached look-ups still send to former sites.
func (s *stepState) addResiduals(residuals []residualLoad) {
	for _, r := range residuals {
		if s.Sites[r.site].State == SiteDown {
			continue
		}
		s.addResidual(r)
	}
}

func (s *stepState) addResidual(r residualLoad) {
	s.extraLoad.site[r.site] += r.rate
	if !r.leftRegion {
		return
	}
	region := s.Sites[r.site].Region
	s.extraLoad.region[region] += r.rate
	if r.homeRegion != region {
		s.extraLoad.link[linkIndex(r.homeRegion, region, len(s.Regions))] += r.bits
	}
}

// addUnplannedLoad adds measured load above the assigned load, so that a site never
// appears less loaded than its newest measurement.
func (s *stepState) addUnplannedLoad(assigned loads, lastLoad []Rate) {
	for i, site := range s.Sites {
		if site.State == SiteDown {
			continue
		}
		if above := lastLoad[i] - assigned.site[i] - s.extraLoad.site[i]; above > 0 {
			s.extraLoad.site[i] += above
			s.extraLoad.region[site.Region] += above
		}
	}
}
