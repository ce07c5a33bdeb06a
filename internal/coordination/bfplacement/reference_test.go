package bfplacement

import "time"

// naive decides by the same rules as Planner, but recomputes every load from all
// blocks and every single shift at each check.
type naive struct {
	*table
	l           Limits
	net         Network
	now         time.Time
	site, level []int
	moves       []naiveMove
	wasDown     []bool
	upSince     []time.Time
	seen, above []Rate
	fresh       bool
	// capHeld tells of demand that waits for a cap, held of the regions it waits for.
	capHeld bool
	held    map[int]bool
}

type naiveMove struct {
	at             time.Time
	b, from, to    int
	oldRate, rate  Rate
	oldBits        int64
	abroad, toCold bool
}

func newNaive(p *Planner) *naive {
	n := &naive{table: p.table, l: p.limits, fresh: true, site: make([]int, p.n), level: make([]int, p.n)}
	for b := range n.site {
		n.site[b] = unplaced
	}
	return n
}

func (n *naive) limits(at int) (site, region Rate) {
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

func (n *naive) loads(at int) (site, region Rate) {
	for b, s := range n.site {
		if s == unplaced {
			continue
		}
		if s == at {
			site += n.served(b, n.level[b])
		}
		if n.net.Sites[s].Region == n.net.Sites[at].Region {
			region += n.served(b, n.level[b])
		}
	}
	return site, region
}

func (n *naive) residual(at int) (site, region Rate) {
	for _, m := range n.moves {
		if m.from == unplaced || m.from == m.to || !m.at.Add(n.l.LookupTTL).After(n.now) || n.net.Sites[m.from].State == SiteDown {
			continue
		}
		if m.from == at {
			site += m.oldRate
		}
		if m.abroad && n.net.Sites[m.from].Region == n.net.Sites[at].Region {
			region += m.oldRate
		}
	}
	return site, region
}

func (n *naive) totals(at int) (site, region Rate) {
	site, region = n.loads(at)
	s, r := n.residual(at)
	for i, a := range n.above {
		if n.net.Sites[i].Region == n.net.Sites[at].Region {
			r += a
		}
	}
	return site + s + n.above[at], region + r
}

func (n *naive) link(a, b int, residual bool) (load, limit int64) {
	for i, s := range n.site {
		if s != unplaced && n.net.Sites[s].Region != int(n.home[i]) && pair(int(n.home[i]), n.net.Sites[s].Region, n.r) == pair(a, b, n.r) {
			load += n.servedBits(i, n.level[i])
		}
	}
	for _, m := range n.moves {
		if !residual || m.from == unplaced || !m.abroad || !m.at.Add(n.l.LookupTTL).After(n.now) || n.net.Sites[m.from].State == SiteDown {
			continue
		}
		if h, r := int(n.home[m.b]), n.net.Sites[m.from].Region; h != r && pair(h, r, n.r) == pair(a, b, n.r) {
			load += m.oldBits
		}
	}
	for _, l := range n.net.Links {
		if pair(l.A, l.B, n.r) == pair(a, b, n.r) {
			limit += l.BitsPerSecond
		}
	}
	return load, limit
}

func (n *naive) capLeft(at int) (all, cold Rate) {
	_, region := n.limits(at)
	all = Rate(float64(region) * n.l.ShiftCapShare)
	cold = Rate(float64(all) * n.l.ColdCapShare)
	for _, m := range n.moves {
		if m.at.Add(n.l.LookupTTL+n.l.ShiftInterval).After(n.now) && n.net.Sites[m.to].Region == n.net.Sites[at].Region {
			all -= m.rate
			if m.toCold {
				cold -= m.rate
			}
		}
	}
	return max(0, all), max(0, cold)
}

func (n *naive) cold(at int) bool {
	return n.net.Sites[at].Cold || (!n.upSince[at].IsZero() && n.now.Sub(n.upSince[at]) < n.l.WarmUp)
}

// fits returns 0 or a reason, with the rates that miss at the site and the region.
func (n *naive) fits(b, level, at int, fill float64) (regionWhy, siteWhy Reason, need Rate) {
	d, dBits := n.served(b, level), n.servedBits(b, level)
	region, own, inRegion, inBits := n.net.Sites[at].Region, Rate(0), Rate(0), int64(0)
	if s := n.site[b]; s != unplaced && n.net.Sites[s].Region == region {
		inRegion, inBits = n.served(b, n.level[b]), n.servedBits(b, n.level[b])
		if s == at {
			own = inRegion
		}
	}
	siteLimit, regionLimit := n.limits(at)
	siteLoad, regionLoad := n.totals(at)
	left, coldLeft := n.capLeft(at)
	if n.fresh {
		left, coldLeft = 1<<60, 1<<60
	}
	regionNeed, siteNeed := regionLoad+d-inRegion-part(regionLimit, fill), siteLoad+d-own-part(siteLimit, fill)
	load, limit := n.link(int(n.home[b]), region, true)
	switch {
	case d-own > left:
		regionWhy = n.capReason(d-own, regionLimit)
	case d-inRegion > 0 && regionNeed > 0:
		regionWhy, need = HeldByRegion, regionNeed
	case int(n.home[b]) != region && (limit == 0 || (dBits > inBits && float64(load+dBits-inBits) > float64(limit)*fill)):
		regionWhy = HeldByLink
	}
	s := n.net.Sites[at]
	switch {
	case s.State != SiteUp:
		siteWhy = HeldByOutage
	case s.MeasurementAge >= n.l.StaleAfter:
		siteWhy = HeldByStaleMeasurements
	case n.cold(at) && d-own > coldLeft:
		siteWhy = HeldByColdCap
	case d-own > 0 && siteNeed > 0:
		siteWhy, need = HeldBySite, max(need, siteNeed)
	}
	return regionWhy, siteWhy, need
}

func (n *naive) capReason(rate, regionLimit Rate) Reason {
	if regionLimit > 0 && rate > Rate(float64(regionLimit)*n.l.ShiftCapShare) {
		return HeldByBlockSize
	}
	return HeldByShiftCap
}

func (n *naive) used(at int) float64 {
	load, _ := n.totals(at)
	limit, _ := n.limits(at)
	return float64(load) / float64(max(1, limit))
}

func (n *naive) findIn(b, level, region int, fill float64) (best int, why Reason) {
	best, why = unplaced, HeldByOutage
	most := 0.0
	for at, s := range n.net.Sites {
		if s.Region != region {
			continue
		}
		// The region's part of the check treats the block as one that moves.
		rw, sw, _ := n.fits(b, level, at, fill)
		if at == n.site[b] {
			if left, _ := n.capLeft(at); !n.fresh && n.served(b, level) > left {
				_, limit := n.limits(at)
				return unplaced, n.capReason(n.served(b, level), limit)
			}
			continue
		}
		if rw != 0 {
			return unplaced, rw
		}
		if sw != 0 {
			why = min(why, sw)
		} else if free := 1 - n.used(at); best == unplaced || free > most {
			best, most = at, free
		}
	}
	if best != unplaced {
		why = 0
	}
	return best, why
}

func (n *naive) move(b, level, to int) {
	m := naiveMove{at: n.now, b: b, from: n.site[b], to: to, oldRate: n.served(b, n.level[b]), oldBits: n.servedBits(b, n.level[b]), toCold: n.cold(to)}
	m.rate = n.served(b, level)
	if m.from == to {
		m.rate -= m.oldRate
	} else if m.from != unplaced {
		m.abroad = n.net.Sites[m.from].Region != n.net.Sites[to].Region
	}
	if !n.fresh {
		n.moves = append(n.moves, m)
	}
	n.site[b], n.level[b] = to, level
}

func (n *naive) evict(at, lowest int, need Rate) {
	for c := n.k - 1; c >= lowest; c-- {
		for b := 0; b < n.n && need > 0; b++ {
			if n.site[b] == at && n.level[b] == c+1 {
				need -= n.served(b, c+1) - n.served(b, c)
				n.level[b]--
			}
		}
	}
}

func (n *naive) evictOverLimit() {
	for at := range n.net.Sites {
		load, _ := n.loads(at)
		limit, _ := n.limits(at)
		n.evict(at, 0, load-limit)
	}
	for r := range n.net.Regions {
		for c := n.k - 1; c >= 0; c-- {
			for at, s := range n.net.Sites {
				if s.Region == r {
					_, load := n.loads(at)
					_, limit := n.limits(at)
					n.evict(at, c, load-limit)
				}
			}
		}
	}
	for a := range n.r {
		for z := a + 1; z < n.r; z++ {
			n.evictLink(a, z)
		}
	}
}

func (n *naive) evictLink(a, z int) {
	for c := n.k - 1; c >= 0; c-- {
		for b, at := range n.site {
			load, limit := n.link(a, z, false)
			if load <= limit || at == unplaced || n.level[b] != c+1 {
				continue
			}
			if h, r := int(n.home[b]), n.net.Sites[at].Region; h != r && pair(h, r, n.r) == pair(a, z, n.r) {
				n.level[b]--
			}
		}
	}
}

func (n *naive) step(now time.Time, net Network) {
	n.now, n.net, n.capHeld, n.held = now, net, false, map[int]bool{}
	if n.seen == nil {
		n.seen, n.wasDown, n.upSince = make([]Rate, len(net.Sites)), make([]bool, len(net.Sites)), make([]time.Time, len(net.Sites))
	}
	for i, s := range net.Sites {
		if s.MeasurementAge < n.l.StaleAfter {
			n.seen[i] = s.Load
		}
		if s.State == SiteDown {
			n.seen[i] = 0
		} else if n.wasDown[i] {
			n.upSince[i] = now
		}
		n.wasDown[i] = s.State == SiteDown
	}
	for b, s := range n.site {
		if s != unplaced && net.Sites[s].State == SiteDown {
			n.site[b], n.level[b] = unplaced, 0
		}
	}
	above := make([]Rate, len(net.Sites))
	n.above = make([]Rate, len(net.Sites))
	for i, s := range net.Sites {
		load, _ := n.loads(i)
		left, _ := n.residual(i)
		if s.State != SiteDown {
			above[i] = max(0, n.seen[i]-load-left)
		}
	}
	n.above = above
	n.evictOverLimit()
	for c := range n.k {
		for b := range n.site {
			if n.level[b] == c && (c == 0 || n.site[b] != unplaced) {
				n.admit(b, c)
			}
		}
	}
	for b, s := range n.site {
		if s != unplaced && net.Sites[s].State == SiteDraining {
			if why, region := n.find(b, n.level[b], true); why != 0 {
				n.hold(why, region)
			}
		}
	}
	for b := 0; b < n.n && !n.capHeld && !n.fresh; b++ {
		n.improve(b)
	}
	n.fresh = false
}

func (n *naive) hold(why Reason, region int) {
	n.held[region] = true
	n.capHeld = n.capHeld || why == HeldByShiftCap || why == HeldByColdCap
}

// find moves the block, or returns why and for which region it waits.
func (n *naive) find(b, level int, patient bool) (first Reason, region int) {
	for i := range n.r {
		r := int(n.order[b*n.r+i])
		to, why := n.findIn(b, level, r, 1)
		if to != unplaced {
			n.move(b, level, to)
			return 0, 0
		}
		if patient && (why == HeldByShiftCap || why == HeldByColdCap) {
			return why, r
		}
		if i == 0 {
			first, region = why, r
		}
	}
	return first, region
}

func (n *naive) admit(b, c int) {
	if at := n.site[b]; at != unplaced {
		if rw, sw, _ := n.fits(b, c+1, at, 1); rw == 0 && sw == 0 {
			n.move(b, c+1, at)
			return
		}
	}
	why, region := n.find(b, c+1, false)
	if why == 0 {
		return
	}
	if (why != HeldBySite && why != HeldByRegion) || c+1 == n.k {
		n.hold(why, region)
		return
	}
	for _, r := range n.order[b*n.r : (b+1)*n.r] {
		for at, s := range n.net.Sites {
			if s.Region == int(r) && n.admitByEviction(b, c+1, at) {
				return
			}
		}
	}
	n.hold(why, region)
}

func (n *naive) admitByEviction(b, level, at int) bool {
	rw, sw, need := n.fits(b, level, at, 1)
	if (rw != 0 && rw != HeldByRegion) || (sw != 0 && sw != HeldBySite) {
		return false
	}
	free := Rate(0)
	for i, s := range n.site {
		if s == at && n.level[i] > level {
			free += n.served(i, n.level[i]) - n.served(i, level)
		}
	}
	if free < need {
		return false
	}
	n.evict(at, level, need)
	if rw, sw, _ = n.fits(b, level, at, 1); rw != 0 || sw != 0 {
		return false
	}
	n.move(b, level, at)
	return true
}

func (n *naive) improve(b int) {
	at := n.site[b]
	if at == unplaced || n.net.Sites[at].State != SiteUp {
		return
	}
	own, fill := n.net.Sites[at].Region, 1-n.l.Hysteresis
	for _, r := range n.order[b*n.r : (b+1)*n.r] {
		if int(r) == own || float64(n.delay(b, int(r))) > float64(n.delay(b, own))*(1-n.l.Hysteresis) {
			break
		}
		if n.held[int(r)] {
			continue
		}
		if to, _ := n.findIn(b, n.level[b], int(r), fill); to != unplaced {
			n.move(b, n.level[b], to)
			return
		}
	}
	rate := n.served(b, n.level[b])
	if n.held[own] {
		return
	}
	if to, _ := n.findIn(b, n.level[b], own, fill); to != unplaced && rate > 0 && n.used(at) > n.l.Hysteresis {
		limit, _ := n.limits(to)
		if n.used(at)-(n.used(to)+float64(rate)/float64(max(1, limit))) > n.l.Hysteresis {
			n.move(b, n.level[b], to)
		}
	}
}
