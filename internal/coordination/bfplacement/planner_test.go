package bfplacement

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// scenario is a network with services and blocks.
type scenario struct {
	net      Network
	services []Service
	blocks   Blocks
}

// shiftChecker records a planner's shifts and checks them against the caps and limits.
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
	var sc scenario
	regions := 3
	for i, r := range []int{0, 0, 0, 1, 1, 2, 2} {
		sc.net.Sites = append(sc.net.Sites, Site{
			Name: string(rune('a' + i)), Region: r, FailureDomain: string(rune('0' + 2*r + i%2)),
			Capacity: Rate(rapid.IntRange(200, 1200).Draw(t, "capacity")),
		})
	}
	for r := range regions {
		limit := 0
		if rapid.Bool().Draw(t, "limited") {
			limit = rapid.IntRange(300, 2500).Draw(t, "limit")
		}
		sc.net.Regions = append(sc.net.Regions, Region{Limit: Rate(limit)})
		sc.net.Links = append(sc.net.Links, Link{A: r, B: (r + 1) % regions, BitsPerSecond: int64(rapid.IntRange(0, 3000).Draw(t, "link"))})
	}
	sc.services = []Service{{Urgency: 5, BitsPerRequest: 900}, {Urgency: 0, BitsPerRequest: 1500}, {Urgency: 2, BitsPerRequest: 700}}
	for i := range rapid.IntRange(1, 60).Draw(t, "blocks") {
		sc.blocks.Prefixes = append(sc.blocks.Prefixes, prefix(i))
		sc.blocks.Demand = append(sc.blocks.Demand, drawDemand(t)...)
		for range regions {
			sc.blocks.DelayMicros = append(sc.blocks.DelayMicros, uint32(rapid.IntRange(1, 30).Draw(t, "delay")))
		}
	}
	return sc
}

func drawDemand(t *rapid.T) []Rate {
	d := rapid.SliceOfN(rapid.IntRange(0, 40), 3, 3).Draw(t, "demand")
	return []Rate{Rate(d[0]), Rate(d[1]), Rate(d[2])}
}

func (sc *scenario) applyRandomEvents(t *rapid.T) {
	for range rapid.IntRange(0, 2).Draw(t, "events") {
		i := rapid.IntRange(0, len(sc.net.Sites)-1).Draw(t, "site")
		s := &sc.net.Sites[i]
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
			sc.net.Links[s.Region].BitsPerSecond = int64(rapid.IntRange(0, 3000).Draw(t, "link"))
		case 6:
			for j := range sc.net.Sites {
				if sc.net.Sites[j].Region == s.Region {
					sc.net.Sites[j].State = SiteDown
				}
			}
		}
	}
}

// stepAndCompare runs one step of the planner and of the reference and compares them.
func (c *shiftChecker) stepAndCompare(t rapid.TB, i int, now time.Time, net Network, ref *referencePlanner) {
	plan, err := c.p.Step(now, net)
	if err != nil {
		t.Fatal(err)
	}
	ref.step(now, net)
	for b := range ref.site {
		if ref.site[b] != int(c.p.site[b]) || ref.classes[b] != int(c.p.classes[b]) {
			t.Fatalf("step %d, block %d: site %d with %d classes, reference has site %d with %d", i, b, c.p.site[b], c.p.classes[b], ref.site[b], ref.classes[b])
		}
	}
	s := newStepState(now, net, c.p.classCount)
	c.p.updateSiteHistory(s)
	c.check(t, now, net, plan, s)
}

// check fails on shifts that exceed a cap or a limit, that go to a site which must not
// receive blocks, or that gain less than the hysteresis.
func (c *shiftChecker) check(t rapid.TB, now time.Time, net Network, plan Plan, s *stepState) {
	destinations := map[int]bool{}
	for _, shift := range plan.Shifts {
		to := net.Sites[shift.To]
		if to.State != SiteUp || to.MeasurementAge >= c.p.limits.StaleAfter {
			t.Fatalf("block %d shifted to site %d: %+v", shift.Block, shift.To, to)
		}
		checked := checkedShift{at: now, from: int(shift.From), region: to.Region, cold: s.cold[shift.To], rate: shift.Rate}
		if shift.From != unplaced && shift.From != shift.To {
			checked.leftRegion = net.Sites[shift.From].Region != to.Region
			checked.residualRate = shift.ResidualRate
			from := net.Sites[shift.From]
			gain := float64(c.p.delayTo(int(shift.Block), to.Region)) <= float64(c.p.delayTo(int(shift.Block), from.Region))*(1-c.p.limits.Hysteresis)
			if shift.Cause == CauseDelay && !gain {
				t.Fatalf("block %d moved from region %d to %d for a gain within the hysteresis", shift.Block, from.Region, to.Region)
			}
		}
		c.shifts = append(c.shifts, checked)
		if shift.Rate > 0 {
			destinations[int(shift.To)] = true
		}
	}
	for at := range destinations {
		c.checkDestination(t, now, net, at, s)
	}
	for i := range net.Sites {
		if c.p.load.site[i] > s.siteLimit[i] {
			t.Fatalf("site %d is assigned %d, limit %d", i, c.p.load.site[i], s.siteLimit[i])
		}
	}
	for i := range net.Regions {
		if c.p.load.region[i] > s.regionLimit[i] {
			t.Fatalf("region %d is assigned %d, limit %d", i, c.p.load.region[i], s.regionLimit[i])
		}
	}
	for i, limit := range s.linkLimit {
		if c.p.load.link[i] > limit {
			t.Fatalf("link %d is assigned %d, limit %d", i, c.p.load.link[i], limit)
		}
	}
}

