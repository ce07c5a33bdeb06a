package bfplacement

import "time"

// referencePlanner decides by the same rules as Planner, but recomputes every load from
// all blocks and all past shifts at each check.
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
	// heldByCap reports whether demand waits for a cap, heldRegions which regions it
	// waits for.
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
	rp := &referencePlanner{blockTable: p.blockTable, limits: p.limits, initial: true, site: make([]int, p.blockCount), classes: make([]int, p.blockCount)}
	for b := range rp.site {
		rp.site[b] = unplaced
	}
	return rp
}

func (rp *referencePlanner) limitsAt(siteIndex int) (site, region Rate) {
	for _, s := range rp.net.Sites {
		if s.Region == rp.net.Sites[siteIndex].Region && s.State != SiteDown {
			region += s.Capacity
		}
	}
	if l := rp.net.Regions[rp.net.Sites[siteIndex].Region].Limit; l > 0 {
		region = min(region, l)
	}
	if rp.net.Sites[siteIndex].State != SiteDown {
		site = rp.net.Sites[siteIndex].Capacity
	}
	return site, region
}

func (rp *referencePlanner) loadsAt(siteIndex int) (site, region Rate) {
	for b, s := range rp.site {
		if s == unplaced {
			continue
		}
		if s == siteIndex {
			site += rp.servedRate(b, rp.classes[b])
		}
		if rp.net.Sites[s].Region == rp.net.Sites[siteIndex].Region {
			region += rp.servedRate(b, rp.classes[b])
		}
	}
	return site, region
}

func (rp *referencePlanner) residualAt(siteIndex int) (site, region Rate) {
	for _, m := range rp.moves {
		if m.from == unplaced || m.from == m.to || !m.at.Add(rp.limits.LookupTTL).After(rp.now) || rp.net.Sites[m.from].State == SiteDown {
			continue
		}
		if m.from == siteIndex {
			site += m.oldRate
		}
		if m.leftRegion && rp.net.Sites[m.from].Region == rp.net.Sites[siteIndex].Region {
			region += m.oldRate
		}
	}
	return site, region
}

func (rp *referencePlanner) totalsAt(siteIndex int) (site, region Rate) {
	site, region = rp.loadsAt(siteIndex)
	s, r := rp.residualAt(siteIndex)
	for i, a := range rp.unplannedLoad {
		if rp.net.Sites[i].Region == rp.net.Sites[siteIndex].Region {
			r += a
		}
	}
	return site + s + rp.unplannedLoad[siteIndex], region + r
}

func (rp *referencePlanner) linkLoad(regionA, regionB int, residual bool) (load, limit int64) {
	for i, s := range rp.site {
		if s != unplaced && rp.net.Sites[s].Region != int(rp.homeRegion[i]) && linkIndex(int(rp.homeRegion[i]), rp.net.Sites[s].Region, rp.regionCount) == linkIndex(regionA, regionB, rp.regionCount) {
			load += rp.servedBits(i, rp.classes[i])
		}
	}
	for _, m := range rp.moves {
		if !residual || m.from == unplaced || !m.leftRegion || !m.at.Add(rp.limits.LookupTTL).After(rp.now) || rp.net.Sites[m.from].State == SiteDown {
			continue
		}
		if h, r := int(rp.homeRegion[m.block]), rp.net.Sites[m.from].Region; h != r && linkIndex(h, r, rp.regionCount) == linkIndex(regionA, regionB, rp.regionCount) {
			load += m.oldBits
		}
	}
	for _, l := range rp.net.Links {
		if linkIndex(l.A, l.B, rp.regionCount) == linkIndex(regionA, regionB, rp.regionCount) {
			limit += l.BitsPerSecond
		}
	}
	return load, limit
}

func (rp *referencePlanner) capLeftAt(siteIndex int) (all, cold Rate) {
	_, region := rp.limitsAt(siteIndex)
	all = Rate(float64(region) * rp.limits.ShiftCapShare)
	cold = Rate(float64(all) * rp.limits.ColdCapShare)
	for _, m := range rp.moves {
		if m.at.Add(rp.limits.LookupTTL+rp.limits.ShiftInterval).After(rp.now) && rp.net.Sites[m.to].Region == rp.net.Sites[siteIndex].Region {
			all -= m.rate
			if m.toCold {
				cold -= m.rate
			}
		}
	}
	return max(0, all), max(0, cold)
}

