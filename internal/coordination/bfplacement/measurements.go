package bfplacement

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"briarferry"
)

const (
	// bitsPerSlot is the traffic of a busy slot on a link: 25 requests/s of 16 KiB,
	// which is the shortest service of today's deployments.
	bitsPerSlot = 25 * 16 << 10 * 8
	// maxPlanned bounds the planner's blocks, and keepUnused how long one without
	// demand keeps its place.
	maxPlanned = 4096
	keepUnused = 10 * time.Minute
	// Demand that no entry reports any more counts in full for holdFor and fades in
	// fadeFor. Callers of a lost entry come back through others after a while, and
	// their demand must count against the caps before they are moved.
	holdFor = 30 * time.Second
	fadeFor = time.Minute
	// farMicros is the delay between regions without a link.
	farMicros  = 1_000_000
	neverHeard = time.Hour
)

type (
	// block is a client block with its demand by class.
	block struct {
		prefix netip.Prefix
		home   int
		demand []Rate
		used   time.Time
		// high is when the demand was last near the one that counts.
		high time.Time
	}

	// use sums what entries report of a block.
	use struct {
		demand []Rate
		// lookups and served are by region and by site.
		lookups []Rate
		served  []Rate
	}
)

func (c *Coordinator) siteNumber(name string) int {
	return slices.IndexFunc(c.net.Sites, func(s Site) bool { return s.Name == name })
}

// updateNetwork reads the sites' states and measurements. It tells whether a site's
// state changed or a site was added.
func (c *Coordinator) updateNetwork(cfg *briarferry.Config, now time.Time) bool {
	regions := shapeOf(cfg).regions
	c.net.Regions, c.net.Links = nil, nil
	for _, name := range regions {
		c.net.Regions = append(c.net.Regions, Region{Name: name})
	}
	for _, l := range cfg.Links {
		c.net.Links = append(c.net.Links, Link{
			A: slices.Index(regions, l.Regions[0]), B: slices.Index(regions, l.Regions[1]),
			BitsPerSecond: int64(l.Mbit) * 1_000_000, OneWayDelay: l.OneWayDelay.Std(),
		})
	}
	live := map[string]SiteState{}
	grown := false
	for _, vm := range c.Members.Live() {
		live[vm.Name] = c.State(vm)
		region := slices.Index(regions, vm.Region)
		if region >= 0 && c.siteNumber(vm.Name) < 0 {
			c.net.Sites = append(c.net.Sites, Site{Name: vm.Name, Region: region, FailureDomain: vm.FailureDomain, State: SiteDown})
			grown = true
		}
	}
	changed := c.updateSites(live, now)
	c.updateCapacities()
	if grown && c.planner != nil {
		c.planner.AddSites(c.net.Sites)
		c.output.publisher = nil
	}
	return changed || grown
}

func (c *Coordinator) updateSites(live map[string]SiteState, now time.Time) bool {
	changed := false
	for i := range c.net.Sites {
		s := &c.net.Sites[i]
		state, ok := live[s.Name]
		if !ok {
			state = SiteDown
		}
		changed = changed || s.State != state
		s.State, s.MeasurementAge = state, neverHeard
		if r := c.received[s.Name]; r != nil {
			s.MeasurementAge, s.Load = now.Sub(r.at), r.Load
		}
	}
	return changed
}

// updateCapacities divides what the servers of a region can take among its sites
// that are up. A region without fresh reports keeps its last known capacity.
func (c *Coordinator) updateCapacities() {
	fresh, up := map[int]Rate{}, map[int]int{}
	for _, s := range c.net.Sites {
		if s.State != SiteDown {
			up[s.Region]++
		}
		if r := c.received[s.Name]; r != nil && s.MeasurementAge < DefaultLimits().StaleAfter {
			fresh[s.Region] = max(fresh[s.Region], r.RegionCapacity)
		}
	}
	for region, rate := range fresh {
		c.capacity[c.net.Regions[region].Name] = rate
	}
	for i := range c.net.Sites {
		s := &c.net.Sites[i]
		s.Capacity = c.capacity[c.net.Regions[s.Region].Name] / Rate(max(1, up[s.Region]))
	}
}

// measure takes over what the entries report of the blocks.
func (c *Coordinator) measure(cfg *briarferry.Config, now time.Time) error {
	uses := c.uses()
	passed := time.Duration(0)
	if !c.output.measuredAt.IsZero() {
		passed = now.Sub(c.output.measuredAt)
	}
	c.output.measuredAt = now
	var site []int16
	var level []int8
	kept, changed := c.blocks[:0:0], false
	for i, b := range c.blocks {
		b.update(uses[b.prefix], now, passed)
		delete(uses, b.prefix)
		if now.Sub(b.used) > keepUnused {
			changed = true
			continue
		}
		kept = append(kept, b)
		site, level = append(site, c.planner.site[i]), append(level, c.planner.level[i])
	}
	for _, b := range c.newBlocks(uses, now) {
		if len(kept) == maxPlanned {
			break
		}
		at, classes := c.servedAt(uses[b.prefix])
		kept, changed = append(kept, b), true
		site, level = append(site, at), append(level, classes)
	}
	c.blocks = kept
	if changed {
		return c.setBlocks(cfg, site, level)
	}
	return c.planner.SetDemand(c.demand(cfg))
}

