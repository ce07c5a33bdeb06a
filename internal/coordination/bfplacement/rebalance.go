package bfplacement

import "math"

// moveOffDrainingSites moves blocks off draining sites as far as the limits allow.
func (p *Planner) moveOffDrainingSites(s *stepState) {
	index := make([]int, len(s.Sites))
	for i, site := range s.Sites {
		if site.State == SiteDraining {
			s.plan.Drains = append(s.plan.Drains, DrainProgress{Site: i})
			index[i] = len(s.plan.Drains)
		}
	}
	if len(s.plan.Drains) == 0 {
		return
	}
	for b := range p.blockCount {
		site := int(p.site[b])
		if site == unplaced || index[site] == 0 {
			continue
		}
		q := siteSearch{block: b, classes: int(p.classes[b]), fillShare: 1, cause: CauseDrain, waitForCap: true}
		to, region, reason, temporary := p.findSite(s, q)
		if to != unplaced {
			p.move(s, q, to)
			continue
		}
		d, rate := &s.plan.Drains[index[site]-1], p.servedRate(b, q.classes)
		d.Blocks++
		d.Remaining += rate
		d.WouldBreakLimit = d.WouldBreakLimit || !temporary
		s.holdBack(region, reason, rate)
	}
}

// rebalance moves blocks to sites with a delay or utilization that is better by more than
// the hysteresis. Destinations are filled only up to 1-Hysteresis of their limits, so
// that a block that moved for lack of capacity does not return at once. Regions for which
// demand is held back receive no blocks.
func (p *Planner) rebalance(s *stepState) {
	if s.uncapped {
		return
	}
	for b := range p.blockCount {
		site := int(p.site[b])
		if site == unplaced || s.Sites[site].State != SiteUp {
			continue
		}
		q := siteSearch{block: b, classes: int(p.classes[b]), fillShare: 1 - p.limits.Hysteresis, cause: CauseDelay}
		if to := p.findNearerSite(s, q, s.Sites[site].Region); to != unplaced {
			p.move(s, q, to)
			continue
		}
		q.cause = CauseBalance
		if to := p.findLessLoadedSite(s, q, site); to != unplaced {
			p.move(s, q, to)
		}
	}
}

func (p *Planner) findNearerSite(s *stepState, q siteSearch, region int) int {
	currentDelay := float64(p.delayTo(q.block, region))
	for _, r := range p.regionsByDelay[q.block*p.regionCount : (q.block+1)*p.regionCount] {
		if int(r) == region || float64(p.delayTo(q.block, int(r))) > currentDelay*(1-p.limits.Hysteresis) {
			return unplaced
		}
		if s.hasHeldDemand(int(r)) {
			continue
		}
		if to, reason := p.findSiteIn(s, q, int(r)); reason == 0 {
			return to
		}
	}
	return unplaced
}

func (p *Planner) findLessLoadedSite(s *stepState, q siteSearch, site int) int {
	if p.servedRate(q.block, q.classes) == 0 {
		return unplaced
	}
	if s.hasHeldDemand(s.Sites[site].Region) || p.isBalanced(s, s.Sites[site].Region) {
		return unplaced
	}
	current := p.utilization(s, site)
	if current <= p.limits.Hysteresis {
		return unplaced
	}
	to, reason := p.findSiteIn(s, q, s.Sites[site].Region)
	if reason != 0 {
		return unplaced
	}
	after := p.utilization(s, to) + float64(p.servedRate(q.block, q.classes))/float64(max(1, s.siteLimit[to]))
	if current-after <= p.limits.Hysteresis {
		return unplaced
	}
	return to
}

func (p *Planner) isBalanced(s *stepState, region int) bool {
	if s.balance[region] == balanceUnknown {
		low, high := math.Inf(1), 0.0
		for _, site := range s.sitesInRegion[region] {
			if s.Sites[site].State == SiteUp {
				low, high = min(low, p.utilization(s, site)), max(high, p.utilization(s, site))
			}
		}
		s.balance[region] = balanceUneven
		if high-low <= p.limits.Hysteresis {
			s.balance[region] = balanceEven
		}
	}
	return s.balance[region] == balanceEven
}

func (p *Planner) utilization(s *stepState, site int) float64 {
	return float64(p.load.site[site]+s.extraLoad.site[site]) / float64(max(1, s.siteLimit[site]))
}
