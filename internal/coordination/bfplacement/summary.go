package bfplacement

import "time"

type (
	// RegionSummary describes a region as the planner sees it. Rates are in thousandths
	// of a busy slot.
	RegionSummary struct {
		Name     string
		Capacity Rate
		Planned  Rate
		Measured Rate
		// Shifted is the rate of the shifts that count against ShiftCap: those within an
		// interval and the life of a cached look-up.
		Shifted  Rate
		ShiftCap Rate
		// StaleSites is the number of sites that are not down and have no fresh measurements.
		StaleSites int
	}

	// Summary describes the planner's state.
	Summary struct {
		Version uint64
		Blocks  int
		// OversizeBlocks counts blocks whose demand exceeds nine tenths of the smallest
		// shift cap, so that only that part of it counts.
		OversizeBlocks int
		StepTime       time.Duration
		Regions        []RegionSummary
		Held           []HeldDemand
		Refused        []RefusedDemand
	}
)

// Summary returns the state for status pages, or false if this VM does not plan.
func (c *Coordinator) Summary() (Summary, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.published.newestAssignment()
	if c.planner == nil || a == nil {
		return Summary{}, false
	}
	s := Summary{Version: a.Version, Blocks: len(c.blocks), StepTime: c.stepTime, Held: c.plan.Held, Refused: c.plan.Refused}
	for i, r := range c.net.Regions {
		s.Regions = append(s.Regions, c.regionSummary(i, r.Name))
	}
	for i, b := range c.blocks {
		if sumRates(b.demand) > c.planner.servedRate(i, c.planner.classCount) {
			s.OversizeBlocks++
		}
	}
	return s, true
}

func (c *Coordinator) regionSummary(region int, name string) RegionSummary {
	r := RegionSummary{Name: name, Planned: c.planner.load.region[region]}
	for _, site := range c.net.Sites {
		if site.Region != region || site.State == SiteDown {
			continue
		}
		r.Capacity += site.Capacity
		r.Measured += site.Load
		if site.MeasurementAge >= c.planner.limits.StaleAfter {
			r.StaleSites++
		}
	}
	r.ShiftCap = Rate(float64(r.Capacity) * c.planner.limits.ShiftCapShare)
	for _, charge := range c.planner.capCharges {
		if charge.region == region && charge.expires.After(time.Now()) {
			r.Shifted += charge.rate
		}
	}
	return r
}
