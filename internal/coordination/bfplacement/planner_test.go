package bfplacement

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// scenario is a network with blocks, as the tests and benchmarks use it.
type scenario struct {
	net      Network
	services []Service
	blocks   Blocks
}

// shiftChecker checks a planner's shifts from the outside.
type shiftChecker struct {
	p      *Planner
	shifts []checkedShift
}

type checkedShift struct {
	at                 time.Time
	from, region       int
	cold, leftRegion   bool
	rate, residualRate Rate
}

func prefix(i int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 0}), 24)
}

func drawScenario(t *rapid.T) scenario {
	var w scenario
	regions := 3
	for i, r := range []int{0, 0, 0, 1, 1, 2, 2} {
		w.net.Sites = append(w.net.Sites, Site{
			Name: string(rune('a' + i)), Region: r, FailureDomain: string(rune('0' + 2*r + i%2)),
			Capacity: Rate(rapid.IntRange(200, 1200).Draw(t, "capacity")),
		})
	}
	for r := range regions {
		limit := 0
		if rapid.Bool().Draw(t, "limited") {
			limit = rapid.IntRange(300, 2500).Draw(t, "limit")
		}
		w.net.Regions = append(w.net.Regions, Region{Limit: Rate(limit)})
		w.net.Links = append(w.net.Links, Link{A: r, B: (r + 1) % regions, BitsPerSecond: int64(rapid.IntRange(0, 3000).Draw(t, "link"))})
	}
	w.services = []Service{{Urgency: 5, BitsPerRequest: 900}, {Urgency: 0, BitsPerRequest: 1500}, {Urgency: 2, BitsPerRequest: 700}}
	for i := range rapid.IntRange(1, 60).Draw(t, "blocks") {
		w.blocks.Prefixes = append(w.blocks.Prefixes, prefix(i))
		w.blocks.Demand = append(w.blocks.Demand, drawDemand(t)...)
		for range regions {
			w.blocks.DelayMicros = append(w.blocks.DelayMicros, uint32(rapid.IntRange(1, 30).Draw(t, "delay")))
		}
	}
	return w
}

func drawDemand(t *rapid.T) []Rate {
	d := rapid.SliceOfN(rapid.IntRange(0, 40), 3, 3).Draw(t, "demand")
	return []Rate{Rate(d[0]), Rate(d[1]), Rate(d[2])}
}

func (w *scenario) applyRandomEvents(t *rapid.T) {
	for range rapid.IntRange(0, 2).Draw(t, "events") {
		i := rapid.IntRange(0, len(w.net.Sites)-1).Draw(t, "site")
		s := &w.net.Sites[i]
		switch rapid.IntRange(0, 6).Draw(t, "event") {
		case 0, 1:
			s.State = SiteState(rapid.IntRange(0, 2).Draw(t, "state"))
		case 2:
			s.MeasurementAge = time.Duration(rapid.IntRange(0, 6).Draw(t, "age")) * time.Second
		case 3:
			s.Capacity = Rate(rapid.IntRange(0, 1200).Draw(t, "capacity"))
		case 4:
			s.Load = Rate(rapid.IntRange(0, 1200).Draw(t, "load"))
		case 5:
			w.net.Links[s.Region].BitsPerSecond = int64(rapid.IntRange(0, 3000).Draw(t, "link"))
		case 6:
			for j := range w.net.Sites {
				if w.net.Sites[j].Region == s.Region {
					w.net.Sites[j].State = SiteDown
				}
			}
		}
	}
}

// stepAndCompare takes one step with the planner and the naive one, and compares them.
func (l *shiftChecker) stepAndCompare(t rapid.TB, i int, now time.Time, net Network, n *referencePlanner) {
	plan, err := l.p.Step(now, net)
	if err != nil {
		t.Fatal(err)
	}
	n.step(now, net)
	for b := range n.site {
		if n.site[b] != int(l.p.site[b]) || n.classes[b] != int(l.p.classes[b]) {
			t.Fatalf("step %d, block %d: site %d with %d classes, naive %d with %d", i, b, l.p.site[b], l.p.classes[b], n.site[b], n.classes[b])
		}
	}
	s := newStepState(now, net, l.p.classCount)
	l.p.updateSiteHistory(s)
	l.check(t, now, net, plan, s)
}

// check fails on a shift beyond a cap, into a site that may not receive, or past
// a limit, and on a move that gains less than the hysteresis.
func (l *shiftChecker) check(t rapid.TB, now time.Time, net Network, plan Plan, s *stepState) {
	got := map[int]bool{}
	for _, f := range plan.Shifts {
		to := net.Sites[f.To]
		if to.State != SiteUp || to.MeasurementAge >= l.p.limits.StaleAfter {
			t.Fatalf("block %d shifted to site %d: %+v", f.Block, f.To, to)
		}
		e := checkedShift{at: now, from: int(f.From), region: to.Region, cold: s.cold[f.To], rate: f.Rate}
		if f.From != unplaced && f.From != f.To {
			e.leftRegion = net.Sites[f.From].Region != to.Region
			e.residualRate = f.ResidualRate
			from := net.Sites[f.From]
			gain := float64(l.p.delayTo(int(f.Block), to.Region)) <= float64(l.p.delayTo(int(f.Block), from.Region))*(1-l.p.limits.Hysteresis)
			if f.Cause == CauseDelay && !gain {
				t.Fatalf("block %d moved from region %d to %d within the hysteresis", f.Block, from.Region, to.Region)
			}
		}
		l.shifts = append(l.shifts, e)
		if f.Rate > 0 {
			got[int(f.To)] = true
		}
	}
	for at := range got {
		l.checkDestination(t, now, net, at, s)
	}
	for i := range net.Sites {
		if l.p.load.site[i] > s.siteLimit[i] {
			t.Fatalf("site %d is assigned %d of %d", i, l.p.load.site[i], s.siteLimit[i])
		}
	}
	for i := range net.Regions {
		if l.p.load.region[i] > s.regionLimit[i] {
			t.Fatalf("region %d is assigned %d of %d", i, l.p.load.region[i], s.regionLimit[i])
		}
	}
	for i, limit := range s.linkLimit {
		if l.p.load.link[i] > limit {
			t.Fatalf("link %d is assigned %d of %d", i, l.p.load.link[i], limit)
		}
	}
}

