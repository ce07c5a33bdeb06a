package bfreplica

import (
	"expvar"
	"slices"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bfraft"
)

var _ briarferry.Replica = (*Node)(nil)

// publish copies the loop's state for Status and Info.
func (n *Node) publish() {
	m := n.raft.Membership()
	s := briarferry.ReplicaStatus{
		ID: n.raft.ID(), Leader: n.raft.Leader(), IsLeader: n.raft.Role() == bfraft.Leader,
		Term: n.raft.Term(), Commit: n.raft.Committed(), Voters: m.Voters, Learners: m.Learners,
		LeaderSince: n.leaderSince, LeaseUntil: n.lease.report(n),
	}
	info := Info{
		ID: s.ID, LastIndex: n.raft.LastIndex(), Leader: s.Leader, Voters: m.Voters, FirstVoters: n.raft.FirstVoters(),
		JoinOnly: !n.formation.MayForm, Former: n.formation.Former,
	}
	n.heardLeader = n.heardLeader || s.Leader != ""
	n.leaderLost.Store(!n.heardLeader || n.raft.TicksSinceLeader() > 2*n.ticks(n.ElectionTimeout))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.status, n.info = s, info
}

// Status describes the replica. LeaseUntil is zero unless the replica is the leader, holds
// a quorum lease and has applied everything that earlier leaders committed.
func (n *Node) Status() briarferry.ReplicaStatus {
	n.setup()
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.status
	s.Voters, s.Learners = slices.Clone(s.Voters), slices.Clone(s.Learners)
	s.Applied = n.applied.Load()
	if !s.LeaseUntil.After(time.Now()) {
		s.LeaseUntil = time.Time{}
	}
	return s
}

// Info describes the replica to others that form or join a group.
func (n *Node) Info() Info {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.info
}

// Metrics returns the replica's counters.
func (n *Node) Metrics() *expvar.Map {
	m := new(expvar.Map).Init()
	for name, v := range map[string]uint64{
		"messages_dropped": n.messagesDropped.Load(), "snapshots_saved": n.snapshotsSaved.Load(), "log_syncs": n.logSyncs.Load(),
	} {
		i := new(expvar.Int)
		i.Set(int64(v))
		m.Set(name, i)
	}
	return m
}
