package bfplacement

// search is a look for a new site for one block.
type search struct {
	b, level int
	// fill is the share of each limit that may be used.
	fill  float64
	cause ShiftCause
	// patient waits for the caps of nearer regions instead of going further.
	patient bool
}

// admit tries to serve one more class of every block that serves all more urgent
// ones. Running it class by class gives room and caps to urgent classes first.
func (p *Planner) admit(s *step, c int) {
	for b := range p.n {
		if int(p.level[b]) != c || (c > 0 && p.site[b] == unplaced) {
			continue
		}
		q := search{b: b, level: c + 1, fill: 1}
		if at := int(p.site[b]); at != unplaced && p.fits(s, q, at) == 0 {
			p.move(s, q, at)
			continue
		}
		to, region, reason, _ := p.find(s, q)
		if reason == HeldBySite || reason == HeldByRegion {
			to = p.findByEviction(s, q)
		}
		if to != unplaced {
			p.move(s, q, to)
			continue
		}
		s.hold(region, reason, p.served(b, p.k)-p.served(b, c))
	}
}

// find returns the best site of the nearest region that takes the block. Where
// there is none it returns the nearest region's reason, and whether a later step
// may lift any region's.
func (p *Planner) find(s *step, q search) (to, region int, reason Reason, passing bool) {
	for i, r := range p.order[q.b*p.r : (q.b+1)*p.r] {
		at, why := p.findIn(s, q, int(r))
		if why == 0 {
			return at, int(r), 0, false
		}
		if i == 0 {
			region, reason = int(r), why
		}
		if q.patient && (why == HeldByShiftCap || why == HeldByColdCap) {
			return unplaced, int(r), why, true
		}
		passing = passing || why == HeldByShiftCap || why == HeldByColdCap || why == HeldByStaleMeasurements
	}
	return unplaced, region, reason, passing
}

// findIn returns the region's site with the most headroom, other than the block's.
func (p *Planner) findIn(s *step, q search, region int) (int, Reason) {
	if why := p.fitsRegion(s, q, region, unplaced); why != 0 {
		return unplaced, why
	}
	best, most, reason := unplaced, 0.0, HeldByOutage
	for _, at := range s.bySite[region] {
		if at == int(p.site[q.b]) {
			continue
		}
		if why := p.fitsSite(s, q, at); why != 0 {
			if why < reason {
				reason = why
			}
			continue
		}
		free := 1 - float64(p.load.site[at]+s.extra.site[at])/float64(max(1, s.siteLimit[at]))
		if best == unplaced || free > most {
			best, most = at, free
		}
	}
	if best != unplaced {
		return best, 0
	}
	return unplaced, reason
}

func (p *Planner) fits(s *step, q search, at int) Reason {
	if why := p.fitsRegion(s, q, s.Sites[at].Region, at); why != 0 {
		return why
	}
	return p.fitsSite(s, q, at)
}

// fitsRegion checks the cap, the region's limit and the link; at is the site where
// the block stays, if it does.
func (p *Planner) fitsRegion(s *step, q search, region, at int) Reason {
	if rate := p.shiftRate(q, at); rate > max(0, s.capLeft[region]) && !s.unlimited {
		if rate > s.capFull[region] && s.regionLimit[region] > 0 {
			return HeldByBlockSize
		}
		return HeldByShiftCap
	}
	if p.regionNeed(s, q, region) > 0 {
		return HeldByRegion
	}
	home := int(p.home[q.b])
	if home == region {
		return 0
	}
	link := pair(home, region, p.r)
	bits := p.servedBits(q.b, q.level) - p.servedBits(q.b, p.levelIn(s, q.b, region))
	limit := float64(s.linkLimit[link]) * q.fill
	if s.linkLimit[link] == 0 || (bits > 0 && float64(p.load.link[link]+s.extra.link[link]+bits) > limit) {
		return HeldByLink
	}
	return 0
}

func (p *Planner) fitsSite(s *step, q search, at int) Reason {
	switch rate := p.shiftRate(q, at); {
	case s.Sites[at].State != SiteUp:
		return HeldByOutage
	case s.frozen[at]:
		return HeldByStaleMeasurements
	case s.cold[at] && rate > max(0, s.coldLeft[s.Sites[at].Region]) && !s.unlimited:
		return HeldByColdCap
	case p.siteNeed(s, q, at) > 0:
		return HeldBySite
	}
	return 0
}

