package bfplacement

import "time"

// referencePlanner decides by the same rules as Planner, but recomputes every load from all
// blocks and every single shift at each check.
type referencePlanner struct {
	*blockTable
	limits                  Limits
	net                     Network
	now                     time.Time
	site, classes           []int
	moves                   []referenceMove
	wasDown                 []bool
	upSince                 []time.Time
	lastLoad, unplannedLoad []Rate
	initial                 bool
	// heldByCap tells of demand that waits for a cap, held of the regions it waits for.
	heldByCap   bool
	heldRegions map[int]bool
}

type referenceMove struct {
	at                 time.Time
	block, from, to    int
	oldRate, rate      Rate
	oldBits            int64
	leftRegion, toCold bool
}

func newReferencePlanner(p *Planner) *referencePlanner {
	n := &referencePlanner{blockTable: p.blockTable, limits: p.limits, initial: true, site: make([]int, p.blockCount), classes: make([]int, p.blockCount)}
	for b := range n.site {
		n.site[b] = unplaced
	}
	return n
}

func (n *referencePlanner) limitsAt(at int) (site, region Rate) {
	for _, s := range n.net.Sites {
		if s.Region == n.net.Sites[at].Region && s.State != SiteDown {
			region += s.Capacity
		}
	}
	if l := n.net.Regions[n.net.Sites[at].Region].Limit; l > 0 {
		region = min(region, l)
	}
	if n.net.Sites[at].State != SiteDown {
		site = n.net.Sites[at].Capacity
	}
	return site, region
}

func (n *referencePlanner) loadsAt(at int) (site, region Rate) {
	for b, s := range n.site {
		if s == unplaced {
			continue
		}
		if s == at {
			site += n.servedRate(b, n.classes[b])
		}
		if n.net.Sites[s].Region == n.net.Sites[at].Region {
			region += n.servedRate(b, n.classes[b])
		}
	}
	return site, region
}

func (n *referencePlanner) residualAt(at int) (site, region Rate) {
	for _, m := range n.moves {
		if m.from == unplaced || m.from == m.to || !m.at.Add(n.limits.LookupTTL).After(n.now) || n.net.Sites[m.from].State == SiteDown {
			continue
		}
		if m.from == at {
			site += m.oldRate
		}
		if m.leftRegion && n.net.Sites[m.from].Region == n.net.Sites[at].Region {
			region += m.oldRate
		}
	}
	return site, region
}

func (n *referencePlanner) totalsAt(at int) (site, region Rate) {
	site, region = n.loadsAt(at)
	s, r := n.residualAt(at)
	for i, a := range n.unplannedLoad {
		if n.net.Sites[i].Region == n.net.Sites[at].Region {
			r += a
		}
	}
	return site + s + n.unplannedLoad[at], region + r
}

func (n *referencePlanner) linkLoad(a, b int, residual bool) (load, limit int64) {
	for i, s := range n.site {
		if s != unplaced && n.net.Sites[s].Region != int(n.homeRegion[i]) && linkIndex(int(n.homeRegion[i]), n.net.Sites[s].Region, n.regionCount) == linkIndex(a, b, n.regionCount) {
			load += n.servedBits(i, n.classes[i])
		}
	}
	for _, m := range n.moves {
		if !residual || m.from == unplaced || !m.leftRegion || !m.at.Add(n.limits.LookupTTL).After(n.now) || n.net.Sites[m.from].State == SiteDown {
			continue
		}
		if h, r := int(n.homeRegion[m.block]), n.net.Sites[m.from].Region; h != r && linkIndex(h, r, n.regionCount) == linkIndex(a, b, n.regionCount) {
			load += m.oldBits
		}
	}
	for _, l := range n.net.Links {
		if linkIndex(l.A, l.B, n.regionCount) == linkIndex(a, b, n.regionCount) {
			limit += l.BitsPerSecond
		}
	}
	return load, limit
}

