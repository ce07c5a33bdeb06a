package bfreplica

import (
	"context"
	"time"

	"briarferry/internal/coordination/bfraft"
	"briarferry/internal/state/bfcodec"
	"briarferry/internal/state/bfstorage"

	"github.com/rotisserie/eris"
)

// handleReady persists, sends and passes on everything that Raft has produced. The lease
// is counted from started, which must be a time before Raft was last called.
func (n *Node) handleReady(ctx context.Context, started time.Time) error {
	for n.raft.HasReady() {
		rd := n.raft.Ready()
		n.lease.recordRound(n.raft, started)
		n.sendAll(ctx, rd.Immediate)
		if err := n.persist(rd); err != nil {
			return err
		}
		n.sendAll(ctx, rd.Messages)
		n.applier.push(rd)
		n.finishReads(rd.ReadStates)
		n.raft.Advance(rd)
	}
	n.lease.extend(n)
	n.updateLeadership()
	n.publish()
	return nil
}

func (n *Node) sendAll(ctx context.Context, messages []bfraft.Message) {
	for _, m := range messages {
		if err := n.Transport.Send(ctx, m.To, m); err != nil {
			n.messagesDropped.Add(1)
		}
	}
}

func (n *Node) persist(rd bfraft.Ready) error {
	if rd.Snapshot != nil {
		s, err := encodeSnapshot(rd.Snapshot)
		if err != nil {
			return err
		}
		if err := n.storage.InstallSnapshot(s); err != nil {
			return eris.Wrap(err, "bfreplica: install snapshot")
		}
	}
	if rd.HardState == nil && len(rd.Entries) == 0 {
		return nil
	}
	var hard *bfstorage.HardState
	if rd.HardState != nil {
		hs := bfstorage.HardState(*rd.HardState)
		hard = &hs
	}
	entries := make([]bfstorage.Entry, len(rd.Entries))
	for i, e := range rd.Entries {
		entries[i] = bfstorage.Entry{Index: e.Index, Term: e.Term, Kind: uint8(e.Kind), Data: e.Data}
	}
	n.logSyncs.Add(1)
	return eris.Wrap(n.storage.Save(hard, entries), "bfreplica: write log")
}

// saveCommit writes the commit index to disk, at most once per commitSaveInterval.
func (n *Node) saveCommit(now time.Time) {
	index := n.raft.Committed()
	if !n.PersistCommit || index <= n.savedCommit || now.Sub(n.savedCommitAt) < commitSaveInterval {
		return
	}
	n.savedCommit, n.savedCommitAt = index, now
	if err := n.storage.SaveCommitIndex(index); err != nil {
		n.Log.Warn().Err(err).Uint64("index", index).Msg("failed to save commit index")
		return
	}
	select {
	case n.commitSaved <- struct{}{}:
	default:
	}
}

// syncCommits makes the saved commit indexes durable. It runs outside the loop, whose
// heartbeats must not wait for the disk.
func (n *Node) syncCommits(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.commitSaved:
		}
		if err := n.storage.SyncCommitIndex(); err != nil {
			n.Log.Warn().Err(err).Msg("failed to sync commit index")
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(commitSyncInterval):
		}
	}
}

// compact removes the log entries that a durable snapshot covers.
func (n *Node) compact(s bfraft.Snapshot) error {
	base := n.raft.Compact(&s)
	n.snapshotsSaved.Add(1)
	n.Log.Info().Uint64("index", s.Index).Int("bytes", len(s.Data)).Msg("snapshot saved")
	return eris.Wrap(n.storage.Compact(base), "bfreplica: compact log")
}

// updateLeadership reacts to the gain or loss of leadership. After a loss, the outcome of
// the pending commands is unknown.
func (n *Node) updateLeadership() {
	isLeader := n.raft.Role() == bfraft.Leader
	if !n.leaderSince.IsZero() && (!isLeader || n.leaderTerm != n.raft.Term()) {
		n.leaderSince = time.Time{}
		n.pendingCommands.failAll(ErrOutcomeUnknown)
		n.Log.Info().Uint64("term", n.raft.Term()).Str("leader", n.raft.Leader()).Msg("replica lost leadership")
	}
	if isLeader && n.leaderSince.IsZero() {
		n.leaderSince, n.leaderTerm, n.electionIndex = time.Now(), n.raft.Term(), n.raft.LastIndex()
		n.Log.Info().Uint64("term", n.raft.Term()).Msg("replica became leader")
	}
}

func encodeSnapshot(s *bfraft.Snapshot) (bfstorage.Snapshot, error) {
	meta, err := bfcodec.Marshal(s.Membership)
	if err != nil {
		return bfstorage.Snapshot{}, err
	}
	return bfstorage.Snapshot{Index: s.Index, Term: s.Term, Meta: meta, Data: s.Data}, nil
}

func decodeSnapshot(s *bfstorage.Snapshot) (*bfraft.Snapshot, error) {
	out := &bfraft.Snapshot{Index: s.Index, Term: s.Term, Data: s.Data}
	if err := bfcodec.Unmarshal(s.Meta, &out.Membership); err != nil {
		return nil, eris.Wrap(err, "bfreplica: decode membership of snapshot")
	}
	return out, nil
}