func (l *shiftChecker) checkDestination(t rapid.TB, now time.Time, net Network, at int, s *stepState) {
	region := net.Sites[at].Region
	limit := Rate(float64(s.regionLimit[region]) * l.p.limits.ShiftCapShare)
	var all, cold, cached Rate
	for _, e := range l.shifts {
		if e.region == region && now.Sub(e.at) < l.p.limits.ShiftInterval+l.p.limits.LookupTTL {
			all += e.rate
			if e.cold {
				cold += e.rate
			}
		}
		if e.from == at && now.Sub(e.at) < l.p.limits.LookupTTL {
			cached += e.residualRate
		}
	}
	if all > limit {
		t.Fatalf("region %d received %d in an interval, cap %d", region, all, limit)
	}
	if s.cold[at] && cold > Rate(float64(limit)*l.p.limits.ColdCapShare) {
		t.Fatalf("cold sites of region %d received %d in an interval, cap %d", region, cold, limit)
	}
	if l.p.load.site[at]+cached > s.siteLimit[at] {
		t.Fatalf("site %d carries %d and %d cached of %d", at, l.p.load.site[at], cached, s.siteLimit[at])
	}
}

// TestPlannerMatchesReference guards against errors in the planner's incremental sums, its
// eviction cursors and its caps: each step must equal a recomputation from scratch.
func TestPlannerMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, limits := drawScenario(t), DefaultLimits()
		limits.ShiftCapShare = rapid.SampledFrom([]float64{0.05, 0.2, 1}).Draw(t, "cap")
		limits.WarmUp = 20 * time.Second
		p, err := NewPlanner(limits, w.services, w.blocks, 3)
		if err != nil {
			t.Fatal(err)
		}
		n, l, now := newReferencePlanner(p), shiftChecker{p: p}, startTime
		for i := range rapid.IntRange(2, 10).Draw(t, "steps") {
			if i > 0 {
				w.applyRandomEvents(t)
				if rapid.IntRange(0, 3).Draw(t, "demand changes") == 0 {
					b := rapid.IntRange(0, p.blockCount-1).Draw(t, "block")
					copy(w.blocks.Demand[b*3:], drawDemand(t))
					if err := p.SetDemand(w.blocks.Demand); err != nil {
						t.Fatal(err)
					}
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "seconds")) * time.Second)
			l.stepAndCompare(t, i, now, w.net, n)
		}
	})
}

// TestTargetNetworkMatchesReference guards against errors that need many regions and
// sites: a failure domain drained while a site of another region fails and returns.
func TestTargetNetworkMatchesReference(t *testing.T) {
	const regions, blocks = 9, 150
	w := scenario{services: []Service{{Urgency: 2, BitsPerRequest: 900}, {Urgency: 0, BitsPerRequest: 700}, {Urgency: 1, BitsPerRequest: 800}}}
	for r := range regions {
		w.net.Regions = append(w.net.Regions, Region{})
		for s := range 6 - r/8*2 {
			w.net.Sites = append(w.net.Sites, Site{Region: r, FailureDomain: string(rune('0' + s/2)), Capacity: 300})
		}
		for o := range r {
			w.net.Links = append(w.net.Links, Link{A: o, B: r, BitsPerSecond: 400})
		}
	}
	for b := range blocks {
		w.blocks.Prefixes = append(w.blocks.Prefixes, prefix(b))
		w.blocks.Demand = append(w.blocks.Demand, Rate(40+b*7%30), Rate(5+b%5), Rate(10+b%9))
		for r := range regions {
			w.blocks.DelayMicros = append(w.blocks.DelayMicros, uint32(2000+(r+regions-b*regions/blocks)%regions*9000+b*31%700))
		}
	}
	limits := DefaultLimits()
	limits.ShiftCapShare = 0.2
	p, err := NewPlanner(limits, w.services, w.blocks, regions)
	if err != nil {
		t.Fatal(err)
	}
	n, l := newReferencePlanner(p), shiftChecker{p: p}
	for i := range 12 {
		now := startTime.Add(time.Duration(i) * 5 * time.Second)
		w.net.Sites = append([]Site(nil), w.net.Sites...)
		switch i {
		case 2:
			w.net.Sites = MarkDraining(w.net.Sites, func(s Site) bool { return s.Region == 3 && s.FailureDomain == "1" })
		case 4:
			w.net.Sites[7].State = SiteDown
		case 7:
			w.net.Sites[7].State = SiteUp
		}
		l.stepAndCompare(t, i, now, w.net, n)
	}
}
