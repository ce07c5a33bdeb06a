package bfplacement

// siteSearch describes the search for a site for one block.
type siteSearch struct {
	block, classes int
	// fillShare is the share of each limit that may be used.
	fillShare float64
	cause     ShiftCause
	// waitForCap waits for the cap of a nearer region instead of trying farther ones.
	waitForCap bool
}

// admit tries to serve one more class of every block that serves all more urgent ones.
// Running it class by class gives capacity and shift caps to urgent classes first.
func (p *Planner) admit(s *stepState, class int) {
	for b := range p.blockCount {
		if int(p.classes[b]) != class || (class > 0 && p.site[b] == unplaced) {
			continue
		}
		q := siteSearch{block: b, classes: class + 1, fillShare: 1}
		if site := int(p.site[b]); site != unplaced && p.holdReason(s, q, site) == 0 {
			p.move(s, q, site)
			continue
		}
		to, region, reason, _ := p.findSite(s, q)
		if reason == HeldBySite || reason == HeldByRegion {
			to = p.findSiteByEviction(s, q)
		}
		if to != unplaced {
			p.move(s, q, to)
			continue
		}
		s.holdBack(region, reason, p.servedRate(b, p.classCount)-p.servedRate(b, class))
	}
}

// findSite returns the best site of the nearest region that can take the block. If there
// is none, it returns the region and the limit that hold the block back: those of the
// nearest region, or of the one whose cap the search waits for. temporary reports whether
// a later step may lift the limit of any region.
func (p *Planner) findSite(s *stepState, q siteSearch) (to, region int, nearestReason Reason, temporary bool) {
	for i, r := range p.regionsByDelay[q.block*p.regionCount : (q.block+1)*p.regionCount] {
		site, reason := p.findSiteIn(s, q, int(r))
		if reason == 0 {
			return site, int(r), 0, false
		}
		if i == 0 {
			region, nearestReason = int(r), reason
		}
		if q.waitForCap && (reason == HeldByShiftCap || reason == HeldByColdCap) {
			return unplaced, int(r), reason, true
		}
		temporary = temporary || reason == HeldByShiftCap || reason == HeldByColdCap || reason == HeldByStaleMeasurements
	}
	return unplaced, region, nearestReason, temporary
}

// findSiteIn returns the region's site with the most headroom, except the block's current
// site.
func (p *Planner) findSiteIn(s *stepState, q siteSearch, region int) (int, Reason) {
	if reason := p.regionHoldReason(s, q, region, unplaced); reason != 0 {
		return unplaced, reason
	}
	best, mostFree, lowestReason := unplaced, 0.0, HeldByOutage
	for _, site := range s.sitesInRegion[region] {
		if site == int(p.site[q.block]) {
			continue
		}
		if reason := p.siteHoldReason(s, q, site); reason != 0 {
			if reason < lowestReason {
				lowestReason = reason
			}
			continue
		}
		free := 1 - float64(p.load.site[site]+s.extraLoad.site[site])/float64(max(1, s.siteLimit[site]))
		if best == unplaced || free > mostFree {
			best, mostFree = site, free
		}
	}
	if best != unplaced {
		return best, 0
	}
	return unplaced, lowestReason
}

// holdReason returns the limit that holds the block back from the site, or 0 if the block
// fits.
func (p *Planner) holdReason(s *stepState, q siteSearch, site int) Reason {
	if reason := p.regionHoldReason(s, q, s.Sites[site].Region, site); reason != 0 {
		return reason
	}
	return p.siteHoldReason(s, q, site)
}

// regionHoldReason returns which of the cap, the region's limit and the link holds the
// block back, or 0 if none does. site is the candidate, or unplaced for any site but the
// block's current one.
func (p *Planner) regionHoldReason(s *stepState, q siteSearch, region, site int) Reason {
	if rate := p.shiftRate(q, site); rate > max(0, s.shiftCapLeft[region]) && !s.uncapped {
		if rate > s.shiftCap[region] && s.regionLimit[region] > 0 {
			return HeldByBlockSize
		}
		return HeldByShiftCap
	}
	if p.regionExcess(s, q, region) > 0 {
		return HeldByRegion
	}
	home := int(p.homeRegion[q.block])
	if home == region {
		return 0
	}
	link := linkIndex(home, region, p.regionCount)
	bits := p.servedBits(q.block, q.classes) - p.servedBits(q.block, p.classesIn(s, q.block, region))
	limit := float64(s.linkLimit[link]) * q.fillShare
	if s.linkLimit[link] == 0 || (bits > 0 && float64(p.load.link[link]+s.extraLoad.link[link]+bits) > limit) {
		return HeldByLink
	}
	return 0
}

func (p *Planner) siteHoldReason(s *stepState, q siteSearch, site int) Reason {
	switch rate := p.shiftRate(q, site); {
	case s.Sites[site].State != SiteUp:
		return HeldByOutage
	case s.stale[site]:
		return HeldByStaleMeasurements
	case s.cold[site] && rate > max(0, s.coldCapLeft[s.Sites[site].Region]) && !s.uncapped:
		return HeldByColdCap
	case p.siteExcess(s, q, site) > 0:
		return HeldBySite
	}
	return 0
}

