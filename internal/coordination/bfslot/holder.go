package bfslot

import (
	"maps"
	"slices"
	"time"

	"briarferry"
)

const (
	// renewInterval is the time between two renewals of the leases of one owner.
	renewInterval = 200 * time.Millisecond
	// initialResendDelay is the time after which an unanswered request is sent again
	// while no round trip is known. It is above the longest round trip of 110 ms. Later
	// delays are at most twice as long.
	initialResendDelay = 130 * time.Millisecond
	// minResendDelay is the lower limit of the delay computed from the round trip.
	minResendDelay = 20 * time.Millisecond
	// requestTimeout is the time after which a new request replaces an unanswered one.
	// The duration of a lease is counted from when its request was first sent, so a late
	// grant is valid only for a short time.
	requestTimeout = 500 * time.Millisecond
	// sessionRetention is how long a session is kept after its last new request if its
	// VM owns no server and has granted none of the current leases.
	sessionRetention = 10 * time.Second
	// idleSlotRetention is how long an unused slot is kept if no other entry waits
	// for it.
	idleSlotRetention = time.Second
	// remoteAskDelay is how long requests wait for slots of the local region before
	// slots of other regions are requested.
	remoteAskDelay = 20 * time.Millisecond
)

type (
	// lease is the right of this entry to use slots of one backend server.
	lease struct {
		key     uint64
		service string
		granted int
		// grantedBy is the owner that granted the slots.
		grantedBy string
		expires   time.Time
		inFlight  int
		usedAt    time.Time
	}

	// session is the exchange of requests and grants with one owner.
	session struct {
		// incarnation and revision are those of the last applied grant.
		incarnation, revision uint64
		sequence              uint64
		lastRequest           *Request
		firstSent, lastSent   time.Time
		answered              bool
		// dirty is set when the owner must get a new request before the next renewal.
		dirty     bool
		roundTrip time.Duration
	}

	// serviceState is the demand for slots of one service at this entry.
	serviceState struct {
		waiting      map[int]int
		total        int
		waitingSince time.Time
		// remoteAsked is set once owners in other regions were asked for slots.
		remoteAsked bool
		freed       chan struct{}
		// usedAt is when a slot of the service was last taken or returned.
		usedAt time.Time
		// contended is set if the last applied grant, of whichever owner, lists the service
		// as one whose demand the owner can't meet.
		contended bool
	}
)

// grantedAt returns the number of granted slots, or 0 once the lease has expired.
func (l *lease) grantedAt(now time.Time) int {
	if !now.Before(l.expires) {
		return 0
	}
	return l.granted
}

// heldAt returns the number of slots that this entry may be using: a request keeps
// its slot after the lease has expired.
func (l *lease) heldAt(now time.Time) int { return max(l.grantedAt(now), l.inFlight) }

// expireLeases ends leases that have expired or whose server has another owner now, and
// returns slots that were idle for idleSlotRetention. It removes a lease that has ended
// once none of its requests is in flight.
func (p *Pool) expireLeases(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, l := range p.leases {
		owner := ""
		if b := p.backends[key]; b != nil {
			owner = b.owner
		}
		if l.granted > 0 && l.grantedBy != owner {
			// Otherwise both owners would count the unused slots of this entry.
			l.granted = 0
			p.session(l.grantedBy).dirty = true
			if owner != "" {
				p.session(owner).dirty = true
			}
		}
		if l.grantedAt(now) == 0 {
			l.granted = 0
		}
		if l.granted > l.inFlight && now.Sub(p.lastUse(l)) > idleSlotRetention && p.serviceState(l.service).total == 0 {
			p.returnIdleSlots(l)
		}
		if l.granted == 0 && l.inFlight == 0 {
			delete(p.leases, key)
		}
	}
}

// lastUse returns when a lease was last used. In the local region the use of any slot
// of the service counts, so that the entry keeps slots at all of its local servers
// and spreads requests over them.
func (p *Pool) lastUse(l *lease) time.Time {
	used := p.serviceState(l.service).usedAt
	if b := p.backends[l.key]; b != nil && b.local && used.After(l.usedAt) {
		return used
	}
	return l.usedAt
}

