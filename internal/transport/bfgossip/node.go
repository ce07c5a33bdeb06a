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
		Log     zerolog.Logger

		synced atomic.Bool
		mu     sync.Mutex
		peers  map[string]*peerState
		pull   *pull
		// connectedSince is zero while this VM isn't connected.
		connectedSince time.Time
		lastSweep      time.Time
	}

	// peerState is what this VM knows about the exchange with another one.
	peerState struct {
		incarnation uint64
		// applied is the version of the other VM's table that this VM has applied,
		// acked the version of this VM's table that the other one has.
		applied, acked uint64
		mismatches     int
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
	m, err := bfwire.Decode(data)
	if err != nil {
		counters.invalid.Add(1)
		return
	}
	switch m := m.(type) {
	case *bfwire.Beat:
		n.receiveBeat(m)
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
	counters.bytesOut.Add(int64(len(data)))
	n.Network.Send(to, data)
}

func (n *Node) tick() {
	now := time.Now()
	n.updateSynced(now)
	n.retryPull(now)
	if now.Sub(n.lastSweep) > time.Second {
		n.lastSweep = now
		n.Table.Sweep(now)
	}
	out, h := n.Members.Tick()
	countMembers(n.Members.Stats())
	digest := n.Table.Digest(now)
	for _, o := range out {
		n.send(o.To, n.beat(now, o.Name, h, digest))
		counters.heartbeatsOut.Add(1)
	}
}

func (n *Node) leave() {
	n.Members.Leave()
	for range leaveBeats {
		out, h := n.Members.Tick()
		for _, o := range out {
			n.send(o.To, n.beat(time.Now(), o.Name, h, bfbackend.Digest{}))
		}
		n.Members.Leave()
	}
}

func (n *Node) beat(now time.Time, to string, h bfmember.Heartbeat, digest bfbackend.Digest) *bfwire.Beat {
	b := &bfwire.Beat{Heartbeat: h, Digest: digest}
	n.mu.Lock()
	p := n.peers[to]
	var acked uint64
	if p != nil {
		b.AckIncarnation, b.Ack, acked = p.incarnation, p.applied, p.acked
	}
	n.mu.Unlock()
	if p == nil {
		// The receiver may not exist, so nothing but the heartbeat is sent.
		return b
	}
	// An origin that the receiver doesn't hear itself is relayed.
	b.Delta = n.Table.Changes(now, acked, func(origin string) bool {
		return origin == n.Table.Origin || origin != to && !n.Members.Hears(to, origin)
	}, bfwire.DeltaBytes)
	return b
}

func (n *Node) receiveBeat(b *bfwire.Beat) {
	if !n.Members.Receive(&b.Heartbeat) {
		return
	}
	counters.heartbeatsIn.Add(1)
	now, name := time.Now(), b.Heartbeat.VM.Name
	known := true
	for i := range b.Delta.Records {
		n.merge(now, b.Delta.Records[i])
	}
	for i := range b.Delta.Refreshes {
		known = n.Table.Refresh(now, name, b.Delta.Refreshes[i]) && known
	}
	digest := n.Table.Digest(now)
	n.mu.Lock()
	p := n.peerState(name, b.Heartbeat.VM.Incarnation)
	if b.Delta.Upto > 0 {
		p.applied = b.Delta.Upto
	}
	p.acked = 0
	if b.AckIncarnation == n.Members.Self().Incarnation {
		p.acked = b.Ack
	}
	p.mismatches++
	if digest == b.Digest {
		p.mismatches = 0
	}
	wanted := p.mismatches >= mismatchLimit || !known
	n.mu.Unlock()
	switch {
	case !n.Synced() && b.Heartbeat.Flags&bfmember.FlagSynced != 0, n.Synced() && wanted:
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