func (c *shiftChecker) checkDestination(t rapid.TB, now time.Time, net Network, site int, s *stepState) {
	region := net.Sites[site].Region
	limit := Rate(float64(s.regionLimit[region]) * c.p.limits.ShiftCapShare)
	var all, cold, residual Rate
	for _, shift := range c.shifts {
		if shift.region == region && now.Sub(shift.at) < c.p.limits.ShiftInterval+c.p.limits.LookupTTL {
			all += shift.rate
			if shift.cold {
				cold += shift.rate
			}
		}
		if shift.from == site && now.Sub(shift.at) < c.p.limits.LookupTTL {
			residual += shift.residualRate
		}
	}
	if all > limit {
		t.Fatalf("region %d received %d in an interval, cap %d", region, all, limit)
	}
	if s.cold[site] && cold > Rate(float64(limit)*c.p.limits.ColdCapShare) {
		t.Fatalf("cold sites of region %d received %d in an interval, cap %d", region, cold, limit)
	}
	if c.p.load.site[site]+residual > s.siteLimit[site] {
		t.Fatalf("site %d carries %d and a residual load of %d, limit %d", site, c.p.load.site[site], residual, s.siteLimit[site])
	}
}

// TestPlannerMatchesReference guards against errors in the planner's incremental sums, its
// eviction cursors and its caps: each step must equal a full recomputation.
func TestPlannerMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sc, limits := drawScenario(t), DefaultLimits()
		limits.ShiftCapShare = rapid.SampledFrom([]float64{0.05, 0.2, 1}).Draw(t, "cap")
		limits.WarmUp = 20 * time.Second
		p, err := NewPlanner(limits, sc.services, sc.blocks, 3)
		if err != nil {
			t.Fatal(err)
		}
		ref, checker, now := newReferencePlanner(p), shiftChecker{p: p}, startTime
		for i := range rapid.IntRange(2, 10).Draw(t, "steps") {
			if i > 0 {
				sc.applyRandomEvents(t)
				if rapid.IntRange(0, 3).Draw(t, "demand changes") == 0 {
					b := rapid.IntRange(0, p.blockCount-1).Draw(t, "block")
					copy(sc.blocks.Demand[b*3:], drawDemand(t))
					if err := p.SetDemand(sc.blocks.Demand); err != nil {
						t.Fatal(err)
					}
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "seconds")) * time.Second)
			checker.stepAndCompare(t, i, now, sc.net, ref)
		}
	})
}

// TestLargeNetworkMatchesReference guards against errors that need many regions and
// sites: a failure domain drained while a site of another region fails and returns.
func TestLargeNetworkMatchesReference(t *testing.T) {
	const regions, blocks = 9, 150
	sc := scenario{services: []Service{{Urgency: 2, BitsPerRequest: 900}, {Urgency: 0, BitsPerRequest: 700}, {Urgency: 1, BitsPerRequest: 800}}}
	for r := range regions {
		sc.net.Regions = append(sc.net.Regions, Region{})
		for s := range 6 - r/8*2 {
			sc.net.Sites = append(sc.net.Sites, Site{Region: r, FailureDomain: string(rune('0' + s/2)), Capacity: 300})
		}
		for o := range r {
			sc.net.Links = append(sc.net.Links, Link{A: o, B: r, BitsPerSecond: 400})
		}
	}
	for b := range blocks {
		sc.blocks.Prefixes = append(sc.blocks.Prefixes, prefix(b))
		sc.blocks.Demand = append(sc.blocks.Demand, Rate(40+b*7%30), Rate(5+b%5), Rate(10+b%9))
		for r := range regions {
			sc.blocks.DelayMicros = append(sc.blocks.DelayMicros, uint32(2000+(r+regions-b*regions/blocks)%regions*9000+b*31%700))
		}
	}
	limits := DefaultLimits()
	limits.ShiftCapShare = 0.2
	p, err := NewPlanner(limits, sc.services, sc.blocks, regions)
	if err != nil {
		t.Fatal(err)
	}
	ref, checker := newReferencePlanner(p), shiftChecker{p: p}
	for i := range 12 {
		now := startTime.Add(time.Duration(i) * 5 * time.Second)
		sc.net.Sites = append([]Site(nil), sc.net.Sites...)
		switch i {
		case 2:
			sc.net.Sites = MarkDraining(sc.net.Sites, func(s Site) bool { return s.Region == 3 && s.FailureDomain == "1" })
		case 4:
			sc.net.Sites[7].State = SiteDown
		case 7:
			sc.net.Sites[7].State = SiteUp
		}
		checker.stepAndCompare(t, i, now, sc.net, ref)
	}
}
