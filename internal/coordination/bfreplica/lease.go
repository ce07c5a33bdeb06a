package bfreplica

import (
	"time"

	"briarferry/internal/coordination/bfraft"
)

// clockDriftMargin is the share by which the lease is shortened because clocks may run at
// different speeds.
const clockDriftMargin = 0.1

// lease tracks the leader's quorum lease. A follower that acknowledges a heartbeat refuses
// votes for the election timeout, counted from when it received the heartbeat. The leader
// counts from before it sent the heartbeat, and its lease is shorter by two ticks and by
// clockDriftMargin, so it always expires first. The two ticks are needed because a
// follower may, after a pause, get a late tick and the next one immediately after it.
type lease struct {
	term   uint64
	rounds []roundStart
	until  time.Time
	// reported is the latest end of the lease that was reported.
	reported time.Time
	// frozen is set before a leadership transfer, whose votes ignore leases. report then
	// returns no lease.
	frozen bool
}

// roundStart is the time at which a heartbeat round started.
type roundStart struct {
	round uint64
	at    time.Time
}

// recordRound records the start of the heartbeat round that Raft has just begun.
func (l *lease) recordRound(raft *bfraft.Raft, started time.Time) {
	if raft.Role() != bfraft.Leader {
		return
	}
	if l.term != raft.Term() {
		*l = lease{term: raft.Term(), reported: l.reported, frozen: l.frozen}
	}
	last := uint64(0)
	if n := len(l.rounds); n > 0 {
		last = l.rounds[n-1].round
	}
	if round := raft.HeartbeatRound(); round > last {
		l.rounds = append(l.rounds, roundStart{round: round, at: started})
	}
}

// extend extends the lease for the rounds that a majority has acknowledged.
func (l *lease) extend(n *Node) {
	if n.raft.Role() != bfraft.Leader {
		l.until = time.Time{}
		return
	}
	length := time.Duration(float64(n.ticks(n.ElectionTimeout)-2) * float64(n.Tick) * (1 - clockDriftMargin))
	acked := n.raft.QuorumRound()
	for len(l.rounds) > 0 && l.rounds[0].round <= acked {
		l.until = l.rounds[0].at.Add(length)
		l.rounds = l.rounds[1:]
	}
}

// report returns the end of the lease for Status. A leader that has not yet applied
// everything that earlier leaders committed reports none, as its state may be outdated.
func (l *lease) report(n *Node) time.Time {
	if l.frozen || n.raft.Role() != bfraft.Leader || n.electionIndex == 0 || n.applied.Load() < n.electionIndex {
		return time.Time{}
	}
	if l.until.After(l.reported) {
		l.reported = l.until
	}
	return l.until
}
