// Package bfmember tracks which of the system's VMs are up. Every VM sends heartbeats to
// all others, and a VM counts as down by majority vote.
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
	// SilentAfter is the time without a heartbeat after which a VM counts as silent.
	SilentAfter = time.Second
	// MaxTickDelay is how late a call of Tick may be before this process counts as
	// frozen.
	MaxTickDelay = 250 * time.Millisecond
	// TickInterval is how often Tick must be called.
	TickInterval = 50 * time.Millisecond

	// soleVoterDownAfter is the time without a heartbeat after which a VM counts as down
	// if no other VM can vote on it.
	soleVoterDownAfter = 3 * time.Second
	// removeAfter is how long a VM must be down before it is removed and Connected no
	// longer counts it. Without the removal, VMs replaced under new names would still be
	// counted: with three of 7 replaced, two more failures would disconnect the remaining
	// original ones.
	removeAfter = time.Minute
	// incarnationRaiseWindow is how long after its start a process may raise its
	// incarnation above one that others know for its name. This is needed if the clock
	// was set back across a restart.
	incarnationRaiseWindow = 2 * time.Second
	// newPeerPeriod is how long heartbeats carry the descriptor of a VM at full rate
	// after the sender has learned of it. Without this, 50 VMs with 3 seeds took more
	// than 4 s to discover each other.
	newPeerPeriod = 3 * time.Second
	// One in settledPeerInterval heartbeats carries the descriptor of a VM that has been
	// known for longer than newPeerPeriod. With 7 VMs, a descriptor is a third of the size
	// of a heartbeat.
	settledPeerInterval = 5
)

type (
	// State is the membership state of one VM. It has no clock, socket or goroutine, and
	// isn't safe for concurrent use.
	State struct {
		// Stats counts events.
		Stats Stats

		self          briarferry.VM
		flags         Flags
		seeds         []seed
		peers         map[string]*peer
		sequence      uint64
		startedAt     time.Time
		lastTick      time.Time
		nextHeartbeat time.Time
		// superseded is set when a newer process with this VM's name was seen.
		superseded bool
		// minAckedSequence is the lowest sequence of this VM that another VM must have
		// received for Connected to count the other VM as connected. It is raised after
		// this process was frozen.
		minAckedSequence uint64
		// rotation selects the descriptors of the next heartbeat.
		rotation int
		// epoch increases whenever this VM was disconnected or frozen.
		epoch        uint64
		wasConnected bool
	}

	// Stats counts membership events. Suspicions counts how often a VM became silent.
	Stats struct {
		Sent, Received, Dropped, Suspicions, Downs, Freezes uint64
	}

	// Destination is where a heartbeat is to be sent. Name is empty if only the address
	// of a seed is known.
	Destination struct {
		Name    string
		Address netip.AddrPort
	}

	// seed is an address at which a VM is expected.
	seed struct {
		address netip.AddrPort
		// unknownSince is the last time at which a VM with the address was known or this
		// VM was disconnected.
		unknownSince time.Time
	}
)

// NewState returns the state of a VM that has received no heartbeat yet.
func NewState(now time.Time, self briarferry.VM, seeds []netip.AddrPort) *State {
	s := &State{self: self, peers: make(map[string]*peer), startedAt: now, lastTick: now, nextHeartbeat: now, minAckedSequence: 1}
	for _, a := range seeds {
		if a != self.Gossip {
			s.seeds = append(s.seeds, seed{address: a, unknownSince: now})
		}
	}
	return s
}

// Tick updates which VMs are up and returns the destinations of the next heartbeat if it
// is due. The caller sends them the result of Heartbeat.
func (s *State) Tick(now time.Time) []Destination {
	if s.frozen(now) {
		s.Stats.Freezes++
		s.minAckedSequence = s.sequence + 1
		s.epoch++
	}
	s.lastTick = now
	s.evaluatePeers(now)
	if now.Before(s.nextHeartbeat) {
		return nil
	}
	s.nextHeartbeat = now.Add(HeartbeatInterval)
	return s.nextDestinations(now)
}

// nextDestinations starts the next sequence and returns where to send its heartbeat: to
// all known VMs that aren't leaving and to seeds where no VM is known.
func (s *State) nextDestinations(now time.Time) []Destination {
	s.sequence++
	s.rotation++
	var out []Destination
	for _, name := range s.sortedNames() {
		if p := s.peers[name]; !p.leaving {
			out = append(out, Destination{Name: name, Address: p.vm.Gossip})
		}
	}
	for i := range s.seeds {
		if s.peerByAddress(s.seeds[i].address) == nil {
			out = append(out, Destination{Address: s.seeds[i].address})
		}
	}
	s.Stats.Sent += uint64(len(out))
	return out
}

