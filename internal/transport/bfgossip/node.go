// Package bfgossip exchanges heartbeats, announcements and slot messages between VMs.
package bfgossip

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"briarferry/internal/coordination/bfmember"
	"briarferry/internal/coordination/bfslot"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bfbackend"
)

const (
	// mismatchLimit is how many heartbeats in a row must show another digest before
	// the full table is pulled. One or two are normal while changes are under way.
	mismatchLimit = 3
	// coldStartAfter is how long a connected VM waits for a synced one before it
	// takes it that the whole system has just started.
	coldStartAfter = time.Second
	// pagesPerPull bounds the burst that answers one Pull.
	pagesPerPull = 16
	// pullTimeout is above the longest round trip of 110 ms.
	pullTimeout = 150 * time.Millisecond
	// pullAttempts is how often a pull without progress is sent.
	pullAttempts = 4
	leaveBeats   = 3
	// maxMore bounds the datagrams with changes that follow a heartbeat.
	maxMore = 8
	// ackTimeout is above a round trip of 110 ms and two heartbeat intervals.
	ackTimeout = 550 * time.Millisecond
	// recentTicks is the time, in ticks, whose changes a VM gets that is about to
	// pull the full table. Older ones are in the table of any synced VM, and sending
	// them would hold up the renewals of leases.
	recentTicks = int(2 * time.Second / bfmember.TickInterval)
)

type (
	// Network sends datagrams; it may lose, repeat and reorder them.
	Network interface {
		Send(to netip.AddrPort, data []byte)
	}

	// SlotHandler takes slot messages from other VMs.
	SlotHandler interface {
		HandleRequest(r *bfslot.Request)
		HandleGrant(g *bfslot.Grant)
	}

	// Node is the gossip of one VM. Its exported fields are set before Run.
	Node struct {
		Members *bfmember.Members
		Table   *bfbackend.Table
		Slots   SlotHandler
		Network Network
		// Keys returns the keyring in use; nil leaves datagrams without tags.
		Keys func() *Keyring
		Log  zerolog.Logger

		synced atomic.Bool
		mu     sync.Mutex
		peers  map[string]*peerState
		pull   *pull
		// connectedSince is zero while this VM isn't connected.
		connectedSince time.Time
		lastSweep      time.Time
		// versions are those of the table at the last ticks, oldest first.
		versions []uint64
	}

	// peerState is what this VM knows about the exchange with another one.
	peerState struct {
		incarnation uint64
		// applied is the version of the other VM's table that this VM has applied,
		// acked the version of this VM's table that the other one has.
		applied, acked uint64
		// sent is the version up to which deltas were sent; they are sent again from
		// acked where no acknowledgement moves it within ackTimeout.
		sent       uint64
		progressAt time.Time
		// based is true once deltas to this VM have a start.
		based      bool
		mismatches int
	}

	// pull is a transfer of the full table that is under way.
	pull struct {
		from       string
		cursor     uint64
		progressAt time.Time
		askedAt    time.Time
		// ahead has the pages above one that was lost, by their After.
		ahead map[uint64]*bfwire.Page
	}
)

// Run sends heartbeats until the context ends, and then announces that the VM leaves.
func (n *Node) Run(ctx context.Context) error {
	ticker := time.NewTicker(bfmember.TickInterval)
	defer ticker.Stop()
	n.tick()
	for {
		select {
		case <-ctx.Done():
			n.leave()
			return nil
		case <-ticker.C:
			n.tick()
		}
	}
}

// Synced tells whether this VM knows all announced backend servers.
func (n *Node) Synced() bool { return n.synced.Load() }

// Receive takes one datagram.
func (n *Node) Receive(data []byte) {
	counters.bytesIn.Add(int64(len(data)))
	m, ok := n.open(data)
	if !ok {
		return
	}
	switch m := m.(type) {
	case *bfwire.Heartbeat:
		n.receiveBeat(m)
	case *bfwire.Changes:
		n.receiveChanges(m)
	case *bfwire.Pull:
		n.answerPull(m)
	case *bfwire.Page:
		n.receivePage(m)
	case *bfslot.Request:
		if n.Slots != nil {
			n.Slots.HandleRequest(m)
		}
	case *bfslot.Grant:
		if n.Slots != nil {
			n.Slots.HandleGrant(m)
		}
	}
}

// SendRequest sends a slot request to the named VM.
func (n *Node) SendRequest(to string, r *bfslot.Request) { n.sendTo(to, r) }

// SendGrant sends a slot grant to the named VM.
func (n *Node) SendGrant(to string, g *bfslot.Grant) { n.sendTo(to, g) }

func (n *Node) sendTo(name string, m any) {
	if a, ok := n.Members.Address(name); ok {
		n.send(a, m)
	}
}

func (n *Node) send(to netip.AddrPort, m any) {
	data, err := bfwire.Encode(m)
	if err != nil {
		counters.invalid.Add(1)
		n.Log.Error().Err(err).Msg("message was not encoded")
		return
	}
	data = n.seal(m, data)
	counters.bytesOut.Add(int64(len(data)))
	n.Network.Send(to, data)
}

func (n *Node) tick() {
	now := time.Now()
	n.updateSynced(now)
	n.retryPull(now)
	n.noteVersion()
	if now.Sub(n.lastSweep) > time.Second {
		n.lastSweep = now
		n.Table.Sweep(now)
		n.forgetPeers()
	}
	out, h := n.Members.Tick()
	countMembers(n.Members.Stats())
	digest := n.Table.Digest(now)
	for _, o := range out {
		b := n.beat(now, o.Name, h, digest)
		n.send(o.Address, b)
		counters.heartbeatsOut.Add(1)
		n.sendMore(now, o, b.Delta.Upto)
	}
}

