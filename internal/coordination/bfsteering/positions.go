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

	// topServers holds the primary and the secondary server of an area for a key.
	topServers [2]*server

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
		areas    map[area]topServers
		// topInDomain is the highest-ranked server in this entry's failure domain.
		topInDomain *server
		// remote is the highest-ranked server of all other regions together. One server
		// there that has the key is better than one per region.
		remote *server
	}
)

func (p topServers) order(srv *server) int {
	switch srv {
	case p[0]:
		return 0
	case p[1]:
		return 1
	}
	return 2
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
	p := &positions{byDomain: byDomain, areas: map[area]topServers{}}
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
	if srv.FailureDomain == s.FailureDomain && (p.topInDomain == nil || rank > p.topInDomain.rank(hash)) {
		p.topInDomain = srv
	}
	if srv.region != p.own.region && (p.remote == nil || rank > p.remote.rank(hash)) {
		p.remote = srv
	}
	in := p.areaOf(srv.region, srv.FailureDomain)
	top := p.areas[in]
	switch {
	case top[0] == nil || rank > top[0].rank(hash):
		top[0], top[1] = srv, top[0]
	case top[1] == nil || rank > top[1].rank(hash):
		top[1] = srv
	}
	p.areas[in] = top
}

// of returns the position of a server.
func (p *positions) of(srv *server) position {
	if p.areas == nil {
		return position{order: 2}
	}
	in := p.areaOf(srv.region, srv.FailureDomain)
	order := p.areas[in].order(srv)
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
