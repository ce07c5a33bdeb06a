package bfplacement

import "time"

// AdvanceVersionPast raises the version, so that assignments of another block set follow
// the ones that entries have.
func (p *Planner) AdvanceVersionPast(version uint64) { p.version = max(p.version, version+1) }

// SetBlocks replaces the blocks. The sites and levels are where each block is served
// now: callers already send their load there, so that taking it over is no shift.
// Caps, departures and what is known of the sites stay in force.
func (p *Planner) SetBlocks(blocks Blocks, site []int16, level []int8) error {
	t, err := newTable(p.services, blocks, p.r)
	if err != nil {
		return err
	}
	p.table, p.site, p.level = t, site, level
	p.fresh, p.stale = false, true
	p.version++
	return nil
}

// AddSites takes in sites that were added at the end of the network. They count as
// returned from an outage, so that they warm up before they take a full share.
func (p *Planner) AddSites(sites []Site) {
	if p.seen == nil {
		return
	}
	for i := len(p.seen); i < len(sites); i++ {
		p.seen, p.regions = append(p.seen, 0), append(p.regions, sites[i].Region)
		p.upSince, p.wasDown = append(p.upSince, time.Time{}), append(p.wasDown, true)
		p.stale = true
	}
}

// FailOver moves the blocks of sites that are down to the least loaded site of the
// same region. The region's load and servers stay the same, so that this is no shift
// of load to a region and needs no cap.
func (p *Planner) FailOver(net Network) {
	load := make([]Rate, len(net.Sites))
	for b, at := range p.site {
		if at != unplaced {
			load[at] += p.served(b, int(p.level[b]))
		}
	}
	up := upSites(net)
	for b, at := range p.site {
		if at == unplaced || net.Sites[at].State != SiteDown {
			continue
		}
		best := unplaced
		for _, other := range up[net.Sites[at].Region] {
			if best == unplaced || load[other] < load[best] {
				best = other
			}
		}
		if best == unplaced {
			continue
		}
		load[best] += p.served(b, int(p.level[b]))
		p.site[b], p.stale = int16(best), true
		p.moved = true
	}
}
