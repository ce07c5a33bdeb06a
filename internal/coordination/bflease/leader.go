package bflease

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"briarferry"
	"briarferry/internal/state/bfmachine"
)

const applyPoll = 2 * time.Millisecond

type (
	// StateSource is the replicated state that leases are granted under.
	StateSource interface {
		State() *bfmachine.ConfigState
		Since(revision uint64) (*bfmachine.ConfigState, bool)
		Changed() <-chan struct{}
	}

	// Leader grants leases while its replica leads. Replica and Source are set
	// before use.
	Leader struct {
		Replica briarferry.Replica
		Source  StateSource
		// Grants and Refusals count sync calls.
		Grants, Refusals atomic.Uint64

		mu   sync.Mutex
		term uint64
		// unknownUntil is when every lease of an earlier leader has ended.
		unknownUntil time.Time
		entries      map[entryKey]*holder
		// acked is closed and replaced when an entry acknowledges a newer revision.
		acked chan struct{}
		// cache holds what all entries with the same state are sent, since a change
		// goes to every entry at once.
		cache attachment
	}

	attachment struct {
		state    *bfmachine.ConfigState
		checksum uint64
		deltas   map[uint64]*bfmachine.Delta
	}

	entryKey struct {
		name        string
		incarnation uint64
	}

	// holder is what the leader knows of one entry.
	holder struct {
		acked uint64
		// grants holds the last end of a lease for each revision it was granted
		// under, oldest revision first.
		grants []grant
	}

	grant struct {
		revision uint64
		until    time.Time
	}
)

// Sync holds the call until a newer revision exists or LongPollTimeout has passed, then
// grants a lease. It fails with ErrNotLeader where the replica may not grant one.
func (l *Leader) Sync(ctx context.Context, r SyncRequest) (SyncReply, error) {
	if err := l.ensureTerm(ctx); err != nil {
		l.Refusals.Add(1)
		return SyncReply{}, err
	}
	l.acknowledge(r)
	if err := l.hold(ctx, r); err != nil {
		return SyncReply{}, err
	}
	reply, state, err := l.grant(r)
	if err != nil {
		l.Refusals.Add(1)
		return SyncReply{}, err
	}
	l.Grants.Add(1)
	l.attach(&reply, state, r)
	return reply, nil
}

// ensureTerm prepares the first grant of a term: every write that an earlier
// leader finished must be applied here before a state is handed out.
func (l *Leader) ensureTerm(ctx context.Context) error {
	s := l.Replica.Status()
	if !s.IsLeader {
		return briarferry.ErrNotLeader
	}
	l.mu.Lock()
	known := l.entries != nil && l.term == s.Term
	l.mu.Unlock()
	if known {
		return nil
	}
	index, err := l.Replica.ReadIndex(ctx)
	if err != nil {
		return fmt.Errorf("bflease: confirm leadership: %w", err)
	}
	for l.Replica.Status().Applied < index {
		if err := sleep(ctx, applyPoll); err != nil {
			return err
		}
	}
	l.startTerm(s)
	return nil
}

func (l *Leader) startTerm(s briarferry.ReplicaStatus) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries != nil && l.term >= s.Term {
		return
	}
	since := s.LeaderSince
	if since.IsZero() {
		since = time.Now()
	}
	l.term = s.Term
	l.unknownUntil = since.Add(leaderDuration)
	l.entries = map[entryKey]*holder{}
	if l.acked == nil {
		l.acked = make(chan struct{})
	}
}

func (l *Leader) acknowledge(r SyncRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.entries[entryKey{r.Entry, r.Incarnation}]
	if h == nil || r.Revision <= h.acked {
		return
	}
	h.acked = r.Revision
	close(l.acked)
	l.acked = make(chan struct{})
}

func (l *Leader) hold(ctx context.Context, r SyncRequest) error {
	changed := l.Source.Changed()
	if r.Full || l.Source.State().Revision > r.Revision {
		return nil
	}
	timer := time.NewTimer(LongPollTimeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return fmt.Errorf("bflease: sync: %w", ctx.Err())
	}
	return nil
}

