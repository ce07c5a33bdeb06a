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

// confirmLoop confirms the route table while this VM is the leader and the table has home
// regions. Only the leader does, so that confirmations cost one round of heartbeats each and not
// one for each control VM.
func (n *Node) confirmLoop(ctx context.Context) {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if n.replica.Status().IsLeader && n.machine.State().Routes.HasHomes() {
			n.confirmTable(ctx)
			continue
		}
		n.confirmer.record(0, 0)
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