func (rp *referencePlanner) isCold(siteIndex int) bool {
	return rp.net.Sites[siteIndex].Cold || (!rp.upSince[siteIndex].IsZero() && rp.now.Sub(rp.upSince[siteIndex]) < rp.limits.WarmUp)
}

// holdReasons returns the limit that the block would exceed at the region and at the site,
// each 0 if there is none, and the larger excess.
func (rp *referencePlanner) holdReasons(b, classes, siteIndex int, fillShare float64) (regionReason, siteReason Reason, excess Rate) {
	d, dBits := rp.servedRate(b, classes), rp.servedBits(b, classes)
	region, own, inRegion, inBits := rp.net.Sites[siteIndex].Region, Rate(0), Rate(0), int64(0)
	if s := rp.site[b]; s != unplaced && rp.net.Sites[s].Region == region {
		inRegion, inBits = rp.servedRate(b, rp.classes[b]), rp.servedBits(b, rp.classes[b])
		if s == siteIndex {
			own = inRegion
		}
	}
	siteLimit, regionLimit := rp.limitsAt(siteIndex)
	siteLoad, regionLoad := rp.totalsAt(siteIndex)
	left, coldLeft := rp.capLeftAt(siteIndex)
	if rp.initial {
		left, coldLeft = 1<<60, 1<<60
	}
	regionExcess, siteExcess := regionLoad+d-inRegion-scaleLimit(regionLimit, fillShare), siteLoad+d-own-scaleLimit(siteLimit, fillShare)
	load, limit := rp.linkLoad(int(rp.homeRegion[b]), region, true)
	switch {
	case d-own > left:
		regionReason = rp.capReason(d-own, regionLimit)
	case d-inRegion > 0 && regionExcess > 0:
		regionReason, excess = HeldByRegion, regionExcess
	case int(rp.homeRegion[b]) != region && (limit == 0 || (dBits > inBits && float64(load+dBits-inBits) > float64(limit)*fillShare)):
		regionReason = HeldByLink
	}
	s := rp.net.Sites[siteIndex]
	switch {
	case s.State != SiteUp:
		siteReason = HeldByOutage
	case s.MeasurementAge >= rp.limits.StaleAfter:
		siteReason = HeldByStaleMeasurements
	case rp.isCold(siteIndex) && d-own > coldLeft:
		siteReason = HeldByColdCap
	case d-own > 0 && siteExcess > 0:
		siteReason, excess = HeldBySite, max(excess, siteExcess)
	}
	return regionReason, siteReason, excess
}

func (rp *referencePlanner) capReason(rate, regionLimit Rate) Reason {
	if regionLimit > 0 && rate > Rate(float64(regionLimit)*rp.limits.ShiftCapShare) {
		return HeldByBlockSize
	}
	return HeldByShiftCap
}

func (rp *referencePlanner) utilization(siteIndex int) float64 {
	load, _ := rp.totalsAt(siteIndex)
	limit, _ := rp.limitsAt(siteIndex)
	return float64(load) / float64(max(1, limit))
}

func (rp *referencePlanner) findSiteIn(b, classes, region int, fillShare float64) (best int, reason Reason) {
	best, reason = unplaced, HeldByOutage
	mostFree := 0.0
	for siteIndex, s := range rp.net.Sites {
		if s.Region != region {
			continue
		}
		// The check of the region must treat the block as one that moves to another site.
		regionReason, siteReason, _ := rp.holdReasons(b, classes, siteIndex, fillShare)
		if siteIndex == rp.site[b] {
			if left, _ := rp.capLeftAt(siteIndex); !rp.initial && rp.servedRate(b, classes) > left {
				_, limit := rp.limitsAt(siteIndex)
				return unplaced, rp.capReason(rp.servedRate(b, classes), limit)
			}
			continue
		}
		if regionReason != 0 {
			return unplaced, regionReason
		}
		if siteReason != 0 {
			reason = min(reason, siteReason)
		} else if free := 1 - rp.utilization(siteIndex); best == unplaced || free > mostFree {
			best, mostFree = siteIndex, free
		}
	}
	if best != unplaced {
		reason = 0
	}
	return best, reason
}

