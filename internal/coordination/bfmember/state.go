// Package bfmember tracks which of the system's VMs are up.
package bfmember

import (
	"net/netip"
	"slices"
	"time"

	"briarferry"
)

const (
	// HeartbeatInterval is the time between two heartbeats to the same VM.
	HeartbeatInterval = 200 * time.Millisecond
	// SuspectAfter is the silence after which a VM is suspected.
	SuspectAfter = time.Second
	// MaxTickDelay is how late the process's own tick may be before it counts as
	// frozen.
	MaxTickDelay = 250 * time.Millisecond
	// TickInterval is how often Tick must be called.
	TickInterval = 50 * time.Millisecond

	// aloneDownAfter replaces the verdict of the others where there are none.
	aloneDownAfter = 3 * time.Second
	// forgetAfter is how long a VM must be down before it no longer counts among
	// the others. Without it, three VMs replaced under new names would cut off
	// the remaining ones of today's 7.
	forgetAfter = time.Minute
	// youngFor is how long after its start a process may raise its incarnation
	// above one that others remember; a clock set back across a restart needs it.
	youngFor = 2 * time.Second
	// newFor is how long each heartbeat tells of a VM that the sender has just
	// learned of; the others are told of in turn. In turn only, 50 VMs with 3 seeds
	// took more than 4 s to meet.
	newFor = 3 * time.Second
	// settledEvery is the number of heartbeats of which one tells of another known
	// VM; a descriptor is a third of a heartbeat among 7.
	settledEvery = 5
)

type (
	// State is the membership state of one VM. It has no clock, socket or
	// goroutine; it isn't safe for concurrent use.
	State struct {
		// Stats counts events.
		Stats Stats

		self       briarferry.VM
		flags      Flags
		seeds      []seed
		peers      map[string]*peer
		sequence   uint64
		startedAt  time.Time
		lastTick   time.Time
		nextBeat   time.Time
		superseded bool
		// wantEcho is the lowest of our sequences that a VM must have heard to count
		// as connected with us; it moves up when this process was frozen.
		wantEcho uint64
		rotation int
		// epoch grows whenever this VM was cut off or frozen.
		epoch        uint64
		wasConnected bool
	}

	// Stats counts membership events.
	Stats struct {
		Sent, Received, Dropped, Suspicions, Downs, Freezes uint64
	}

	// Destination is a heartbeat to send; Name is empty where only the address of a
	// seed is known.
	Destination struct {
		Name    string
		Address netip.AddrPort
	}

	seed struct {
		address netip.AddrPort
		// unheardSince is when no VM with the address was known any more.
		unheardSince time.Time
	}
)

// NewState returns the state of a VM that has heard nobody yet.
func NewState(now time.Time, self briarferry.VM, seeds []netip.AddrPort) *State {
	m := &State{self: self, peers: make(map[string]*peer), startedAt: now, lastTick: now, nextBeat: now, wantEcho: 1}
	for _, a := range seeds {
		if a != self.Gossip {
			m.seeds = append(m.seeds, seed{address: a, unheardSince: now})
		}
	}
	return m
}

// Tick evaluates all VMs and returns where the next heartbeat is due; the caller
// sends Heartbeat's result there.
func (m *State) Tick(now time.Time) []Destination {
	if m.frozen(now) {
		m.Stats.Freezes++
		m.wantEcho = m.sequence + 1
		m.epoch++
	}
	m.lastTick = now
	m.evaluate(now)
	if now.Before(m.nextBeat) {
		return nil
	}
	m.nextBeat = now.Add(HeartbeatInterval)
	return m.beat(now)
}

func (m *State) beat(now time.Time) []Destination {
	m.sequence++
	m.rotation++
	var out []Destination
	for _, name := range m.names() {
		if p := m.peers[name]; !p.left {
			out = append(out, Destination{Name: name, Address: p.vm.Gossip})
		}
	}
	for i := range m.seeds {
		if m.byAddress(m.seeds[i].address) == nil {
			out = append(out, Destination{Address: m.seeds[i].address})
		}
	}
	m.Stats.Sent += uint64(len(out))
	return out
}

