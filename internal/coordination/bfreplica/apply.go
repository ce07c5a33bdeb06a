package bfreplica

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"briarferry/internal/coordination/bfraft"
	"briarferry/internal/state/bfcodec"
)

type (
	// applier runs committed commands in its own goroutine, so that a slow state
	// machine or a large snapshot delays no heartbeat.
	applier struct {
		node   *Node
		failed chan error
		wake   chan struct{}

		mu    sync.Mutex
		queue []work

		// The following fields belong to the applier's goroutine.
		term       uint64
		membership bfraft.Membership
		snapshot   uint64
		bytes      int
		// size is the size of the last snapshot.
		size   int
		saving atomic.Bool
		saves  sync.WaitGroup
	}

	work struct {
		snapshot *bfraft.Snapshot
		entries  []bfraft.Entry
	}
)

func newApplier(n *Node) *applier {
	return &applier{node: n, failed: make(chan error, 1), wake: make(chan struct{}, 1)}
}

// push queues the output of the core.
func (a *applier) push(rd bfraft.Ready) {
	if rd.Snapshot == nil && len(rd.Committed) == 0 {
		return
	}
	a.mu.Lock()
	a.queue = append(a.queue, work{snapshot: rd.Snapshot, entries: rd.Committed})
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *applier) take() []work {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queue
	a.queue = nil
	return q
}

func (a *applier) run(ctx context.Context) {
	defer a.saves.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		for _, w := range a.take() {
			if err := a.apply(ctx, w); err != nil {
				a.fail(err)
				return
			}
		}
	}
}

func (a *applier) fail(err error) {
	select {
	case a.failed <- err:
	default:
	}
}

func (a *applier) apply(ctx context.Context, w work) error {
	if w.snapshot != nil {
		if err := a.restore(w.snapshot); err != nil {
			return err
		}
	}
	for _, e := range w.entries {
		if ctx.Err() != nil {
			return nil
		}
		if err := a.applyEntry(e); err != nil {
			return err
		}
	}
	return a.maybeSnapshot(ctx)
}

func (a *applier) applyEntry(e bfraft.Entry) error {
	var result []byte
	switch e.Kind {
	case bfraft.EntryCommand:
		result = a.node.Machine.Apply(e.Index, e.Data)
	case bfraft.EntryMembership:
		var m bfraft.Membership
		if err := bfcodec.Unmarshal(e.Data, &m); err != nil {
			return eris.Wrapf(err, "bfreplica: membership entry %d", e.Index)
		}
		a.membership = m
	}
	a.term = e.Term
	a.bytes += len(e.Data) + entryBytes
	a.node.applied.Store(e.Index)
	a.node.waits.finish(e.Index, e.Term, result)
	return nil
}

func (a *applier) restore(s *bfraft.Snapshot) error {
	if err := a.node.Machine.Restore(s.Data); err != nil {
		return eris.Wrap(err, "bfreplica: restore snapshot")
	}
	a.term, a.membership, a.snapshot, a.bytes = s.Term, s.Membership, s.Index, 0
	a.size = len(s.Data)
	a.node.applied.Store(s.Index)
	return nil
}

// maybeSnapshot takes a snapshot between two commands, so it holds exactly the
// commands up to its index; saving it goes on while later commands are applied. It
// waits until the log has half the size of the last snapshot, so that a large state
// is not written again for a short log.
func (a *applier) maybeSnapshot(ctx context.Context) error {
	index := a.node.applied.Load()
	due := index-a.snapshot >= a.node.SnapshotEntries || a.bytes >= a.node.SnapshotBytes
	if !due || a.bytes < a.size/2 || a.saving.Load() {
		return nil
	}
	data, err := a.node.Machine.Snapshot()
	if err != nil {
		return eris.Wrap(err, "bfreplica: take snapshot")
	}
	s := bfraft.Snapshot{Index: index, Term: a.term, Membership: a.membership, Data: data}
	a.snapshot, a.bytes, a.size = index, 0, len(data)
	a.saving.Store(true)
	a.saves.Go(func() {
		defer a.saving.Store(false)
		a.save(ctx, s)
	})
	return nil
}

func (a *applier) save(ctx context.Context, s bfraft.Snapshot) {
	encoded, err := encodeSnapshot(&s)
	if err == nil {
		err = a.node.storage.SaveSnapshot(encoded)
	}
	if err != nil {
		a.fail(eris.Wrap(err, "bfreplica: save snapshot"))
		return
	}
	select {
	case a.node.saved <- s:
	case <-ctx.Done():
	}
}
