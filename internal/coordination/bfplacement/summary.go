package bfplacement

import "time"

type (
	// RegionSummary describes a region as the planner sees it. Rates are thousandths
	// of a busy slot.
	RegionSummary struct {
		Name     string
		Capacity Rate
		Planned  Rate
		Measured Rate
		// Shifted counts against Cap: what came within an interval and a look-up's life.
		Shifted  Rate
		ShiftCap Rate
		// StaleSites is the number of live sites without fresh readings.
		StaleSites int
	}

	// Summary describes the planner's state.
	Summary struct {
		Version uint64
		Blocks  int
		// OversizeBlocks counts blocks whose demand alone is above a cap and counts as less.
		OversizeBlocks int
		StepTime       time.Duration
		Regions        []RegionSummary
		Held           []HeldDemand
		Refused        []RefusedDemand
	}
)

// Summary returns the state for status pages, or false where this VM doesn't plan.
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
	for _, a := range c.planner.capCharges {
		if a.region == region && a.expires.After(time.Now()) {
			r.Shifted += a.rate
		}
	}
	return r
}
