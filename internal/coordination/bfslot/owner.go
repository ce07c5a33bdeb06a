package bfslot

import (
	"maps"
	"slices"
	"sync"
	"time"

	"briarferry"
)

const (
	// LeaseDuration is how long a grant holds, counted by the holder from when it sent the
	// request.
	LeaseDuration = time.Second
	// homeLease is how long the home counts a grant; the difference covers clocks
	// that run at different speeds.
	homeLease = LeaseDuration + LeaseDuration/10
	// minWait and maxWait bound how long a new home waits before it grants. After
	// minWait it grants once all VMs agree on who is up, so that no other home
	// grants any more; after maxWait it grants in any case, because a cut link may
	// keep views apart for long.
	minWait = homeLease + 400*time.Millisecond
	maxWait = 3 * time.Second
	// startingRamp is the time over which a starting server's slots are opened.
	startingRamp = 10 * time.Second
	// recheck is how often the home looks again whether an entry whose lease lapsed
	// with requests in flight is still up.
	recheck = 200 * time.Millisecond
)

type (
	// home is the part of the pool that grants slots.
	home struct {
		self briarferry.VM

		mu      sync.Mutex
		servers map[uint64]*server
		holders map[string]*holderState
		// contended has the services with demand that isn't met.
		// floorShare returns the share of a service's slots that an urgency keeps.
		floorShare func(urgency int) float64
		contended  map[string]bool
	}

	// ownServer is a server that this VM is the home of, with its open slots.
	ownServer struct {
		service, region string
		slots           int
	}

	// holderID names one process. A restarted entry starts with nothing, while what
	// its former process held stays charged until the lease ends.
	holderID struct {
		name        string
		incarnation uint64
	}

	// server is a backend server that this VM is the home of.
	server struct {
		key             uint64
		service, region string
		// since is when this VM became the home.
		since time.Time
		slots int
		// ledger has what each holder may be using.
		ledger map[holderID]*charge
	}

	charge struct {
		// held is the largest number of slots that the holder may use, granted what
		// the last grant gave it.
		held, granted, inFlight int
		expires                 time.Time
	}

	// holderState is the last request of an entry.
	holderState struct {
		incarnation, sequence uint64
		revision              uint64
		receivedAt            time.Time
		wants                 []Demand
		// gainedAt and urgency are by service: when the entry last got a slot, and
		// the urgency of its last waiting requests.
		gainedAt map[string]time.Time
		urgency  map[string]int
		last     *Grant
	}

	// view is what the home needs to know of the other VMs.
	view struct {
		up map[holderID]bool
		// regions has the region of each live VM by name.
		regions   map[string]string
		connected bool
		agreed    bool
	}
)

func newHome() *home {
	return &home{servers: make(map[uint64]*server), holders: make(map[string]*holderState),
		contended: make(map[string]bool), floorShare: func(int) float64 { return defaultFloor }}
}

// update takes over the servers that this VM is the home of. A server that is not
// among them but for which stillHome is true has only lapsed.
func (h *home) update(now time.Time, self briarferry.VM, own map[uint64]ownServer, stillHome func(key uint64, region string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.self = self
	for key, o := range own {
		s := h.servers[key]
		if s == nil {
			s = &server{key: key, service: o.service, region: o.region, since: now, ledger: make(map[holderID]*charge)}
			h.servers[key] = s
		}
		s.slots = o.slots
	}
	for key, s := range h.servers {
		if _, ok := own[key]; ok {
			continue
		}
		if s.slots = 0; len(s.ledger) == 0 || !stillHome(key, s.region) {
			delete(h.servers, key)
		}
	}
}

// restart makes every server wait again, after this VM was cut off or frozen.
func (h *home) restart(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.servers {
		s.since = now
	}
}

// request takes a holder's request and returns the grants to send.
func (h *home) request(now time.Time, v view, r *Request) []*Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	st := h.holders[r.From]
	if st == nil || r.Incarnation > st.incarnation {
		st = &holderState{incarnation: r.Incarnation, gainedAt: make(map[string]time.Time), urgency: make(map[string]int)}
		h.holders[r.From] = st
	}
	switch {
	case !v.connected, r.To != h.self.Name, r.Incarnation < st.incarnation, r.Sequence < st.sequence:
		return nil
	case r.Sequence == st.sequence:
		if st.last == nil {
			return nil
		}
		return []*Grant{st.last}
	}
	services := map[string]bool{}
	st.sequence, st.receivedAt, st.wants = r.Sequence, now, r.Demands
	for _, w := range r.Demands {
		services[w.Service] = true
		st.urgency[w.Service] = maxUrgency
	}
	for _, w := range r.Demands {
		st.urgency[w.Service] = min(st.urgency[w.Service], int(w.Urgency))
	}
	h.record(now, r, services)
	changed := map[string]bool{r.From: true}
	for service := range services {
		h.allocate(now, v, service, changed)
		h.spread(now, v, service, r.From)
	}
	return h.grants(now, v, changed)
}

// record charges what the holder reports and releases what it no longer holds.
func (h *home) record(now time.Time, r *Request, services map[string]bool) {
	id := holderID{r.From, r.Incarnation}
	reported := make(map[uint64]Holding, len(r.Holdings))
	for _, hold := range r.Holdings {
		reported[hold.Key] = hold
	}
	for key, s := range h.servers {
		hold, ok := reported[key]
		c := s.ledger[id]
		if !ok && c == nil {
			continue
		}
		services[s.service] = true
		if !ok || hold.Held == 0 {
			delete(s.ledger, id)
			continue
		}
		if c == nil {
			c = &charge{}
			s.ledger[id] = c
		}
		c.held, c.inFlight = int(hold.Held), int(hold.InFlight)
		c.granted = c.held
		c.expires = now.Add(homeLease)
	}
}

