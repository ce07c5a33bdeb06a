package bfcapacity

import (
	"math"
	"slices"
	"time"

	"briarferry/internal/coordination/bfplacement"
)

// policySteps is the number of planner steps in each compared scenario.
const policySteps = 24

type (
	// PolicyResult is the result of one policy in one scenario. Shares of all demand are
	// relative to the demand before demandFactor is applied.
	PolicyResult struct {
		Scenario, Policy string
		// Overload is the largest share of all demand beyond the sites' limits in one
		// step, and Refused the largest share that the planner refused in one step.
		Overload, Refused float64
		// Moved is the sum of all shifts as a share of all demand. MaxShift is the
		// largest shift into a region within a shift interval (10 s, two steps), as a
		// share of its capacity.
		Moved, MaxShift float64
		// MeanDelay is the mean one-way delay of the served demand in milliseconds.
		MeanDelay float64
	}

	// policyCase describes a scenario. demandFactor multiplies the demand of one region,
	// and apply changes the sites before each step.
	policyCase struct {
		name         string
		demandFactor float64
		apply        func(step int, sites []bfplacement.Site)
	}

	// policyRun accumulates the result of one policy in one scenario.
	policyRun struct {
		topo  *Topology
		total float64
		// site is the last site of each block, or -1 if it never had one.
		site   []int16
		result PolicyResult
		// delaySum is weighted by the served demand, servedSum the sum of that demand.
		delaySum, servedSum float64
		// arrivals is the demand that moved into each region, by step.
		arrivals [][]float64
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

// ComparePolicies runs the same scenarios with the planner and with a policy that sends
// each block to the nearest region with a site that is up, without limits.
func ComparePolicies(blocks int) ([]PolicyResult, error) {
	var out []PolicyResult
	for _, c := range policyCases() {
		topo := NewTopology(blocks)
		demand := topo.Demand(4, c.demandFactor)
		planned, err := runPlanner(topo, c, demand)
		if err != nil {
			return nil, err
		}
		out = append(out, planned, runNearest(topo, c, demand))
	}
	return out, nil
}

func runPlanner(topo *Topology, c policyCase, demand []bfplacement.Rate) (PolicyResult, error) {
	run := newPolicyRun(topo, c.name, "planner")
	p, err := topo.Planner()
	if err != nil {
		return run.result, err
	}
	began := time.Unix(1_767_225_600, 0)
	if _, err = p.Step(began, topo.Net); err != nil {
		return run.result, err
	}
	run.setInitialSites(func(b int) int { at, _ := p.Site(b); return at })
	if err = p.SetDemand(demand); err != nil {
		return run.result, err
	}
	for i := range policySteps {
		net := topo.Net
		net.Sites = slices.Clone(net.Sites)
		c.apply(i, net.Sites)
		plan, err := p.Step(began.Add(time.Duration(i+1)*stepInterval), net)
		if err != nil {
			return run.result, err
		}
		refused := 0.0
		for _, r := range plan.Refused {
			refused += float64(r.Rate) / run.total
		}
		run.result.Refused = max(run.result.Refused, refused)
		run.recordStep(net, demand, func(b int) (int, int) { return p.Site(b) })
	}
	return run.finish(), nil
}

func runNearest(topo *Topology, c policyCase, demand []bfplacement.Rate) PolicyResult {
	run := newPolicyRun(topo, c.name, "nearest site")
	run.setInitialSites(func(b int) int { return topo.nearestSite(topo.Net.Sites, b) })
	for i := range policySteps {
		net := topo.Net
		net.Sites = slices.Clone(net.Sites)
		c.apply(i, net.Sites)
		run.recordStep(net, demand, func(b int) (int, int) { return topo.nearestSite(net.Sites, b), len(topo.Services) })
	}
	return run.finish()
}

// nearestSite returns a site that is up in the region nearest to the block, or -1. It
// spreads the blocks of a region evenly over the sites.
func (topo *Topology) nearestSite(sites []bfplacement.Site, b int) int {
	delay := uint32(math.MaxUint32)
	var near []int
	for at, s := range sites {
		d := topo.Blocks.DelayMicros[b*targetRegions+s.Region]
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

func newPolicyRun(topo *Topology, scenario, policy string) *policyRun {
	return &policyRun{topo: topo, total: float64(topo.totalDemand()), result: PolicyResult{Scenario: scenario, Policy: policy}}
}

func (run *policyRun) setInitialSites(site func(b int) int) {
	run.site = make([]int16, len(run.topo.Blocks.Prefixes))
	for b := range run.site {
		run.site[b] = int16(site(b))
	}
}

// recordStep adds the assignment of one step; site returns a block's site and the number
// of its urgency classes that are served.
func (run *policyRun) recordStep(net bfplacement.Network, demand []bfplacement.Rate, site func(b int) (int, int)) {
	load, arrived := make([]float64, len(net.Sites)), make([]float64, targetRegions)
	for b := range run.site {
		at, classes := site(b)
		rate := run.served(demand, b, classes)
		if at >= 0 {
			load[at] += rate
			region := net.Sites[at].Region
			run.delaySum += rate * float64(run.topo.Blocks.DelayMicros[b*targetRegions+region]) / 1000
			run.servedSum += rate
			if int16(at) != run.site[b] {
				run.result.Moved += rate / run.total
				arrived[region] += rate
			}
			run.site[b] = int16(at)
		}
	}
	overload := 0.0
	for i, s := range net.Sites {
		overload += max(0, load[i]-float64(s.Capacity)) / run.total
	}
	run.result.Overload = max(run.result.Overload, overload)
	run.arrivals = append(run.arrivals, arrived)
	for r := range arrived {
		sum := 0.0
		for _, a := range run.arrivals[max(0, len(run.arrivals)-2):] {
			sum += a[r]
		}
		run.result.MaxShift = max(run.result.MaxShift, sum/run.capacity(r))
	}
}

func (run *policyRun) capacity(region int) float64 {
	sum := 0.0
	for _, s := range run.topo.Net.Sites {
		if s.Region == region {
			sum += float64(s.Capacity)
		}
	}
	return sum
}

// served returns the block's demand in the given number of most urgent classes. Class 0
// is the most urgent.
func (run *policyRun) served(demand []bfplacement.Rate, b, classes int) float64 {
	sum := 0.0
	for i, s := range run.topo.Services {
		if s.Urgency < classes {
			sum += float64(demand[b*len(run.topo.Services)+i])
		}
	}
	return sum
}

func (run *policyRun) finish() PolicyResult {
	run.result.MeanDelay = run.delaySum / max(1, run.servedSum)
	return run.result
}
