package bfslot

import (
	"cmp"
	"time"
)

// spread grants idle slots ahead of demand to an entry that uses a service of its own
// region, so that its requests go round all servers of this home. Without it an entry
// holds only what it needed at its busiest moment, and uses the same few servers for
// as long as it has load. Half of the slots are kept for what nobody foresees.
func (h *home) spread(now time.Time, v view, service, name string) {
	if h.contended[service] {
		return
	}
	servers := h.open(now, v, service)
	total := 0
	for _, s := range servers {
		if s.region != v.regions[name] {
			return
		}
		total += s.slots
	}
	claimants := h.claimants(service, servers)
	for _, c := range claimants {
		if c.name != name || c.demand == 0 {
			continue
		}
		most := c.demand + max(1, total/2/len(claimants))
		for c.held < most && sumFree(servers) > (total+1)/2 && h.grantOne(now, c, h.fewest(servers, name)) {
			counters.ahead.Add(1)
		}
	}
}

// grantOne grants a slot of the server; it is false where there is no server.
func (h *home) grantOne(now time.Time, c *claimant, s *server) bool {
	if s == nil {
		return false
	}
	id := h.id(c.name)
	ch := s.ledger[id]
	if ch == nil {
		ch = &charge{}
		s.ledger[id] = ch
	}
	ch.granted++
	ch.held = max(ch.held, ch.granted)
	ch.expires = now.Add(homeLease)
	c.held++
	h.holders[c.name].gainedAt[s.service] = now
	counters.granted.Add(1)
	return true
}

// freest returns the server with the most free slots, or nil. Equal ones are tried by
// what the entry holds there, and then in an order of its own: in a common order the
// first servers would serve all entries and the last none.
func (h *home) freest(servers []*server, name string) *server {
	return h.best(servers, func(a, b *server) int {
		return cmp.Or(cmp.Compare(b.free(), a.free()), cmp.Compare(a.granted(h.id(name)), b.granted(h.id(name))),
			cmp.Compare(rendezvous(a.key, name), rendezvous(b.key, name)))
	})
}

// fewest returns the server of which the entry holds the fewest slots, or nil.
func (h *home) fewest(servers []*server, name string) *server {
	return h.best(servers, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.granted(h.id(name)), b.granted(h.id(name))), cmp.Compare(b.free(), a.free()),
			cmp.Compare(rendezvous(a.key, name), rendezvous(b.key, name)))
	})
}

// best returns the first server in the given order that has a free slot, or nil.
func (h *home) best(servers []*server, order func(a, b *server) int) *server {
	var best *server
	for _, s := range servers {
		if s.free() > 0 && (best == nil || order(s, best) < 0) {
			best = s
		}
	}
	return best
}

func (s *server) granted(id holderID) int {
	if c := s.ledger[id]; c != nil {
		return c.granted
	}
	return 0
}

func (s *server) free() int {
	n := s.slots
	for _, c := range s.ledger {
		n -= c.held
	}
	return n
}

func sumFree(servers []*server) int {
	n := 0
	for _, s := range servers {
		n += max(0, s.free())
	}
	return n
}

func missing(list []*claimant) int {
	n := 0
	for _, c := range list {
		n += max(0, c.target-c.held)
	}
	return n
}
