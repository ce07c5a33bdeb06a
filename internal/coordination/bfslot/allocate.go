package bfslot

import (
	"cmp"
	"time"
)

// grantAhead grants free slots ahead of demand to an entry that uses a service whose
// grantable servers at this owner are all in the entry's region, so that its requests are
// spread over all of them. Without it an entry holds only as many slots as its peak load
// needed, and keeps using the same few servers. Half of the slots stay free for
// unexpected demand.
func (o *owner) grantAhead(now time.Time, v membersView, service, name string) {
	if o.contended[service] {
		return
	}
	servers := o.grantableServers(now, v, service)
	total := 0
	for _, s := range servers {
		if s.region != v.regions[name] {
			return
		}
		total += s.slots
	}
	requesters := o.requesters(service, servers)
	for _, r := range requesters {
		if r.name != name || r.demand == 0 {
			continue
		}
		limit := r.demand + max(1, total/2/len(requesters))
		for r.granted < limit && sumFree(servers) > (total+1)/2 && o.grantOne(now, r, o.leastGranted(servers, name)) {
			counters.grantedAhead.Add(1)
		}
	}
}

// grantOne grants a requester a slot of the server. It reports false if s is nil.
func (o *owner) grantOne(now time.Time, r *requester, s *ownedServer) bool {
	if s == nil {
		return false
	}
	id := o.holderID(r.name)
	a := s.allocations[id]
	if a == nil {
		a = &allocation{}
		s.allocations[id] = a
	}
	a.granted++
	a.reserved = max(a.reserved, a.granted)
	a.expires = now.Add(ownerLeaseDuration)
	r.granted++
	o.holders[r.name].lastGrantAt[s.service] = now
	counters.granted.Add(1)
	return true
}

// mostFree returns the server with the most free slots, or nil. Among equal servers it
// takes the one with the fewest slots granted to the entry, and then the first in an
// order that differs by entry: in a common order the first servers would serve all
// entries and the last none.
func (o *owner) mostFree(servers []*ownedServer, name string) *ownedServer {
	return o.firstWithFreeSlot(servers, func(a, b *ownedServer) int {
		return cmp.Or(cmp.Compare(b.freeSlots(), a.freeSlots()), cmp.Compare(a.grantedTo(o.holderID(name)), b.grantedTo(o.holderID(name))),
			cmp.Compare(rendezvousScore(a.key, name), rendezvousScore(b.key, name)))
	})
}

// leastGranted returns the server with a free slot that has the fewest slots granted to
// the entry, or nil.
func (o *owner) leastGranted(servers []*ownedServer, name string) *ownedServer {
	return o.firstWithFreeSlot(servers, func(a, b *ownedServer) int {
		return cmp.Or(cmp.Compare(a.grantedTo(o.holderID(name)), b.grantedTo(o.holderID(name))), cmp.Compare(b.freeSlots(), a.freeSlots()),
			cmp.Compare(rendezvousScore(a.key, name), rendezvousScore(b.key, name)))
	})
}

// firstWithFreeSlot returns the first server in the given order that has a free slot,
// or nil.
func (o *owner) firstWithFreeSlot(servers []*ownedServer, order func(a, b *ownedServer) int) *ownedServer {
	var first *ownedServer
	for _, s := range servers {
		if s.freeSlots() > 0 && (first == nil || order(s, first) < 0) {
			first = s
		}
	}
	return first
}

// grantedTo returns the number of slots granted to a holder.
func (s *ownedServer) grantedTo(id holderID) int {
	if a := s.allocations[id]; a != nil {
		return a.granted
	}
	return 0
}

// freeSlots returns the number of slots that no holder may be using. It is negative if
// the server has fewer slots than before.
func (s *ownedServer) freeSlots() int {
	n := s.slots
	for _, a := range s.allocations {
		n -= a.reserved
	}
	return n
}

func sumFree(servers []*ownedServer) int {
	n := 0
	for _, s := range servers {
		n += max(0, s.freeSlots())
	}
	return n
}

// sumMissing returns how many slots the requesters lack to reach their targets.
func sumMissing(list []*requester) int {
	n := 0
	for _, r := range list {
		n += max(0, r.target-r.granted)
	}
	return n
}
