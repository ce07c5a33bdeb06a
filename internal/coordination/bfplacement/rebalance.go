package bfplacement

import "math"

// drain moves blocks off draining sites as far as the limits allow.
func (p *Planner) drain(s *step) {
	index := make([]int, len(s.Sites))
	for at, site := range s.Sites {
		if site.State == SiteDraining {
			s.plan.Drains = append(s.plan.Drains, DrainProgress{Site: at})
			index[at] = len(s.plan.Drains)
		}
	}
	if len(s.plan.Drains) == 0 {
		return
	}
	for b := range p.n {
		at := int(p.site[b])
		if at == unplaced || index[at] == 0 {
			continue
		}
		q := search{b: b, level: int(p.level[b]), fill: 1, cause: CauseDrain, patient: true}
		to, region, reason, passing := p.find(s, q)
		if to != unplaced {
			p.move(s, q, to)
			continue
		}
		d, rate := &s.plan.Drains[index[at]-1], p.served(b, q.level)
		d.Blocks++
		d.Remaining += rate
		d.WouldBreakLimit = d.WouldBreakLimit || !passing
		s.hold(region, reason, rate)
	}
}

// improve moves blocks whose delay or whose site's load another site betters by
// more than the hysteresis. It fills destinations only up to the hysteresis below
// their limits, so that a block that was moved for room does not return at once, and
// leaves regions alone whose callers' demand is held back.
func (p *Planner) improve(s *step) {
	if s.unlimited {
		return
	}
	for b := range p.n {
		at := int(p.site[b])
		if at == unplaced || s.Sites[at].State != SiteUp {
			continue
		}
		q := search{b: b, level: int(p.level[b]), fill: 1 - p.limits.Hysteresis, cause: CauseDelay}
		if to := p.findNearer(s, q, s.Sites[at].Region); to != unplaced {
			p.move(s, q, to)
			continue
		}
		q.cause = CauseBalance
		if to := p.findIdler(s, q, at); to != unplaced {
			p.move(s, q, to)
		}
	}
}

func (p *Planner) findNearer(s *step, q search, region int) int {
	now := float64(p.delay(q.b, region))
	for _, r := range p.order[q.b*p.r : (q.b+1)*p.r] {
		if int(r) == region || float64(p.delay(q.b, int(r))) > now*(1-p.limits.Hysteresis) {
			return unplaced
		}
		if s.contested(int(r)) {
			continue
		}
		if to, why := p.findIn(s, q, int(r)); why == 0 {
			return to
		}
	}
	return unplaced
}

func (p *Planner) findIdler(s *step, q search, at int) int {
	if p.served(q.b, q.level) == 0 {
		return unplaced
	}
	if s.contested(s.Sites[at].Region) || p.isBalanced(s, s.Sites[at].Region) {
		return unplaced
	}
	own := p.used(s, at)
	if own <= p.limits.Hysteresis {
		return unplaced
	}
	to, why := p.findIn(s, q, s.Sites[at].Region)
	if why != 0 {
		return unplaced
	}
	after := p.used(s, to) + float64(p.served(q.b, q.level))/float64(max(1, s.siteLimit[to]))
	if own-after <= p.limits.Hysteresis {
		return unplaced
	}
	return to
}

func (p *Planner) isBalanced(s *step, region int) bool {
	if s.balance[region] == unknown {
		low, high := math.Inf(1), 0.0
		for _, at := range s.bySite[region] {
			if s.Sites[at].State == SiteUp {
				low, high = min(low, p.used(s, at)), max(high, p.used(s, at))
			}
		}
		s.balance[region] = unbalanced
		if high-low <= p.limits.Hysteresis {
			s.balance[region] = balanced
		}
	}
	return s.balance[region] == balanced
}

func (p *Planner) used(s *step, at int) float64 {
	return float64(p.load.site[at]+s.extra.site[at]) / float64(max(1, s.siteLimit[at]))
}