// grant records the lease and reads the state in one critical section, so that
// WaitInForce either sees the grant or precedes it, and it then carries the newer state.
func (l *Leader) grant(r SyncRequest) (SyncReply, *bfmachine.ConfigState, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, now := l.Replica.Status(), time.Now()
	if !s.IsLeader || s.Term != l.term || !beforeBoth(now, s.LeaseUntil) {
		return SyncReply{}, nil, briarferry.ErrNotLeader
	}
	state := l.Source.State()
	if state.Revision < r.Revision {
		// The entry has a newer state than this replica has applied.
		return SyncReply{}, nil, briarferry.ErrNotLeader
	}
	key := entryKey{r.Entry, r.Incarnation}
	h := l.entries[key]
	if h == nil {
		l.prune(now)
		h = &holder{acked: r.Revision}
		l.entries[key] = h
	}
	h.add(grant{state.Revision, now.Add(leaderDuration)}, now)
	return SyncReply{Revision: state.Revision, CommitIndex: s.Applied, Lease: Duration}, state, nil
}

func (h *holder) add(g grant, now time.Time) {
	kept := h.grants[:0]
	for _, old := range h.grants {
		if old.revision != g.revision && old.until.After(now) {
			kept = append(kept, old)
		}
	}
	h.grants = append(kept, g)
}

// prune forgets entries whose leases have all ended.
func (l *Leader) prune(now time.Time) {
	for key, h := range l.entries {
		if !h.obstructs(^uint64(0)).After(now) {
			delete(l.entries, key)
		}
	}
}

// obstructs returns until when the entry may work under a revision below the given one.
func (h *holder) obstructs(revision uint64) time.Time {
	var until time.Time
	if h.acked >= revision {
		return until
	}
	for _, g := range h.grants {
		if g.revision < revision && g.until.After(until) {
			until = g.until
		}
	}
	return until
}

// attach adds what the entry needs to get from its revision to the state.
func (l *Leader) attach(reply *SyncReply, state *bfmachine.ConfigState, r SyncRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cache.state != state {
		l.cache = attachment{state: state, checksum: state.Checksum(), deltas: map[uint64]*bfmachine.Delta{}}
	}
	reply.Checksum = l.cache.checksum
	switch {
	case r.Full:
		reply.Full = state
	case r.Revision == state.Revision:
	default:
		if reply.Delta = l.delta(r.Revision); reply.Delta == nil {
			reply.Full = state
		}
	}
}

// delta returns the delta to the cached state, or nil where there is none; mu is held.
func (l *Leader) delta(revision uint64) *bfmachine.Delta {
	if d, ok := l.cache.deltas[revision]; ok {
		return d
	}
	old, ok := l.Source.Since(revision)
	if !ok {
		return nil
	}
	d, ok := bfmachine.Diff(old, l.cache.state)
	if !ok {
		d = nil
	}
	l.cache.deltas[revision] = d
	return d
}

// WaitInForce returns when no entry can work under a revision older than the
// given one: each has acknowledged it or a later one, or its lease has run out.
func (l *Leader) WaitInForce(ctx context.Context, revision uint64) error {
	if err := l.ensureTerm(ctx); err != nil {
		return err
	}
	for {
		until, acked := l.obstacle(revision)
		wait := time.Until(until)
		if wait <= 0 {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-acked:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("bflease: wait until revision %d is in force: %w", revision, ctx.Err())
		}
		timer.Stop()
	}
}

func (l *Leader) obstacle(revision uint64) (time.Time, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	until := l.unknownUntil
	for _, h := range l.entries {
		if t := h.obstructs(revision); t.After(until) {
			until = t
		}
	}
	return until, l.acked
}

// beforeBoth compares by the monotonic and by the wall clock: the monotonic one
// stops while a VM is suspended, and the wall clock can be set back.
func beforeBoth(now, end time.Time) bool {
	return now.Before(end) && now.Round(0).Before(end.Round(0))
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("bflease: %w", ctx.Err())
	}
}