func (n *referencePlanner) capLeftAt(at int) (all, cold Rate) {
	_, region := n.limitsAt(at)
	all = Rate(float64(region) * n.limits.ShiftCapShare)
	cold = Rate(float64(all) * n.limits.ColdCapShare)
	for _, m := range n.moves {
		if m.at.Add(n.limits.LookupTTL+n.limits.ShiftInterval).After(n.now) && n.net.Sites[m.to].Region == n.net.Sites[at].Region {
			all -= m.rate
			if m.toCold {
				cold -= m.rate
			}
		}
	}
	return max(0, all), max(0, cold)
}

func (n *referencePlanner) isCold(at int) bool {
	return n.net.Sites[at].Cold || (!n.upSince[at].IsZero() && n.now.Sub(n.upSince[at]) < n.limits.WarmUp)
}

// fits returns 0 or a reason, with the rates that miss at the site and the region.
func (n *referencePlanner) fits(b, classes, at int, fillShare float64) (regionReason, siteReason Reason, excess Rate) {
	d, dBits := n.servedRate(b, classes), n.servedBits(b, classes)
	region, own, inRegion, inBits := n.net.Sites[at].Region, Rate(0), Rate(0), int64(0)
	if s := n.site[b]; s != unplaced && n.net.Sites[s].Region == region {
		inRegion, inBits = n.servedRate(b, n.classes[b]), n.servedBits(b, n.classes[b])
		if s == at {
			own = inRegion
		}
	}
	siteLimit, regionLimit := n.limitsAt(at)
	siteLoad, regionLoad := n.totalsAt(at)
	left, coldLeft := n.capLeftAt(at)
	if n.initial {
		left, coldLeft = 1<<60, 1<<60
	}
	regionExcess, siteExcess := regionLoad+d-inRegion-scaleLimit(regionLimit, fillShare), siteLoad+d-own-scaleLimit(siteLimit, fillShare)
	load, limit := n.linkLoad(int(n.homeRegion[b]), region, true)
	switch {
	case d-own > left:
		regionReason = n.capReason(d-own, regionLimit)
	case d-inRegion > 0 && regionExcess > 0:
		regionReason, excess = HeldByRegion, regionExcess
	case int(n.homeRegion[b]) != region && (limit == 0 || (dBits > inBits && float64(load+dBits-inBits) > float64(limit)*fillShare)):
		regionReason = HeldByLink
	}
	s := n.net.Sites[at]
	switch {
	case s.State != SiteUp:
		siteReason = HeldByOutage
	case s.MeasurementAge >= n.limits.StaleAfter:
		siteReason = HeldByStaleMeasurements
	case n.isCold(at) && d-own > coldLeft:
		siteReason = HeldByColdCap
	case d-own > 0 && siteExcess > 0:
		siteReason, excess = HeldBySite, max(excess, siteExcess)
	}
	return regionReason, siteReason, excess
}

func (n *referencePlanner) capReason(rate, regionLimit Rate) Reason {
	if regionLimit > 0 && rate > Rate(float64(regionLimit)*n.limits.ShiftCapShare) {
		return HeldByBlockSize
	}
	return HeldByShiftCap
}

func (n *referencePlanner) utilization(at int) float64 {
	load, _ := n.totalsAt(at)
	limit, _ := n.limitsAt(at)
	return float64(load) / float64(max(1, limit))
}

func (n *referencePlanner) findSiteIn(b, classes, region int, fillShare float64) (best int, reason Reason) {
	best, reason = unplaced, HeldByOutage
	mostFree := 0.0
	for at, s := range n.net.Sites {
		if s.Region != region {
			continue
		}
		// The region's part of the check treats the block as one that moves.
		regionReason, siteReason, _ := n.fits(b, classes, at, fillShare)
		if at == n.site[b] {
			if left, _ := n.capLeftAt(at); !n.initial && n.servedRate(b, classes) > left {
				_, limit := n.limitsAt(at)
				return unplaced, n.capReason(n.servedRate(b, classes), limit)
			}
			continue
		}
		if regionReason != 0 {
			return unplaced, regionReason
		}
		if siteReason != 0 {
			reason = min(reason, siteReason)
		} else if free := 1 - n.utilization(at); best == unplaced || free > mostFree {
			best, mostFree = at, free
		}
	}
	if best != unplaced {
		reason = 0
	}
	return best, reason
}

