package bfmember

import (
	"net/netip"
	"sync"
	"time"

	"briarferry"
)

// Members is a State that uses the system clock and is safe for concurrent use. It
// implements briarferry.Members.
type Members struct {
	mu    sync.Mutex
	state *State
}

var _ briarferry.Members = (*Members)(nil)

// NewMembers returns the membership of a VM that starts now.
func NewMembers(self briarferry.VM, seeds []netip.AddrPort) *Members {
	return &Members{state: NewState(time.Now(), self, seeds)}
}

// Tick updates which VMs are up. If a heartbeat is due, it returns the heartbeat and its
// destinations.
func (m *Members) Tick() ([]Destination, Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	out := m.state.Tick(now)
	if len(out) == 0 {
		return nil, Heartbeat{}
	}
	return out, m.state.Heartbeat(now)
}

// Receive processes a heartbeat. It returns false for a heartbeat that is ignored.
func (m *Members) Receive(h *Heartbeat) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Receive(time.Now(), h)
}

// SetFlag sets or clears a flag of this VM.
func (m *Members) SetFlag(f Flags, on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.SetFlag(f, on)
}

// Leave marks this VM as shutting down and makes the next heartbeat due at once, so that
// the other VMs learn of it.
func (m *Members) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Leave(time.Now())
}

// Self returns this VM.
func (m *Members) Self() briarferry.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Self()
}

// Live returns the VMs that are up and exchange heartbeats with this one in both
// directions, this one included.
func (m *Members) Live() []briarferry.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Live(time.Now())
}

// Up returns the VMs that are neither down by majority vote nor leaving.
func (m *Members) Up() []briarferry.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Up()
}

// Converged reports whether all VMs that are up report the same VMs as up.
func (m *Members) Converged() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Converged(time.Now())
}

// Epoch returns a number that increases whenever this VM was disconnected or frozen.
func (m *Members) Epoch() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.epoch
}

// Address returns where a VM receives gossip, or false for an unknown name.
func (m *Members) Address(name string) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.state.peers[name]; p != nil {
		return p.vm.Gossip, true
	}
	return netip.AddrPort{}, false
}

// Peer is what is known of another VM.
type Peer struct {
	VM    briarferry.VM
	Flags Flags
	// Linked is set while heartbeats arrive in both directions.
	Linked bool
}

// Peers returns the other known VMs that aren't leaving.
func (m *Members) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var list []Peer
	for _, name := range m.state.sortedNames() {
		if p := m.state.peers[name]; !p.leaving {
			list = append(list, Peer{p.vm, p.flags, p.linked(now)})
		}
	}
	return list
}

// ExpectsPeers reports whether any other VM is known or expected at a seed address.
func (m *Members) ExpectsPeers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.state.seeds)+len(m.state.peers) > 0
}

// IsReady reports whether a VM is up, exchanges heartbeats with this one and reports that
// it takes new requests.
func (m *Members) IsReady(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if name == m.state.self.Name {
		return m.state.flags&FlagReady != 0 && m.state.Connected(now)
	}
	p := m.state.peers[name]
	return p != nil && !p.down && p.linked(now) && p.flags&FlagReady != 0
}

// Ready returns the live VMs that take new requests.
func (m *Members) Ready() []briarferry.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Ready(time.Now())
}

// Connected reports whether this VM exchanges heartbeats with at least half of the
// others and may act on its state.
func (m *Members) Connected() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Connected(time.Now())
}

// FlagsOf returns the flags that a VM last reported, or false if no heartbeat of the VM
// was received.
func (m *Members) FlagsOf(name string) (Flags, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.state.peers[name]; p != nil && !p.heardAt.IsZero() {
		return p.flags, true
	}
	return 0, false
}

// Hears reports whether the last heartbeat of the named VM said that it had received a
// heartbeat of the other VM within SilentAfter.
func (m *Members) Hears(name, other string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.state.peers[name]
	return p != nil && p.reports[other].fresh
}

// Stats returns the counted events.
func (m *Members) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Stats
}
