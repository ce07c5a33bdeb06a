package bfreplica

import (
	"context"
	"time"

	"briarferry/internal/coordination/bfraft"
)

const (
	// stopElectionTimeouts is the number of election timeouts within which a replica stops.
	stopElectionTimeouts = 4
	// leaveElectionTimeouts is the number of election timeouts without a leader's reply after
	// which a replica stops without its release. An election takes two of them, or a little
	// more if votes are split.
	leaveElectionTimeouts = 3
	leaveRetryInterval    = 100 * time.Millisecond
)

// shutdown transfers leadership and leaves the group when the replica stops.
type shutdown struct {
	started     bool
	deadline    time.Time
	transferred bool
	// left is closed when nothing is left to do for the group; it is nil before the replica
	// begins to leave. cancel ends the leaving.
	left   chan struct{}
	cancel context.CancelFunc
}

// begin freezes the lease: the votes of a leadership transfer ignore leases, so the
// transfer must wait until every lease that was reported has expired. A leader removes a voter
// that left before it, as its successor wouldn't know of that one.
func (s *shutdown) begin(n *Node) {
	s.started = true
	s.deadline = time.Now().Add(stopElectionTimeouts * n.ElectionTimeout)
	n.lease.frozen = true
	n.stopping = true
	n.raft.BePassive()
	if n.raft.Role() == bfraft.Leader {
		n.proposeDueChange()
	}
}

// advance transfers leadership when that is due, then leaves the group, and reports whether
// the loop may end.
func (s *shutdown) advance(ctx context.Context, n *Node) bool {
	switch {
	case !s.started:
		return false
	case time.Now().After(s.deadline):
		return true
	case n.raft.Role() == bfraft.Leader:
		return s.transfer(n)
	default:
		return s.leave(ctx, n)
	}
}

// transfer starts the leadership transfer once the lease has expired and no membership change
// is pending. It reports whether the replica must end as the leader, as there is no target or
// the transfer failed.
func (s *shutdown) transfer(n *Node) bool {
	if s.transferred {
		return !n.raft.Transferring()
	}
	if time.Now().Before(n.lease.reported) || n.raft.ChangePending() {
		return false
	}
	s.transferred = true
	target := n.raft.Transfer()
	n.Log.Info().Str("to", target).Msg("leadership transfer started")
	return target == ""
}

// leave makes the replica of an open group leave it and reports whether that has ended.
func (s *shutdown) leave(ctx context.Context, n *Node) bool {
	if !n.OpenMembership || !n.raft.Membership().Contains(n.raft.ID()) {
		return true
	}
	if s.left == nil {
		s.left = make(chan struct{})
		ctx, s.cancel = context.WithDeadline(ctx, s.deadline)
		go func() {
			defer close(s.left)
			n.leaveGroup(ctx)
		}()
	}
	select {
	case <-s.left:
		return true
	default:
		return false
	}
}

// end waits for the goroutine that leaves the group.
func (s *shutdown) end() {
	if s.left != nil {
		s.cancel()
		<-s.left
	}
}

// leaveGroup tells the leader that this replica stops, until the leader releases it or no
// leader has replied for too long.
func (n *Node) leaveGroup(ctx context.Context) {
	started := time.Now()
	replied := started
	for ctx.Err() == nil && time.Since(replied) < leaveElectionTimeouts*n.ElectionTimeout {
		info := n.Info()
		if leader := VMOf(info.Leader); leader != "" && leader != n.VM {
			mayStop, err := n.Discovery.Leave(ctx, leader, info.ID)
			if err == nil {
				replied = time.Now()
			}
			if mayStop {
				n.Log.Info().Str("leader", leader).Dur("took_ms", time.Since(started)).Msg("leader released this replica")
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaveRetryInterval):
		}
	}
	n.Log.Warn().Dur("took_ms", time.Since(started)).Msg("stopping without the leader's release")
}
