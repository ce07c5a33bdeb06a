package bfmember

import (
	"net/netip"
	"sync"
	"time"

	"briarferry"
)

// Members is a State under a lock and with the runtime's clock; it implements
// briarferry.Members.
type Members struct {
	mu sync.Mutex
	m  *State
}

var _ briarferry.Members = (*Members)(nil)

// NewMembers returns the membership of a VM that starts now.
func NewMembers(self briarferry.VM, seeds []netip.AddrPort) *Members {
	return &Members{m: NewState(time.Now(), self, seeds)}
}

// Tick returns where a heartbeat is due and the heartbeat.
func (s *Members) Tick() ([]Destination, Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	out := s.m.Tick(now)
	if len(out) == 0 {
		return nil, Heartbeat{}
	}
	return out, s.m.Heartbeat(now)
}

// Receive takes a heartbeat and returns false where it is to be ignored.
func (s *Members) Receive(h *Heartbeat) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.Receive(time.Now(), h)
}

// SetFlag sets or clears a flag of this VM.
func (s *Members) SetFlag(f Flags, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.SetFlag(f, on)
}

// Leave tells the others that this VM stops by plan.
func (s *Members) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.Leave(time.Now())
}

// Self returns this VM.
func (s *Members) Self() briarferry.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.Self()
}

// Live returns the VMs that are up and linked both ways, this one included.
func (s *Members) Live() []briarferry.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.Live(time.Now())
}

// Up returns the VMs that are not down by the verdict of most.
func (s *Members) Up() []briarferry.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.Up()
}

// Converged tells whether all VMs that are up report the same view as this one.
func (s *Members) Converged() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.Converged(time.Now())
}

// Epoch grows whenever this VM was cut off or frozen.
func (s *Members) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.epoch
}

// Address returns where a VM receives gossip, or false for an unknown name.
func (s *Members) Address(name string) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.m.peers[name]; p != nil {
		return p.vm.Gossip, true
	}
	return netip.AddrPort{}, false
}

// Peer is what another VM last told about itself.
type Peer struct {
	VM     briarferry.VM
	Flags  Flags
	Linked bool
}

// Peers returns the other known VMs that haven't left.
func (s *Members) Peers() []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var list []Peer
	for _, name := range s.m.names() {
		if p := s.m.peers[name]; !p.left {
			list = append(list, Peer{p.vm, p.flags, p.linked(now)})
		}
	}
	return list
}

// ExpectsPeers tells whether any other VM is expected to exist.
func (s *Members) ExpectsPeers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.m.seeds)+len(s.m.peers) > 0
}

// IsReady tells whether a VM takes new work by its own account.
func (s *Members) IsReady(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if name == s.m.self.Name {
		return s.m.flags&FlagReady != 0 && s.m.Connected(now)
	}
	p := s.m.peers[name]
	return p != nil && !p.down && p.linked(now) && p.flags&FlagReady != 0
}

// Ready returns the live VMs that take new work.
func (s *Members) Ready() []briarferry.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.Ready(time.Now())
}

// Connected is false while this VM considers itself cut off.
func (s *Members) Connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.Connected(time.Now())
}

// FlagsOf returns what a VM last told about itself, and false for an unknown one.
func (s *Members) FlagsOf(name string) (Flags, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.m.peers[name]; p != nil && !p.heardAt.IsZero() {
		return p.flags, true
	}
	return 0, false
}

// Hears tells whether the named VM reported to have heard the other one lately.
func (s *Members) Hears(name, other string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.m.peers[name]
	return p != nil && p.reports[other].fresh
}

// Stats returns the counted events.
func (s *Members) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.Stats
}
