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
	// callTimeout bounds a sync call: the hold, a round trip and an election's
	// first redirect.
	callTimeout = 1500 * time.Millisecond
	// retryPause is the longest pause after a failed call; three of them and a
	// call still fit into a lease.
	retryPause = 200 * time.Millisecond
	// idlePause keeps a leader that answers at once from being called in a loop.
	idlePause = 20 * time.Millisecond
)

// Holder keeps the configuration that this entry may act on. It implements
// briarferry.ConfigSource. The exported fields are set before Run.
type Holder struct {
	Name        string
	Incarnation uint64
	Transport   Transport
	// OnError is called with the error of a failed sync call; nil ignores it.
	OnError func(error)
	// Syncs, Failures, Freezes and Rejected count what Run did.
	Syncs, Failures, Freezes, Rejected atomic.Uint64

	mu    sync.Mutex
	state *bfmachine.ConfigState
	// checksum is that of state.
	checksum uint64
	// highest is the largest revision seen; an older one is never taken.
	highest   uint64
	needFull  bool
	expiresAt time.Time
	commit    uint64
	lastTick  time.Time
	// epoch grows with each freeze, so that a reply to a call from before the
	// freeze grants nothing.
	epoch uint64
}

// Run keeps the lease until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	h.Tick(time.Now())
	go h.runTicks(ctx)
	h.runSyncs(ctx)
}

func (h *Holder) runSyncs(ctx context.Context) {
	for ctx.Err() == nil {
		if pause := h.syncOnce(ctx); pause > 0 {
			_ = sleep(ctx, pause)
		}
	}
}

func (h *Holder) runTicks(ctx context.Context) {
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

// syncOnce renews the lease and returns how long to pause before the next call.
func (h *Holder) syncOnce(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	r, epoch := h.begin(sent)
	reply, err := h.Transport.Sync(ctx, r)
	if err == nil {
		err = h.apply(sent, time.Now(), epoch, reply)
	}
	if err != nil {
		h.Failures.Add(1)
		if h.OnError != nil {
			h.OnError(err)
		}
		return retryPause/4 + rand.N(retryPause*3/4)
	}
	h.Syncs.Add(1)
	if reply.Revision == r.Revision && time.Since(sent) < idlePause {
		return idlePause
	}
	return 0
}

func (h *Holder) begin(now time.Time) (SyncRequest, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkFreeze(now)
	r := SyncRequest{Entry: h.Name, Incarnation: h.Incarnation, Full: h.needFull}
	if h.state != nil {
		r.Revision = h.state.Revision
	}
	return r, h.epoch
}

// apply takes the reply to a call that was sent at the given time and epoch.
func (h *Holder) apply(sent, now time.Time, epoch uint64, reply SyncReply) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkFreeze(now)
	if epoch != h.epoch {
		return fmt.Errorf("bflease: reply to a call from before a freeze")
	}
	if reply.Revision < h.highest {
		h.Rejected.Add(1)
		return fmt.Errorf("bflease: reply has revision %d after %d", reply.Revision, h.highest)
	}
	state, err := h.nextState(reply)
	checksum := h.checksum
	if err == nil && state != h.state {
		checksum = state.Checksum()
	}
	if err == nil && (checksum != reply.Checksum || state.Revision != reply.Revision) {
		err = fmt.Errorf("bflease: state with revision %d has another checksum than the leader's", reply.Revision)
	}
	if err != nil {
		h.Rejected.Add(1)
		h.needFull = true
		return err
	}
	h.state, h.checksum, h.highest, h.needFull = state, checksum, reply.Revision, false
	h.commit = max(h.commit, reply.CommitIndex)
	if end := sent.Add(min(reply.Lease, Duration)); end.After(h.expiresAt) {
		h.expiresAt = end
	}
	return nil
}

func (h *Holder) nextState(reply SyncReply) (*bfmachine.ConfigState, error) {
	switch {
	case reply.Full != nil:
		return reply.Full, nil
	case h.state == nil:
		return nil, fmt.Errorf("bflease: reply without a full state")
	case reply.Delta != nil:
		return h.state.Patch(reply.Delta)
	}
	return h.state, nil
}

// Tick notes that the process runs. A gap since the last tick drops the lease.
func (h *Holder) Tick(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkFreeze(now)
	h.lastTick = now
}

// checkFreeze drops the lease if the clock tick is too old. The wall clock is
// compared too: the monotonic clock stops while a VM is suspended.
func (h *Holder) checkFreeze(now time.Time) {
	if h.lastTick.IsZero() {
		h.lastTick = now
		return
	}
	gap := max(now.Sub(h.lastTick), now.Round(0).Sub(h.lastTick.Round(0)))
	if gap <= freezeLimit {
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
		Version: h.state.Config.Version, CommitIndex: h.commit, ExpiresAt: h.expiresAt,
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

// ObserveIndex notes a log index that the entry learned from a reply to a claim.
func (h *Holder) ObserveIndex(index uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.commit = max(h.commit, index)
}
