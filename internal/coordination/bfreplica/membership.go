package bfreplica

import (
	"slices"

	"briarferry/internal/coordination/bfraft"
)

const (
	// removalElectionTimeouts is the number of election timeouts without a reply after
	// which an open group removes a member. This is longer than a restart or a short
	// network partition.
	removalElectionTimeouts = 8
	// evenElectionTimeouts is that number for a voter of an even group. The removal costs no
	// fault tolerance, and until then a group whose voter was replaced tolerates one loss
	// fewer.
	evenElectionTimeouts = 1
	// leastVoters is the smallest number of voters to which an open group shrinks.
	leastVoters = 3
)

// runMaintenance is called on every tick and repeats the requests of reads. On every tenth
// one, which is every half second with the default tick, it fails expired reads and, on the
// leader, proposes the next due membership change.
func (n *Node) runMaintenance() {
	n.repeatReads()
	n.maintenanceTicks++
	if n.maintenanceTicks%10 != 0 {
		return
	}
	n.expireReads()
	if n.raft.Role() == bfraft.Leader {
		n.proposeDueChange()
	}
}

// proposeDueChange proposes the next due membership change. It reports whether the membership
// is settled: no change is due, and the last one is committed.
func (n *Node) proposeDueChange() (settled bool) {
	c, ok := n.dueMembershipChange()
	if !ok {
		return !n.raft.ChangePending()
	}
	if _, err := n.raft.ProposeChange(c); err == nil {
		n.Log.Info().Str("id", c.ID).Uint8("kind", uint8(c.Kind)).Msg("membership change proposed")
	}
	return false
}

// dueMembershipChange returns the next membership change to propose: the promotion of a
// learner that has caught up, or the removal of a replaced or departed replica.
func (n *Node) dueMembershipChange() (bfraft.Change, bool) {
	m := n.raft.Membership()
	for _, id := range m.Learners {
		if n.raft.CaughtUp(id) {
			return bfraft.Change{Kind: bfraft.Promote, ID: id}, true
		}
	}
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		if n.isReplaced(m, id) {
			return bfraft.Change{Kind: bfraft.Remove, ID: id}, true
		}
	}
	if id, ok := n.departedMember(m); ok {
		return bfraft.Change{Kind: bfraft.Remove, ID: id}, true
	}
	return bfraft.Change{}, false
}

// departedMember returns a member to remove from an open group because it has not replied
// for a long time or stops.
func (n *Node) departedMember(m bfraft.Membership) (string, bool) {
	if !n.OpenMembership {
		return "", false
	}
	if id, ok := n.departedVoter(m.Voters); ok {
		return id, true
	}
	if silent := n.silentFor(m.Learners, removalElectionTimeouts); len(silent) > 0 {
		return silent[0], true
	}
	return "", false
}

// departedVoter returns the voter to remove. The group must tolerate at least as many
// further failures without it. An even group tolerates no more failures than one with a
// voter fewer, so one departed voter is enough, and after a replacement under a new address
// the group has its old size again. An odd group must have two departed voters, as the
// removal of both gains one.
func (n *Node) departedVoter(voters []string) (string, bool) {
	if len(voters) <= max(n.MinVoters, leastVoters) {
		return "", false
	}
	timeouts, needed := evenElectionTimeouts, 1
	if len(voters)%2 == 1 {
		timeouts, needed = removalElectionTimeouts, 2
	}
	departed := n.silentFor(voters, timeouts)
	for _, id := range voters {
		if n.isLeaving(id) && !slices.Contains(departed, id) {
			departed = append(departed, id)
		}
	}
	if len(departed) < needed {
		return "", false
	}
	// The leader can't remove itself; its successor does.
	i := slices.IndexFunc(departed, func(id string) bool { return id != n.raft.ID() })
	if i < 0 {
		return "", false
	}
	return departed[i], true
}

// silentFor returns the members that have not replied for a number of election timeouts,
// the longest silent one first.
func (n *Node) silentFor(ids []string, electionTimeouts int) []string {
	limit := electionTimeouts * n.ticks(n.ElectionTimeout)
	var out []string
	for _, id := range ids {
		if id != n.raft.ID() && n.raft.TicksSinceReply(id) >= limit {
			out = append(out, id)
		}
	}
	slices.SortStableFunc(out, func(a, b string) int { return n.raft.TicksSinceReply(b) - n.raft.TicksSinceReply(a) })
	return out
}

// isReplaced reports whether a replica that stopped replying has a successor on the same VM
// that replies. The successor of a voter must be a voter, so that the number of voters
// never decreases.
func (n *Node) isReplaced(m bfraft.Membership, id string) bool {
	limit := n.ticks(n.ElectionTimeout)
	if id == n.raft.ID() || n.raft.TicksSinceReply(id) < limit {
		return false
	}
	successors := m.Voters
	if slices.Contains(m.Learners, id) {
		successors = slices.Concat(m.Voters, m.Learners)
	}
	for _, other := range successors {
		if other != id && VMOf(other) == VMOf(id) && n.raft.TicksSinceReply(other) < limit {
			return true
		}
	}
	return false
}
