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

// applyPollInterval is the time between two checks whether the replica has applied an
// index.
const applyPollInterval = 2 * time.Millisecond

type (
	// StateSource provides the replicated state that leases are granted for.
	StateSource interface {
		// State returns the current state.
		State() *bfmachine.ConfigState
		// StateAt returns the state of exactly the given earlier revision, from which a
		// delta can start, or false if that state isn't kept.
		StateAt(revision uint64) (*bfmachine.ConfigState, bool)
		// Changed returns a channel that is closed at the next change of the state.
		Changed() <-chan struct{}
	}

	// Leader grants leases while its replica is the leader. Replica and Source are set
	// before use.
	Leader struct {
		Replica briarferry.Replica
		Source  StateSource
		// Grants and Refusals count granted and refused sync calls.
		Grants, Refusals atomic.Uint64

		mu   sync.Mutex
		term uint64
		// earlierLeasesEnd is when all leases that earlier leaders granted have expired.
		earlierLeasesEnd time.Time
		entries          map[entryKey]*entryLeases
		// acked is closed and replaced when an entry acknowledges a newer revision.
		acked chan struct{}
		// replyCache holds the parts of a reply that are the same for many entries,
		// since a change is sent to all entries at once.
		replyCache stateCache
	}

	// stateCache is a state with its checksum and the deltas to it by revision.
	stateCache struct {
		state    *bfmachine.ConfigState
		checksum uint64
		deltas   map[uint64]*bfmachine.Delta
	}

	// entryKey identifies one process of an entry.
	entryKey struct {
		name        string
		incarnation uint64
	}

	// entryLeases is what the leader knows of one entry.
	entryLeases struct {
		ackedRevision uint64
		// leases has the latest lease for each revision, oldest revision first.
		leases []grantedLease
	}

	grantedLease struct {
		revision  uint64
		expiresAt time.Time
	}
)

// Sync waits until a newer revision exists or LongPollTimeout has passed, then grants a
// lease. It fails with ErrNotLeader if the replica may not grant one.
func (l *Leader) Sync(ctx context.Context, r SyncRequest) (SyncReply, error) {
	if err := l.ensureTerm(ctx); err != nil {
		l.Refusals.Add(1)
		return SyncReply{}, err
	}
	l.acknowledge(r)
	if err := l.waitForChange(ctx, r); err != nil {
		return SyncReply{}, err
	}
	reply, state, err := l.grantLease(r)
	if err != nil {
		l.Refusals.Add(1)
		return SyncReply{}, err
	}
	l.Grants.Add(1)
	l.attachState(&reply, state, r)
	return reply, nil
}

// ensureTerm prepares the first grant of a term: every write that an earlier leader
// completed must be applied here before this leader sends a state.
func (l *Leader) ensureTerm(ctx context.Context) error {
	s := l.Replica.Status()
	if !s.IsLeader {
		return briarferry.ErrNotLeader
	}
	l.mu.Lock()
	started := l.entries != nil && l.term == s.Term
	l.mu.Unlock()
	if started {
		return nil
	}
	index, err := l.Replica.ReadIndex(ctx)
	if err != nil {
		return fmt.Errorf("bflease: confirm leadership: %w", err)
	}
	for l.Replica.Status().Applied < index {
		if err := sleep(ctx, applyPollInterval); err != nil {
			return err
		}
	}
	l.startTerm(s)
	return nil
}

// startTerm removes the leases of the previous term and records the time until which
// leases of earlier leaders may be valid.
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
	l.earlierLeasesEnd = since.Add(leaderLeaseDuration)
	l.entries = map[entryKey]*entryLeases{}
	if l.acked == nil {
		l.acked = make(chan struct{})
	}
}

// acknowledge notes the revision that an entry has applied.
func (l *Leader) acknowledge(r SyncRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[entryKey{r.Entry, r.Incarnation}]
	if e == nil || r.Revision <= e.ackedRevision {
		return
	}
	e.ackedRevision = r.Revision
	close(l.acked)
	l.acked = make(chan struct{})
}

