package bfslot

import (
	"maps"
	"slices"
	"time"

	"briarferry"
)

type (
	// slot is the right to have one request in flight; it implements briarferry.Slot.
	slot struct {
		pool    *Pool
		lease   *lease
		backend briarferry.Backend
	}

	// candidateSet holds backend servers for the balancer to choose from, with the
	// lease of each at the same index.
	candidateSet struct {
		leases     []*lease
		candidates []briarferry.Candidate
	}
)

// TryAcquire takes a leased slot that has no request in flight. It fails while this
// VM isn't connected.
func (p *Pool) TryAcquire(service string, avoid []briarferry.BackendID) (briarferry.Slot, bool) {
	p.init()
	if !p.Members.Connected() {
		return nil, false
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	set := p.candidates(now, service, avoid)
	if len(set.candidates) == 0 {
		return nil, false
	}
	i := p.Balancer.Pick(now, set.candidates)
	if i < 0 || i >= len(set.candidates) {
		return nil, false
	}
	l := set.leases[i]
	l.inFlight++
	l.usedAt = now
	p.serviceState(service).usedAt = now
	return &slot{pool: p, lease: l, backend: set.candidates[i].Backend}, true
}

// candidates returns the servers with a free leased slot. The servers in avoid are
// returned only if no other server has one. The result is valid until the next call;
// mu is held.
func (p *Pool) candidates(now time.Time, service string, avoid []briarferry.BackendID) *candidateSet {
	p.free.reset()
	p.avoided.reset()
	for _, b := range p.backendsOf(service).all {
		l := p.leases[b.key]
		if l == nil || l.grantedAt(now) <= l.inFlight || l.grantedBy != b.owner || b.latest.State == briarferry.StateDraining {
			continue
		}
		set := &p.free
		if len(avoid) > 0 && slices.Contains(avoid, b.id) {
			set = &p.avoided
		}
		set.leases = append(set.leases, l)
		set.candidates = append(set.candidates, briarferry.Candidate{Backend: b.latest, InFlight: l.inFlight, HeldSlots: l.granted, Local: b.local, Delay: b.delay})
	}
	if len(p.free.candidates) == 0 {
		return &p.avoided
	}
	return &p.free
}

func (c *candidateSet) reset() { c.leases, c.candidates = c.leases[:0], c.candidates[:0] }

// Capacity returns the number of slots that this entry holds for a service, in use
// or free.
func (p *Pool) Capacity(service string) int {
	p.init()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, b := range p.backendsOf(service).all {
		if l := p.leases[b.key]; l != nil {
			n += l.heldAt(now)
		}
	}
	return n
}

// TotalSlots returns the number of grantable slots of all servers of a service,
// whichever entries hold them.
func (p *Pool) TotalSlots(service string) int {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, b := range p.backendsOf(service).all {
		n += b.slots
	}
	return n
}

// InFlight returns the number of requests that this entry has in flight at each
// server.
func (p *Pool) InFlight() map[briarferry.BackendID]int {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[briarferry.BackendID]int)
	for key, l := range p.leases {
		if b := p.backends[key]; b != nil && l.inFlight > 0 {
			out[b.id] = l.inFlight
		}
	}
	return out
}

// SetDemand sets how many requests of each urgency wait for a service. If more
// requests or more urgent ones wait than before, slots are requested at once.
func (p *Pool) SetDemand(service string, waiting map[int]int) {
	p.init()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.serviceState(service)
	total := 0
	for _, n := range waiting {
		total += n
	}
	if s.total == 0 && total > 0 {
		s.waitingSince, s.remoteAsked = now, false
	}
	increased := total > s.total || total > 0 && topUrgency(waiting) < topUrgency(s.waiting)
	s.waiting, s.total = maps.Clone(waiting), total
	if !increased {
		return
	}
	for owner := range p.backendsOf(service).owners {
		if p.shouldAsk(now, service, s, owner) {
			p.session(owner).dirty = true
		}
	}
	p.wake()
}

// topUrgency returns the highest urgency with waiting requests. Lower numbers are
// more urgent.
func topUrgency(waiting map[int]int) int {
	top := maxUrgency + 1
	for urgency, n := range waiting {
		if n > 0 {
			top = min(top, urgency)
		}
	}
	return top
}

// SlotFreed returns a channel on which a value is sent after a slot of the service may have
// become free.
func (p *Pool) SlotFreed(service string) <-chan struct{} {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serviceState(service).freed
}

// Backend returns the server that the slot belongs to.
func (s *slot) Backend() briarferry.Backend { return s.backend }

// Done returns the slot to the pool and reports the result of the try to the
// balancer.
func (s *slot) Done(r briarferry.TryReport) {
	now := time.Now()
	s.pool.Balancer.Report(now, s.backend.ID(), r)
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	l := s.lease
	before := l.heldAt(now)
	l.inFlight--
	l.usedAt = now
	service := s.pool.serviceState(l.service)
	service.usedAt = now
	if service.contended && service.total == 0 && l.granted > l.inFlight {
		s.pool.returnIdleSlots(l)
	}
	if l.heldAt(now) < before {
		// This entry holds one slot fewer. Tell the owners, since another entry may be
		// waiting for it.
		s.pool.session(l.grantedBy).dirty = true
		if b := s.pool.backends[l.key]; b != nil && b.owner != "" {
			s.pool.session(b.owner).dirty = true
		}
		s.pool.wake()
		return
	}
	service.notify()
}
