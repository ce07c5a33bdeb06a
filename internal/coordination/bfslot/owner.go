package bfslot

import (
	"maps"
	"slices"
	"sync"
	"time"

	"briarferry"
)

const (
	// LeaseDuration is how long a grant is valid, counted by the holder from when it
	// first sent the request.
	LeaseDuration = time.Second
	// ownerLeaseDuration is how long the owner counts a grant as valid; the 10% margin
	// covers clocks that run at different rates.
	ownerLeaseDuration = LeaseDuration + LeaseDuration/10
	// minGrantDelay and maxGrantDelay bound how long a new owner waits before it
	// grants slots. After minGrantDelay it grants once all VMs report the same VMs as
	// up, so that no earlier owner still grants. After maxGrantDelay it grants in any
	// case, because a failed link may keep the views different for long.
	minGrantDelay = ownerLeaseDuration + 400*time.Millisecond
	maxGrantDelay = 3 * time.Second
	// startupRampDuration is the time over which the slots of a starting server become
	// grantable.
	startupRampDuration = 10 * time.Second
	// recheckInterval is the time between two checks of whether an entry whose lease has
	// expired with requests in flight is still up.
	recheckInterval = 200 * time.Millisecond
)

type (
	// owner is the part of the pool that grants the slots of the backend servers that
	// this VM owns.
	owner struct {
		self briarferry.VM

		mu      sync.Mutex
		servers map[uint64]*ownedServer
		holders map[string]*holderState
		// floorShare returns the share of a service's slots that is reserved for an
		// urgency.
		floorShare func(urgency int) float64
		// contended has the services whose demand isn't met.
		contended map[string]bool
	}

	// ownedServerInfo describes a backend server that this VM owns; slots is the
	// number of its slots that may be granted now.
	ownedServerInfo struct {
		service, region string
		slots           int
	}

	// holderID identifies one process of an entry. A restarted entry starts without
	// slots, while those of its previous process stay allocated until their lease
	// expires.
	holderID struct {
		name        string
		incarnation uint64
	}

	// ownedServer is a backend server that this VM owns, with the allocation of its
	// slots.
	ownedServer struct {
		key             uint64
		service, region string
		// ownedSince is when this VM became the owner, or when it was last disconnected
		// or frozen.
		ownedSince time.Time
		slots      int
		// allocations has the slots that each holder may be using.
		allocations map[holderID]*allocation
	}

	// allocation is the part of a server's slots that one holder may be using.
	allocation struct {
		// reserved is the largest number of slots that the holder may be using; granted
		// is the number in the last grant.
		reserved, granted, inFlight int
		expires                     time.Time
	}

	// holderState is the last request of an entry and the grant that answered it.
	holderState struct {
		incarnation, sequence uint64
		revision              uint64
		receivedAt            time.Time
		demands               []Demand
		// lastGrantAt is when the entry was last granted a slot, and urgency the highest
		// urgency in its latest demand, both by service.
		lastGrantAt map[string]time.Time
		urgency     map[string]int
		lastGrant   *Grant
	}

	// membersView is what the owner needs to know of the membership.
	membersView struct {
		up map[holderID]bool
		// regions maps the name of each VM in up to its region.
		regions   map[string]string
		connected bool
		converged bool
	}
)

func newOwner() *owner {
	return &owner{servers: make(map[uint64]*ownedServer), holders: make(map[string]*holderState),
		contended: make(map[string]bool), floorShare: func(int) float64 { return defaultFloorShare }}
}

