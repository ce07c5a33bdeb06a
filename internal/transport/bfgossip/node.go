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
	// maxDigestMismatches is the number of consecutive heartbeats with a different digest
	// after which the full table is pulled. One or two are normal while changes are in
	// transit.
	maxDigestMismatches = 3
	// coldStartDelay is how long a connected VM waits for a synced one before it assumes
	// that the whole system has just started.
	coldStartDelay = time.Second
	// maxPagesPerPull limits the burst of pages that answers one Pull.
	maxPagesPerPull = 16
	// pullTimeout is the time after which a pull without progress is sent again. It is
	// above the longest round trip of 110 ms.
	pullTimeout = 150 * time.Millisecond
	// pullAttempts is the number of times a pull without progress is sent.
	pullAttempts = 4
	// leaveHeartbeats is the number of heartbeats that announce a shutdown.
	leaveHeartbeats = 3
	// maxExtraChanges limits the datagrams with changes that follow a heartbeat.
	maxExtraChanges = 8
	// ackTimeout is the time without an acknowledgement after which deltas are sent again.
	// It is above a round trip of 110 ms and two heartbeat intervals.
	ackTimeout = 550 * time.Millisecond
	// recentTicks is the number of ticks whose changes are sent to a VM that is not synced
	// and will pull the full table. Older changes are in the table of any synced VM, and
	// sending them would delay the renewals of leases.
	recentTicks = int(2 * time.Second / bfmember.TickInterval)
)

type (
	// Network sends datagrams; it may lose, duplicate and reorder them.
	Network interface {
		Send(to netip.AddrPort, data []byte)
	}

	// SlotHandler handles the slot messages of other VMs.
	SlotHandler interface {
		HandleRequest(r *bfslot.Request)
		HandleGrant(g *bfslot.Grant)
	}

	// Node runs the gossip protocol of one VM. Its exported fields are set before Run.
	Node struct {
		Members *bfmember.Members
		Table   *bfbackend.Table
		Slots   SlotHandler
		Network Network
		// Keys returns the current keyring. If Keys is nil, datagrams have no tags.
		Keys func() *Keyring
		Log  zerolog.Logger

		synced atomic.Bool
		mu     sync.Mutex
		peers  map[string]*peerState
		pull   *pull
		// connectedSince is zero while this VM isn't connected.
		connectedSince time.Time
		lastSweep      time.Time
		// recentVersions has the versions of the table at the last ticks, oldest first.
		recentVersions []uint64
	}

	// peerState is the state of the exchange of deltas with another VM.
	peerState struct {
		incarnation uint64
		// applied is the version of the other VM's table up to which this VM has applied
		// the changes; acked is the version of this VM's table up to which the other VM
		// has acknowledged them.
		applied, acked uint64
		// sent is the version up to which deltas were sent. If acked doesn't increase
		// within ackTimeout, sending restarts from acked.
		sent       uint64
		progressAt time.Time
		// deltaStartSet is true once the version from which an unsynced VM gets deltas was
		// chosen.
		deltaStartSet    bool
		digestMismatches int
	}

	// pull is the state of a transfer of the full table from another VM.
	pull struct {
		from        string
		cursor      uint64
		progressAt  time.Time
		requestedAt time.Time
		// pending holds the pages that arrived after a gap. The key is Page.After.
		pending map[uint64]*bfwire.Page
	}
)

// Run sends heartbeats until the context ends, and then announces that the VM is shutting
// down.
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

// Synced reports whether this VM knows all announced backend servers.
func (n *Node) Synced() bool { return n.synced.Load() }

// Receive handles one datagram.
func (n *Node) Receive(data []byte) {
	counters.bytesIn.Add(int64(len(data)))
	m, ok := n.open(data)
	if !ok {
		return
	}
	switch m := m.(type) {
	case *bfwire.Heartbeat:
		n.receiveHeartbeat(m)
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
		n.Log.Error().Err(err).Msg("failed to encode gossip message")
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
	n.recordVersion()
	if now.Sub(n.lastSweep) > time.Second {
		n.lastSweep = now
		n.Table.Sweep(now)
		n.removePeers()
	}
	out, h := n.Members.Tick()
	publishMemberStats(n.Members.Stats())
	digest := n.Table.Digest(now)
	for _, o := range out {
		b := n.heartbeatFor(now, o.Name, h, digest)
		n.send(o.Address, b)
		counters.heartbeatsOut.Add(1)
		n.sendRemainingChanges(now, o, b.Delta.Upto)
	}
}

// removePeers removes the state of VMs that are no longer members.
func (n *Node) removePeers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name := range n.peers {
		if _, ok := n.Members.Address(name); !ok {
			delete(n.peers, name)
		}
	}
}