// askRemoteOwners requests slots from owners in other regions for services whose
// requests have waited for remoteAskDelay.
func (p *Pool) askRemoteOwners(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, s := range p.services {
		if s.total == 0 || s.remoteAsked || now.Sub(s.waitingSince) < remoteAskDelay {
			continue
		}
		s.remoteAsked = true
		for owner, local := range p.backendsOf(service).owners {
			if !local {
				p.session(owner).dirty = true
			}
		}
	}
}

// returnIdleSlots gives up the slots of a lease that have no request in flight. mu is
// held.
func (p *Pool) returnIdleSlots(l *lease) {
	counters.returned.Add(int64(l.granted - l.inFlight))
	l.granted = l.inFlight
	p.session(l.grantedBy).dirty = true
}

// sendDue sends the requests that are due.
func (p *Pool) sendDue(now time.Time) {
	for _, r := range p.dueRequests(now) {
		if r.To == r.From {
			p.HandleRequest(r)
		} else {
			p.Sender.SendRequest(r.To, r)
		}
	}
}

// dueRequests returns the requests to send now and removes sessions that are no
// longer needed.
func (p *Pool) dueRequests(now time.Time) []*Request {
	self := p.Members.Self()
	p.mu.Lock()
	defer p.mu.Unlock()
	owners := make(map[string]bool)
	for name := range p.owners {
		owners[name] = true
	}
	for _, l := range p.leases {
		owners[l.grantedBy] = true
	}
	for name, s := range p.sessions {
		if !owners[name] && now.Sub(s.firstSent) > sessionRetention {
			delete(p.sessions, name)
			continue
		}
		owners[name] = true
	}
	delete(owners, "")
	var list []*Request
	for _, name := range slices.Sorted(maps.Keys(owners)) {
		if r := p.nextRequest(now, self, name); r != nil {
			list = append(list, r)
		}
	}
	return list
}

// nextRequest returns the request to send to an owner now, or nil. mu is held.
func (p *Pool) nextRequest(now time.Time, self briarferry.VM, owner string) *Request {
	s := p.session(owner)
	if s.lastRequest != nil && !s.answered && now.Sub(s.firstSent) < requestTimeout {
		if now.Sub(s.lastSent) < s.resendDelay() {
			return nil
		}
		s.lastSent = now
		counters.resends.Add(1)
		return s.lastRequest
	}
	if !s.dirty && now.Sub(s.firstSent) < renewInterval {
		return nil
	}
	r := &Request{From: self.Name, To: owner, Incarnation: self.Incarnation}
	p.fillRequest(now, r)
	empty := len(r.Holdings)+len(r.Demands) == 0
	if empty && (s.lastRequest == nil || s.answered && len(s.lastRequest.Holdings)+len(s.lastRequest.Demands) == 0) {
		s.dirty = false
		return nil
	}
	// All sessions share one sequence, so that it still increases when a session is
	// removed and created again.
	p.sequence++
	s.sequence, r.Sequence = p.sequence, p.sequence
	s.lastRequest, s.firstSent, s.lastSent, s.answered, s.dirty = r, now, now, false, false
	counters.requests.Add(1)
	return r
}

// fillRequest adds to r the held slots that the receiver granted or that belong to a
// server which the receiver owns now, and the demand for slots of the receiver's servers.
// mu is held.
func (p *Pool) fillRequest(now time.Time, r *Request) {
	for _, key := range slices.Sorted(maps.Keys(p.leases)) {
		l := p.leases[key]
		b := p.backends[key]
		if l.grantedBy != r.To && (b == nil || b.owner != r.To) {
			continue
		}
		if held := l.heldAt(now); held > 0 {
			r.Holdings = append(r.Holdings, Holding{Key: key, Held: uint32(held), InFlight: uint32(l.inFlight)})
		}
	}
	for _, service := range slices.Sorted(maps.Keys(p.services)) {
		s := p.services[service]
		if s.total == 0 || !p.shouldAsk(now, service, s, r.To) {
			continue
		}
		for _, urgency := range slices.Sorted(maps.Keys(s.waiting)) {
			if n := s.waiting[urgency]; n > 0 {
				r.Demands = append(r.Demands, Demand{Service: service, Urgency: uint8(min(max(urgency, 0), maxUrgency)), Waiting: uint32(min(n, maxCount))})
			}
		}
	}
}

