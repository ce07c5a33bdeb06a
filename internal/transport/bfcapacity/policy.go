package bfcapacity

import (
	"math"
	"slices"
	"time"

	"briarferry/internal/coordination/bfplacement"
)

// policySteps is the length of each compared scenario.
const policySteps = 24

type (
	// PolicyResult compares one policy in one scenario.
	PolicyResult struct {
		Scenario, Policy string
		// Over is the largest share of all demand beyond a site's limit at a time and
		// Refused the largest share refused by decision.
		Over, Refused float64
		// Moved is the sum of all shifts as a share of all demand, and PeakMoved the
		// largest one into a region within an interval, as a share of its capacity.
		Moved, PeakMoved float64
		// Delay is the mean one-way delay of the served demand in milliseconds.
		Delay float64
	}

	// policyCase changes the world before a step.
	policyCase struct {
		name   string
		factor float64
		change func(step int, sites []bfplacement.Site)
	}

	// tally sums the results of one policy's run.
	tally struct {
		w            *World
		total        float64
		now          []int16
		result       PolicyResult
		delay, count float64
		arrivals     [][]float64
	}
)

func policyCases() []policyCase {
	none := func(int, []bfplacement.Site) {}
	return []policyCase{
		{"ordinary day", 1, none},
		{"one region's demand doubles", 2, none},
		{"a region fails", 1, func(_ int, s []bfplacement.Site) {
			for i := range s {
				if s[i].Region == 4 {
					s[i].State = bfplacement.SiteDown
				}
			}
		}},
		{"a site flaps each 10 s", 1, func(step int, s []bfplacement.Site) {
			if step/2%2 == 0 {
				s[20].State = bfplacement.SiteDown
			}
		}},
	}
}

// ComparePolicies runs the planner and a policy that sends each block to its nearest
// region that is up, without limits, through the same scenarios.
func ComparePolicies(blocks int) ([]PolicyResult, error) {
	var out []PolicyResult
	for _, c := range policyCases() {
		w := NewWorld(blocks)
		demand := w.Demand(4, c.factor)
		planned, err := runPlanner(w, c, demand)
		if err != nil {
			return nil, err
		}
		out = append(out, planned, runNearest(w, c, demand))
	}
	return out, nil
}

func runPlanner(w *World, c policyCase, demand []bfplacement.Rate) (PolicyResult, error) {
	t := newTally(w, c.name, "planner")
	p, err := w.Planner()
	if err != nil {
		return t.result, err
	}
	began := time.Unix(1_767_225_600, 0)
	if _, err = p.Step(began, w.Net); err != nil {
		return t.result, err
	}
	t.start(func(b int) int { at, _ := p.Site(b); return at })
	if err = p.SetDemand(demand); err != nil {
		return t.result, err
	}
	for i := range policySteps {
		net := w.Net
		net.Sites = slices.Clone(net.Sites)
		c.change(i, net.Sites)
		plan, err := p.Step(began.Add(time.Duration(i+1)*stepEvery), net)
		if err != nil {
			return t.result, err
		}
		refused := 0.0
		for _, r := range plan.Refused {
			refused += float64(r.Rate) / t.total
		}
		t.result.Refused = max(t.result.Refused, refused)
		t.add(net, demand, func(b int) (int, int) { return p.Site(b) })
	}
	return t.finish(), nil
}

func runNearest(w *World, c policyCase, demand []bfplacement.Rate) PolicyResult {
	t := newTally(w, c.name, "nearest site")
	t.start(func(b int) int { return w.nearestSite(w.Net.Sites, b) })
	for i := range policySteps {
		net := w.Net
		net.Sites = slices.Clone(net.Sites)
		c.change(i, net.Sites)
		t.add(net, demand, func(b int) (int, int) { return w.nearestSite(net.Sites, b), len(w.Services) })
	}
	return t.finish()
}

// nearestSite spreads the blocks of a region evenly over its sites that are up.
func (w *World) nearestSite(sites []bfplacement.Site, b int) int {
	delay := uint32(math.MaxUint32)
	var near []int
	for at, s := range sites {
		d := w.Blocks.DelayMicros[b*targetRegions+s.Region]
		if s.State != bfplacement.SiteUp || d > delay {
			continue
		}
		if d < delay {
			delay, near = d, near[:0]
		}
		near = append(near, at)
	}
	if len(near) == 0 {
		return -1
	}
	return near[b%len(near)]
}

func newTally(w *World, scenario, policy string) *tally {
	return &tally{w: w, total: float64(w.total()), result: PolicyResult{Scenario: scenario, Policy: policy}}
}

func (t *tally) start(site func(b int) int) {
	t.now = make([]int16, len(t.w.Blocks.Prefixes))
	for b := range t.now {
		t.now[b] = int16(site(b))
	}
}

// add counts one step's assignment; site returns a block's site and classes.
func (t *tally) add(net bfplacement.Network, demand []bfplacement.Rate, site func(b int) (int, int)) {
	load, arrived := make([]float64, len(net.Sites)), make([]float64, targetRegions)
	for b := range t.now {
		at, classes := site(b)
		rate := t.served(demand, b, classes)
		if at >= 0 {
			load[at] += rate
			region := net.Sites[at].Region
			t.delay += rate * float64(t.w.Blocks.DelayMicros[b*targetRegions+region]) / 1000
			t.count += rate
			if int16(at) != t.now[b] {
				t.result.Moved += rate / t.total
				arrived[region] += rate
			}
			t.now[b] = int16(at)
		}
	}
	over := 0.0
	for i, s := range net.Sites {
		over += max(0, load[i]-float64(s.Capacity)) / t.total
	}
	t.result.Over = max(t.result.Over, over)
	t.arrivals = append(t.arrivals, arrived)
	for r := range arrived {
		sum := 0.0
		for _, a := range t.arrivals[max(0, len(t.arrivals)-2):] {
			sum += a[r]
		}
		t.result.PeakMoved = max(t.result.PeakMoved, sum/t.capacity(r))
	}
}

func (t *tally) capacity(region int) float64 {
	sum := 0.0
	for _, s := range t.w.Net.Sites {
		if s.Region == region {
			sum += float64(s.Capacity)
		}
	}
	return sum
}

// served sums the demand of the block's first classes, most urgent first.
func (t *tally) served(demand []bfplacement.Rate, b, classes int) float64 {
	sum := 0.0
	for i, s := range t.w.Services {
		if s.Urgency < classes {
			sum += float64(demand[b*len(t.w.Services)+i])
		}
	}
	return sum
}

func (t *tally) finish() PolicyResult {
	t.result.Delay = t.delay / max(1, t.count)
	return t.result
}
