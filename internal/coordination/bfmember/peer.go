package bfmember

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarferry"
)

type (
	// peer is what this VM knows of another one.
	peer struct {
		vm        briarferry.VM
		flags     Flags
		viewHash  uint64
		sequence  uint64
		learnedAt time.Time
		heardAt   time.Time
		// ackedSequence is the highest sequence of this VM that the peer has reported as
		// received. hearsSelf is set if its last heartbeat reported that it received one
		// of this VM within SilentAfter.
		ackedSequence uint64
		hearsSelf     bool
		leaving       bool
		wasSilent     bool
		down          bool
		downAt        time.Time
		reports       map[string]report
	}

	// report is what a peer reported about another VM: the incarnation that it knows, and
	// whether it received a heartbeat within SilentAfter.
	report struct {
		incarnation uint64
		fresh       bool
	}
)

// newPeer returns a peer that counts as down until the first evaluation.
func newPeer(now time.Time, vm briarferry.VM) *peer {
	return &peer{vm: vm, learnedAt: now, down: true, downAt: now}
}

// isNewer reports whether a heartbeat is newer than the last one of the peer.
func (p *peer) isNewer(h *Heartbeat) bool {
	if h.VM.Incarnation != p.vm.Incarnation {
		return h.VM.Incarnation > p.vm.Incarnation
	}
	return h.Sequence > p.sequence
}

// applyHeartbeat replaces what is known of the peer with the content of its heartbeat.
func (p *peer) applyHeartbeat(now time.Time, self briarferry.VM, h *Heartbeat) {
	if h.VM.Incarnation > p.vm.Incarnation {
		p.ackedSequence = 0
	}
	p.vm, p.flags, p.viewHash, p.sequence, p.heardAt = h.VM.VM(), h.Flags, h.ViewHash, h.Sequence, now
	p.leaving = h.Flags&FlagLeaving != 0
	p.hearsSelf = false
	p.reports = make(map[string]report, len(h.Heard))
	for i := range h.Heard {
		heard := &h.Heard[i]
		fresh := time.Duration(heard.AgeMillis)*time.Millisecond <= SilentAfter
		if heard.Name != self.Name {
			p.reports[heard.Name] = report{heard.Incarnation, fresh}
			continue
		}
		if heard.Incarnation == self.Incarnation {
			p.hearsSelf = fresh
			p.ackedSequence = max(p.ackedSequence, heard.Sequence)
		}
	}
}

// silent reports whether no heartbeat was received within SilentAfter.
func (p *peer) silent(now time.Time) bool {
	return p.heardAt.IsZero() || now.Sub(p.heardAt) > SilentAfter
}

// linked reports whether heartbeats arrive in both directions.
func (p *peer) linked(now time.Time) bool {
	return !p.leaving && !p.silent(now) && p.hearsSelf
}

// evaluatePeers updates which peers are down and removes those that have been down for
// removeAfter.
func (s *State) evaluatePeers(now time.Time) {
	connected := s.Connected(now)
	if s.wasConnected && !connected {
		s.epoch++
	}
	s.wasConnected = connected
	for name, p := range s.peers {
		silent := p.silent(now)
		if silent && !p.wasSilent && !p.heardAt.IsZero() {
			s.Stats.Suspicions++
		}
		p.wasSilent = silent
		down := s.majorityFindsSilent(now, name, p)
		if down && !p.down {
			s.Stats.Downs++
			p.downAt = now
		}
		p.down = down
		// A disconnected VM must not remove the others, as it would then count as
		// connected with the few that remain.
		if !connected && !p.leaving {
			p.downAt = now
		}
		if (p.down || p.leaving) && now.Sub(p.downAt) > removeAfter && silent {
			delete(s.peers, name)
		}
	}
	for i := range s.seeds {
		if seed := &s.seeds[i]; !connected || s.peerByAddress(seed.address) != nil {
			seed.unknownSince = now
		}
	}
}

// majorityFindsSilent reports whether most VMs receive no heartbeats of the peer, which
// then counts as down. The voters are this VM and all whose heartbeats it receives, so
// that VMs which receive each other's heartbeats come to the same result.
func (s *State) majorityFindsSilent(now time.Time, name string, p *peer) bool {
	voters, silentVotes := 1, 0
	if p.silent(now) {
		silentVotes++
	}
	for reporter, r := range s.peers {
		if reporter == name || r.leaving || r.silent(now) {
			continue
		}
		voters++
		if report, ok := r.reports[name]; !ok || !report.fresh || report.incarnation < p.vm.Incarnation {
			silentVotes++
		}
	}
	if voters == 1 {
		return p.heardAt.IsZero() || now.Sub(p.heardAt) > soleVoterDownAfter
	}
	return 2*silentVotes > voters
}

// Live returns the VMs that are up and exchange heartbeats with this one in both
// directions, itself included, sorted by name.
func (s *State) Live(now time.Time) []briarferry.VM {
	return s.vmsWhere(func(p *peer) bool { return !p.down && p.linked(now) })
}

// Up returns the VMs that are neither down by majority vote nor leaving. This VM is
// included unless it is leaving. VMs that receive each other's heartbeats get the same
// result, even if a single link has failed.
func (s *State) Up() []briarferry.VM {
	list := s.vmsWhere(func(p *peer) bool { return !p.down && !p.leaving })
	if s.flags&FlagLeaving != 0 {
		list = slices.DeleteFunc(list, func(vm briarferry.VM) bool { return vm.Name == s.self.Name })
	}
	return list
}

// ViewHash returns a hash of the names in Up.
func (s *State) ViewHash() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, vm := range s.Up() {
		_, _ = d.WriteString(vm.Name)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Converged reports whether every other VM that is up was heard from within SilentAfter
// and last sent the same ViewHash as this one.
func (s *State) Converged(now time.Time) bool {
	hash := s.ViewHash()
	for _, p := range s.peers {
		if !p.down && !p.leaving && (p.silent(now) || p.viewHash != hash) {
			return false
		}
	}
	return true
}

// Ready returns the live VMs that take new requests.
func (s *State) Ready(now time.Time) []briarferry.VM {
	list := s.vmsWhere(func(p *peer) bool { return !p.down && p.linked(now) && p.flags&FlagReady != 0 })
	if s.flags&FlagReady == 0 || !s.Connected(now) {
		list = slices.DeleteFunc(list, func(vm briarferry.VM) bool { return vm.Name == s.self.Name })
	}
	return list
}

// vmsWhere returns this VM and the matching peers, sorted by name.
func (s *State) vmsWhere(wanted func(p *peer) bool) []briarferry.VM {
	list := []briarferry.VM{s.self}
	for _, p := range s.peers {
		if wanted(p) {
			list = append(list, p.vm)
		}
	}
	slices.SortFunc(list, func(a, b briarferry.VM) int { return strings.Compare(a.Name, b.Name) })
	return list
}
