package bfplacement

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"briarferry"
)

const (
	// bitsPerSlot is the link traffic of a busy slot: 25 requests/s of 16 KiB, as
	// for the service with the shortest service time in current deployments.
	bitsPerSlot = 25 * 16 << 10 * 8
	// maxPlannedBlocks bounds the planner's blocks. unusedBlockTTL is how long a block
	// without demand is kept.
	maxPlannedBlocks = 4096
	unusedBlockTTL   = 10 * time.Minute
	// Demand that entries no longer report counts in full for demandHoldTime and then
	// decays with the time constant demandDecayTime. Callers of a lost entry come back
	// through other entries after a while, and until they are moved their demand must
	// count against the caps.
	demandHoldTime  = 30 * time.Second
	demandDecayTime = time.Minute
	// unlinkedDelayMicros is the delay between regions without a link.
	unlinkedDelayMicros = 1_000_000
	noReportAge         = time.Hour
)

type (
	// plannedBlock is a caller block with its demand by class, most urgent first.
	plannedBlock struct {
		prefix     netip.Prefix
		homeRegion int
		demand     []Rate
		lastUsed   time.Time
		// lastHigh is when the reported demand was last at least nine tenths of the
		// demand that counts.
		lastHigh time.Time
	}

	// blockUse sums the reports of all entries about one block.
	blockUse struct {
		demand []Rate
		// lookups has one value for each region, demandBySite one for each site.
		lookups      []Rate
		demandBySite []Rate
	}
)

func (c *Coordinator) siteIndex(name string) int {
	return slices.IndexFunc(c.net.Sites, func(s Site) bool { return s.Name == name })
}

// updateNetwork updates the network from the configuration, the live VMs and the entries'
// reports. It reports whether a site was added or a site's state changed.
func (c *Coordinator) updateNetwork(cfg *briarferry.Config, now time.Time) bool {
	regions := dimensionsOf(cfg).regions
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
	added := false
	for _, vm := range c.Members.Live() {
		live[vm.Name] = c.State(vm)
		region := slices.Index(regions, vm.Region)
		if region >= 0 && c.siteIndex(vm.Name) < 0 {
			c.net.Sites = append(c.net.Sites, Site{Name: vm.Name, Region: region, FailureDomain: vm.FailureDomain, State: SiteDown})
			added = true
		}
	}
	changed := c.updateSites(live, now)
	c.updateCapacities()
	if added && c.planner != nil {
		c.planner.AddSites(c.net.Sites)
		c.published.builder = nil
	}
	return changed || added
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
		s.State, s.MeasurementAge = state, noReportAge
		if r := c.reports[s.Name]; r != nil {
			s.MeasurementAge, s.Load = now.Sub(r.measuredAt), r.Load
		}
	}
	return changed
}

// updateCapacities divides the capacity of a region's servers among its sites that are
// not down. A region without fresh reports keeps its last known capacity.
func (c *Coordinator) updateCapacities() {
	fresh, notDown := map[int]Rate{}, map[int]int{}
	for _, s := range c.net.Sites {
		if s.State != SiteDown {
			notDown[s.Region]++
		}
		if r := c.reports[s.Name]; r != nil && s.MeasurementAge < DefaultLimits().StaleAfter {
			fresh[s.Region] = max(fresh[s.Region], r.RegionCapacity)
		}
	}
	for region, rate := range fresh {
		c.regionCapacity[c.net.Regions[region].Name] = rate
	}
	for i := range c.net.Sites {
		s := &c.net.Sites[i]
		s.Capacity = c.regionCapacity[c.net.Regions[s.Region].Name] / Rate(max(1, notDown[s.Region]))
	}
}

// updateBlocks updates the planner's blocks and their demand from the entries' reports.
func (c *Coordinator) updateBlocks(cfg *briarferry.Config, now time.Time) error {
	uses := c.sumReports()
	elapsed := time.Duration(0)
	if !c.published.demandUpdatedAt.IsZero() {
		elapsed = now.Sub(c.published.demandUpdatedAt)
	}
	c.published.demandUpdatedAt = now
	var site []int16
	var classes []int8
	kept, changed := c.blocks[:0:0], false
	for i, b := range c.blocks {
		b.updateDemand(uses[b.prefix], now, elapsed)
		delete(uses, b.prefix)
		if now.Sub(b.lastUsed) > unusedBlockTTL {
			changed = true
			continue
		}
		kept = append(kept, b)
		site, classes = append(site, c.planner.site[i]), append(classes, c.planner.classes[i])
	}
	for _, b := range c.newBlocks(uses, now) {
		if len(kept) == maxPlannedBlocks {
			break
		}
		newSite, newClasses := c.currentPlacement(uses[b.prefix])
		kept, changed = append(kept, b), true
		site, classes = append(site, newSite), append(classes, newClasses)
	}
	c.blocks = kept
	if changed {
		return c.setBlocks(cfg, site, classes)
	}
	return c.planner.SetDemand(c.cappedDemand(cfg))
}

