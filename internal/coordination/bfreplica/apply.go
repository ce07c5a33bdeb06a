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
	// applier applies committed commands in its own goroutine, so that a slow state
	// machine or a large snapshot delays no heartbeat.
	applier struct {
		node   *Node
		failed chan error
		wake   chan struct{}

		mu    sync.Mutex
		queue []applyTask

		// The following fields belong to the applier's goroutine.
		term               uint64
		membership         bfraft.Membership
		snapshotIndex      uint64
		bytesSinceSnapshot int // size of the entries applied since the last snapshot
		snapshotSize       int // size of the last snapshot in bytes
		saving             atomic.Bool
		savers             sync.WaitGroup
	}

	// applyTask is a snapshot to restore, if any, and the entries to apply after it.
	applyTask struct {
		snapshot *bfraft.Snapshot
		entries  []bfraft.Entry
	}
)

func newApplier(n *Node) *applier {
	return &applier{node: n, failed: make(chan error, 1), wake: make(chan struct{}, 1)}
}

// push queues the snapshot and the committed entries of a Ready.
func (a *applier) push(rd bfraft.Ready) {
	if rd.Snapshot == nil && len(rd.Committed) == 0 {
		return
	}
	a.mu.Lock()
	a.queue = append(a.queue, applyTask{snapshot: rd.Snapshot, entries: rd.Committed})
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *applier) takeAll() []applyTask {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queue
	a.queue = nil
	return q
}

func (a *applier) run(ctx context.Context) {
	defer a.savers.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		for _, task := range a.takeAll() {
			if err := a.apply(ctx, task); err != nil {
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

func (a *applier) apply(ctx context.Context, task applyTask) error {
	if task.snapshot != nil {
		if err := a.restore(task.snapshot); err != nil {
			return err
		}
	}
	for _, e := range task.entries {
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
			return eris.Wrapf(err, "bfreplica: decode membership entry %d", e.Index)
		}
		a.membership = m
	}
	a.term = e.Term
	a.bytesSinceSnapshot += len(e.Data) + entryOverheadBytes
	a.node.applied.Store(e.Index)
	a.node.pendingCommands.finish(e.Index, e.Term, result)
	return nil
}

func (a *applier) restore(s *bfraft.Snapshot) error {
	if err := a.node.Machine.Restore(s.Data); err != nil {
		return eris.Wrap(err, "bfreplica: restore snapshot")
	}
	a.term, a.membership, a.snapshotIndex, a.bytesSinceSnapshot = s.Term, s.Membership, s.Index, 0
	a.snapshotSize = len(s.Data)
	a.node.applied.Store(s.Index)
	return nil
}

// maybeSnapshot takes a snapshot if the log has grown enough. It runs between two
// commands, so the snapshot contains exactly the commands up to its index; later commands
// are applied while the snapshot is saved. The log must also have reached half the size of
// the last snapshot, so that a large state is not written again after a short log.
func (a *applier) maybeSnapshot(ctx context.Context) error {
	index := a.node.applied.Load()
	due := index-a.snapshotIndex >= a.node.SnapshotEntries || a.bytesSinceSnapshot >= a.node.SnapshotBytes
	if !due || a.bytesSinceSnapshot < a.snapshotSize/2 || a.saving.Load() {
		return nil
	}
	data, err := a.node.Machine.Snapshot()
	if err != nil {
		return eris.Wrap(err, "bfreplica: take snapshot")
	}
	s := bfraft.Snapshot{Index: index, Term: a.term, Membership: a.membership, Data: data}
	a.snapshotIndex, a.bytesSinceSnapshot, a.snapshotSize = index, 0, len(data)
	a.saving.Store(true)
	a.savers.Go(func() {
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
	case a.node.savedSnapshots <- s:
	case <-ctx.Done():
	}
}
