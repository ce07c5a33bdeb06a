package bfreplica

import (
	"context"

	"briarferry"
	"briarferry/internal/coordination/bfraft"
)

// Leave is the leader's part of another replica's planned stop. A stopped voter raises the
// majority until its removal, so that a group with one voter too many doesn't tolerate the
// next failure. Leave therefore removes the replica while it still runs, if the group
// tolerates as many failures without it. It reports whether the replica may end: the removal
// is committed, or the group keeps it.
func (n *Node) Leave(ctx context.Context, id string) (mayStop bool, err error) {
	var released bool
	var leaveErr error
	err = n.callInLoop(ctx, func() error {
		released, leaveErr = n.release(ctx, id)
		return nil
	})
	if err != nil {
		return false, err
	}
	return released, leaveErr
}

// release runs in the loop. A call that its caller has given up has no effect, as the replica
// may have been started again.
func (n *Node) release(ctx context.Context, id string) (bool, error) {
	if err := ctx.Err(); err != nil {
		return false, err
	}
	if n.raft.Role() != bfraft.Leader {
		return false, briarferry.ErrNotLeader
	}
	n.leavingSince[id] = n.maintenanceTicks
	return n.proposeDueChange() && !n.hasActiveLearner(id), nil
}

// hasActiveLearner reports whether a learner replies that may be the successor of the stopping
// replica. Once it is a voter, the group may do without that replica.
func (n *Node) hasActiveLearner(stopping string) bool {
	for _, id := range n.raft.Membership().Learners {
		if id != stopping && n.raft.TicksSinceReply(id) < n.ticks(n.ElectionTimeout) {
			return true
		}
	}
	return false
}

// isLeaving reports whether a replica has called Leave and not replied since, or is this one
// and stops. Replies that were sent before the end of a replica arrive within an election
// timeout; later ones come from a replica that was started again.
func (n *Node) isLeaving(id string) bool {
	if id == n.raft.ID() {
		return n.stopping
	}
	since, ok := n.leavingSince[id]
	if !ok {
		return false
	}
	lastReply := n.maintenanceTicks - n.raft.TicksSinceReply(id)
	if lastReply > since+n.ticks(n.ElectionTimeout) {
		delete(n.leavingSince, id)
		return false
	}
	return true
}