func (rp *referencePlanner) move(b, classes, to int) {
	m := referenceMove{at: rp.now, block: b, from: rp.site[b], to: to, oldRate: rp.servedRate(b, rp.classes[b]), oldBits: rp.servedBits(b, rp.classes[b]), toCold: rp.isCold(to)}
	m.rate = rp.servedRate(b, classes)
	if m.from == to {
		m.rate -= m.oldRate
	} else if m.from != unplaced {
		m.leftRegion = rp.net.Sites[m.from].Region != rp.net.Sites[to].Region
	}
	if !rp.initial {
		rp.moves = append(rp.moves, m)
	}
	rp.site[b], rp.classes[b] = to, classes
}

func (rp *referencePlanner) evict(siteIndex, mostUrgent int, need Rate) {
	for c := rp.classCount - 1; c >= mostUrgent; c-- {
		for b := 0; b < rp.blockCount && need > 0; b++ {
			if rp.site[b] == siteIndex && rp.classes[b] == c+1 {
				need -= rp.servedRate(b, c+1) - rp.servedRate(b, c)
				rp.classes[b]--
			}
		}
	}
}

func (rp *referencePlanner) evictOverLimit() {
	for siteIndex := range rp.net.Sites {
		load, _ := rp.loadsAt(siteIndex)
		limit, _ := rp.limitsAt(siteIndex)
		rp.evict(siteIndex, 0, load-limit)
	}
	for r := range rp.net.Regions {
		for c := rp.classCount - 1; c >= 0; c-- {
			for siteIndex, s := range rp.net.Sites {
				if s.Region == r {
					_, load := rp.loadsAt(siteIndex)
					_, limit := rp.limitsAt(siteIndex)
					rp.evict(siteIndex, c, load-limit)
				}
			}
		}
	}
	for regionA := range rp.regionCount {
		for regionB := regionA + 1; regionB < rp.regionCount; regionB++ {
			rp.evictLink(regionA, regionB)
		}
	}
}

func (rp *referencePlanner) evictLink(regionA, regionB int) {
	for c := rp.classCount - 1; c >= 0; c-- {
		for b, siteIndex := range rp.site {
			load, limit := rp.linkLoad(regionA, regionB, false)
			if load <= limit || siteIndex == unplaced || rp.classes[b] != c+1 {
				continue
			}
			if h, r := int(rp.homeRegion[b]), rp.net.Sites[siteIndex].Region; h != r && linkIndex(h, r, rp.regionCount) == linkIndex(regionA, regionB, rp.regionCount) {
				rp.classes[b]--
			}
		}
	}
}

func (rp *referencePlanner) step(now time.Time, net Network) {
	rp.now, rp.net, rp.heldByCap, rp.heldRegions = now, net, false, map[int]bool{}
	if rp.lastLoad == nil {
		rp.lastLoad, rp.wasDown, rp.upSince = make([]Rate, len(net.Sites)), make([]bool, len(net.Sites)), make([]time.Time, len(net.Sites))
	}
	for i, s := range net.Sites {
		if s.MeasurementAge < rp.limits.StaleAfter {
			rp.lastLoad[i] = s.Load
		}
		if s.State == SiteDown {
			rp.lastLoad[i] = 0
		} else if rp.wasDown[i] {
			rp.upSince[i] = now
		}
		rp.wasDown[i] = s.State == SiteDown
	}
	for b, s := range rp.site {
		if s != unplaced && net.Sites[s].State == SiteDown {
			rp.site[b], rp.classes[b] = unplaced, 0
		}
	}
	above := make([]Rate, len(net.Sites))
	rp.unplannedLoad = make([]Rate, len(net.Sites))
	for i, s := range net.Sites {
		load, _ := rp.loadsAt(i)
		left, _ := rp.residualAt(i)
		if s.State != SiteDown {
			above[i] = max(0, rp.lastLoad[i]-load-left)
		}
	}
	rp.unplannedLoad = above
	rp.evictOverLimit()
	for c := range rp.classCount {
		for b := range rp.site {
			if rp.classes[b] == c && (c == 0 || rp.site[b] != unplaced) {
				rp.admit(b, c)
			}
		}
	}
	for b, s := range rp.site {
		if s != unplaced && net.Sites[s].State == SiteDraining {
			if reason, region := rp.findSite(b, rp.classes[b], true); reason != 0 {
				rp.holdBack(reason, region)
			}
		}
	}
	for b := 0; b < rp.blockCount && !rp.heldByCap && !rp.initial; b++ {
		rp.rebalance(b)
	}
	rp.initial = false
}

