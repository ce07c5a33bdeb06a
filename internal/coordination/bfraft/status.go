package bfraft

// ID returns the id of this replica.
func (r *Raft) ID() string { return r.cfg.ID }

// Role returns the replica's part in its term.
func (r *Raft) Role() Role { return r.role }

// Term returns the current term.
func (r *Raft) Term() uint64 { return r.term }

// Leader returns the leader's id, or "" where it is not known.
func (r *Raft) Leader() string { return r.leader }

// Committed returns the last committed index known here.
func (r *Raft) Committed() uint64 { return r.log.committed }

// LastIndex returns the index of the newest entry.
func (r *Raft) LastIndex() uint64 { return r.log.last() }

// Membership returns the membership in force.
func (r *Raft) Membership() Membership { return r.log.membership.clone() }

// Transferring tells whether leadership is being handed over.
func (r *Raft) Transferring() bool { return r.transferee != "" }

// HeartbeatRound returns the newest heartbeat round of this leader.
func (r *Raft) HeartbeatRound() uint64 { return r.round }

// QuorumRound returns the newest heartbeat round that a majority acknowledged in
// this term.
func (r *Raft) QuorumRound() uint64 {
	if r.role != Leader {
		return 0
	}
	return r.quorumRound
}

// TicksSinceReply returns the number of ticks since the peer's last reply to this leader.
func (r *Raft) TicksSinceReply(id string) int {
	if p := r.progress[id]; p != nil {
		return p.silent
	}
	return 0
}

// TicksSinceLeader returns the ticks since this replica last heard a leader; 0 on the leader.
func (r *Raft) TicksSinceLeader() int {
	if r.role == Leader {
		return 0
	}
	return r.heard
}

// FirstVoters returns the voters of the group's first entry where the log still holds it.
func (r *Raft) FirstVoters() []string {
	if r.log.base > 0 || len(r.log.entries) == 0 {
		return nil
	}
	m, _ := r.log.membershipAt(1)
	return m.Voters
}
