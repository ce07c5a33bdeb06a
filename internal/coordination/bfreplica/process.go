package bfreplica

import (
	"context"
	"time"

	"briarferry/internal/coordination/bfraft"
	"briarferry/internal/state/bfcodec"
	"briarferry/internal/state/bfstorage"

	"github.com/rotisserie/eris"
)

// process persists, sends and hands on everything that the core has produced.
// Started is a time before the core was last called.
func (n *Node) process(ctx context.Context, started time.Time) error {
	for n.core.HasReady() {
		rd := n.core.Ready()
		n.lease.sent(n.core, started)
		n.sendAll(ctx, rd.Early)
		if err := n.persist(rd); err != nil {
			return err
		}
		n.sendAll(ctx, rd.Messages)
		n.applier.push(rd)
		n.finishReads(rd.ReadStates)
		n.core.Advance(rd)
	}
	n.lease.acked(n)
	n.noticeRole()
	n.publish()
	return nil
}

func (n *Node) sendAll(ctx context.Context, messages []bfraft.Message) {
	for _, m := range messages {
		if err := n.Transport.Send(ctx, m.To, m); err != nil {
			n.dropped.Add(1)
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
	n.syncs.Add(1)
	return eris.Wrap(n.storage.Save(hard, entries), "bfreplica: persist")
}

// saveCommit notes how far the log is committed, at most once in commitInterval.
func (n *Node) saveCommit(now time.Time) {
	index := n.core.Committed()
	if !n.KeepCommit || index <= n.noted || now.Sub(n.notedAt) < commitInterval {
		return
	}
	n.noted, n.notedAt = index, now
	if err := n.storage.SaveCommitIndex(index); err != nil {
		n.Log.Warn().Err(err).Uint64("index", index).Msg("commit not noted")
		return
	}
	select {
	case n.notes <- struct{}{}:
	default:
	}
}

// syncCommits makes the notes durable, away from the loop, whose heartbeats must not
// wait for the disk.
func (n *Node) syncCommits(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.notes:
		}
		if err := n.storage.SyncCommitIndex(); err != nil {
			n.Log.Warn().Err(err).Msg("commit not synced")
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(commitSyncInterval):
		}
	}
}

// compact drops the log that a durable snapshot covers.
func (n *Node) compact(s bfraft.Snapshot) error {
	base := n.core.Compact(&s)
	n.snapshots.Add(1)
	n.Log.Info().Uint64("index", s.Index).Int("bytes", len(s.Data)).Msg("snapshot saved")
	return eris.Wrap(n.storage.Compact(base), "bfreplica: compact")
}

// noticeRole reacts to a change between leading and following.
func (n *Node) noticeRole() {
	leads := n.core.Role() == bfraft.Leader
	if !n.leaderSince.IsZero() && (!leads || n.leaderTerm != n.core.Term()) {
		n.leaderSince = time.Time{}
		n.waits.failAll(ErrUnknown)
		n.Log.Info().Uint64("term", n.core.Term()).Str("leader", n.core.Leader()).Msg("replica no longer leads")
	}
	if leads && n.leaderSince.IsZero() {
		n.leaderSince, n.leaderTerm, n.barrier = time.Now(), n.core.Term(), n.core.LastIndex()
		n.Log.Info().Uint64("term", n.core.Term()).Msg("replica leads")
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
		return nil, eris.Wrap(err, "bfreplica: membership of snapshot")
	}
	return out, nil
}
