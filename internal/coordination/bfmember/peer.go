package bfmember

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarferry"
)

type (
	peer struct {
		vm       briarferry.VM
		flags    Flags
		view     uint64
		sequence uint64
		knownAt  time.Time
		heardAt  time.Time
		// echo is the highest of our sequences that the VM reported as heard, and
		// hearsUs whether its last report of us was fresh.
		echo      uint64
		hearsUs   bool
		left      bool
		suspected bool
		down      bool
		downAt    time.Time
		reports   map[string]report
	}

	// report is what a VM said about another one.
	report struct {
		incarnation uint64
		fresh       bool
	}
)

func newPeer(now time.Time, vm briarferry.VM) *peer {
	return &peer{vm: vm, knownAt: now, down: true, downAt: now}
}

func (p *peer) accepts(h *Heartbeat) bool {
	if h.VM.Incarnation != p.vm.Incarnation {
		return h.VM.Incarnation > p.vm.Incarnation
	}
	return h.Sequence > p.sequence
}

func (p *peer) hear(now time.Time, self briarferry.VM, h *Heartbeat) {
	if h.VM.Incarnation > p.vm.Incarnation {
		p.echo = 0
	}
	p.vm, p.flags, p.view, p.sequence, p.heardAt = h.VM.VM(), h.Flags, h.ViewHash, h.Sequence, now
	p.left = h.Flags&FlagLeaving != 0
	p.hearsUs = false
	p.reports = make(map[string]report, len(h.Heard))
	for i := range h.Heard {
		o := &h.Heard[i]
		fresh := time.Duration(o.AgeMillis)*time.Millisecond <= SuspectAfter
		if o.Name != self.Name {
			p.reports[o.Name] = report{o.Incarnation, fresh}
			continue
		}
		if o.Incarnation == self.Incarnation {
			p.hearsUs = fresh
			p.echo = max(p.echo, o.Sequence)
		}
	}
}

func (p *peer) silent(now time.Time) bool {
	return p.heardAt.IsZero() || now.Sub(p.heardAt) > SuspectAfter
}

// linked tells whether heartbeats pass in both directions.
func (p *peer) linked(now time.Time) bool {
	return !p.left && !p.silent(now) && p.hearsUs
}

// evaluate updates the verdict on every VM.
func (m *State) evaluate(now time.Time) {
	connected := m.Connected(now)
	if m.wasConnected && !connected {
		m.epoch++
	}
	m.wasConnected = connected
	for name, p := range m.peers {
		silent := p.silent(now)
		if silent && !p.suspected && !p.heardAt.IsZero() {
			m.Stats.Suspicions++
		}
		p.suspected = silent
		down := m.mostFindSilent(now, name, p)
		if down && !p.down {
			m.Stats.Downs++
			p.downAt = now
		}
		p.down = down
		// A VM that is cut off must not forget the others, else it would count
		// itself as connected with those few that remain.
		if !connected && !p.left {
			p.downAt = now
		}
		if (p.down || p.left) && now.Sub(p.downAt) > forgetAfter && silent {
			delete(m.peers, name)
		}
	}
	for i := range m.seeds {
		if s := &m.seeds[i]; !connected || m.byAddress(s.address) != nil {
			s.unheardSince = now
		}
	}
}

// mostFindSilent is the verdict "down". It counts the votes of this VM and of all
// that it hears, so that VMs which hear each other agree on it.
func (m *State) mostFindSilent(now time.Time, name string, p *peer) bool {
	votes, silent := 1, 0
	if p.silent(now) {
		silent++
	}
	for reporter, r := range m.peers {
		if reporter == name || r.left || r.silent(now) {
			continue
		}
		votes++
		if o, ok := r.reports[name]; !ok || !o.fresh || o.incarnation < p.vm.Incarnation {
			silent++
		}
	}
	if votes == 1 {
		return p.heardAt.IsZero() || now.Sub(p.heardAt) > aloneDownAfter
	}
	return 2*silent > votes
}

// Live returns the VMs that this one can work with in both directions, itself
// included, sorted by name.
func (m *State) Live(now time.Time) []briarferry.VM {
	return m.list(func(p *peer) bool { return !p.down && p.linked(now) })
}

// Up returns the VMs that are not down by the verdict of most, itself included
// unless it leaves.
// VMs that hear each other agree on it, also where one link is cut.
func (m *State) Up() []briarferry.VM {
	list := m.list(func(p *peer) bool { return !p.down && !p.left })
	if m.flags&FlagLeaving != 0 {
		list = slices.DeleteFunc(list, func(vm briarferry.VM) bool { return vm.Name == m.self.Name })
	}
	return list
}

// ViewHash sums up the names in Up.
func (m *State) ViewHash() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, vm := range m.Up() {
		_, _ = d.WriteString(vm.Name)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Converged tells whether every VM that is up last reported the same view as this one.
func (m *State) Converged(now time.Time) bool {
	view := m.ViewHash()
	for _, p := range m.peers {
		if !p.down && !p.left && (p.silent(now) || p.view != view) {
			return false
		}
	}
	return true
}

// Ready returns the live VMs that report to take new work.
func (m *State) Ready(now time.Time) []briarferry.VM {
	list := m.list(func(p *peer) bool { return !p.down && p.linked(now) && p.flags&FlagReady != 0 })
	if m.flags&FlagReady == 0 || !m.Connected(now) {
		list = slices.DeleteFunc(list, func(vm briarferry.VM) bool { return vm.Name == m.self.Name })
	}
	return list
}

func (m *State) list(wanted func(p *peer) bool) []briarferry.VM {
	list := []briarferry.VM{m.self}
	for _, p := range m.peers {
		if wanted(p) {
			list = append(list, p.vm)
		}
	}
	slices.SortFunc(list, func(a, b briarferry.VM) int { return strings.Compare(a.Name, b.Name) })
	return list
}