func (n *referencePlanner) move(b, classes, to int) {
	m := referenceMove{at: n.now, block: b, from: n.site[b], to: to, oldRate: n.servedRate(b, n.classes[b]), oldBits: n.servedBits(b, n.classes[b]), toCold: n.isCold(to)}
	m.rate = n.servedRate(b, classes)
	if m.from == to {
		m.rate -= m.oldRate
	} else if m.from != unplaced {
		m.leftRegion = n.net.Sites[m.from].Region != n.net.Sites[to].Region
	}
	if !n.initial {
		n.moves = append(n.moves, m)
	}
	n.site[b], n.classes[b] = to, classes
}

func (n *referencePlanner) evict(at, mostUrgent int, need Rate) {
	for c := n.classCount - 1; c >= mostUrgent; c-- {
		for b := 0; b < n.blockCount && need > 0; b++ {
			if n.site[b] == at && n.classes[b] == c+1 {
				need -= n.servedRate(b, c+1) - n.servedRate(b, c)
				n.classes[b]--
			}
		}
	}
}

func (n *referencePlanner) evictOverLimit() {
	for at := range n.net.Sites {
		load, _ := n.loadsAt(at)
		limit, _ := n.limitsAt(at)
		n.evict(at, 0, load-limit)
	}
	for r := range n.net.Regions {
		for c := n.classCount - 1; c >= 0; c-- {
			for at, s := range n.net.Sites {
				if s.Region == r {
					_, load := n.loadsAt(at)
					_, limit := n.limitsAt(at)
					n.evict(at, c, load-limit)
				}
			}
		}
	}
	for a := range n.regionCount {
		for z := a + 1; z < n.regionCount; z++ {
			n.evictLink(a, z)
		}
	}
}

func (n *referencePlanner) evictLink(a, z int) {
	for c := n.classCount - 1; c >= 0; c-- {
		for b, at := range n.site {
			load, limit := n.linkLoad(a, z, false)
			if load <= limit || at == unplaced || n.classes[b] != c+1 {
				continue
			}
			if h, r := int(n.homeRegion[b]), n.net.Sites[at].Region; h != r && linkIndex(h, r, n.regionCount) == linkIndex(a, z, n.regionCount) {
				n.classes[b]--
			}
		}
	}
}

func (n *referencePlanner) step(now time.Time, net Network) {
	n.now, n.net, n.heldByCap, n.heldRegions = now, net, false, map[int]bool{}
	if n.lastLoad == nil {
		n.lastLoad, n.wasDown, n.upSince = make([]Rate, len(net.Sites)), make([]bool, len(net.Sites)), make([]time.Time, len(net.Sites))
	}
	for i, s := range net.Sites {
		if s.MeasurementAge < n.limits.StaleAfter {
			n.lastLoad[i] = s.Load
		}
		if s.State == SiteDown {
			n.lastLoad[i] = 0
		} else if n.wasDown[i] {
			n.upSince[i] = now
		}
		n.wasDown[i] = s.State == SiteDown
	}
	for b, s := range n.site {
		if s != unplaced && net.Sites[s].State == SiteDown {
			n.site[b], n.classes[b] = unplaced, 0
		}
	}
	above := make([]Rate, len(net.Sites))
	n.unplannedLoad = make([]Rate, len(net.Sites))
	for i, s := range net.Sites {
		load, _ := n.loadsAt(i)
		left, _ := n.residualAt(i)
		if s.State != SiteDown {
			above[i] = max(0, n.lastLoad[i]-load-left)
		}
	}
	n.unplannedLoad = above
	n.evictOverLimit()
	for c := range n.classCount {
		for b := range n.site {
			if n.classes[b] == c && (c == 0 || n.site[b] != unplaced) {
				n.admit(b, c)
			}
		}
	}
	for b, s := range n.site {
		if s != unplaced && net.Sites[s].State == SiteDraining {
			if reason, region := n.findSite(b, n.classes[b], true); reason != 0 {
				n.holdBack(reason, region)
			}
		}
	}
	for b := 0; b < n.blockCount && !n.heldByCap && !n.initial; b++ {
		n.rebalance(b)
	}
	n.initial = false
}