// setServers sets the servers that this VM owns. A server that is missing in owned but
// for which stillOwner returns true has only dropped out of the table: it stays with no
// grantable slots until its allocations are released.
func (o *owner) setServers(now time.Time, self briarferry.VM, owned map[uint64]ownedServerInfo, stillOwner func(key uint64, region string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.self = self
	for key, info := range owned {
		s := o.servers[key]
		if s == nil {
			s = &ownedServer{key: key, service: info.service, region: info.region, ownedSince: now, allocations: make(map[holderID]*allocation)}
			o.servers[key] = s
		}
		s.slots = info.slots
	}
	for key, s := range o.servers {
		if _, ok := owned[key]; ok {
			continue
		}
		if s.slots = 0; len(s.allocations) == 0 || !stillOwner(key, s.region) {
			delete(o.servers, key)
		}
	}
}

// restartGrantDelay delays grants for all servers as if this VM had just become their
// owner. It is called after this VM was disconnected or frozen.
func (o *owner) restartGrantDelay(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.servers {
		s.ownedSince = now
	}
}

// handleRequest handles a request of an entry and returns the grants to send.
func (o *owner) handleRequest(now time.Time, v membersView, r *Request) []*Grant {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.holders[r.From]
	if state == nil || r.Incarnation > state.incarnation {
		state = &holderState{incarnation: r.Incarnation, lastGrantAt: make(map[string]time.Time), urgency: make(map[string]int)}
		o.holders[r.From] = state
	}
	switch {
	case !v.connected, r.To != o.self.Name, r.Incarnation < state.incarnation, r.Sequence < state.sequence:
		return nil
	case r.Sequence == state.sequence:
		if state.lastGrant == nil {
			return nil
		}
		return []*Grant{state.lastGrant}
	}
	services := map[string]bool{}
	state.sequence, state.receivedAt, state.demands = r.Sequence, now, r.Demands
	for _, d := range r.Demands {
		services[d.Service] = true
		state.urgency[d.Service] = maxUrgency
	}
	for _, d := range r.Demands {
		state.urgency[d.Service] = min(state.urgency[d.Service], int(d.Urgency))
	}
	o.recordHoldings(now, r, services)
	changed := map[string]bool{r.From: true}
	for service := range services {
		o.allocate(now, v, service, changed)
		o.grantAhead(now, v, service, r.From)
	}
	return o.buildGrants(now, v, changed)
}

// recordHoldings updates the allocations of a holder to the slots that it reports,
// and adds the services concerned to services.
func (o *owner) recordHoldings(now time.Time, r *Request, services map[string]bool) {
	id := holderID{r.From, r.Incarnation}
	reported := make(map[uint64]Holding, len(r.Holdings))
	for _, holding := range r.Holdings {
		reported[holding.Key] = holding
	}
	for key, s := range o.servers {
		holding, ok := reported[key]
		a := s.allocations[id]
		if !ok && a == nil {
			continue
		}
		services[s.service] = true
		if !ok || holding.Held == 0 {
			delete(s.allocations, id)
			continue
		}
		if a == nil {
			a = &allocation{}
			s.allocations[id] = a
		}
		a.reserved, a.inFlight = int(holding.Held), int(holding.InFlight)
		a.granted = a.reserved
		a.expires = now.Add(ownerLeaseDuration)
	}
}

// tick removes expired demand and allocations and returns the grants that change.
func (o *owner) tick(now time.Time, v membersView) []*Grant {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, state := range o.holders {
		if now.Sub(state.receivedAt) > ownerLeaseDuration {
			state.demands = nil
			if now.Sub(state.receivedAt) > time.Minute {
				delete(o.holders, name)
			}
		}
	}
	for _, s := range o.servers {
		for id, a := range s.allocations {
			s.expireAllocation(now, v, id, a)
		}
	}
	if !v.connected {
		return nil
	}
	services, changed := map[string]bool{}, map[string]bool{}
	for _, state := range o.holders {
		for _, d := range state.demands {
			services[d.Service] = true
		}
	}
	for service := range services {
		o.allocate(now, v, service, changed)
	}
	return o.buildGrants(now, v, changed)
}

// expireAllocation releases an expired allocation, except for the slots of requests in
// flight, which stay allocated while their entry is up.
func (s *ownedServer) expireAllocation(now time.Time, v membersView, id holderID, a *allocation) {
	if now.Before(a.expires) {
		return
	}
	counters.expired.Add(1)
	if !v.up[id] || a.inFlight == 0 {
		delete(s.allocations, id)
		return
	}
	a.reserved, a.granted = a.inFlight, min(a.granted, a.inFlight)
	a.expires = now.Add(recheckInterval)
}

// allocate grants the slots of a service according to the demand of all entries, and
// adds the entries whose grants change to changed. It recalls granted slots if too few
// are free.
func (o *owner) allocate(now time.Time, v membersView, service string, changed map[string]bool) {
	servers := o.grantableServers(now, v, service)
	total := 0
	for _, s := range servers {
		total += s.slots
	}
	requesters := o.requesters(service, servers)
	delete(o.contended, service)
	setTargets(now, total, requesters, o.floorShare)
	if sumMissing(requesters) > sumFree(servers) {
		for _, r := range requesters {
			o.recall(servers, r, changed)
		}
	}
	for _, r := range requesters {
		for r.granted < r.target && o.grantOne(now, r, o.mostFree(servers, r.name)) {
			changed[r.name] = true
		}
		if r.granted < r.demand {
			o.contended[service] = true
			counters.refused.Add(1)
		}
	}
}

// grantableServers returns the servers of a service whose slots may be granted now.
func (o *owner) grantableServers(now time.Time, v membersView, service string) []*ownedServer {
	var list []*ownedServer
	for _, key := range slices.Sorted(maps.Keys(o.servers)) {
		s := o.servers[key]
		if s.service != service || s.slots <= 0 {
			continue
		}
		if s.mustDelayGrants(now, v) {
			counters.ownerWaits.Add(1)
			continue
		}
		list = append(list, s)
	}
	return list
}

// mustDelayGrants reports whether leases of an earlier owner may still be in use.
func (s *ownedServer) mustDelayGrants(now time.Time, v membersView) bool {
	ownedFor := now.Sub(s.ownedSince)
	return ownedFor < minGrantDelay || ownedFor < maxGrantDelay && !v.converged
}

// requesters returns the entries that request or hold slots of a service.
func (o *owner) requesters(service string, servers []*ownedServer) (list []*requester) {
	for name, state := range o.holders {
		r := &requester{name: name, urgency: maxUrgency, lastGrantAt: state.lastGrantAt[service]}
		if u, ok := state.urgency[service]; ok {
			r.urgency = u
		}
		for _, d := range state.demands {
			if d.Service == service && d.Waiting > 0 {
				r.demand += int(d.Waiting)
			}
		}
		for _, s := range servers {
			if a := s.allocations[holderID{name, state.incarnation}]; a != nil {
				r.granted += a.granted
				r.demand += a.inFlight
			}
		}
		if r.demand > 0 || r.granted > 0 {
			list = append(list, r)
		}
	}
	return list
}

// recall lowers the grants of an entry that has more slots than its target. The slots
// stay reserved until the entry reports that it no longer holds them.
func (o *owner) recall(servers []*ownedServer, r *requester, changed map[string]bool) {
	id := o.holderID(r.name)
	// Idle slots are recalled first, then those with a request in flight.
	for _, idleOnly := range []bool{true, false} {
		for _, s := range servers {
			a := s.allocations[id]
			for a != nil && r.granted > r.target && a.granted > 0 && (!idleOnly || a.granted > a.inFlight) {
				a.granted--
				r.granted--
				changed[r.name] = true
			}
		}
	}
}

func (o *owner) holderID(name string) holderID { return holderID{name, o.holders[name].incarnation} }

// buildGrants returns the messages to the entries in changed. Each message renews all
// leases of its entry.
func (o *owner) buildGrants(now time.Time, v membersView, changed map[string]bool) []*Grant {
	var list []*Grant
	for name := range changed {
		state := o.holders[name]
		state.revision++
		g := &Grant{From: o.self.Name, Incarnation: o.self.Incarnation, To: name,
			ToIncarnation: state.incarnation, Sequence: state.sequence, Revision: state.revision}
		for key, s := range o.servers {
			a := s.allocations[o.holderID(name)]
			if a == nil {
				continue
			}
			if s.slots <= 0 || s.mustDelayGrants(now, v) {
				a.granted = min(a.granted, a.inFlight)
			}
			if a.expires = now.Add(ownerLeaseDuration); a.granted > 0 {
				g.Slots = append(g.Slots, GrantedSlots{Key: key, Slots: uint32(a.granted)})
			}
		}
		for service := range o.contended {
			g.Contended = append(g.Contended, service)
		}
		slices.Sort(g.Contended)
		state.lastGrant = g
		list = append(list, g)
	}
	return list
}