// update takes over a block's demand at once where it grew, and slowly where it fell.
func (b *block) update(u *use, now time.Time, passed time.Duration) {
	if u != nil && sum(u.demand)*10 >= sum(b.demand)*9 {
		b.high = now
	}
	left := 1.0
	if now.Sub(b.high) > holdFor {
		left = max(0, 1-passed.Seconds()/fadeFor.Seconds())
	}
	for i := range b.demand {
		b.demand[i] = Rate(float64(b.demand[i]) * left)
		if u != nil {
			b.demand[i] = max(b.demand[i], u.demand[i])
		}
	}
	if u != nil && sum(u.demand) > 0 {
		b.used = now
	}
}

// uses sums the reports of the live entries by block.
func (c *Coordinator) uses() map[netip.Prefix]*use {
	out := map[netip.Prefix]*use{}
	for i, s := range c.net.Sites {
		r := c.received[s.Name]
		if r == nil || s.State == SiteDown {
			continue
		}
		for _, b := range r.Blocks {
			u := out[b.Prefix]
			if u == nil {
				u = &use{demand: make([]Rate, len(c.shape.urgencies)), lookups: make([]Rate, len(c.net.Regions)), served: make([]Rate, len(c.net.Sites))}
				out[b.Prefix] = u
			}
			for j, d := range b.Demand[:min(len(b.Demand), len(u.demand))] {
				u.demand[j] += d
				u.served[i] += d
			}
			u.lookups[s.Region] += b.Lookups
		}
	}
	return out
}

// newBlocks returns the blocks with demand that the planner doesn't know, the most
// used first. The callers' region is where most look-ups come from.
func (c *Coordinator) newBlocks(uses map[netip.Prefix]*use, now time.Time) []block {
	var out []block
	for p, u := range uses {
		if sum(u.demand) == 0 {
			continue
		}
		home := mostUsed(u.lookups)
		if sum(u.lookups) == 0 {
			home = c.net.Sites[mostUsed(u.served)].Region
		}
		out = append(out, block{prefix: p, home: home, demand: u.demand, used: now, high: now})
	}
	slices.SortFunc(out, func(a, b block) int {
		return cmp.Or(cmp.Compare(sum(b.demand), sum(a.demand)), a.prefix.Addr().Compare(b.prefix.Addr()), a.prefix.Bits()-b.prefix.Bits())
	})
	return out
}

// servedAt returns where a new block's load is now, which is no shift.
func (c *Coordinator) servedAt(u *use) (int16, int8) {
	at := mostUsed(u.served)
	if c.net.Sites[at].State != SiteUp {
		return unplaced, 0
	}
	return int16(at), int8(len(c.shape.urgencies))
}

func mostUsed(rates []Rate) int {
	best := 0
	for i, r := range rates {
		if r > rates[best] {
			best = i
		}
	}
	return best
}

func (c *Coordinator) setBlocks(cfg *briarferry.Config, site []int16, level []int8) error {
	in := Blocks{Demand: c.demand(cfg)}
	set := &BlockSet{Regions: c.shape.regions}
	for _, b := range c.blocks {
		in.Prefixes = append(in.Prefixes, b.prefix)
		in.DelayMicros = append(in.DelayMicros, c.delays(b.home)...)
		set.HomeRegions = append(set.HomeRegions, byte(b.home))
	}
	set.Prefixes = EncodePrefixes(in.Prefixes)
	c.output.set, c.output.publisher = set, nil
	return c.planner.SetBlocks(in, site, level)
}

func (c *Coordinator) delays(home int) []uint32 {
	out := make([]uint32, len(c.net.Regions))
	for r := range out {
		if r != home {
			out[r] = farMicros
		}
	}
	for _, l := range c.net.Links {
		switch home {
		case l.A:
			out[l.B] = uint32(l.OneWayDelay.Microseconds()) + 1
		case l.B:
			out[l.A] = uint32(l.OneWayDelay.Microseconds()) + 1
		}
	}
	return out
}

// demand returns the planner's demand. A block's demand counts at most as nine tenths
// of the smallest cap: one that is larger could never move, so all its requests
// would be refused for good once its site is lost.
func (c *Coordinator) demand(cfg *briarferry.Config) []Rate {
	limit := maxRate
	for _, rate := range c.capacity {
		if rate > 0 {
			limit = min(limit, Rate(float64(rate)*cfg.Limits.ShiftCapShare*0.9))
		}
	}
	var out []Rate
	for _, b := range c.blocks {
		left := limit
		for _, d := range b.demand {
			d = min(d, left)
			left -= d
			out = append(out, d)
		}
	}
	return out
}
