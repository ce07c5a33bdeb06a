package bfsteering

import (
	"github.com/cespare/xxhash/v2"
)

type (
	// place is where a server stands in the order of servers for a key.
	place struct {
		// order is 0 for the first server of the key, 1 for those that take what it can't,
		// and 2 for all others.
		order int
		// likely is what is presumed of a server that isn't known to have the key.
		likely likelihood
		// nearest marks the first server in the own failure domain.
		nearest bool
	}

	// preferred are the servers of a region that rank first and second for a key.
	preferred [2]*server

	// places is the order of all servers for one key. It is the same at all entries of a
	// region, so that they use the same few servers for the key.
	places struct {
		own     string
		regions map[string]preferred
		nearest *server
		// far is the first server of all other regions together: one server there that has
		// the key is better than one in each.
		far *server
	}
)

func (p preferred) order(srv *server) int {
	switch srv {
	case p[0]:
		return 0
	case p[1]:
		return 1
	}
	return 2
}

// places ranks the servers that may get the request for its key.
func (v *service) places(s *Steering, r *Request) *places {
	p := &places{own: s.Region}
	key := r.key()
	if key == "" {
		return p
	}
	hash := xxhash.Sum64String(key)
	p.regions = map[string]preferred{}
	for _, srv := range v.servers {
		if srv.usable(r) && !srv.ejected() {
			p.add(srv, hash, s.FailureDomain)
		}
	}
	return p
}

func (p *places) add(srv *server, hash uint64, domain string) {
	rank := srv.rank(hash)
	if srv.FailureDomain == domain && (p.nearest == nil || rank > p.nearest.rank(hash)) {
		p.nearest = srv
	}
	if srv.region != p.own && (p.far == nil || rank > p.far.rank(hash)) {
		p.far = srv
	}
	first := p.regions[srv.region]
	switch {
	case first[0] == nil || rank > first[0].rank(hash):
		first[0], first[1] = srv, first[0]
	case first[1] == nil || rank > first[1].rank(hash):
		first[1] = srv
	}
	p.regions[srv.region] = first
}

// of returns the place of one server.
func (p *places) of(srv *server) place {
	order := p.regions[srv.region].order(srv)
	switch {
	case p.regions == nil:
		return place{order: 2}
	case srv == p.far:
		return place{likely: presumeFar}
	case srv.region == p.own && order < 2:
		return place{order: order, likely: [2]likelihood{presumeFirst, presumeSecond}[order], nearest: srv == p.nearest}
	case order == 0:
		return place{order: 1}
	}
	return place{order: 2, nearest: srv == p.nearest}
}
