package bfsteering

import (
	"github.com/cespare/xxhash/v2"
)

type (
	// position is the position of a server in the order of servers for a key.
	position struct {
		// order is 0 for the primary server of this entry's area and for the highest-ranked
		// server of all other regions, 1 for the secondary server of this area and for the
		// primary servers of the remaining areas, and 2 for all others.
		order int
		// missClass selects the miss rate that applies if the server isn't known to have
		// the key.
		missClass missClass
		// topInDomain marks the highest-ranked server in this entry's failure domain.
		topInDomain bool
	}

	// topServers holds the primary and the secondary server of an area for a key, and their
	// ranks.
	topServers struct {
		area    area
		servers [2]*server
		ranks   [2]uint64
	}

	// area is a region or, for routes with large answers, a failure domain. All entries of
	// an area use the same few servers for a key. With failure domains a key is cached in
	// each of them, which saves the bandwidth of large answers between domains.
	area struct {
		region, domain string
	}

	// positions holds the order of all servers for one key. Apart from topInDomain and from
	// servers that an entry has ejected, it is the same at all entries of an area, so that
	// they use the same few servers for the key.
	positions struct {
		own      area
		byDomain bool
		// planned is the region in which the plan of regions wants the request to run, if it
		// isn't the entry's own.
		planned string
		// areas are few: the regions, or the failure domains.
		areas []topServers
		// topInDomain is the highest-ranked server in this entry's failure domain.
		topInDomain *server
		domainRank  uint64
		// remote is the highest-ranked server of all other regions together. One server
		// there that has the key is better than one per region.
		remote     *server
		remoteRank uint64
	}
)

func (t *topServers) order(srv *server) int {
	switch srv {
	case t.servers[0]:
		return 0
	case t.servers[1]:
		return 1
	}
	return 2
}

func (t *topServers) add(srv *server, rank uint64) {
	switch {
	case t.servers[0] == nil || rank > t.ranks[0]:
		t.servers, t.ranks = [2]*server{srv, t.servers[0]}, [2]uint64{rank, t.ranks[0]}
	case t.servers[1] == nil || rank > t.ranks[1]:
		t.servers[1], t.ranks[1] = srv, rank
	}
}

// positions ranks the servers that may get the request by its key.
func (v *service) positions(s *Steering, r *Request) *positions {
	key := r.key()
	if key == "" {
		return &positions{}
	}
	hash := xxhash.Sum64String(key)
	p := v.rank(s, r, hash, r.Route.LargeAnswers)
	if p.byDomain && p.topInDomain == nil {
		return v.rank(s, r, hash, false)
	}
	return p
}

func (v *service) rank(s *Steering, r *Request, hash uint64, byDomain bool) *positions {
	p := &positions{byDomain: byDomain}
	p.own = p.areaOf(s.Region, s.FailureDomain)
	for _, srv := range v.servers {
		if srv.usable(r) && !srv.ejected() {
			p.add(srv, hash, s)
		}
	}
	return p
}

func (p *positions) areaOf(region, domain string) area {
	if p.byDomain {
		return area{region, domain}
	}
	return area{region: region}
}

func (p *positions) add(srv *server, hash uint64, s *Steering) {
	rank := srv.rank(hash)
	if srv.FailureDomain == s.FailureDomain && (p.topInDomain == nil || rank > p.domainRank) {
		p.topInDomain, p.domainRank = srv, rank
	}
	if srv.region != p.own.region && (p.remote == nil || rank > p.remoteRank) {
		p.remote, p.remoteRank = srv, rank
	}
	p.topOf(p.areaOf(srv.region, srv.FailureDomain)).add(srv, rank)
}

// topOf returns the top servers of an area, which it adds if there are none yet.
func (p *positions) topOf(a area) *topServers {
	for i := range p.areas {
		if p.areas[i].area == a {
			return &p.areas[i]
		}
	}
	p.areas = append(p.areas, topServers{area: a})
	return &p.areas[len(p.areas)-1]
}

// of returns the position of a server.
func (p *positions) of(srv *server) position {
	if p.areas == nil {
		return position{order: 2}
	}
	in := p.areaOf(srv.region, srv.FailureDomain)
	order := p.topOf(in).order(srv)
	if p.planned != "" && srv.region == p.planned {
		// All entries that send requests with this key to the region use the same servers.
		return position{order: order, missClass: [3]missClass{missRemote, missOther, missOther}[order]}
	}
	switch {
	case srv == p.remote:
		return position{missClass: missRemote}
	case in == p.own && order < 2:
		return position{order: order, missClass: [2]missClass{missPrimary, missSecondary}[order], topInDomain: srv == p.topInDomain}
	case order == 0:
		return position{order: 1}
	}
	return position{order: 2, topInDomain: srv == p.topInDomain}
}