func (n *referencePlanner) holdBack(reason Reason, region int) {
	n.heldRegions[region] = true
	n.heldByCap = n.heldByCap || reason == HeldByShiftCap || reason == HeldByColdCap
}

// findSite moves the block, or returns why and for which region it waits.
func (n *referencePlanner) findSite(b, classes int, waitForCap bool) (first Reason, region int) {
	for i := range n.regionCount {
		r := int(n.regionsByDelay[b*n.regionCount+i])
		to, reason := n.findSiteIn(b, classes, r, 1)
		if to != unplaced {
			n.move(b, classes, to)
			return 0, 0
		}
		if waitForCap && (reason == HeldByShiftCap || reason == HeldByColdCap) {
			return reason, r
		}
		if i == 0 {
			first, region = reason, r
		}
	}
	return first, region
}

func (n *referencePlanner) admit(b, c int) {
	if at := n.site[b]; at != unplaced {
		if regionReason, siteReason, _ := n.fits(b, c+1, at, 1); regionReason == 0 && siteReason == 0 {
			n.move(b, c+1, at)
			return
		}
	}
	reason, region := n.findSite(b, c+1, false)
	if reason == 0 {
		return
	}
	if (reason != HeldBySite && reason != HeldByRegion) || c+1 == n.classCount {
		n.holdBack(reason, region)
		return
	}
	for _, r := range n.regionsByDelay[b*n.regionCount : (b+1)*n.regionCount] {
		for at, s := range n.net.Sites {
			if s.Region == int(r) && n.admitByEviction(b, c+1, at) {
				return
			}
		}
	}
	n.holdBack(reason, region)
}

func (n *referencePlanner) admitByEviction(b, classes, at int) bool {
	regionReason, siteReason, excess := n.fits(b, classes, at, 1)
	if (regionReason != 0 && regionReason != HeldByRegion) || (siteReason != 0 && siteReason != HeldBySite) {
		return false
	}
	evictable := Rate(0)
	for i, s := range n.site {
		if s == at && n.classes[i] > classes {
			evictable += n.servedRate(i, n.classes[i]) - n.servedRate(i, classes)
		}
	}
	if evictable < excess {
		return false
	}
	n.evict(at, classes, excess)
	if regionReason, siteReason, _ = n.fits(b, classes, at, 1); regionReason != 0 || siteReason != 0 {
		return false
	}
	n.move(b, classes, at)
	return true
}

func (n *referencePlanner) rebalance(b int) {
	at := n.site[b]
	if at == unplaced || n.net.Sites[at].State != SiteUp {
		return
	}
	ownRegion, fillShare := n.net.Sites[at].Region, 1-n.limits.Hysteresis
	for _, r := range n.regionsByDelay[b*n.regionCount : (b+1)*n.regionCount] {
		if int(r) == ownRegion || float64(n.delayTo(b, int(r))) > float64(n.delayTo(b, ownRegion))*(1-n.limits.Hysteresis) {
			break
		}
		if n.heldRegions[int(r)] {
			continue
		}
		if to, _ := n.findSiteIn(b, n.classes[b], int(r), fillShare); to != unplaced {
			n.move(b, n.classes[b], to)
			return
		}
	}
	rate := n.servedRate(b, n.classes[b])
	if n.heldRegions[ownRegion] {
		return
	}
	if to, _ := n.findSiteIn(b, n.classes[b], ownRegion, fillShare); to != unplaced && rate > 0 && n.utilization(at) > n.limits.Hysteresis {
		limit, _ := n.limitsAt(to)
		if n.utilization(at)-(n.utilization(to)+float64(rate)/float64(max(1, limit))) > n.limits.Hysteresis {
			n.move(b, n.classes[b], to)
		}
	}
}