// sendRemainingChanges sends the changes that did not fit into the heartbeat.
func (n *Node) sendRemainingChanges(now time.Time, o bfmember.Destination, upto uint64) {
	target := n.Table.Version()
	for range maxExtraChanges {
		if upto == 0 || upto >= target {
			return
		}
		c := &bfwire.Changes{From: n.Table.Origin, Incarnation: n.Members.Self().Incarnation}
		n.mu.Lock()
		if p := n.peers[o.Name]; p != nil {
			c.Delta = n.nextDelta(now, o.Name, p)
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
		return // the preceding heartbeat was lost; the sender will send the changes again
	}
	n.applyDelta(time.Now(), c.From, &c.Delta)
	n.mu.Lock()
	defer n.mu.Unlock()
	p.recordApplied(&c.Delta)
}

// recordVersion adds the current version of the table to recentVersions.
func (n *Node) recordVersion() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.recentVersions) > recentTicks {
		n.recentVersions = append(n.recentVersions[:0], n.recentVersions[1:]...)
	}
	n.recentVersions = append(n.recentVersions, n.Table.Version())
}

func (n *Node) leave() {
	n.Members.Leave()
	for range leaveHeartbeats {
		out, h := n.Members.Tick()
		for _, o := range out {
			n.send(o.Address, n.heartbeatFor(time.Now(), o.Name, h, bfbackend.Digest{}))
		}
		n.Members.Leave()
	}
}

// heartbeatFor returns the heartbeat for a VM with the next delta of the table.
func (n *Node) heartbeatFor(now time.Time, to string, h bfmember.Heartbeat, digest bfbackend.Digest) *bfwire.Heartbeat {
	b := &bfwire.Heartbeat{Membership: h, Digest: digest}
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[to]
	if p == nil {
		// Nothing was received from this VM yet and it may not exist, so the heartbeat
		// has no delta.
		return b
	}
	b.AckIncarnation, b.AckVersion = p.incarnation, p.applied
	if flags, ok := n.Members.FlagsOf(to); ok && flags&bfmember.FlagSynced == 0 && !p.deltaStartSet {
		p.deltaStartSet = true
		p.acked, p.sent = max(p.acked, n.recentVersions[0]), max(p.sent, n.recentVersions[0])
	}
	if p.sent < p.acked || p.sent > p.acked && now.Sub(p.progressAt) > ackTimeout {
		p.sent, p.progressAt = p.acked, now
	}
	if p.sent == p.acked {
		p.progressAt = now
	}
	b.Delta = n.nextDelta(now, to, p)
	return b
}

// nextDelta returns the next changes to send to a VM: those of servers that announced
// themselves to this VM, or to a VM from which the receiver gets no heartbeats. mu is
// held.
func (n *Node) nextDelta(now time.Time, to string, p *peerState) bfbackend.Delta {
	d := n.Table.Changes(now, p.sent, func(origin string) bool {
		return origin == n.Table.Origin || origin != to && !n.Members.Hears(to, origin)
	}, bfwire.MaxDeltaBytes)
	p.sent = d.Upto
	return d
}

// applyDelta stores a delta. It returns false if the delta renews an unknown server.
func (n *Node) applyDelta(now time.Time, from string, d *bfbackend.Delta) bool {
	for i := range d.Records {
		n.mergeRecord(now, d.Records[i])
	}
	known := true
	for i := range d.Refreshes {
		known = n.Table.Refresh(now, from, d.Refreshes[i]) && known
	}
	return known
}

// recordApplied updates the applied version after a delta was applied. The first delta is
// counted for any value of Since, as the sender chooses where to start. A later delta after
// a gap is not counted, so that the sender sends the missing changes again.
func (p *peerState) recordApplied(d *bfbackend.Delta) {
	if p.applied == 0 || d.Since <= p.applied {
		p.applied = max(p.applied, d.Upto)
	}
}

func (n *Node) receiveHeartbeat(b *bfwire.Heartbeat) {
	if !n.Members.Receive(&b.Membership) {
		return
	}
	counters.heartbeatsIn.Add(1)
	now, name := time.Now(), b.Membership.VM.Name
	known := n.applyDelta(now, name, &b.Delta)
	digest := n.Table.Digest(now)
	n.mu.Lock()
	p := n.peerState(name, b.Membership.VM.Incarnation)
	p.recordApplied(&b.Delta)
	acked := uint64(0)
	if b.AckIncarnation == n.Members.Self().Incarnation {
		acked = b.AckVersion
	}
	if acked > p.acked {
		p.acked, p.progressAt = acked, now
	}
	p.digestMismatches++
	if digest == b.Digest {
		p.digestMismatches = 0
	}
	needsPull := p.digestMismatches >= maxDigestMismatches || !known && n.Synced()
	n.mu.Unlock()
	switch {
	case !n.Synced() && b.Membership.Flags&bfmember.FlagSynced != 0, needsPull:
		n.startPull(now, name)
	}
}

func (n *Node) mergeRecord(now time.Time, r bfbackend.Record) {
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
