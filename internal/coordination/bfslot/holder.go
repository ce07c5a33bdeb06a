package bfslot

import (
	"maps"
	"slices"
	"time"

	"briarferry"
)

const (
	// renewEvery is how often leases are renewed.
	renewEvery = 200 * time.Millisecond
	// resendFirst and resendMax bound the time after which an unanswered request is
	// sent again; resendFirst is above the longest round trip of 110 ms.
	resendFirst = 130 * time.Millisecond
	resendMin   = 20 * time.Millisecond
	// giveUpAfter is when a new request replaces an unanswered one: leases count
	// from when a request was first sent, so the answer to an old one is worth little.
	giveUpAfter = 500 * time.Millisecond
	// forgetAfter is how long the state of an exchange is kept that is of no use.
	forgetAfter = 10 * time.Second
	// linger is how long an unused slot is kept where nobody else waits for it.
	linger = time.Second
	// widenAfter is how long requests wait for slots of the own region before other
	// regions are asked.
	widenAfter = 20 * time.Millisecond
)

type (
	// lease is what this entry holds at one backend server.
	lease struct {
		key       uint64
		service   string
		granted   int
		grantedBy string
		expires   time.Time
		inFlight  int
		usedAt    time.Time
	}

	// talk is the exchange with one home entry.
	talk struct {
		// incarnation and revision are of the last accepted grant.
		incarnation, revision uint64
		sequence              uint64
		last                  *Request
		firstSent, lastSent   time.Time
		answered              bool
		dirty                 bool
		roundTrip             time.Duration
	}

	// demand is what waits at this entry for one service.
	serviceState struct {
		waiting map[int]int
		total   int
		since   time.Time
		// widened is true once homes in other regions were asked.
		widened bool
		freed   chan struct{}
		// usedAt is when a slot of the service was last taken or given back.
		usedAt time.Time
		// contended is true while others wait for the service's slots.
		contended bool
	}
)

func (l *lease) valid(now time.Time) int {
	if !now.Before(l.expires) {
		return 0
	}
	return l.granted
}

func (l *lease) held(now time.Time) int { return max(l.valid(now), l.inFlight) }

// expire drops leases that ended, that another home has taken over, or that lie unused.
func (p *Pool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, l := range p.leases {
		home := ""
		if r := p.routes[key]; r != nil {
			home = r.home
		}
		if l.granted > 0 && l.grantedBy != home {
			// Two homes must not both count on this entry's unused slots.
			l.granted = 0
			p.talk(l.grantedBy).dirty = true
			if home != "" {
				p.talk(home).dirty = true
			}
		}
		if l.valid(now) == 0 {
			l.granted = 0
		}
		if l.granted > l.inFlight && now.Sub(p.usedAt(l)) > linger && p.serviceState(l.service).total == 0 {
			p.giveBack(l)
		}
		if l.granted == 0 && l.inFlight == 0 {
			delete(p.leases, key)
		}
	}
}

// usedAt returns when a lease was last of use. Those of the own region are kept while
// any of their service is used, so that requests go round all of its servers.
func (p *Pool) usedAt(l *lease) time.Time {
	used := p.serviceState(l.service).usedAt
	if r := p.routes[l.key]; r != nil && r.local && used.After(l.usedAt) {
		return used
	}
	return l.usedAt
}

// widen asks the homes in other regions where requests still wait.
func (p *Pool) widen(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, d := range p.services {
		if d.total == 0 || d.widened || now.Sub(d.since) < widenAfter {
			continue
		}
		d.widened = true
		for home, local := range p.of(service).homes {
			if !local {
				p.talk(home).dirty = true
			}
		}
	}
}

func (p *Pool) giveBack(l *lease) {
	counters.returned.Add(int64(l.granted - l.inFlight))
	l.granted = l.inFlight
	p.talk(l.grantedBy).dirty = true
}

// flush sends what is due to each home.
func (p *Pool) flush(now time.Time) {
	for _, r := range p.due(now) {
		if r.To == r.From {
			p.HandleRequest(r)
		} else {
			p.Sender.SendRequest(r.To, r)
		}
	}
}

func (p *Pool) due(now time.Time) []*Request {
	self := p.Members.Self()
	p.mu.Lock()
	defer p.mu.Unlock()
	homes := make(map[string]bool)
	for name := range p.homes {
		homes[name] = true
	}
	for _, l := range p.leases {
		homes[l.grantedBy] = true
	}
	for name, t := range p.talks {
		if !homes[name] && now.Sub(t.firstSent) > forgetAfter {
			delete(p.talks, name)
			continue
		}
		homes[name] = true
	}
	delete(homes, "")
	var list []*Request
	for _, name := range slices.Sorted(maps.Keys(homes)) {
		if r := p.next(now, self, name); r != nil {
			list = append(list, r)
		}
	}
	return list
}