// tick drops what lapsed and returns the grants that change by it.
func (h *home) tick(now time.Time, v view) []*Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, st := range h.holders {
		if now.Sub(st.receivedAt) > homeLease {
			st.wants = nil
			if now.Sub(st.receivedAt) > time.Minute {
				delete(h.holders, name)
			}
		}
	}
	for _, s := range h.servers {
		for id, c := range s.ledger {
			s.expire(now, v, id, c)
		}
	}
	if !v.connected {
		return nil
	}
	services, changed := map[string]bool{}, map[string]bool{}
	for _, st := range h.holders {
		for _, w := range st.wants {
			services[w.Service] = true
		}
	}
	for service := range services {
		h.allocate(now, v, service, changed)
	}
	return h.grants(now, v, changed)
}

// expire releases a lapsed charge except for requests in flight, which stay
// charged while their entry is up.
func (s *server) expire(now time.Time, v view, id holderID, c *charge) {
	if now.Before(c.expires) {
		return
	}
	counters.expired.Add(1)
	if !v.up[id] || c.inFlight == 0 {
		delete(s.ledger, id)
		return
	}
	c.held, c.granted = c.inFlight, min(c.granted, c.inFlight)
	c.expires = now.Add(recheck)
}

func (h *home) allocate(now time.Time, v view, service string, changed map[string]bool) {
	servers := h.open(now, v, service)
	total := 0
	for _, s := range servers {
		total += s.slots
	}
	claimants := h.claimants(service, servers)
	delete(h.contended, service)
	share(now, total, claimants, h.floorShare)
	if missing(claimants) > sumFree(servers) {
		for _, c := range claimants {
			h.recall(servers, c, changed)
		}
	}
	for _, c := range claimants {
		for c.held < c.target && h.grantOne(now, c, h.freest(servers, c.name)) {
			changed[c.name] = true
		}
		if c.held < c.demand {
			h.contended[service] = true
			counters.refused.Add(1)
		}
	}
}

// open returns the servers of a service at which slots may be granted.
func (h *home) open(now time.Time, v view, service string) []*server {
	var list []*server
	for _, key := range slices.Sorted(maps.Keys(h.servers)) {
		s := h.servers[key]
		if s.service != service || s.slots <= 0 {
			continue
		}
		if s.waits(now, v) {
			counters.waits.Add(1)
			continue
		}
		list = append(list, s)
	}
	return list
}

// waits tells whether leases of another home may still be in use.
func (s *server) waits(now time.Time, v view) bool {
	wait := now.Sub(s.since)
	return wait < minWait || wait < maxWait && !v.agreed
}

func (h *home) claimants(service string, servers []*server) (list []*claimant) {
	for name, st := range h.holders {
		c := &claimant{name: name, urgency: maxUrgency, gainedAt: st.gainedAt[service]}
		if u, ok := st.urgency[service]; ok {
			c.urgency = u
		}
		for _, w := range st.wants {
			if w.Service == service && w.Waiting > 0 {
				c.demand += int(w.Waiting)
			}
		}
		for _, s := range servers {
			if ch := s.ledger[holderID{name, st.incarnation}]; ch != nil {
				c.held += ch.granted
				c.demand += ch.inFlight
			}
		}
		if c.demand > 0 || c.held > 0 {
			list = append(list, c)
		}
	}
	return list
}

// recall lowers the grants of an entry that holds more than its share. The slots
// stay charged until the entry reports that it no longer holds them.
func (h *home) recall(servers []*server, c *claimant, changed map[string]bool) {
	id := h.id(c.name)
	// First slots that are idle, then those with a request in flight.
	for _, idle := range []bool{true, false} {
		for _, s := range servers {
			ch := s.ledger[id]
			for ch != nil && c.held > c.target && ch.granted > 0 && (!idle || ch.granted > ch.inFlight) {
				ch.granted--
				c.held--
				changed[c.name] = true
			}
		}
	}
}

func (h *home) id(name string) holderID { return holderID{name, h.holders[name].incarnation} }

// grants builds the messages for the entries whose grants changed. Each renews all
// leases of its entry.
func (h *home) grants(now time.Time, v view, changed map[string]bool) []*Grant {
	var list []*Grant
	for name := range changed {
		st := h.holders[name]
		st.revision++
		g := &Grant{From: h.self.Name, Incarnation: h.self.Incarnation, To: name,
			ToIncarnation: st.incarnation, Sequence: st.sequence, Revision: st.revision}
		for key, s := range h.servers {
			c := s.ledger[h.id(name)]
			if c == nil {
				continue
			}
			if s.slots <= 0 || s.waits(now, v) {
				c.granted = min(c.granted, c.inFlight)
			}
			if c.expires = now.Add(homeLease); c.granted > 0 {
				g.Slots = append(g.Slots, GrantedSlots{Key: key, Slots: uint32(c.granted)})
			}
		}
		for service := range h.contended {
			g.Contended = append(g.Contended, service)
		}
		slices.Sort(g.Contended)
		st.last = g
		list = append(list, g)
	}
	return list
}
