package bfcapacity

import (
	"slices"
	"testing"
	"time"

	"briarferry/internal/coordination/bfplacement"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func mustPlanner(t testing.TB, w *World) *bfplacement.Planner {
	t.Helper()
	p, err := w.Planner()
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

func rateOn(p *bfplacement.Planner, w *World, match func(bfplacement.Site) bool) (blocks int) {
	for b := range w.Blocks.Prefixes {
		if at, _ := p.Site(b); at >= 0 && match(w.Net.Sites[at]) {
			blocks++
		}
	}
	return blocks
}

// checkCaps guards against a destination that receives more than its cap within an
// interval and a look-up's life.
func checkCaps(t *testing.T, w *World, plans []bfplacement.Plan, every time.Duration) {
	t.Helper()
	limits := bfplacement.DefaultLimits()
	steps := int((limits.ShiftInterval + limits.LookupTTL - 1) / every)
	for i := range plans {
		got := make([]bfplacement.Rate, targetRegions)
		for _, p := range plans[max(0, i-steps) : i+1] {
			for _, f := range p.Shifts {
				got[w.Net.Sites[f.To].Region] += f.Rate
			}
		}
		for r, rate := range got {
			if most := bfplacement.Rate(0.05 * 6 * float64(siteCapacity)); rate > most {
				t.Fatalf("region %d received %d up to step %d, cap %d", r, rate, i, most)
			}
		}
	}
}

// TestFullSize guards against faults that only large inputs show, as a whole region
// fails, with a second region's site while its blocks are being moved.
func TestFullSize(t *testing.T) {
	w := NewWorld(targetBlocks)
	p := mustPlanner(t, w)
	if plan := mustStep(t, p, start, w.Net); len(plan.Refused) > 0 {
		t.Fatalf("refused %v at 60%% load", plan.Refused)
	}
	w.Net.Sites = slices.Clone(w.Net.Sites)
	for i := range w.Net.Sites {
		if w.Net.Sites[i].Region == 3 {
			w.Net.Sites[i].State = bfplacement.SiteDown
		}
	}
	var plans []bfplacement.Plan
	for i := range 60 {
		if i == 4 {
			w.Net.Sites[0].State = bfplacement.SiteDown
		}
		plans = append(plans, mustStep(t, p, start.Add(time.Duration(i+1)*5*time.Second), w.Net))
		if i == 0 && len(plans[0].Refused) == 0 {
			t.Fatal("nothing was refused though the cap holds blocks back")
		}
	}
	checkCaps(t, w, plans, 5*time.Second)
	last := plans[len(plans)-1]
	if len(last.Refused) > 0 || len(last.Held) > 0 {
		t.Fatalf("after 5 min: refused %v, held %v", last.Refused, last.Held)
	}
}

// TestUrgentFirst guards against urgent demand that is refused while the cap is
// spent on less urgent demand.
func TestUrgentFirst(t *testing.T) {
	w := NewWorld(9000)
	p := mustPlanner(t, w)
	mustStep(t, p, start, w.Net)
	for i := range w.Net.Sites {
		if w.Net.Sites[i].Region == 1 {
			w.Net.Sites[i].State = bfplacement.SiteDown
		}
	}
	plan := mustStep(t, p, start.Add(10*time.Second), w.Net)
	byUrgency := map[int]bfplacement.Rate{}
	for _, r := range plan.Refused {
		byUrgency[r.Urgency] += r.Rate
	}
	if byUrgency[0] > 0 || byUrgency[2] == 0 {
		t.Fatalf("refused by urgency: %v", byUrgency)
	}
}

// TestOverloadRefusesLeastUrgent guards against refusing urgent demand when all
// sites together are too small.
func TestOverloadRefusesLeastUrgent(t *testing.T) {
	w := NewWorld(9000)
	for i := range w.Blocks.Demand {
		w.Blocks.Demand[i] *= 2
	}
	for i := range w.Net.Links {
		w.Net.Links[i].BitsPerSecond *= 100
	}
	p := mustPlanner(t, w)
	plan := mustStep(t, p, start, w.Net)
	var total bfplacement.Rate
	for _, r := range plan.Refused {
		if r.Urgency != 2 {
			t.Fatalf("refused %+v", r)
		}
		total += r.Rate
	}
	over := bfplacement.Rate(2*loadShare*targetSites*float64(siteCapacity)) - targetSites*siteCapacity
	if total < over || total > over+over/100 {
		t.Fatalf("refused %d, %d exceed all limits", total, over)
	}
}

// TestFlappingSite guards against a site that returns again and again and draws
// blocks beyond the smaller cap of cold sites.
func TestFlappingSite(t *testing.T) {
	w := NewWorld(9000)
	p := mustPlanner(t, w)
	mustStep(t, p, start, w.Net)
	var arrived bfplacement.Rate
	for i := range 40 {
		w.Net.Sites[0].State = bfplacement.SiteUp
		if i%2 == 0 {
			w.Net.Sites[0].State = bfplacement.SiteDown
		}
		for _, f := range mustStep(t, p, start.Add(time.Duration(i+1)*15*time.Second), w.Net).Shifts {
			if f.To == 0 {
				arrived += f.Rate
			}
		}
	}
	if most := bfplacement.Rate(20 * 0.05 * 0.25 * 6 * float64(siteCapacity)); arrived == 0 || arrived > most {
		t.Fatalf("the flapping site received %d, cap %d", arrived, most)
	}
}

// TestDrainDomain guards against a drain that breaks the cap, refuses demand or
// never ends.
func TestDrainDomain(t *testing.T) {
	w := NewWorld(27_000)
	p := mustPlanner(t, w)
	mustStep(t, p, start, w.Net)
	match := func(s bfplacement.Site) bool { return s.FailureDomain == "domain-2-1" }
	w.Net.Sites = bfplacement.MarkDraining(w.Net.Sites, match)
	var plans []bfplacement.Plan
	before := rateOn(p, w, match)
	for i := range 30 {
		plan := mustStep(t, p, start.Add(time.Duration(i+1)*5*time.Second), w.Net)
		plans = append(plans, plan)
		if len(plan.Refused) > 0 {
			t.Fatalf("step %d of the drain refused %v", i, plan.Refused)
		}
		if i == 0 && (len(plan.Drains) != 2 || plan.Drains[0].Remaining == 0 || plan.Drains[0].WouldBreakLimit) {
			t.Fatalf("the drain is not paced: %+v", plan.Drains)
		}
	}
	checkCaps(t, w, plans, 5*time.Second)
	if after := rateOn(p, w, match); before == 0 || after > 0 {
		t.Fatalf("%d of %d blocks are left", after, before)
	}
}

// TestDrainWithoutRoom guards against a drain that pushes others past their limits
// or does not say that it would.
func TestDrainWithoutRoom(t *testing.T) {
	w := NewWorld(9000)
	for i := range w.Net.Sites {
		w.Net.Sites[i].Capacity = siteCapacity * 62 / 100
	}
	p := mustPlanner(t, w)
	mustStep(t, p, start, w.Net)
	w.Net.Sites = bfplacement.MarkDraining(w.Net.Sites, func(s bfplacement.Site) bool { return s.Region == 1 })
	var plan bfplacement.Plan
	for i := range 60 {
		plan = mustStep(t, p, start.Add(time.Duration(i+1)*15*time.Second), w.Net)
	}
	if len(plan.Drains) != 6 || !plan.Drains[0].WouldBreakLimit || plan.Drains[0].Remaining == 0 {
		t.Fatalf("drains: %+v", plan.Drains)
	}
}

// TestBlockAboveCap guards against a drain that waits for ever for a block which no
// cap lets through, without saying so.
func TestBlockAboveCap(t *testing.T) {
	w := NewWorld(90)
	p := mustPlanner(t, w)
	mustStep(t, p, start, w.Net)
	w.Net.Sites = bfplacement.MarkDraining(w.Net.Sites, func(s bfplacement.Site) bool { return s.Region == 2 })
	var plan bfplacement.Plan
	for i := range 20 {
		plan = mustStep(t, p, start.Add(time.Duration(i+1)*15*time.Second), w.Net)
	}
	reported := slices.ContainsFunc(plan.Held, func(h bfplacement.HeldDemand) bool { return h.Reason == bfplacement.HeldByBlockSize })
	breaks := slices.ContainsFunc(plan.Drains, func(d bfplacement.DrainProgress) bool { return d.WouldBreakLimit })
	if !reported || !breaks {
		t.Fatalf("held %+v, drains %+v", plan.Held, plan.Drains)
	}
}

// TestSilenceFreezes guards against reading silent measurements as an idle region.
func TestSilenceFreezes(t *testing.T) {
	w := NewWorld(9000)
	p := mustPlanner(t, w)
	mustStep(t, p, start, w.Net)
	for i, s := range w.Net.Sites {
		if s.Region != 2 {
			w.Net.Sites[i].MeasurementAge = time.Minute
		}
	}
	w.Net.Sites[0].State = bfplacement.SiteDown
	for i := range 10 {
		for _, f := range mustStep(t, p, start.Add(time.Duration(i+1)*15*time.Second), w.Net).Shifts {
			if w.Net.Sites[f.To].Region != 2 {
				t.Fatalf("shift to a silent region: %+v", f)
			}
		}
	}
}

func benchmarkPlan(b *testing.B, blocks int) {
	w := NewWorld(blocks)
	b.ReportAllocs()
	for b.Loop() {
		mustStep(b, mustPlanner(b, w), start, w.Net)
	}
}

func BenchmarkFullPlan270k(b *testing.B) { benchmarkPlan(b, targetBlocks) }

func BenchmarkSiteLost270k(b *testing.B) {
	w := NewWorld(targetBlocks)
	lost := w.Net
	lost.Sites = slices.Clone(w.Net.Sites)
	lost.Sites[5].State = bfplacement.SiteDown
	for b.Loop() {
		b.StopTimer()
		p := mustPlanner(b, w)
		mustStep(b, p, start, w.Net)
		b.StartTimer()
		mustStep(b, p, start.Add(10*time.Second), lost)
	}
}

func BenchmarkLookup270k(b *testing.B) {
	w := NewWorld(targetBlocks)
	p := mustPlanner(b, w)
	mustStep(b, p, start, w.Net)
	x, err := bfplacement.NewIndex(w.Blocks.Prefixes)
	if err != nil {
		b.Fatal(err)
	}
	a, err := bfplacement.NewAssignmentBuilder(p).Build(w.Net)
	if err != nil {
		b.Fatal(err)
	}
	var e bfplacement.EntrySelector
	if err := e.SetAssignment(a, x); err != nil {
		b.Fatal(err)
	}
	i := 0
	for b.Loop() {
		if _, ok := e.ListFor(w.Blocks.Prefixes[i].Addr()); !ok {
			b.Fatal("no list")
		}
		i = (i + 7919) % targetBlocks
	}
}