// waitForChange waits until a revision is newer than the entry's, at most for
// LongPollTimeout.
func (l *Leader) waitForChange(ctx context.Context, r SyncRequest) error {
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

// grantLease records the lease and reads the state in one critical section: either a
// concurrent WaitInForce sees the lease when it reads the leases, or the lease is
// recorded after that read and covers the newer state.
func (l *Leader) grantLease(r SyncRequest) (SyncReply, *bfmachine.ConfigState, error) {
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
	e := l.entries[key]
	if e == nil {
		l.removeExpired(now)
		e = &entryLeases{ackedRevision: r.Revision}
		l.entries[key] = e
	}
	e.add(grantedLease{state.Revision, now.Add(leaderLeaseDuration)}, now)
	return SyncReply{Revision: state.Revision, CommitIndex: s.Applied, Lease: Duration}, state, nil
}

// add adds a lease, and removes expired ones and the earlier one of the same revision.
func (e *entryLeases) add(lease grantedLease, now time.Time) {
	kept := e.leases[:0]
	for _, old := range e.leases {
		if old.revision != lease.revision && old.expiresAt.After(now) {
			kept = append(kept, old)
		}
	}
	e.leases = append(kept, lease)
}

// removeExpired removes entries whose leases have all expired.
func (l *Leader) removeExpired(now time.Time) {
	for key, e := range l.entries {
		if !e.expiryBelow(^uint64(0)).After(now) {
			delete(l.entries, key)
		}
	}
}

// expiryBelow returns the time until which the entry may use a revision below the given
// one, or zero if it has no lease for such a revision or has acknowledged the given
// revision or a later one.
func (e *entryLeases) expiryBelow(revision uint64) time.Time {
	var expiresAt time.Time
	if e.ackedRevision >= revision {
		return expiresAt
	}
	for _, g := range e.leases {
		if g.revision < revision && g.expiresAt.After(expiresAt) {
			expiresAt = g.expiresAt
		}
	}
	return expiresAt
}

// attachState adds the delta or the full state that takes the entry from its revision
// to the given state.
func (l *Leader) attachState(reply *SyncReply, state *bfmachine.ConfigState, r SyncRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.replyCache.state != state {
		l.replyCache = stateCache{state: state, checksum: state.Checksum(), deltas: map[uint64]*bfmachine.Delta{}}
	}
	reply.Checksum = l.replyCache.checksum
	switch {
	case r.Full:
		reply.Full = state
	case r.Revision == state.Revision:
	default:
		if reply.Delta = l.deltaFrom(r.Revision); reply.Delta == nil {
			reply.Full = state
		}
	}
}

// deltaFrom returns the delta from a revision to the cached state, or nil if there is
// none. mu is held.
func (l *Leader) deltaFrom(revision uint64) *bfmachine.Delta {
	if d, ok := l.replyCache.deltas[revision]; ok {
		return d
	}
	old, ok := l.Source.StateAt(revision)
	if !ok {
		return nil
	}
	d, ok := bfmachine.Diff(old, l.replyCache.state)
	if !ok {
		d = nil
	}
	l.replyCache.deltas[revision] = d
	return d
}

// WaitInForce waits until no entry can use a revision older than the given one: each
// entry has acknowledged this or a later one, or its lease has expired.
func (l *Leader) WaitInForce(ctx context.Context, revision uint64) error {
	if err := l.ensureTerm(ctx); err != nil {
		return err
	}
	for {
		expiresAt, acked := l.latestExpiry(revision)
		wait := time.Until(expiresAt)
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

// latestExpiry returns the time until which any entry may use a revision below the given
// one, and the channel that is closed at the next acknowledgement.
func (l *Leader) latestExpiry(revision uint64) (time.Time, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	expiresAt := l.earlierLeasesEnd
	for _, e := range l.entries {
		if end := e.expiryBelow(revision); end.After(expiresAt) {
			expiresAt = end
		}
	}
	return expiresAt, l.acked
}

// beforeBoth reports whether now is before end by both the monotonic and the wall clock:
// the monotonic clock stops while a VM is suspended, and the wall clock can be set back.
func beforeBoth(now, end time.Time) bool {
	return now.Before(end) && now.Round(0).Before(end.Round(0))
}

// sleep waits for d and fails if ctx is done before.
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
