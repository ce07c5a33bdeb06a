package bfreplica

import (
	"time"

	"briarferry/internal/coordination/bfraft"
)

// stopping hands leadership over when the replica stops.
type stopping struct {
	active      bool
	deadline    time.Time
	transferred bool
}

// begin freezes the lease: votes of a transfer ignore it, so the transfer must wait
// until every lease that was reported has ended.
func (s *stopping) begin(n *Node) {
	s.active = true
	s.deadline = time.Now().Add(3 * n.ElectionTimeout)
	n.lease.frozen = true
}

// finished tells whether the loop may end, and starts the transfer when it is due.
func (s *stopping) finished(n *Node) bool {
	if !s.active {
		return false
	}
	if n.core.Role() != bfraft.Leader || time.Now().After(s.deadline) {
		return true
	}
	if s.transferred {
		return !n.core.Transferring()
	}
	if time.Now().Before(n.lease.reported) {
		return false
	}
	s.transferred = true
	target := n.core.Transfer()
	n.Log.Info().Str("to", target).Msg("leadership transfer")
	return target == ""
}
