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
		p       *Pool
		l       *lease
		backend briarferry.Backend
	}

	// choices are servers with their leases.
	choices struct {
		leases []*lease
		list   []briarferry.Candidate
	}
)

// TryAcquire takes a slot that this entry holds and doesn't use.
func (p *Pool) TryAcquire(service string, avoid []briarferry.BackendID) (briarferry.Slot, bool) {
	p.init()
	if !p.Members.Connected() {
		return nil, false
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	free := p.candidates(now, service, avoid)
	if len(free.list) == 0 {
		return nil, false
	}
	i := p.Balancer.Pick(now, free.list)
	if i < 0 || i >= len(free.list) {
		return nil, false
	}
	l := free.leases[i]
	l.inFlight++
	l.usedAt = now
	p.serviceState(service).usedAt = now
	return &slot{p: p, l: l, backend: free.list[i].Backend}, true
}

// candidates returns the servers with a free held slot, those to avoid only where
// there is no other. The result is valid until the next call.
func (p *Pool) candidates(now time.Time, service string, avoid []briarferry.BackendID) *choices {
	p.free.reset()
	p.avoided.reset()
	for _, r := range p.of(service).all {
		l := p.leases[r.key]
		if l == nil || l.valid(now) <= l.inFlight || l.grantedBy != r.home || r.backend.State == briarferry.StateDraining {
			continue
		}
		to := &p.free
		if len(avoid) > 0 && slices.Contains(avoid, r.id) {
			to = &p.avoided
		}
		to.leases = append(to.leases, l)
		to.list = append(to.list, briarferry.Candidate{Backend: r.backend, InFlight: l.inFlight, Held: l.granted, Local: r.local, Delay: r.delay})
	}
	if len(p.free.list) == 0 {
		return &p.avoided
	}
	return &p.free
}

func (c *choices) reset() { c.leases, c.list = c.leases[:0], c.list[:0] }

// Capacity returns the number of slots held for a service, busy or free.
func (p *Pool) Capacity(service string) int {
	p.init()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, r := range p.of(service).all {
		if l := p.leases[r.key]; l != nil {
			n += l.held(now)
		}
	}
	return n
}

// TotalSlots returns the number of slots that all servers of a service have together.
func (p *Pool) TotalSlots(service string) int {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, r := range p.of(service).all {
		n += r.slots
	}
	return n
}

// InFlight returns the requests that this entry has in flight at each server.
func (p *Pool) InFlight() map[briarferry.BackendID]int {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[briarferry.BackendID]int)
	for key, l := range p.leases {
		if r := p.routes[key]; r != nil && l.inFlight > 0 {
			out[r.id] = l.inFlight
		}
	}
	return out
}

// SetDemand tells how many requests of each urgency wait for a service. More
// demand than before is sent at once.
func (p *Pool) SetDemand(service string, waiting map[int]int) {
	p.init()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.serviceState(service)
	total := 0
	for _, n := range waiting {
		total += n
	}
	if d.total == 0 && total > 0 {
		d.since, d.widened = now, false
	}
	grown := total > d.total || total > 0 && topUrgency(waiting) < topUrgency(d.waiting)
	d.waiting, d.total = maps.Clone(waiting), total
	if !grown {
		return
	}
	for home := range p.of(service).homes {
		if p.asks(now, service, d, home) {
			p.talk(home).dirty = true
		}
	}
	p.wake()
}

func topUrgency(waiting map[int]int) int {
	top := maxUrgency + 1
	for urgency, n := range waiting {
		if n > 0 {
			top = min(top, urgency)
		}
	}
	return top
}

// Freed returns a channel that receives after a slot may have become free.
func (p *Pool) Freed(service string) <-chan struct{} {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serviceState(service).freed
}

// Backend returns the server that the slot is at.
func (s *slot) Backend() briarferry.Backend { return s.backend }

// Done gives the slot back.
func (s *slot) Done(r briarferry.TryReport) {
	now := time.Now()
	s.p.Balancer.Report(now, s.backend.ID(), r)
	s.p.mu.Lock()
	defer s.p.mu.Unlock()
	l := s.l
	before := l.held(now)
	l.inFlight--
	l.usedAt = now
	d := s.p.serviceState(l.service)
	d.usedAt = now
	if d.contended && d.total == 0 && l.granted > l.inFlight {
		s.p.giveBack(l)
	}
	if l.held(now) < before {
		// Others may wait for the slot.
		s.p.talk(l.grantedBy).dirty = true
		if route := s.p.routes[l.key]; route != nil && route.home != "" {
			s.p.talk(route.home).dirty = true
		}
		s.p.wake()
		return
	}
	d.notify()
}