// Heartbeat returns the message of the current sequence.
func (m *State) Heartbeat(now time.Time) Heartbeat {
	h := Heartbeat{VM: Describe(m.self), Sequence: max(m.sequence, 1), Flags: m.flags, ViewHash: m.ViewHash()}
	var fresh, settled []*peer
	for _, name := range m.names() {
		p := m.peers[name]
		if p.left || p.heardAt.IsZero() {
			continue
		}
		h.Heard = append(h.Heard, LastHeard{Name: name, Incarnation: p.vm.Incarnation, Sequence: p.sequence,
			AgeMillis: uint32(min(now.Sub(p.heardAt), time.Hour) / time.Millisecond)})
		switch {
		case p.silent(now):
		case now.Sub(p.knownAt) < newFor:
			fresh = append(fresh, p)
		default:
			settled = append(settled, p)
		}
	}
	h.Learned = m.inTurn(nil, m.rotation, fresh, maxLearned-1)
	if m.rotation%settledEvery == 0 {
		h.Learned = m.inTurn(h.Learned, m.rotation/settledEvery, settled, 1)
	}
	return h
}

// inTurn adds up to n descriptors, others each time.
func (m *State) inTurn(list []Descriptor, turn int, peers []*peer, n int) []Descriptor {
	for i := range min(n, len(peers)) {
		list = append(list, Describe(peers[(turn*n+i)%len(peers)].vm))
	}
	return list
}

// Receive takes a heartbeat and returns false where it is a duplicate, late or
// from a replaced process.
func (m *State) Receive(now time.Time, h *Heartbeat) bool {
	if h.VM.Name == m.self.Name {
		m.conflict(now, h.VM.Incarnation)
		return false
	}
	p := m.peers[h.VM.Name]
	if p == nil {
		if len(m.peers) >= maxVMs {
			m.Stats.Dropped++
			return false
		}
		p = newPeer(now, h.VM.VM())
		m.peers[h.VM.Name] = p
	}
	if !p.accepts(h) {
		m.Stats.Dropped++
		return false
	}
	m.Stats.Received++
	p.hear(now, m.self, h)
	for i := range h.Heard {
		if h.Heard[i].Name == m.self.Name {
			m.conflict(now, h.Heard[i].Incarnation)
		}
	}
	for i := range h.Learned {
		m.learn(now, &h.Learned[i])
	}
	return true
}

// conflict deals with another process of the same name that others know.
func (m *State) conflict(now time.Time, incarnation uint64) {
	switch {
	case incarnation <= m.self.Incarnation:
	case now.Sub(m.startedAt) < youngFor:
		m.self.Incarnation = incarnation + 1
	default:
		m.superseded = true
	}
}

func (m *State) learn(now time.Time, d *Descriptor) {
	if d.Name == m.self.Name {
		return
	}
	p := m.peers[d.Name]
	if p == nil && len(m.peers) < maxVMs || p != nil && d.Incarnation > p.vm.Incarnation {
		m.peers[d.Name] = newPeer(now, d.VM())
	}
}

// SetFlag sets or clears a flag of this VM.
func (m *State) SetFlag(f Flags, on bool) {
	m.flags &^= f
	if on {
		m.flags |= f
	}
}

// Leave marks this VM as leaving and makes the next heartbeat due at once.
func (m *State) Leave(now time.Time) {
	m.SetFlag(FlagLeaving, true)
	m.SetFlag(FlagReady, false)
	m.nextBeat = now
}

// Self returns this VM.
func (m *State) Self() briarferry.VM { return m.self }

// Connected is false while this VM hears, or is heard by, less than half of the
// others, was frozen, or was replaced by a newer process.
func (m *State) Connected(now time.Time) bool {
	if m.superseded || m.frozen(now) {
		return false
	}
	connected, others := 0, 0
	for _, p := range m.peers {
		if p.left {
			continue
		}
		others++
		if p.linked(now) && p.echo >= m.wantEcho {
			connected++
		}
	}
	for i := range m.seeds {
		if m.counts(now, &m.seeds[i]) {
			others++
		}
	}
	return 2*connected >= others
}

func (m *State) frozen(now time.Time) bool {
	return now.Sub(m.lastTick) > TickInterval+MaxTickDelay
}

// counts tells whether a seed that no known VM has still counts among the others.
func (m *State) counts(now time.Time, s *seed) bool {
	return m.byAddress(s.address) == nil && now.Sub(s.unheardSince) < forgetAfter
}

func (m *State) byAddress(a netip.AddrPort) *peer {
	for _, p := range m.peers {
		if p.vm.Gossip == a {
			return p
		}
	}
	return nil
}

func (m *State) names() []string {
	names := make([]string, 0, len(m.peers))
	for name := range m.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
