package bfcapacity

import (
	"slices"
	"time"

	"briarferry/internal/coordination/bfplacement"
)

const (
	// stepEvery is the planner's period in the simulated events.
	stepEvery = 5 * time.Second
	// eventSteps bounds a simulated event to ten minutes.
	eventSteps = 120

	domainLost = "a failure domain fails"
	regionLost = "a region fails"
)

type (
	// Event is a failure of the ordinary days with what it moved.
	Event struct {
		Name string
		// Often says how often the design page expects it.
		Often string
		// Moved is the share of all demand that was moved, Refused the largest share
		// that was refused at a time, by urgency.
		Moved   float64
		Refused []float64
		// Until is the time until nothing was refused or held back.
		Until time.Duration
		Ended bool
		// Held names the limit that held back most.
		Held string
		// DeltaPeak and DeltaSum are the sizes of the assignment deltas in bytes.
		DeltaPeak, DeltaSum int
		// PeakShift is the largest share of a region's cap that was used.
		PeakShift float64
	}

	// eventCase changes the network for one event.
	eventCase struct {
		name, often string
		change      func(*bfplacement.Network)
	}
)

func eventCases() []eventCase {
	state := func(to bfplacement.SiteState, match func(bfplacement.Site) bool) func(*bfplacement.Network) {
		return func(n *bfplacement.Network) {
			for i := range n.Sites {
				if match(n.Sites[i]) {
					n.Sites[i].State = to
				}
			}
		}
	}
	domain := func(s bfplacement.Site) bool { return s.FailureDomain == "domain-4-1" }
	return []eventCase{
		{"a VM fails or is restarted (a tenth of a site)", "202 a day", func(n *bfplacement.Network) { n.Sites[20].Capacity = siteCapacity * 9 / 10 }},
		{"a rack or switch (a site) fails", "every month or two", state(bfplacement.SiteDown, func(s bfplacement.Site) bool { return s.Name == "site-4-2" })},
		{domainLost, "once or twice a year", state(bfplacement.SiteDown, domain)},
		{"a failure domain is drained", "planned", state(bfplacement.SiteDraining, domain)},
		{"a region's measurements go silent", "several times a year", func(n *bfplacement.Network) {
			for i := range n.Sites {
				if n.Sites[i].Region == 4 {
					n.Sites[i].MeasurementAge = time.Minute
				}
			}
		}},
		{regionLost, "not on ordinary days", state(bfplacement.SiteDown, func(s bfplacement.Site) bool { return s.Region == 4 })},
	}
}

// Events simulates the failures of ordinary days.
func Events(blocks int) ([]Event, error) {
	var out []Event
	w := NewWorld(blocks)
	for _, c := range eventCases() {
		e, err := runEvent(w, c)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

func runEvent(w *World, c eventCase) (Event, error) {
	e := Event{Name: c.name, Often: c.often, Refused: make([]float64, len(w.Services))}
	p, err := w.Planner()
	if err != nil {
		return e, err
	}
	now := time.Unix(1_767_225_600, 0)
	if _, err = p.Step(now, w.Net); err != nil {
		return e, err
	}
	u := bfplacement.NewAssignmentBuilder(p)
	last, err := u.Build(w.Net)
	if err != nil {
		return e, err
	}
	net := w.Net
	net.Sites = slices.Clone(net.Sites)
	c.change(&net)
	total, held := float64(w.total()), map[bfplacement.Reason]bfplacement.Rate{}
	for i := 1; i <= eventSteps && !e.Ended; i++ {
		plan, err := p.Step(now.Add(time.Duration(i)*stepEvery), net)
		if err != nil {
			return e, err
		}
		next, err := u.Build(net)
		if err != nil {
			return e, err
		}
		delta, err := bfplacement.EncodeDelta(last, next)
		if err != nil {
			return e, err
		}
		last = next
		e.add(plan, w, net, total, len(delta))
		for _, h := range plan.Held {
			held[h.Reason] += h.Rate
		}
		e.Until = time.Duration(i-1) * stepEvery
		e.Ended = len(plan.Refused) == 0 && len(plan.Held) == 0
	}
	e.Held = most(held)
	return e, nil
}

func (e *Event) add(plan bfplacement.Plan, w *World, net bfplacement.Network, total float64, delta int) {
	e.DeltaPeak, e.DeltaSum = max(e.DeltaPeak, delta), e.DeltaSum+delta
	arrived := make([]float64, targetRegions)
	for _, f := range plan.Shifts {
		e.Moved += float64(f.Rate) / total
		arrived[net.Sites[f.To].Region] += float64(f.Rate)
	}
	for r, rate := range arrived {
		limit := 0.0
		for _, s := range net.Sites {
			if s.Region == r && s.State != bfplacement.SiteDown {
				limit += float64(s.Capacity)
			}
		}
		if limit > 0 {
			e.PeakShift = max(e.PeakShift, rate/limit)
		}
	}
	refused := make([]float64, len(w.Services))
	for _, r := range plan.Refused {
		refused[r.Urgency] += float64(r.Rate) / total
	}
	for c, v := range refused {
		e.Refused[c] = max(e.Refused[c], v)
	}
}

func (w *World) total() bfplacement.Rate {
	sum := bfplacement.Rate(0)
	for _, d := range w.Blocks.Demand {
		sum += d
	}
	return sum
}

func most(held map[bfplacement.Reason]bfplacement.Rate) string {
	best := bfplacement.Reason(0)
	for _, r := range []bfplacement.Reason{bfplacement.HeldByShiftCap, bfplacement.HeldByColdCap, bfplacement.HeldBySite,
		bfplacement.HeldByRegion, bfplacement.HeldByLink, bfplacement.HeldByStaleMeasurements, bfplacement.HeldByOutage, bfplacement.HeldByBlockSize} {
		if held[r] > held[best] {
			best = r
		}
	}
	return best.String()
}