func (rp *referencePlanner) holdBack(reason Reason, region int) {
	rp.heldRegions[region] = true
	rp.heldByCap = rp.heldByCap || reason == HeldByShiftCap || reason == HeldByColdCap
}

// findSite moves the block, or returns the limit and the region that it waits for.
func (rp *referencePlanner) findSite(b, classes int, waitForCap bool) (first Reason, region int) {
	for i := range rp.regionCount {
		r := int(rp.regionsByDelay[b*rp.regionCount+i])
		to, reason := rp.findSiteIn(b, classes, r, 1)
		if to != unplaced {
			rp.move(b, classes, to)
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

func (rp *referencePlanner) admit(b, class int) {
	if siteIndex := rp.site[b]; siteIndex != unplaced {
		if regionReason, siteReason, _ := rp.holdReasons(b, class+1, siteIndex, 1); regionReason == 0 && siteReason == 0 {
			rp.move(b, class+1, siteIndex)
			return
		}
	}
	reason, region := rp.findSite(b, class+1, false)
	if reason == 0 {
		return
	}
	if (reason != HeldBySite && reason != HeldByRegion) || class+1 == rp.classCount {
		rp.holdBack(reason, region)
		return
	}
	for _, r := range rp.regionsByDelay[b*rp.regionCount : (b+1)*rp.regionCount] {
		for siteIndex, s := range rp.net.Sites {
			if s.Region == int(r) && rp.admitByEviction(b, class+1, siteIndex) {
				return
			}
		}
	}
	rp.holdBack(reason, region)
}

func (rp *referencePlanner) admitByEviction(b, classes, siteIndex int) bool {
	regionReason, siteReason, excess := rp.holdReasons(b, classes, siteIndex, 1)
	if (regionReason != 0 && regionReason != HeldByRegion) || (siteReason != 0 && siteReason != HeldBySite) {
		return false
	}
	evictable := Rate(0)
	for i, s := range rp.site {
		if s == siteIndex && rp.classes[i] > classes {
			evictable += rp.servedRate(i, rp.classes[i]) - rp.servedRate(i, classes)
		}
	}
	if evictable < excess {
		return false
	}
	rp.evict(siteIndex, classes, excess)
	if regionReason, siteReason, _ = rp.holdReasons(b, classes, siteIndex, 1); regionReason != 0 || siteReason != 0 {
		return false
	}
	rp.move(b, classes, siteIndex)
	return true
}

func (rp *referencePlanner) rebalance(b int) {
	siteIndex := rp.site[b]
	if siteIndex == unplaced || rp.net.Sites[siteIndex].State != SiteUp {
		return
	}
	ownRegion, fillShare := rp.net.Sites[siteIndex].Region, 1-rp.limits.Hysteresis
	for _, r := range rp.regionsByDelay[b*rp.regionCount : (b+1)*rp.regionCount] {
		if int(r) == ownRegion || float64(rp.delayTo(b, int(r))) > float64(rp.delayTo(b, ownRegion))*(1-rp.limits.Hysteresis) {
			break
		}
		if rp.heldRegions[int(r)] {
			continue
		}
		if to, _ := rp.findSiteIn(b, rp.classes[b], int(r), fillShare); to != unplaced {
			rp.move(b, rp.classes[b], to)
			return
		}
	}
	rate := rp.servedRate(b, rp.classes[b])
	if rp.heldRegions[ownRegion] {
		return
	}
	if to, _ := rp.findSiteIn(b, rp.classes[b], ownRegion, fillShare); to != unplaced && rate > 0 && rp.utilization(siteIndex) > rp.limits.Hysteresis {
		limit, _ := rp.limitsAt(to)
		if rp.utilization(siteIndex)-(rp.utilization(to)+float64(rate)/float64(max(1, limit))) > rp.limits.Hysteresis {
			rp.move(b, rp.classes[b], to)
		}
	}
}