// regionExcess returns the rate by which the block would exceed the region's limit. A
// value of at most 0 means that the block fits. A block that stays in its region adds
// only its new classes.
func (p *Planner) regionExcess(s *stepState, q siteSearch, region int) Rate {
	added := p.servedRate(q.block, q.classes) - p.servedRate(q.block, p.classesIn(s, q.block, region))
	if added <= 0 {
		return 0
	}
	return p.load.region[region] + s.extraLoad.region[region] + added - scaleLimit(s.regionLimit[region], q.fillShare)
}

func (p *Planner) siteExcess(s *stepState, q siteSearch, site int) Rate {
	added := p.shiftRate(q, site)
	if added <= 0 {
		return 0
	}
	return p.load.site[site] + s.extraLoad.site[site] + added - scaleLimit(s.siteLimit[site], q.fillShare)
}

func scaleLimit(limit Rate, share float64) Rate {
	if share == 1 {
		return limit
	}
	return Rate(float64(limit) * share)
}

// classesIn returns how many of the block's classes the region serves now.
func (p *Planner) classesIn(s *stepState, b, region int) int {
	if site := p.site[b]; site != unplaced && s.Sites[site].Region == region {
		return int(p.classes[b])
	}
	return 0
}

// shiftRate returns the rate that a site gains from the result of a search.
func (p *Planner) shiftRate(q siteSearch, site int) Rate {
	if site != unplaced && int(p.site[q.block]) == site {
		return p.servedRate(q.block, q.classes) - p.servedRate(q.block, int(p.classes[q.block]))
	}
	return p.servedRate(q.block, q.classes)
}

// move assigns the search's block to a site, with the search's number of classes.
func (p *Planner) move(s *stepState, q siteSearch, to int) {
	from, oldClasses, home := int(p.site[q.block]), int(p.classes[q.block]), int(p.homeRegion[q.block])
	region, rate, residualRate := s.Sites[to].Region, p.shiftRate(q, to), Rate(0)
	if from != unplaced {
		p.updateLoad(s, q.block, from, oldClasses, 0)
		if from != to && !s.uncapped {
			residualRate = p.servedRate(q.block, oldClasses)
			p.recordResidual(s, residualLoad{
				expires: s.now.Add(p.limits.LookupTTL), site: from, homeRegion: home,
				leftRegion: s.Sites[from].Region != region,
				rate:       residualRate, bits: p.servedBits(q.block, oldClasses),
			})
		}
	}
	p.updateLoad(s, q.block, to, 0, q.classes)
	p.site[q.block], p.classes[q.block] = int16(to), int8(q.classes)
	s.changed = true
	s.balance[region] = balanceUnknown
	if from != unplaced {
		s.balance[s.Sites[from].Region] = balanceUnknown
	}
	if s.uncapped {
		return
	}
	p.chargeCap(s, region, s.cold[to], rate)
	s.plan.Shifts = append(s.plan.Shifts, Shift{
		Block: int32(q.block), From: int16(from), To: int16(to), Classes: int8(q.classes), Cause: q.cause, Rate: rate, ResidualRate: residualRate,
	})
}

func (p *Planner) recordResidual(s *stepState, r residualLoad) {
	s.addResidual(r)
	i := (r.site*p.regionCount + r.homeRegion) * 2
	if r.leftRegion {
		i++
	}
	r.rate += s.newResiduals[i].rate
	r.bits += s.newResiduals[i].bits
	s.newResiduals[i] = r
}

func (p *Planner) chargeCap(s *stepState, region int, cold bool, rate Rate) {
	i := region * 2
	s.shiftCapLeft[region] -= rate
	if cold {
		i++
		s.coldCapLeft[region] -= rate
	}
	s.newCapCharges[i] = capCharge{
		expires: s.now.Add(p.limits.LookupTTL + p.limits.ShiftInterval),
		region:  region, cold: cold, rate: s.newCapCharges[i].rate + rate,
	}
}

func (s *stepState) holdBack(region int, reason Reason, rate Rate) {
	h := &s.held[region*reasonCount+int(reason)]
	h.Region, h.Reason = region, reason
	h.Blocks++
	h.Rate += rate
}

// hasDemandHeldByCap reports whether demand waits for a shift cap. Moves for delay or
// balance would use up the cap that it waits for.
func (s *stepState) hasDemandHeldByCap() bool {
	for _, h := range s.held {
		if h.Blocks > 0 && (h.Reason == HeldByShiftCap || h.Reason == HeldByColdCap) {
			return true
		}
	}
	return false
}

// hasHeldDemand reports whether demand for the region is held back.
func (s *stepState) hasHeldDemand(region int) bool {
	for _, h := range s.held[region*reasonCount : (region+1)*reasonCount] {
		if h.Blocks > 0 {
			return true
		}
	}
	return false
}