// updateDemand adopts higher demand at once. Lower demand takes effect gradually, after
// demandHoldTime.
func (b *plannedBlock) updateDemand(u *blockUse, now time.Time, elapsed time.Duration) {
	if u != nil && sumRates(u.demand)*10 >= sumRates(b.demand)*9 {
		b.lastHigh = now
	}
	factor := 1.0
	if now.Sub(b.lastHigh) > demandHoldTime {
		factor = max(0, 1-elapsed.Seconds()/demandDecayTime.Seconds())
	}
	for i := range b.demand {
		b.demand[i] = Rate(float64(b.demand[i]) * factor)
		if u != nil {
			b.demand[i] = max(b.demand[i], u.demand[i])
		}
	}
	if u != nil && sumRates(u.demand) > 0 {
		b.lastUsed = now
	}
}

// sumReports sums the reports of the live entries by block.
func (c *Coordinator) sumReports() map[netip.Prefix]*blockUse {
	out := map[netip.Prefix]*blockUse{}
	for i, s := range c.net.Sites {
		r := c.reports[s.Name]
		if r == nil || s.State == SiteDown {
			continue
		}
		for _, b := range r.Blocks {
			u := out[b.Prefix]
			if u == nil {
				u = &blockUse{demand: make([]Rate, len(c.dimensions.urgencies)), lookups: make([]Rate, len(c.net.Regions)), demandBySite: make([]Rate, len(c.net.Sites))}
				out[b.Prefix] = u
			}
			for j, d := range b.Demand[:min(len(b.Demand), len(u.demand))] {
				u.demand[j] += d
				u.demandBySite[i] += d
			}
			u.lookups[s.Region] += b.Lookups
		}
	}
	return out
}

// newBlocks returns the blocks with demand that the planner doesn't have yet, those with
// the highest demand first. A block's home region is the one where most of its look-ups
// arrive or, without look-ups, that of the site where most of its demand arrives.
func (c *Coordinator) newBlocks(uses map[netip.Prefix]*blockUse, now time.Time) []plannedBlock {
	var out []plannedBlock
	for p, u := range uses {
		if sumRates(u.demand) == 0 {
			continue
		}
		homeRegion := indexOfMax(u.lookups)
		if sumRates(u.lookups) == 0 {
			homeRegion = c.net.Sites[indexOfMax(u.demandBySite)].Region
		}
		out = append(out, plannedBlock{prefix: p, homeRegion: homeRegion, demand: u.demand, lastUsed: now, lastHigh: now})
	}
	slices.SortFunc(out, func(a, b plannedBlock) int {
		return cmp.Or(cmp.Compare(sumRates(b.demand), sumRates(a.demand)), a.prefix.Addr().Compare(b.prefix.Addr()), a.prefix.Bits()-b.prefix.Bits())
	})
	return out
}

// currentPlacement returns the site where most of a new block's demand arrives. Placing
// the block there is no shift.
func (c *Coordinator) currentPlacement(u *blockUse) (int16, int8) {
	site := indexOfMax(u.demandBySite)
	if c.net.Sites[site].State != SiteUp {
		return unplaced, 0
	}
	return int16(site), int8(len(c.dimensions.urgencies))
}

func indexOfMax(rates []Rate) int {
	best := 0
	for i, r := range rates {
		if r > rates[best] {
			best = i
		}
	}
	return best
}

func (c *Coordinator) setBlocks(cfg *briarferry.Config, site []int16, classes []int8) error {
	in := Blocks{Demand: c.cappedDemand(cfg)}
	blockSet := &BlockSet{Regions: c.dimensions.regions}
	for _, b := range c.blocks {
		in.Prefixes = append(in.Prefixes, b.prefix)
		in.DelayMicros = append(in.DelayMicros, c.delaysFrom(b.homeRegion)...)
		blockSet.HomeRegions = append(blockSet.HomeRegions, byte(b.homeRegion))
	}
	blockSet.Prefixes = EncodePrefixes(in.Prefixes)
	c.published.blockSet, c.published.builder = blockSet, nil
	return c.planner.SetBlocks(in, site, classes)
}

func (c *Coordinator) delaysFrom(homeRegion int) []uint32 {
	out := make([]uint32, len(c.net.Regions))
	for r := range out {
		if r != homeRegion {
			out[r] = unlinkedDelayMicros
		}
	}
	for _, l := range c.net.Links {
		switch homeRegion {
		case l.A:
			out[l.B] = uint32(l.OneWayDelay.Microseconds()) + 1
		case l.B:
			out[l.A] = uint32(l.OneWayDelay.Microseconds()) + 1
		}
	}
	return out
}

// cappedDemand returns the demand for the planner. A block's demand counts for at most
// nine tenths of the smallest cap: a block above the cap could never move, so all its
// requests would be refused for good once its site is lost.
func (c *Coordinator) cappedDemand(cfg *briarferry.Config) []Rate {
	limit := maxRate
	for _, rate := range c.regionCapacity {
		if rate > 0 {
			limit = min(limit, Rate(float64(rate)*cfg.Limits.ShiftCapShare*0.9))
		}
	}
	var out []Rate
	for _, b := range c.blocks {
		remaining := limit
		for _, d := range b.demand {
			d = min(d, remaining)
			remaining -= d
			out = append(out, d)
		}
	}
	return out
}
