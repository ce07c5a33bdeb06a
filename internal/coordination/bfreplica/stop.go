package bfreplica

import (
	"time"

	"briarferry/internal/coordination/bfraft"
)

// shutdown transfers leadership when the replica stops.
type shutdown struct {
	started     bool
	deadline    time.Time
	transferred bool
}

// begin freezes the lease: the votes of a leadership transfer ignore leases, so the
// transfer must wait until every lease that was reported has expired.
func (s *shutdown) begin(n *Node) {
	s.started = true
	s.deadline = time.Now().Add(3 * n.ElectionTimeout)
	n.lease.frozen = true
}

// advance starts the leadership transfer when it is due and reports whether the loop may
// end.
func (s *shutdown) advance(n *Node) bool {
	if !s.started {
		return false
	}
	if n.raft.Role() != bfraft.Leader || time.Now().After(s.deadline) {
		return true
	}
	if s.transferred {
		return !n.raft.Transferring()
	}
	if time.Now().Before(n.lease.reported) {
		return false
	}
	s.transferred = true
	target := n.raft.Transfer()
	n.Log.Info().Str("to", target).Msg("leadership transfer started")
	return target == ""
}
