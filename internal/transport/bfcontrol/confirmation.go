package bfcontrol

import (
	"context"
	"sync"
	"time"

	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/transport/bfclock"
)

const (
	// confirmInterval is the time between two confirmations of the route table by the leader.
	confirmInterval = 300 * time.Millisecond
	// followerInterval is the number of intervals of which another VM than the leader uses one
	// to confirm the table. Each question costs the leader a round of heartbeats.
	followerInterval = 3
	// confirmTimeout limits one confirmation. It covers two round trips between the most
	// distant regions.
	confirmTimeout = 600 * time.Millisecond
)

// tableConfirmer knows which route table was the newest at a time of the recent past.
type tableConfirmer struct {
	mu sync.Mutex
	// version is that of the newest table at the time at, or 0 if it isn't known.
	version uint64
	at      time.Duration
}

// record records that no table newer than the version had been accepted at the given time.
func (c *tableConfirmer) record(version uint64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.at = version, at
}

// confirmation returns the answer to an entry's heartbeat, or false if no table is confirmed.
func (c *tableConfirmer) confirmation(now time.Duration, sequence uint64) (*bfwire.TableConfirmation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &bfwire.TableConfirmation{EchoSequence: sequence, Version: c.version, Age: now - c.at}, c.version > 0
}

// confirmLoop confirms the route table while it has home regions. Other VMs than the leader do so
// too, if less often: entries may have no link to the leader, or its version may be one that
// doesn't confirm tables.
func (n *Node) confirmLoop(ctx context.Context) {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		switch {
		case !n.machine.State().Routes.HasHomes():
			n.confirmer.record(0, 0)
		case i%followerInterval == 0, n.replica.Status().IsLeader:
			n.confirmTable(ctx)
		}
	}
}

// confirmTable asks a majority whether this VM's route table is the newest. The confirmation
// counts from before the question.
func (n *Node) confirmTable(ctx context.Context) {
	at := bfclock.SinceBoot()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := n.catchUp(ctx); err != nil {
		counters.unconfirmedTables.Add(1)
		return
	}
	n.confirmer.record(n.machine.State().RoutesVersion(), at)
}

// sendConfirmation answers an entry's heartbeat with the last confirmation of the route table.
func (n *Node) sendConfirmation(h *bfwire.EntryHeartbeat) {
	c, ok := n.confirmer.confirmation(bfclock.SinceBoot(), h.Sequence)
	if !ok {
		return
	}
	data, err := bfwire.Encode(c)
	if err != nil {
		n.Log.Error().Err(err).Msg("encoding table confirmation failed")
		return
	}
	n.gossip.Send(h.Entry.Gossip, data)
}
