package bfreplica

import (
	"time"

	"briarferry/internal/coordination/bfraft"
)

// leaseMargin is the share of the lease given up for clocks that run at different speeds.
const leaseMargin = 0.1

// lease tracks the leader's quorum lease. A follower that answers a heartbeat refuses
// votes for the election timeout, counted from when it got the heartbeat. The leader
// counts from before it sent the heartbeat, for two ticks less (after a pause a follower
// may get a late tick and the next one at once) and less the margin, so its lease
// always ends first.
type lease struct {
	term   uint64
	rounds []roundStart
	until  time.Time
	// reported is the latest end that Status has given out.
	reported time.Time
	// frozen stops the lease for a leadership transfer, whose votes ignore it.
	frozen bool
}

type roundStart struct {
	round uint64
	at    time.Time
}

// sent notes the start of a round that the core has just begun.
func (l *lease) sent(core *bfraft.Raft, started time.Time) {
	if core.Role() != bfraft.Leader {
		return
	}
	if l.term != core.Term() {
		*l = lease{term: core.Term(), reported: l.reported, frozen: l.frozen}
	}
	last := uint64(0)
	if n := len(l.rounds); n > 0 {
		last = l.rounds[n-1].round
	}
	if round := core.HeartbeatRound(); round > last {
		l.rounds = append(l.rounds, roundStart{round: round, at: started})
	}
}

// acked moves the end of the lease on for the rounds that a majority has answered.
func (l *lease) acked(n *Node) {
	if n.core.Role() != bfraft.Leader {
		l.until = time.Time{}
		return
	}
	length := time.Duration(float64(n.ticks(n.ElectionTimeout)-2) * float64(n.Tick) * (1 - leaseMargin))
	acked := n.core.QuorumRound()
	for len(l.rounds) > 0 && l.rounds[0].round <= acked {
		l.until = l.rounds[0].at.Add(length)
		l.rounds = l.rounds[1:]
	}
}

// report returns the end of the lease for Status. A leader that has not yet applied
// what earlier leaders committed reports none, as its state may be old.
func (l *lease) report(n *Node) time.Time {
	if l.frozen || n.core.Role() != bfraft.Leader || n.barrier == 0 || n.applied.Load() < n.barrier {
		return time.Time{}
	}
	if l.until.After(l.reported) {
		l.reported = l.until
	}
	return l.until
}
