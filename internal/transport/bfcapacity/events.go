package bfcapacity

import (
	"slices"
	"time"

	"briarferry/internal/coordination/bfplacement"
)

const (
	// stepInterval is the time between two planner steps in the simulations.
	stepInterval = 5 * time.Second
	// maxEventSteps limits a simulated event to ten minutes.
	maxEventSteps = 120

	eventFailureDomainFails = "a failure domain fails"
	eventRegionFails        = "a region fails"
)

type (
	// Event is a simulated failure or drain with its effects on the demand.
	Event struct {
		Name string
		// Frequency is how often the event is expected, according to docs/design.md.
		Frequency string
		// Moved is the share of all demand that was moved. Refused is the largest share
		// refused in one step, by urgency.
		Moved   float64
		Refused []float64
		// RecoveryTime is the time until nothing was refused or held back. Recovered
		// reports whether that happened within maxEventSteps.
		RecoveryTime time.Duration
		Recovered    bool
		// HeldBy is the reason for which the most demand was held back.
		HeldBy string
		// MaxDelta and TotalDelta are the largest and the summed size of the assignment
		// deltas in bytes.
		MaxDelta, TotalDelta int
		// MaxShift is the largest shift into a region in one step, as a share of the
		// capacity of the region's sites that are not down.
		MaxShift float64
	}

	// eventCase describes an event. apply changes the network accordingly.
	eventCase struct {
		name, frequency string
		apply           func(*bfplacement.Network)
	}
)

func eventCases() []eventCase {
	setState := func(to bfplacement.SiteState, match func(bfplacement.Site) bool) func(*bfplacement.Network) {
		return func(n *bfplacement.Network) {
			for i := range n.Sites {
				if match(n.Sites[i]) {
					n.Sites[i].State = to
				}
			}
		}
	}
	inDomain := func(s bfplacement.Site) bool { return s.FailureDomain == "domain-4-1" }
	return []eventCase{
		{"a VM fails or is restarted (a tenth of a site)", "202 a day", func(n *bfplacement.Network) { n.Sites[20].Capacity = siteCapacity * 9 / 10 }},
		{"a rack or switch (a site) fails", "every month or two", setState(bfplacement.SiteDown, func(s bfplacement.Site) bool { return s.Name == "site-4-2" })},
		{eventFailureDomainFails, "once or twice a year", setState(bfplacement.SiteDown, inDomain)},
		{"a failure domain is drained", "planned", setState(bfplacement.SiteDraining, inDomain)},
		{"a region's measurements go silent", "several times a year", func(n *bfplacement.Network) {
			for i := range n.Sites {
				if n.Sites[i].Region == 4 {
					n.Sites[i].MeasurementAge = time.Minute
				}
			}
		}},
		{eventRegionFails, "not on ordinary days", setState(bfplacement.SiteDown, func(s bfplacement.Site) bool { return s.Region == 4 })},
	}
}

// Events simulates the expected failures and drains.
func Events(blocks int) ([]Event, error) {
	var out []Event
	topo := NewTopology(blocks)
	for _, c := range eventCases() {
		e, err := runEvent(topo, c)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

func runEvent(topo *Topology, c eventCase) (Event, error) {
	e := Event{Name: c.name, Frequency: c.frequency, Refused: make([]float64, len(topo.Services))}
	p, err := topo.Planner()
	if err != nil {
		return e, err
	}
	now := time.Unix(1_767_225_600, 0)
	if _, err = p.Step(now, topo.Net); err != nil {
		return e, err
	}
	builder := bfplacement.NewAssignmentBuilder(p)
	last, err := builder.Build(topo.Net)
	if err != nil {
		return e, err
	}
	net := topo.Net
	net.Sites = slices.Clone(net.Sites)
	c.apply(&net)
	total, held := float64(topo.totalDemand()), map[bfplacement.Reason]bfplacement.Rate{}
	for i := 1; i <= maxEventSteps && !e.Recovered; i++ {
		plan, err := p.Step(now.Add(time.Duration(i)*stepInterval), net)
		if err != nil {
			return e, err
		}
		next, err := builder.Build(net)
		if err != nil {
			return e, err
		}
		delta, err := bfplacement.EncodeDelta(last, next)
		if err != nil {
			return e, err
		}
		last = next
		e.recordPlan(plan, topo, net, total, len(delta))
		for _, h := range plan.Held {
			held[h.Reason] += h.Rate
		}
		e.RecoveryTime = time.Duration(i-1) * stepInterval
		e.Recovered = len(plan.Refused) == 0 && len(plan.Held) == 0
	}
	e.HeldBy = mainHoldReason(held)
	return e, nil
}

func (e *Event) recordPlan(plan bfplacement.Plan, topo *Topology, net bfplacement.Network, total float64, delta int) {
	e.MaxDelta, e.TotalDelta = max(e.MaxDelta, delta), e.TotalDelta+delta
	arrived := make([]float64, targetRegions)
	for _, f := range plan.Shifts {
		e.Moved += float64(f.Rate) / total
		arrived[net.Sites[f.To].Region] += float64(f.Rate)
	}
	for r, rate := range arrived {
		capacity := 0.0
		for _, s := range net.Sites {
			if s.Region == r && s.State != bfplacement.SiteDown {
				capacity += float64(s.Capacity)
			}
		}
		if capacity > 0 {
			e.MaxShift = max(e.MaxShift, rate/capacity)
		}
	}
	refused := make([]float64, len(topo.Services))
	for _, r := range plan.Refused {
		refused[r.Urgency] += float64(r.Rate) / total
	}
	for c, v := range refused {
		e.Refused[c] = max(e.Refused[c], v)
	}
}

func (topo *Topology) totalDemand() bfplacement.Rate {
	sum := bfplacement.Rate(0)
	for _, d := range topo.Blocks.Demand {
		sum += d
	}
	return sum
}

func mainHoldReason(held map[bfplacement.Reason]bfplacement.Rate) string {
	best := bfplacement.Reason(0)
	for _, r := range []bfplacement.Reason{bfplacement.HeldByShiftCap, bfplacement.HeldByColdCap, bfplacement.HeldBySite,
		bfplacement.HeldByRegion, bfplacement.HeldByLink, bfplacement.HeldByStaleMeasurements, bfplacement.HeldByOutage, bfplacement.HeldByBlockSize} {
		if held[r] > held[best] {
			best = r
		}
	}
	return best.String()
}