// Heartbeat returns the heartbeat with the current sequence.
func (s *State) Heartbeat(now time.Time) Heartbeat {
	h := Heartbeat{VM: Describe(s.self), Sequence: max(s.sequence, 1), Flags: s.flags, ViewHash: s.ViewHash()}
	var newPeers, settledPeers []*peer
	for _, name := range s.sortedNames() {
		p := s.peers[name]
		if p.leaving || p.heardAt.IsZero() {
			continue
		}
		h.Heard = append(h.Heard, LastHeard{Name: name, Incarnation: p.vm.Incarnation, Sequence: p.sequence,
			AgeMillis: uint32(min(now.Sub(p.heardAt), time.Hour) / time.Millisecond)})
		switch {
		case p.silent(now):
		case now.Sub(p.learnedAt) < newPeerPeriod:
			newPeers = append(newPeers, p)
		default:
			settledPeers = append(settledPeers, p)
		}
	}
	h.Learned = s.appendInRotation(nil, s.rotation, newPeers, maxLearned-1)
	if s.rotation%settledPeerInterval == 0 {
		h.Learned = s.appendInRotation(h.Learned, s.rotation/settledPeerInterval, settledPeers, 1)
	}
	return h
}

// appendInRotation appends up to n descriptors of the peers that rotation selects.
func (s *State) appendInRotation(list []Descriptor, rotation int, peers []*peer, n int) []Descriptor {
	for i := range min(n, len(peers)) {
		list = append(list, Describe(peers[(rotation*n+i)%len(peers)].vm))
	}
	return list
}

// Receive processes a heartbeat. It returns false for a heartbeat that is ignored: a
// duplicate, a late one, or one of a replaced process.
func (s *State) Receive(now time.Time, h *Heartbeat) bool {
	if h.VM.Name == s.self.Name {
		s.handleNameConflict(now, h.VM.Incarnation)
		return false
	}
	p := s.peers[h.VM.Name]
	if p == nil {
		if len(s.peers) >= maxVMs {
			s.Stats.Dropped++
			return false
		}
		p = newPeer(now, h.VM.VM())
		s.peers[h.VM.Name] = p
	}
	if !p.isNewer(h) {
		s.Stats.Dropped++
		return false
	}
	s.Stats.Received++
	p.applyHeartbeat(now, s.self, h)
	for i := range h.Heard {
		if h.Heard[i].Name == s.self.Name {
			s.handleNameConflict(now, h.Heard[i].Incarnation)
		}
	}
	for i := range h.Learned {
		s.addLearned(now, &h.Learned[i])
	}
	return true
}

// handleNameConflict handles another process with this VM's name: if that one is newer,
// this process raises its own incarnation shortly after its start, and otherwise counts
// as superseded.
func (s *State) handleNameConflict(now time.Time, incarnation uint64) {
	switch {
	case incarnation <= s.self.Incarnation:
	case now.Sub(s.startedAt) < incarnationRaiseWindow:
		s.self.Incarnation = incarnation + 1
	default:
		s.superseded = true
	}
}

// addLearned adds a VM that another VM knows, or its newer incarnation.
func (s *State) addLearned(now time.Time, d *Descriptor) {
	if d.Name == s.self.Name {
		return
	}
	p := s.peers[d.Name]
	if p == nil && len(s.peers) < maxVMs || p != nil && d.Incarnation > p.vm.Incarnation {
		s.peers[d.Name] = newPeer(now, d.VM())
	}
}

// SetFlag sets or clears a flag of this VM.
func (s *State) SetFlag(f Flags, on bool) {
	s.flags &^= f
	if on {
		s.flags |= f
	}
}

// Leave marks this VM as leaving and makes the next heartbeat due at once.
func (s *State) Leave(now time.Time) {
	s.SetFlag(FlagLeaving, true)
	s.SetFlag(FlagReady, false)
	s.nextHeartbeat = now
}

// Self returns this VM.
func (s *State) Self() briarferry.VM { return s.self }

// Connected reports whether this VM exchanges heartbeats in both directions with at
// least half of the others. It is false while this process is frozen and until half of
// the others have received heartbeats sent after the freeze. It is also false once a
// newer process has replaced this one.
func (s *State) Connected(now time.Time) bool {
	if s.superseded || s.frozen(now) {
		return false
	}
	connected, others := 0, 0
	for _, p := range s.peers {
		if p.leaving {
			continue
		}
		others++
		if p.linked(now) && p.ackedSequence >= s.minAckedSequence {
			connected++
		}
	}
	for i := range s.seeds {
		if s.seedCounts(now, &s.seeds[i]) {
			others++
		}
	}
	return 2*connected >= others
}

// frozen reports whether Tick is overdue by more than MaxTickDelay.
func (s *State) frozen(now time.Time) bool {
	return now.Sub(s.lastTick) > TickInterval+MaxTickDelay
}

// seedCounts reports whether Connected counts a seed as one of the others: no VM with
// its address is known, and unknownSince is less than removeAfter ago.
func (s *State) seedCounts(now time.Time, sd *seed) bool {
	return s.peerByAddress(sd.address) == nil && now.Sub(sd.unknownSince) < removeAfter
}

func (s *State) peerByAddress(a netip.AddrPort) *peer {
	for _, p := range s.peers {
		if p.vm.Gossip == a {
			return p
		}
	}
	return nil
}

func (s *State) sortedNames() []string {
	names := make([]string, 0, len(s.peers))
	for name := range s.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
