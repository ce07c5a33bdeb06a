package bfplacement

import "time"

const (
	unknown balance = iota
	balanced
	unbalanced
)

type (
	balance uint8

	// loads is the assigned rate of every destination and link.
	loads struct {
		site   []Rate
		region []Rate
		// class has one column for each class of each site.
		class []Rate
		// link is indexed by the pair of regions, the smaller one first.
		link []int64
	}

	// step is what one step derives from the network.
	step struct {
		Network
		now         time.Time
		siteLimit   []Rate
		regionLimit []Rate
		linkLimit   []int64
		bySite      [][]int
		frozen      []bool
		cold        []bool
		// extra is what a site, region or link carries beyond its assigned blocks:
		// cached look-ups of departed blocks and measured load above the plan.
		extra loads
		// capFull is the whole cap of each region and capLeft what is left of it.
		capFull  []Rate
		capLeft  []Rate
		coldLeft []Rate
		// cursor is the next block to look at when a class of a site is evicted.
		cursor []int
		// unlimited lifts the shift caps: nothing is known about where load is now.
		unlimited bool
		plan      Plan
		held      []HeldDemand
		// left and arrived sum the step's shifts: left by site, callers' region and
		// whether the block stays in its region; arrived by region and coldness.
		left    []departure
		arrived []arrival
		changed bool
		// balance caches, by region, whether its sites' loads differ by more than the
		// hysteresis; a shift resets it.
		balance []balance
	}

	// departure is a rate that cached look-ups still bring to a former site.
	departure struct {
		until time.Time
		site  int
		home  int
		// abroad tells whether the block left the site's region too.
		abroad bool
		rate   Rate
		bits   int64
	}

	// arrival is a rate that counts against a region's cap.
	arrival struct {
		until  time.Time
		region int
		cold   bool
		rate   Rate
	}
)

func newLoads(sites, regions, classes int) loads {
	return loads{
		site: make([]Rate, sites), region: make([]Rate, regions),
		class: make([]Rate, sites*classes), link: make([]int64, regions*regions),
	}
}

func pair(a, b, regions int) int { return min(a, b)*regions + max(a, b) }

func newStep(now time.Time, net Network, classes int) *step {
	s := &step{Network: net, now: now}
	r := len(net.Regions)
	s.siteLimit = make([]Rate, len(net.Sites))
	s.regionLimit = make([]Rate, r)
	s.linkLimit = make([]int64, r*r)
	s.bySite = make([][]int, r)
	s.frozen = make([]bool, len(net.Sites))
	s.cold = make([]bool, len(net.Sites))
	s.extra = newLoads(len(net.Sites), r, classes)
	s.cursor = make([]int, len(net.Sites)*classes)
	s.held = make([]HeldDemand, r*reasons)
	s.balance = make([]balance, r)
	s.left = make([]departure, len(net.Sites)*r*2)
	s.arrived = make([]arrival, r*2)
	for i, site := range net.Sites {
		s.bySite[site.Region] = append(s.bySite[site.Region], i)
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
		s.linkLimit[pair(l.A, l.B, r)] += l.BitsPerSecond
	}
	return s
}

// setCaps derives what each destination may still receive in this interval.
func (s *step) setCaps(l Limits, arrivals []arrival) {
	s.capFull = make([]Rate, len(s.Regions))
	s.capLeft = make([]Rate, len(s.Regions))
	s.coldLeft = make([]Rate, len(s.Regions))
	for i, limit := range s.regionLimit {
		share := Rate(float64(limit) * l.ShiftCapShare)
		s.capFull[i], s.capLeft[i] = share, share
		s.coldLeft[i] = Rate(float64(share) * l.ColdCapShare)
	}
	for _, a := range arrivals {
		s.capLeft[a.region] -= a.rate
		if a.cold {
			s.coldLeft[a.region] -= a.rate
		}
	}
}

// addDepartures counts the load that cached look-ups still carry.
func (s *step) addDepartures(departures []departure) {
	for _, d := range departures {
		if s.Sites[d.site].State == SiteDown {
			continue
		}
		s.addDeparture(d)
	}
}

func (s *step) addDeparture(d departure) {
	s.extra.site[d.site] += d.rate
	if !d.abroad {
		return
	}
	region := s.Sites[d.site].Region
	s.extra.region[region] += d.rate
	if d.home != region {
		s.extra.link[pair(d.home, region, len(s.Regions))] += d.bits
	}
}

// addMeasured counts measured load above the planned one, so that a site never
// looks emptier than its newest reading.
func (s *step) addMeasured(assigned loads, seen []Rate) {
	for i, site := range s.Sites {
		if site.State == SiteDown {
			continue
		}
		if above := seen[i] - assigned.site[i] - s.extra.site[i]; above > 0 {
			s.extra.site[i] += above
			s.extra.region[site.Region] += above
		}
	}
}