// shouldAsk reports whether to request slots of a service from an owner. An owner of
// servers in the local region is always asked; others are asked if the local region
// has fewer slots than waiting requests or after remoteAskDelay. mu is held.
func (p *Pool) shouldAsk(now time.Time, service string, s *serviceState, owner string) bool {
	backends := p.backendsOf(service)
	local, owns := backends.owners[owner]
	return local || owns && (backends.localSlots < s.total || now.Sub(s.waitingSince) >= remoteAskDelay)
}

// resendDelay returns the time after which an unanswered request is sent again.
func (s *session) resendDelay() time.Duration {
	if s.roundTrip == 0 {
		return initialResendDelay
	}
	return min(max(2*s.roundTrip, minResendDelay), initialResendDelay*2)
}

// applyGrant updates the leases from a grant. It ignores a grant that doesn't answer
// the newest request to its sender, and one that is older than the last applied one.
func (p *Pool) applyGrant(now time.Time, g *Grant) {
	self := p.Members.Self()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sessions[g.From]
	if s == nil || g.To != self.Name || g.ToIncarnation != self.Incarnation || g.Sequence != s.sequence ||
		g.Incarnation < s.incarnation || g.Incarnation == s.incarnation && g.Revision <= s.revision {
		return
	}
	if !s.answered && s.firstSent.Equal(s.lastSent) {
		s.roundTrip = now.Sub(s.firstSent)
	}
	s.incarnation, s.revision, s.answered = g.Incarnation, g.Revision, true
	granted := make(map[uint64]int, len(g.Slots))
	for _, slot := range g.Slots {
		granted[slot.Key] = int(slot.Slots)
	}
	for _, l := range p.leases {
		if l.grantedBy == g.From {
			p.updateLease(l, granted[l.key], s)
		}
	}
	for key, n := range granted {
		if b := p.backends[key]; b != nil && b.owner == g.From {
			l := p.leases[key]
			if l == nil {
				l = &lease{key: key, service: b.id.Service, usedAt: now}
				p.leases[key] = l
			}
			l.grantedBy = g.From
			p.updateLease(l, n, s)
		}
	}
	p.updateContended(g)
}

// updateLease sets a lease to n slots, valid for LeaseDuration from when the answered
// request was first sent. mu is held.
func (p *Pool) updateLease(l *lease, n int, s *session) {
	if max(n, l.inFlight) < max(l.granted, l.inFlight) {
		s.dirty = true // confirms to the owner that the slots were given up
		p.wake()
	}
	l.granted, l.expires = n, s.firstSent.Add(LeaseDuration)
	if n > l.inFlight {
		p.serviceState(l.service).notify()
	}
}

// updateContended records which services the grant lists as contended. mu is held.
func (p *Pool) updateContended(g *Grant) {
	contended := make(map[string]bool, len(g.Contended))
	for _, service := range g.Contended {
		contended[service] = true
	}
	for service, s := range p.services {
		s.contended = contended[service]
	}
}

// session returns the session with an owner and creates it if needed. mu is held.
func (p *Pool) session(owner string) *session {
	s := p.sessions[owner]
	if s == nil {
		s = &session{}
		p.sessions[owner] = s
	}
	return s
}

// serviceState returns the state of a service and creates it if needed. mu is held.
func (p *Pool) serviceState(service string) *serviceState {
	s := p.services[service]
	if s == nil {
		s = &serviceState{freed: make(chan struct{}, 1)}
		p.services[service] = s
	}
	return s
}

// notify sends on the channel of SlotFreed without blocking.
func (s *serviceState) notify() {
	select {
	case s.freed <- struct{}{}:
	default:
	}
}
