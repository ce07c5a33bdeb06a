package bfplacement

// findSiteByEviction frees capacity for the block by evicting less urgent classes at the
// nearest site where that is enough. It returns unplaced (-1) if there is no such site.
func (p *Planner) findSiteByEviction(s *stepState, q siteSearch) int {
	if q.classes == p.classCount {
		return unplaced
	}
	for _, r := range p.regionsByDelay[q.block*p.regionCount : (q.block+1)*p.regionCount] {
		for _, site := range s.sitesInRegion[r] {
			if p.makeRoomAt(s, q, site) {
				return site
			}
		}
	}
	return unplaced
}

func (p *Planner) makeRoomAt(s *stepState, q siteSearch, site int) bool {
	region := s.Sites[site].Region
	if reason := p.regionHoldReason(s, q, region, site); reason != 0 && reason != HeldByRegion {
		return false
	}
	if reason := p.siteHoldReason(s, q, site); reason != 0 && reason != HeldBySite {
		return false
	}
	excess := max(p.regionExcess(s, q, region), p.siteExcess(s, q, site))
	evictable := Rate(0)
	for class := q.classes; class < p.classCount; class++ {
		evictable += p.load.class[site*p.classCount+class]
	}
	if evictable < excess {
		return false
	}
	p.evictClasses(s, site, q.classes, excess)
	return p.holdReason(s, q, site) == 0
}

// evictClasses evicts classes of the blocks at a site, the least urgent first and none
// more urgent than mostUrgent, until the needed rate is free. It returns the rate that is
// still missing. Blocks before the cursor of a site and class no longer serve that class:
// a class is admitted only in its own pass, which comes after the evictions for all more
// urgent classes.
func (p *Planner) evictClasses(s *stepState, site, mostUrgent int, need Rate) Rate {
	for class := p.classCount - 1; class >= mostUrgent && need > 0; class-- {
		cursor := &s.evictCursor[site*p.classCount+class]
		for ; *cursor < p.blockCount && need > 0; *cursor++ {
			b := *cursor
			if int(p.site[b]) == site && int(p.classes[b]) == class+1 {
				need -= p.evictLeastUrgentClass(s, b)
			}
		}
	}
	return need
}

// evictLeastUrgentClass stops serving the least urgent served class of a block and
// returns the rate that this frees.
func (p *Planner) evictLeastUrgentClass(s *stepState, b int) Rate {
	classes := int(p.classes[b])
	p.updateLoad(s, b, int(p.site[b]), classes, classes-1)
	p.classes[b]--
	s.changed = true
	return p.servedRate(b, classes) - p.servedRate(b, classes-1)
}

// evictOverLimit evicts classes that exceed a limit after demand grew or capacity fell.
func (p *Planner) evictOverLimit(s *stepState) {
	for site := range s.Sites {
		p.evictClasses(s, site, 0, p.load.site[site]-s.siteLimit[site])
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

func (p *Planner) evictRegion(s *stepState, region int) {
	for class := p.classCount - 1; class >= 0; class-- {
		for _, site := range s.sitesInRegion[region] {
			if excess := p.load.region[region] - s.regionLimit[region]; excess > 0 {
				p.evictClasses(s, site, class, excess)
			}
		}
	}
}

func (p *Planner) evictLink(s *stepState, link int, limit int64) {
	for class := p.classCount - 1; class >= 0; class-- {
		for b := 0; b < p.blockCount && p.load.link[link] > limit; b++ {
			site := p.site[b]
			if site == unplaced || int(p.classes[b]) != class+1 {
				continue
			}
			home, region := int(p.homeRegion[b]), s.Sites[site].Region
			if home != region && linkIndex(home, region, p.regionCount) == link {
				p.evictLeastUrgentClass(s, b)
			}
		}
	}
}
