package bflease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"briarferry"
	"briarferry/internal/state/bfmachine"
)

const (
	// callTimeout bounds a sync call. It covers LongPollTimeout, a round trip and the
	// first redirect after an election.
	callTimeout = 1500 * time.Millisecond
	// maxRetryDelay is the longest delay after a failed call. Three such delays and a
	// call fit into one lease.
	maxRetryDelay = 200 * time.Millisecond
	// minCallInterval is the delay after a call that the leader answered at once
	// without a new revision; it prevents a busy loop.
	minCallInterval = 20 * time.Millisecond
)

// Holder holds the configuration lease of this entry and the configuration that it
// covers. It implements briarferry.ConfigSource. The exported fields are set before Run.
type Holder struct {
	Name        string
	Incarnation uint64
	Transport   Transport
	// OnError is called with the error of a failed sync call; nil ignores it.
	OnError func(error)
	// Syncs counts the successful sync calls and Failures the failed ones. Freezes counts
	// the gaps between ticks that dropped the lease, and Rejected the replies that were
	// out of order or inconsistent.
	Syncs, Failures, Freezes, Rejected atomic.Uint64

	mu    sync.Mutex
	state *bfmachine.ConfigState
	// checksum is the checksum of state.
	checksum uint64
	// highestRevision is the newest applied revision; replies with an older one are
	// rejected.
	highestRevision uint64
	needFull        bool
	expiresAt       time.Time
	commitIndex     uint64
	lastTick        time.Time
	// epoch is incremented by each freeze, so that the reply to a call from before the
	// freeze renews no lease.
	epoch uint64
}

// Run renews the lease until ctx is done.
func (h *Holder) Run(ctx context.Context) {
	h.Tick(time.Now())
	go h.tickLoop(ctx)
	h.syncLoop(ctx)
}

func (h *Holder) syncLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if delay := h.syncOnce(ctx); delay > 0 {
			_ = sleep(ctx, delay)
		}
	}
}

func (h *Holder) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.Tick(time.Now())
		}
	}
}

// syncOnce renews the lease and returns the delay before the next call.
func (h *Holder) syncOnce(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	r, epoch := h.newRequest(sent)
	reply, err := h.Transport.Sync(ctx, r)
	if err == nil {
		err = h.applyReply(sent, time.Now(), epoch, reply)
	}
	if err != nil {
		h.Failures.Add(1)
		if h.OnError != nil {
			h.OnError(err)
		}
		return maxRetryDelay/4 + rand.N(maxRetryDelay*3/4)
	}
	h.Syncs.Add(1)
	if reply.Revision == r.Revision && time.Since(sent) < minCallInterval {
		return minCallInterval
	}
	return 0
}

// newRequest returns the next sync request and the epoch in which it is sent.
func (h *Holder) newRequest(now time.Time) (SyncRequest, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkFreeze(now)
	r := SyncRequest{Entry: h.Name, Incarnation: h.Incarnation, Full: h.needFull}
	if h.state != nil {
		r.Revision = h.state.Revision
	}
	return r, h.epoch
}

// applyReply applies the reply to a call that was sent at the given time and epoch.
func (h *Holder) applyReply(sent, now time.Time, epoch uint64, reply SyncReply) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkFreeze(now)
	if epoch != h.epoch {
		return fmt.Errorf("bflease: process was frozen during the sync call")
	}
	if reply.Revision < h.highestRevision {
		h.Rejected.Add(1)
		return fmt.Errorf("bflease: reply has revision %d, older than the applied %d", reply.Revision, h.highestRevision)
	}
	state, err := h.nextState(reply)
	checksum := h.checksum
	if err == nil && state != h.state {
		checksum = state.Checksum()
	}
	if err == nil && (checksum != reply.Checksum || state.Revision != reply.Revision) {
		err = fmt.Errorf("bflease: state of revision %d doesn't match the leader's checksum and revision", reply.Revision)
	}
	if err != nil {
		h.Rejected.Add(1)
		h.needFull = true
		return err
	}
	h.state, h.checksum, h.highestRevision, h.needFull = state, checksum, reply.Revision, false
	h.commitIndex = max(h.commitIndex, reply.CommitIndex)
	if expiresAt := sent.Add(min(reply.Lease, Duration)); expiresAt.After(h.expiresAt) {
		h.expiresAt = expiresAt
	}
	return nil
}

// nextState returns the state that the reply leads to.
func (h *Holder) nextState(reply SyncReply) (*bfmachine.ConfigState, error) {
	switch {
	case reply.Full != nil:
		return reply.Full, nil
	case h.state == nil:
		return nil, fmt.Errorf("bflease: reply has no full state, but the entry has none yet")
	case reply.Delta != nil:
		return h.state.Patch(reply.Delta)
	}
	return h.state, nil
}

// Tick records that the process is running. A gap of more than freezeThreshold since
// the last tick drops the lease.
func (h *Holder) Tick(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkFreeze(now)
	h.lastTick = now
}

// checkFreeze drops the lease if, by the monotonic or the wall clock, the last tick is
// more than freezeThreshold ago. Both are compared because the monotonic clock stops
// while a VM is suspended. mu is held.
func (h *Holder) checkFreeze(now time.Time) {
	if h.lastTick.IsZero() {
		h.lastTick = now
		return
	}
	gap := max(now.Sub(h.lastTick), now.Round(0).Sub(h.lastTick.Round(0)))
	if gap <= freezeThreshold {
		return
	}
	h.Freezes.Add(1)
	h.epoch++
	h.expiresAt = time.Time{}
	h.lastTick = now
}

// Current returns the configuration and the lease, or false without a valid lease.
func (h *Holder) Current() (*briarferry.Config, briarferry.Lease, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.checkFreeze(now)
	if h.state == nil || h.state.Config == nil || !beforeBoth(now, h.expiresAt) {
		return nil, briarferry.Lease{}, false
	}
	return h.state.Config, briarferry.Lease{
		Version: h.state.Config.Version, CommitIndex: h.commitIndex, ExpiresAt: h.expiresAt,
	}, true
}

// State returns the newest state that the entry knows, with or without a lease.
func (h *Holder) State() *bfmachine.ConfigState {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state == nil {
		return &bfmachine.ConfigState{}
	}
	return h.state
}

// ObserveIndex records a log index from the reply to a claim.
func (h *Holder) ObserveIndex(index uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.commitIndex = max(h.commitIndex, index)
}
