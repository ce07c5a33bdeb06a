package bfplacement

// findByEviction makes room for the search by refusing less urgent classes at the
// nearest site where they suffice. It returns -1 where they suffice nowhere.
func (p *Planner) findByEviction(s *step, q search) int {
	if q.level == p.k {
		return unplaced
	}
	for _, r := range p.order[q.b*p.r : (q.b+1)*p.r] {
		for _, at := range s.bySite[r] {
			if p.evictFor(s, q, at) {
				return at
			}
		}
	}
	return unplaced
}

func (p *Planner) evictFor(s *step, q search, at int) bool {
	region := s.Sites[at].Region
	if why := p.fitsRegion(s, q, region, at); why != 0 && why != HeldByRegion {
		return false
	}
	if why := p.fitsSite(s, q, at); why != 0 && why != HeldBySite {
		return false
	}
	need := max(p.regionNeed(s, q, region), p.siteNeed(s, q, at))
	free := Rate(0)
	for c := q.level; c < p.k; c++ {
		free += p.load.class[at*p.k+c]
	}
	if free < need {
		return false
	}
	p.evict(s, at, q.level, need)
	return p.fits(s, q, at) == 0
}

// evict refuses classes of the blocks at a site, the least urgent first and none
// more urgent than the class given as lowest, until the needed rate is free. Blocks
// before a cursor hold nothing of its class: a class is only admitted in its own
// pass, which comes after the evictions for all more urgent ones.
func (p *Planner) evict(s *step, at, lowest int, need Rate) Rate {
	for c := p.k - 1; c >= lowest && need > 0; c-- {
		cursor := &s.cursor[at*p.k+c]
		for ; *cursor < p.n && need > 0; *cursor++ {
			b := *cursor
			if int(p.site[b]) == at && int(p.level[b]) == c+1 {
				need -= p.lower(s, b)
			}
		}
	}
	return need
}

// lower refuses the least urgent served class of a block.
func (p *Planner) lower(s *step, b int) Rate {
	level := int(p.level[b])
	p.addLoad(s, b, int(p.site[b]), level, level-1)
	p.level[b]--
	s.changed = true
	return p.served(b, level) - p.served(b, level-1)
}

// evictOverLimit refuses what exceeds a limit after demand grew or capacity fell.
func (p *Planner) evictOverLimit(s *step) {
	for at := range s.Sites {
		p.evict(s, at, 0, p.load.site[at]-s.siteLimit[at])
	}
	for r := range s.Regions {
		p.evictRegion(s, r)
	}
	for link, limit := range s.linkLimit {
		if p.load.link[link] > limit {
			p.evictLink(s, link, limit)
		}
	}
}

func (p *Planner) evictRegion(s *step, r int) {
	for c := p.k - 1; c >= 0; c-- {
		for _, at := range s.bySite[r] {
			if need := p.load.region[r] - s.regionLimit[r]; need > 0 {
				p.evict(s, at, c, need)
			}
		}
	}
}

func (p *Planner) evictLink(s *step, link int, limit int64) {
	for c := p.k - 1; c >= 0; c-- {
		for b := 0; b < p.n && p.load.link[link] > limit; b++ {
			at := p.site[b]
			if at == unplaced || int(p.level[b]) != c+1 {
				continue
			}
			home, region := int(p.home[b]), s.Sites[at].Region
			if home != region && pair(home, region, p.r) == link {
				p.lower(s, b)
			}
		}
	}
}
