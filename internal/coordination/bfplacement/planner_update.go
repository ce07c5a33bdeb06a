package bfplacement

import "time"

// AdvanceVersionPast raises the version above the given one, so that assignments of
// another block set are newer than those that entries have.
func (p *Planner) AdvanceVersionPast(version uint64) { p.version = max(p.version, version+1) }

// SetBlocks replaces the blocks. site and classes are each block's current site and
// number of served classes: callers already send their load there, so that it does not
// count as a shift. Cap charges, residual loads and the history of the sites are kept.
func (p *Planner) SetBlocks(blocks Blocks, site []int16, classes []int8) error {
	t, err := newBlockTable(p.services, blocks, p.regionCount)
	if err != nil {
		return err
	}
	p.blockTable, p.site, p.classes = t, site, classes
	p.initial, p.loadOutdated = false, true
	p.version++
	return nil
}

// AddSites adds the sites that were appended to the network. They are treated as if they
// had returned from an outage, so that they warm up before they take a full share.
func (p *Planner) AddSites(sites []Site) {
	if p.lastLoad == nil {
		return
	}
	for i := len(p.lastLoad); i < len(sites); i++ {
		p.lastLoad, p.siteRegion = append(p.lastLoad, 0), append(p.siteRegion, sites[i].Region)
		p.upSince, p.wasDown = append(p.upSince, time.Time{}), append(p.wasDown, true)
		p.loadOutdated = true
	}
}

// FailOver moves the blocks of sites that are down to the least loaded site of the same
// region. The load and the servers of the region stay the same, so that no load moves
// between regions and no cap applies.
func (p *Planner) FailOver(net Network) {
	load := make([]Rate, len(net.Sites))
	for b, site := range p.site {
		if site != unplaced {
			load[site] += p.servedRate(b, int(p.classes[b]))
		}
	}
	up := upSites(net)
	for b, site := range p.site {
		if site == unplaced || net.Sites[site].State != SiteDown {
			continue
		}
		best := unplaced
		for _, candidate := range up[net.Sites[site].Region] {
			if best == unplaced || load[candidate] < load[best] {
				best = candidate
			}
		}
		if best == unplaced {
			continue
		}
		load[best] += p.servedRate(b, int(p.classes[b]))
		p.site[b], p.loadOutdated = int16(best), true
		p.failedOver = true
	}
}
