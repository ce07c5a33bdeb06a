package bfraft

// ID returns the id of this replica.
func (r *Raft) ID() string { return r.cfg.ID }

// Role returns the replica's role in the current term.
func (r *Raft) Role() Role { return r.role }

// Term returns the current term.
func (r *Raft) Term() uint64 { return r.term }

// Leader returns the leader's id, or "" if it is unknown.
func (r *Raft) Leader() string { return r.leader }

// Committed returns the last index that this replica knows to be committed.
func (r *Raft) Committed() uint64 { return r.log.committed }

// LastIndex returns the index of the last entry in the log.
func (r *Raft) LastIndex() uint64 { return r.log.last() }

// Membership returns the newest membership in the log, which may not be committed yet.
func (r *Raft) Membership() Membership { return r.log.membership.clone() }

// Transferring reports whether a leadership transfer is in progress.
func (r *Raft) Transferring() bool { return r.transferee != "" }

// HeartbeatRound returns the newest heartbeat round of this leader.
func (r *Raft) HeartbeatRound() uint64 { return r.heartbeatRound }

// QuorumRound returns the newest heartbeat round that a majority acknowledged in
// this term.
func (r *Raft) QuorumRound() uint64 {
	if r.role != Leader {
		return 0
	}
	return r.quorumRound
}

// TicksSinceReply returns the number of ticks since the peer's last reply to a leader, as
// far as this leader knows. Ticks before its election count only once the peer has not
// replied to this leader for an election timeout either.
func (r *Raft) TicksSinceReply(id string) int {
	p := r.progress[id]
	switch {
	case p == nil:
		return 0
	case p.ticksSinceReply < r.cfg.ElectionTicks:
		return p.ticksSinceReply
	}
	return p.silentBefore + p.ticksSinceReply
}

// TicksSinceLeader returns the number of ticks since this replica last heard from a leader,
// or 0 on the leader.
func (r *Raft) TicksSinceLeader() int {
	if r.role == Leader {
		return 0
	}
	return r.leaderElapsed
}

// FirstVoters returns the voters in the group's first entry, or nil if the log no longer
// holds it.
func (r *Raft) FirstVoters() []string {
	if r.log.base > 0 || len(r.log.entries) == 0 {
		return nil
	}
	m, _ := r.log.membershipAt(1)
	return m.Voters
}

// ChangePending reports whether a membership change is in the log and not committed yet.
func (r *Raft) ChangePending() bool { return r.log.membershipIndex > r.log.committed }