// regionNeed returns the rate by which the block would exceed the region's limit.
// A block that stays in its region adds only its new classes.
func (p *Planner) regionNeed(s *step, q search, region int) Rate {
	add := p.served(q.b, q.level) - p.served(q.b, p.levelIn(s, q.b, region))
	if add <= 0 {
		return 0
	}
	return p.load.region[region] + s.extra.region[region] + add - part(s.regionLimit[region], q.fill)
}

func (p *Planner) siteNeed(s *step, q search, at int) Rate {
	add := p.shiftRate(q, at)
	if add <= 0 {
		return 0
	}
	return p.load.site[at] + s.extra.site[at] + add - part(s.siteLimit[at], q.fill)
}

func part(limit Rate, share float64) Rate {
	if share == 1 {
		return limit
	}
	return Rate(float64(limit) * share)
}

// levelIn returns how many of the block's classes the region serves now.
func (p *Planner) levelIn(s *step, b, region int) int {
	if at := p.site[b]; at != unplaced && s.Sites[at].Region == region {
		return int(p.level[b])
	}
	return 0
}

// shiftRate returns the rate that a site gains by the search's result.
func (p *Planner) shiftRate(q search, at int) Rate {
	if at != unplaced && int(p.site[q.b]) == at {
		return p.served(q.b, q.level) - p.served(q.b, int(p.level[q.b]))
	}
	return p.served(q.b, q.level)
}

// move serves the search's classes of a block at the given site.
func (p *Planner) move(s *step, q search, to int) {
	from, old, home := int(p.site[q.b]), int(p.level[q.b]), int(p.home[q.b])
	region, rate, left := s.Sites[to].Region, p.shiftRate(q, to), Rate(0)
	if from != unplaced {
		p.addLoad(s, q.b, from, old, 0)
		if from != to && !s.unlimited {
			left = p.served(q.b, old)
			p.depart(s, departure{
				until: s.now.Add(p.limits.LookupTTL), site: from, home: home,
				abroad: s.Sites[from].Region != region,
				rate:   left, bits: p.servedBits(q.b, old),
			})
		}
	}
	p.addLoad(s, q.b, to, 0, q.level)
	p.site[q.b], p.level[q.b] = int16(to), int8(q.level)
	s.changed = true
	s.balance[region] = unknown
	if from != unplaced {
		s.balance[s.Sites[from].Region] = unknown
	}
	if s.unlimited {
		return
	}
	p.arrive(s, region, s.cold[to], rate)
	s.plan.Shifts = append(s.plan.Shifts, Shift{
		Block: int32(q.b), From: int16(from), To: int16(to), Classes: int8(q.level), Cause: q.cause, Rate: rate, ResidualRate: left,
	})
}

func (p *Planner) depart(s *step, d departure) {
	s.addDeparture(d)
	i := (d.site*p.r + d.home) * 2
	if d.abroad {
		i++
	}
	d.rate += s.left[i].rate
	d.bits += s.left[i].bits
	s.left[i] = d
}

func (p *Planner) arrive(s *step, region int, cold bool, rate Rate) {
	i := region * 2
	s.capLeft[region] -= rate
	if cold {
		i++
		s.coldLeft[region] -= rate
	}
	s.arrived[i] = arrival{
		until:  s.now.Add(p.limits.LookupTTL + p.limits.ShiftInterval),
		region: region, cold: cold, rate: s.arrived[i].rate + rate,
	}
}

func (s *step) hold(region int, reason Reason, rate Rate) {
	h := &s.held[region*reasons+int(reason)]
	h.Region, h.Reason = region, reason
	h.Blocks++
	h.Rate += rate
}

// waitsForCap tells whether demand waits for a shift cap. Moves for delay or balance
// would use up what it waits for.
func (s *step) waitsForCap() bool {
	for _, h := range s.held {
		if h.Blocks > 0 && (h.Reason == HeldByShiftCap || h.Reason == HeldByColdCap) {
			return true
		}
	}
	return false
}

// contested tells whether demand is held back that has the region as its nearest.
func (s *step) contested(region int) bool {
	for _, h := range s.held[region*reasons : (region+1)*reasons] {
		if h.Blocks > 0 {
			return true
		}
	}
	return false
}