// forgetPeers drops the state of VMs that the membership has forgotten.
func (n *Node) forgetPeers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name := range n.peers {
		if _, ok := n.Members.Address(name); !ok {
			delete(n.peers, name)
		}
	}
}

// sendMore sends the changes that had no room in the heartbeat.
func (n *Node) sendMore(now time.Time, o bfmember.Destination, upto uint64) {
	target := n.Table.Version()
	for range maxMore {
		if upto == 0 || upto >= target {
			return
		}
		c := &bfwire.Changes{From: n.Table.Origin, Incarnation: n.Members.Self().Incarnation}
		n.mu.Lock()
		if p := n.peers[o.Name]; p != nil {
			c.Delta = n.delta(now, o.Name, p)
		}
		n.mu.Unlock()
		upto = c.Delta.Upto
		n.send(o.Address, c)
	}
}

func (n *Node) receiveChanges(c *bfwire.Changes) {
	n.mu.Lock()
	p := n.peers[c.From]
	known := p != nil && p.incarnation == c.Incarnation
	n.mu.Unlock()
	if !known {
		return // the heartbeat before it was lost; the sender starts again
	}
	n.apply(time.Now(), c.From, &c.Delta)
	n.mu.Lock()
	defer n.mu.Unlock()
	p.advance(&c.Delta)
}

func (n *Node) noteVersion() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.versions) > recentTicks {
		n.versions = append(n.versions[:0], n.versions[1:]...)
	}
	n.versions = append(n.versions, n.Table.Version())
}

func (n *Node) leave() {
	n.Members.Leave()
	for range leaveBeats {
		out, h := n.Members.Tick()
		for _, o := range out {
			n.send(o.Address, n.beat(time.Now(), o.Name, h, bfbackend.Digest{}))
		}
		n.Members.Leave()
	}
}

func (n *Node) beat(now time.Time, to string, h bfmember.Heartbeat, digest bfbackend.Digest) *bfwire.Heartbeat {
	b := &bfwire.Heartbeat{Membership: h, Digest: digest}
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[to]
	if p == nil {
		// The receiver may not exist, so nothing but the heartbeat is sent.
		return b
	}
	b.AckIncarnation, b.AckVersion = p.incarnation, p.applied
	if flags, ok := n.Members.FlagsOf(to); ok && flags&bfmember.FlagSynced == 0 && !p.based {
		p.based = true
		p.acked, p.sent = max(p.acked, n.versions[0]), max(p.sent, n.versions[0])
	}
	if p.sent < p.acked || p.sent > p.acked && now.Sub(p.progressAt) > ackTimeout {
		p.sent, p.progressAt = p.acked, now
	}
	if p.sent == p.acked {
		p.progressAt = now
	}
	b.Delta = n.delta(now, to, p)
	return b
}

// delta returns what comes next for a VM. An origin that the VM doesn't hear itself
// is relayed. The lock is held.
func (n *Node) delta(now time.Time, to string, p *peerState) bfbackend.Delta {
	d := n.Table.Changes(now, p.sent, func(origin string) bool {
		return origin == n.Table.Origin || origin != to && !n.Members.Hears(to, origin)
	}, bfwire.MaxDeltaBytes)
	p.sent = d.Upto
	return d
}

// apply stores a delta and returns false where it renews an unknown server.
func (n *Node) apply(now time.Time, from string, d *bfbackend.Delta) bool {
	for i := range d.Records {
		n.merge(now, d.Records[i])
	}
	known := true
	for i := range d.Refreshes {
		known = n.Table.Refresh(now, from, d.Refreshes[i]) && known
	}
	return known
}

// advance notes a delta that was applied. The first one is where the sender chose to
// start; one after a gap doesn't count, so that the sender goes back.
func (p *peerState) advance(d *bfbackend.Delta) {
	if p.applied == 0 || d.Since <= p.applied {
		p.applied = max(p.applied, d.Upto)
	}
}

func (n *Node) receiveBeat(b *bfwire.Heartbeat) {
	if !n.Members.Receive(&b.Membership) {
		return
	}
	counters.heartbeatsIn.Add(1)
	now, name := time.Now(), b.Membership.VM.Name
	known := n.apply(now, name, &b.Delta)
	digest := n.Table.Digest(now)
	n.mu.Lock()
	p := n.peerState(name, b.Membership.VM.Incarnation)
	p.advance(&b.Delta)
	acked := uint64(0)
	if b.AckIncarnation == n.Members.Self().Incarnation {
		acked = b.AckVersion
	}
	if acked > p.acked {
		p.acked, p.progressAt = acked, now
	}
	p.mismatches++
	if digest == b.Digest {
		p.mismatches = 0
	}
	wanted := p.mismatches >= mismatchLimit || !known && n.Synced()
	n.mu.Unlock()
	switch {
	case !n.Synced() && b.Membership.Flags&bfmember.FlagSynced != 0, wanted:
		n.startPull(now, name)
	}
}

func (n *Node) merge(now time.Time, r bfbackend.Record) {
	if _, err := n.Table.Merge(now, r); err != nil {
		counters.tableFull.Add(1)
	}
}

func (n *Node) peerState(name string, incarnation uint64) *peerState {
	if n.peers == nil {
		n.peers = make(map[string]*peerState)
	}
	p := n.peers[name]
	if p == nil || p.incarnation != incarnation {
		p = &peerState{incarnation: incarnation}
		n.peers[name] = p
	}
	return p
}
