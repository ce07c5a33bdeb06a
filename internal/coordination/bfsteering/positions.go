package bfsteering

import (
	"github.com/cespare/xxhash/v2"
)

type (
	// position is the position of a server in the order of servers for a key.
	position struct {
		// order is 0 for the primary server of this region and for the highest-ranked
		// server of all other regions, 1 for the secondary server of this region and for
		// the primary servers of the remaining regions, and 2 for all others.
		order int
		// missClass selects the miss rate that applies if the server isn't known to have
		// the key.
		missClass missClass
		// topInDomain marks the highest-ranked server in this entry's failure domain.
		topInDomain bool
	}

	// topServers holds the primary and the secondary server of a region for a key.
	topServers [2]*server

	// positions holds the order of all servers for one key. Apart from topInDomain and from
	// servers that an entry has ejected, it is the same at all entries of a region, so that
	// they use the same few servers for the key.
	positions struct {
		ownRegion   string
		regions     map[string]topServers
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
	p := &positions{ownRegion: s.Region}
	key := r.key()
	if key == "" {
		return p
	}
	hash := xxhash.Sum64String(key)
	p.regions = map[string]topServers{}
	for _, srv := range v.servers {
		if srv.usable(r) && !srv.ejected() {
			p.add(srv, hash, s.FailureDomain)
		}
	}
	return p
}

func (p *positions) add(srv *server, hash uint64, ownDomain string) {
	rank := srv.rank(hash)
	if srv.FailureDomain == ownDomain && (p.topInDomain == nil || rank > p.topInDomain.rank(hash)) {
		p.topInDomain = srv
	}
	if srv.region != p.ownRegion && (p.remote == nil || rank > p.remote.rank(hash)) {
		p.remote = srv
	}
	top := p.regions[srv.region]
	switch {
	case top[0] == nil || rank > top[0].rank(hash):
		top[0], top[1] = srv, top[0]
	case top[1] == nil || rank > top[1].rank(hash):
		top[1] = srv
	}
	p.regions[srv.region] = top
}

// of returns the position of a server.
func (p *positions) of(srv *server) position {
	order := p.regions[srv.region].order(srv)
	switch {
	case p.regions == nil:
		return position{order: 2}
	case srv == p.remote:
		return position{missClass: missRemote}
	case srv.region == p.ownRegion && order < 2:
		return position{order: order, missClass: [2]missClass{missPrimary, missSecondary}[order], topInDomain: srv == p.topInDomain}
	case order == 0:
		return position{order: 1}
	}
	return position{order: 2, topInDomain: srv == p.topInDomain}
}
