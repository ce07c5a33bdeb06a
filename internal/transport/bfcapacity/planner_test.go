package bfcapacity

import (
	"slices"
	"testing"
	"time"

	"briarferry/internal/coordination/bfplacement"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func mustPlanner(t testing.TB, topo *Topology) *bfplacement.Planner {
	t.Helper()
	p, err := topo.Planner()
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func mustStep(t testing.TB, p *bfplacement.Planner, now time.Time, net bfplacement.Network) bfplacement.Plan {
	t.Helper()
	plan, err := p.Step(now, net)
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

func blocksOn(p *bfplacement.Planner, topo *Topology, match func(bfplacement.Site) bool) (blocks int) {
	for b := range topo.Blocks.Prefixes {
		if at, _ := p.Site(b); at >= 0 && match(topo.Net.Sites[at]) {
			blocks++
		}
	}
	return blocks
}

// checkShiftCaps fails the test if a region receives more than its shift cap within a
// shift interval and a look-up TTL.
func checkShiftCaps(t *testing.T, topo *Topology, plans []bfplacement.Plan, interval time.Duration) {
	t.Helper()
	limits := bfplacement.DefaultLimits()
	steps := int((limits.ShiftInterval + limits.LookupTTL - 1) / interval)
	for i := range plans {
		got := make([]bfplacement.Rate, targetRegions)
		for _, p := range plans[max(0, i-steps) : i+1] {
			for _, f := range p.Shifts {
				got[topo.Net.Sites[f.To].Region] += f.Rate
			}
		}
		for r, rate := range got {
			if limit := bfplacement.Rate(0.05 * 6 * float64(siteCapacity)); rate > limit {
				t.Fatalf("region %d received %d up to step %d, cap %d", r, rate, i, limit)
			}
		}
	}
}

// TestRegionFailureAtTargetSize guards against shifts above the cap, and against demand
// that is still refused or held back five minutes after a region fails. A site of another
// region fails while the blocks are being moved. The test runs at the target size, as such
// faults show only there.
func TestRegionFailureAtTargetSize(t *testing.T) {
	topo := NewTopology(targetBlocks)
	p := mustPlanner(t, topo)
	if plan := mustStep(t, p, start, topo.Net); len(plan.Refused) > 0 {
		t.Fatalf("refused %v at 60%% load", plan.Refused)
	}
	topo.Net.Sites = slices.Clone(topo.Net.Sites)
	for i := range topo.Net.Sites {
		if topo.Net.Sites[i].Region == 3 {
			topo.Net.Sites[i].State = bfplacement.SiteDown
		}
	}
	var plans []bfplacement.Plan
	for i := range 60 {
		if i == 4 {
			topo.Net.Sites[0].State = bfplacement.SiteDown
		}
		plans = append(plans, mustStep(t, p, start.Add(time.Duration(i+1)*5*time.Second), topo.Net))
		if i == 0 && len(plans[0].Refused) == 0 {
			t.Fatal("nothing was refused in the first step although the cap holds blocks back")
		}
	}
	checkShiftCaps(t, topo, plans, 5*time.Second)
	last := plans[len(plans)-1]
	if len(last.Refused) > 0 || len(last.Held) > 0 {
		t.Fatalf("after 5 min: refused %v, held %v", last.Refused, last.Held)
	}
}

// TestUrgentDemandMovesFirst guards against refusing urgent demand while the shift cap
// is used for less urgent demand.
func TestUrgentDemandMovesFirst(t *testing.T) {
	topo := NewTopology(9000)
	p := mustPlanner(t, topo)
	mustStep(t, p, start, topo.Net)
	for i := range topo.Net.Sites {
		if topo.Net.Sites[i].Region == 1 {
			topo.Net.Sites[i].State = bfplacement.SiteDown
		}
	}
	plan := mustStep(t, p, start.Add(10*time.Second), topo.Net)
	byUrgency := map[int]bfplacement.Rate{}
	for _, r := range plan.Refused {
		byUrgency[r.Urgency] += r.Rate
	}
	if byUrgency[0] > 0 || byUrgency[2] == 0 {
		t.Fatalf("refused by urgency: %v", byUrgency)
	}
}

// TestOverloadRefusesLeastUrgent guards against refusing urgent demand when the demand
// exceeds the capacity of all sites together.
func TestOverloadRefusesLeastUrgent(t *testing.T) {
	topo := NewTopology(9000)
	for i := range topo.Blocks.Demand {
		topo.Blocks.Demand[i] *= 2
	}
	for i := range topo.Net.Links {
		topo.Net.Links[i].BitsPerSecond *= 100
	}
	p := mustPlanner(t, topo)
	plan := mustStep(t, p, start, topo.Net)
	var total bfplacement.Rate
	for _, r := range plan.Refused {
		if r.Urgency != 2 {
			t.Fatalf("refused demand that is not of the least urgent class: %+v", r)
		}
		total += r.Rate
	}
	over := bfplacement.Rate(2*loadShare*targetSites*float64(siteCapacity)) - targetSites*siteCapacity
	if total < over || total > over+over/100 {
		t.Fatalf("refused %d, want the demand above the capacity of all sites, %d, or up to 1%% more", total, over)
	}
}

// TestFlappingSite guards against a site that repeatedly fails and returns and then
// receives more than the smaller cap of cold sites allows.
func TestFlappingSite(t *testing.T) {
	topo := NewTopology(9000)
	p := mustPlanner(t, topo)
	mustStep(t, p, start, topo.Net)
	var arrived bfplacement.Rate
	for i := range 40 {
		topo.Net.Sites[0].State = bfplacement.SiteUp
		if i%2 == 0 {
			topo.Net.Sites[0].State = bfplacement.SiteDown
		}
		for _, f := range mustStep(t, p, start.Add(time.Duration(i+1)*15*time.Second), topo.Net).Shifts {
			if f.To == 0 {
				arrived += f.Rate
			}
		}
	}
	if limit := bfplacement.Rate(20 * 0.05 * 0.25 * 6 * float64(siteCapacity)); arrived == 0 || arrived > limit {
		t.Fatalf("the flapping site received %d, want more than 0 and at most %d", arrived, limit)
	}
}

// TestDrainDomain guards against a drain that exceeds the shift cap, refuses demand or
// does not complete.
func TestDrainDomain(t *testing.T) {
	topo := NewTopology(27_000)
	p := mustPlanner(t, topo)
	mustStep(t, p, start, topo.Net)
	match := func(s bfplacement.Site) bool { return s.FailureDomain == "domain-2-1" }
	topo.Net.Sites = bfplacement.MarkDraining(topo.Net.Sites, match)
	var plans []bfplacement.Plan
	before := blocksOn(p, topo, match)
	for i := range 30 {
		plan := mustStep(t, p, start.Add(time.Duration(i+1)*5*time.Second), topo.Net)
		plans = append(plans, plan)
		if len(plan.Refused) > 0 {
			t.Fatalf("step %d of the drain refused %v", i, plan.Refused)
		}
		if i == 0 && (len(plan.Drains) != 2 || plan.Drains[0].Remaining == 0 || plan.Drains[0].WouldBreakLimit) {
			t.Fatalf("the drain does not spread its shifts over several steps: %+v", plan.Drains)
		}
	}
	checkShiftCaps(t, topo, plans, 5*time.Second)
	if after := blocksOn(p, topo, match); before == 0 || after > 0 {
		t.Fatalf("%d of %d blocks are still on the drained domain", after, before)
	}
}

// TestDrainWithoutSpareCapacity guards against a drain that completes although the other
// sites lack the capacity, or that does not report that completing it would break a limit.
func TestDrainWithoutSpareCapacity(t *testing.T) {
	topo := NewTopology(9000)
	for i := range topo.Net.Sites {
		topo.Net.Sites[i].Capacity = siteCapacity * 62 / 100
	}
	p := mustPlanner(t, topo)
	mustStep(t, p, start, topo.Net)
	topo.Net.Sites = bfplacement.MarkDraining(topo.Net.Sites, func(s bfplacement.Site) bool { return s.Region == 1 })
	var plan bfplacement.Plan
	for i := range 60 {
		plan = mustStep(t, p, start.Add(time.Duration(i+1)*15*time.Second), topo.Net)
	}
	if len(plan.Drains) != 6 || !plan.Drains[0].WouldBreakLimit || plan.Drains[0].Remaining == 0 {
		t.Fatalf("drains: %+v", plan.Drains)
	}
}

// TestBlockAboveCap guards against a drain that waits forever for a block larger than
// the shift cap and does not report it.
func TestBlockAboveCap(t *testing.T) {
	topo := NewTopology(90)
	p := mustPlanner(t, topo)
	mustStep(t, p, start, topo.Net)
	topo.Net.Sites = bfplacement.MarkDraining(topo.Net.Sites, func(s bfplacement.Site) bool { return s.Region == 2 })
	var plan bfplacement.Plan
	for i := range 20 {
		plan = mustStep(t, p, start.Add(time.Duration(i+1)*15*time.Second), topo.Net)
	}
	reported := slices.ContainsFunc(plan.Held, func(h bfplacement.HeldDemand) bool { return h.Reason == bfplacement.HeldByBlockSize })
	wouldBreakLimit := slices.ContainsFunc(plan.Drains, func(d bfplacement.DrainProgress) bool { return d.WouldBreakLimit })
	if !reported || !wouldBreakLimit {
		t.Fatalf("held %+v, drains %+v", plan.Held, plan.Drains)
	}
}

// TestStaleMeasurementsStopShifts guards against treating a region with stale
// measurements as idle and shifting demand into it.
func TestStaleMeasurementsStopShifts(t *testing.T) {
	topo := NewTopology(9000)
	p := mustPlanner(t, topo)
	mustStep(t, p, start, topo.Net)
	for i, s := range topo.Net.Sites {
		if s.Region != 2 {
			topo.Net.Sites[i].MeasurementAge = time.Minute
		}
	}
	topo.Net.Sites[0].State = bfplacement.SiteDown
	for i := range 10 {
		for _, f := range mustStep(t, p, start.Add(time.Duration(i+1)*15*time.Second), topo.Net).Shifts {
			if topo.Net.Sites[f.To].Region != 2 {
				t.Fatalf("shift into a region with stale measurements: %+v", f)
			}
		}
	}
}

func benchmarkPlan(b *testing.B, blocks int) {
	topo := NewTopology(blocks)
	b.ReportAllocs()
	for b.Loop() {
		mustStep(b, mustPlanner(b, topo), start, topo.Net)
	}
}

func BenchmarkFullPlan270k(b *testing.B) { benchmarkPlan(b, targetBlocks) }

func BenchmarkSiteLost270k(b *testing.B) {
	topo := NewTopology(targetBlocks)
	lost := topo.Net
	lost.Sites = slices.Clone(topo.Net.Sites)
	lost.Sites[5].State = bfplacement.SiteDown
	for b.Loop() {
		b.StopTimer()
		p := mustPlanner(b, topo)
		mustStep(b, p, start, topo.Net)
		b.StartTimer()
		mustStep(b, p, start.Add(10*time.Second), lost)
	}
}

func BenchmarkLookup270k(b *testing.B) {
	topo := NewTopology(targetBlocks)
	p := mustPlanner(b, topo)
	mustStep(b, p, start, topo.Net)
	x, err := bfplacement.NewIndex(topo.Blocks.Prefixes)
	if err != nil {
		b.Fatal(err)
	}
	a, err := bfplacement.NewAssignmentBuilder(p).Build(topo.Net)
	if err != nil {
		b.Fatal(err)
	}
	var e bfplacement.EntrySelector
	if err := e.SetAssignment(a, x); err != nil {
		b.Fatal(err)
	}
	i := 0
	for b.Loop() {
		if _, ok := e.ListFor(topo.Blocks.Prefixes[i].Addr()); !ok {
			b.Fatal("no ranked list for a block's address")
		}
		i = (i + 7919) % targetBlocks
	}
}