// next returns the request to send to a home now, or nil.
func (p *Pool) next(now time.Time, self briarferry.VM, name string) *Request {
	t := p.talk(name)
	if t.last != nil && !t.answered && now.Sub(t.firstSent) < giveUpAfter {
		if now.Sub(t.lastSent) < t.resendAfter() {
			return nil
		}
		t.lastSent = now
		counters.resends.Add(1)
		return t.last
	}
	if !t.dirty && now.Sub(t.firstSent) < renewEvery {
		return nil
	}
	r := &Request{From: self.Name, To: name, Incarnation: self.Incarnation}
	p.fill(now, r)
	empty := len(r.Holdings)+len(r.Demands) == 0
	if empty && (t.last == nil || t.answered && len(t.last.Holdings)+len(t.last.Demands) == 0) {
		t.dirty = false
		return nil
	}
	// Sequences are of the whole pool, so that a talk can be forgotten and begun anew.
	p.sequence++
	t.sequence, r.Sequence = p.sequence, p.sequence
	t.last, t.firstSent, t.lastSent, t.answered, t.dirty = r, now, now, false, false
	counters.requests.Add(1)
	return r
}

// fill adds what is held of a home, or of servers that it has taken over, and what
// is wanted of it.
func (p *Pool) fill(now time.Time, r *Request) {
	for _, key := range slices.Sorted(maps.Keys(p.leases)) {
		l := p.leases[key]
		route := p.routes[key]
		if l.grantedBy != r.To && (route == nil || route.home != r.To) {
			continue
		}
		if held := l.held(now); held > 0 {
			r.Holdings = append(r.Holdings, Holding{Key: key, Held: uint32(held), InFlight: uint32(l.inFlight)})
		}
	}
	for _, service := range slices.Sorted(maps.Keys(p.services)) {
		d := p.services[service]
		if d.total == 0 || !p.asks(now, service, d, r.To) {
			continue
		}
		for _, urgency := range slices.Sorted(maps.Keys(d.waiting)) {
			if n := d.waiting[urgency]; n > 0 {
				r.Demands = append(r.Demands, Demand{Service: service, Urgency: uint8(min(max(urgency, 0), maxUrgency)), Waiting: uint32(min(n, maxCount))})
			}
		}
	}
}

// asks tells whether a home is asked for a service: at once where it has servers of
// the own region, and otherwise where those don't suffice.
func (p *Pool) asks(now time.Time, service string, d *serviceState, home string) bool {
	routes := p.of(service)
	local, any := routes.homes[home]
	return local || any && (routes.localSlots < d.total || now.Sub(d.since) >= widenAfter)
}

func (t *talk) resendAfter() time.Duration {
	if t.roundTrip == 0 {
		return resendFirst
	}
	return min(max(2*t.roundTrip, resendMin), resendFirst*2)
}

// accept takes a grant that rests on the newest request to its home.
func (p *Pool) accept(now time.Time, g *Grant) {
	self := p.Members.Self()
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.talks[g.From]
	if t == nil || g.To != self.Name || g.ToIncarnation != self.Incarnation || g.Sequence != t.sequence ||
		g.Incarnation < t.incarnation || g.Incarnation == t.incarnation && g.Revision <= t.revision {
		return
	}
	if !t.answered && t.firstSent.Equal(t.lastSent) {
		t.roundTrip = now.Sub(t.firstSent)
	}
	t.incarnation, t.revision, t.answered = g.Incarnation, g.Revision, true
	granted := make(map[uint64]int, len(g.Slots))
	for _, s := range g.Slots {
		granted[s.Key] = int(s.Slots)
	}
	for _, l := range p.leases {
		if l.grantedBy == g.From {
			p.apply(l, granted[l.key], t)
		}
	}
	for key, n := range granted {
		if r := p.routes[key]; r != nil && r.home == g.From {
			l := p.leases[key]
			if l == nil {
				l = &lease{key: key, service: r.id.Service, usedAt: now}
				p.leases[key] = l
			}
			l.grantedBy = g.From
			p.apply(l, n, t)
		}
	}
	p.noteContended(g)
}

func (p *Pool) apply(l *lease, n int, t *talk) {
	if max(n, l.inFlight) < max(l.granted, l.inFlight) {
		t.dirty = true // tells the home that the recall took effect
		p.wake()
	}
	l.granted, l.expires = n, t.firstSent.Add(LeaseDuration)
	if n > l.inFlight {
		p.serviceState(l.service).notify()
	}
}

func (p *Pool) noteContended(g *Grant) {
	contended := make(map[string]bool, len(g.Contended))
	for _, service := range g.Contended {
		contended[service] = true
	}
	for service, d := range p.services {
		d.contended = contended[service]
	}
}

func (p *Pool) talk(home string) *talk {
	t := p.talks[home]
	if t == nil {
		t = &talk{}
		p.talks[home] = t
	}
	return t
}

func (p *Pool) serviceState(service string) *serviceState {
	d := p.services[service]
	if d == nil {
		d = &serviceState{freed: make(chan struct{}, 1)}
		p.services[service] = d
	}
	return d
}

func (d *serviceState) notify() {
	select {
	case d.freed <- struct{}{}:
	default:
	}
}
