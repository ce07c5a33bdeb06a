package bfplacement

import "time"

// AdvanceVersionPast raises the version, so that assignments of another block set follow
// the ones that entries have.
func (p *Planner) AdvanceVersionPast(version uint64) { p.version = max(p.version, version+1) }

// SetBlocks replaces the blocks. The sites and levels are where each block is served
// now: callers already send their load there, so that taking it over is no shift.
// Caps, departures and what is known of the sites stay in force.
func (p *Planner) SetBlocks(blocks Blocks, site []int16, classes []int8) error {
	t, err := newBlockTable(p.services, blocks, p.regionCount)
	if err != nil {
		return err
	}
	p.blockTable, p.site, p.classes = t, site, classes
	p.initial, p.loadStale = false, true
	p.version++
	return nil
}

// AddSites takes in sites that were added at the end of the network. They count as
// returned from an outage, so that they warm up before they take a full share.
func (p *Planner) AddSites(sites []Site) {
	if p.lastLoad == nil {
		return
	}
	for i := len(p.lastLoad); i < len(sites); i++ {
		p.lastLoad, p.siteRegion = append(p.lastLoad, 0), append(p.siteRegion, sites[i].Region)
		p.upSince, p.wasDown = append(p.upSince, time.Time{}), append(p.wasDown, true)
		p.loadStale = true
	}
}

// FailOver moves the blocks of sites that are down to the least loaded site of the
// same region. The region's load and servers stay the same, so that this is no shift
// of load to a region and needs no cap.
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
		p.site[b], p.loadStale = int16(best), true
		p.failedOver = true
	}
}
