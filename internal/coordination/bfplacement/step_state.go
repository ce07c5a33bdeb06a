package bfplacement

import "time"

const (
	balanceUnknown regionBalance = iota
	balanceEven
	balanceUneven
)

type (
	regionBalance uint8

	// loads is the assigned rate of every destination and link.
	loads struct {
		site   []Rate
		region []Rate
		// class has one column for each class of each site.
		class []Rate
		// link is indexed by the pair of regions, the smaller one first.
		link []int64
	}

	// stepState is what one step derives from the network.
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
		// cached look-ups of departed blocks and measured load above the plan.
		extraLoad loads
		// shiftCap is the whole cap of each region and capLeft what is left of it.
		shiftCap     []Rate
		shiftCapLeft []Rate
		coldCapLeft  []Rate
		// evictCursor is the next block to look at when a class of a site is evicted.
		evictCursor []int
		// uncapped lifts the shift caps: nothing is known about where load is now.
		uncapped bool
		plan     Plan
		held     []HeldDemand
		// newResiduals and arrived sum the step's shifts: left by site, callers' region and
		// whether the block stays in its region; arrived by region and coldness.
		newResiduals  []residualLoad
		newCapCharges []capCharge
		changed       bool
		// regionBalance caches, by region, whether its sites' loads differ by more than the
		// hysteresis; a shift resets it.
		balance []regionBalance
	}

	// residualLoad is a rate that cached look-ups still bring to a former site.
	residualLoad struct {
		expires    time.Time
		site       int
		homeRegion int
		// leftRegion tells whether the block left the site's region too.
		leftRegion bool
		rate       Rate
		bits       int64
	}

	// capCharge is a rate that counts against a region's cap.
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

// setShiftCaps derives what each destination may still receive in this interval.
func (s *stepState) setShiftCaps(l Limits, charges []capCharge) {
	s.shiftCap = make([]Rate, len(s.Regions))
	s.shiftCapLeft = make([]Rate, len(s.Regions))
	s.coldCapLeft = make([]Rate, len(s.Regions))
	for i, limit := range s.regionLimit {
		shiftCap := Rate(float64(limit) * l.ShiftCapShare)
		s.shiftCap[i], s.shiftCapLeft[i] = shiftCap, shiftCap
		s.coldCapLeft[i] = Rate(float64(shiftCap) * l.ColdCapShare)
	}
	for _, a := range charges {
		s.shiftCapLeft[a.region] -= a.rate
		if a.cold {
			s.coldCapLeft[a.region] -= a.rate
		}
	}
}

// addResiduals counts the load that cached look-ups still carry.
func (s *stepState) addResiduals(residuals []residualLoad) {
	for _, d := range residuals {
		if s.Sites[d.site].State == SiteDown {
			continue
		}
		s.addResidual(d)
	}
}

func (s *stepState) addResidual(d residualLoad) {
	s.extraLoad.site[d.site] += d.rate
	if !d.leftRegion {
		return
	}
	region := s.Sites[d.site].Region
	s.extraLoad.region[region] += d.rate
	if d.homeRegion != region {
		s.extraLoad.link[linkIndex(d.homeRegion, region, len(s.Regions))] += d.bits
	}
}

// addUnplannedLoad counts measured load above the planned one, so that a site never
// looks emptier than its newest reading.
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
