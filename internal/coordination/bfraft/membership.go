package bfraft

import (
	"slices"

	"briarferry/internal/state/bfcodec"
)

// maxLearnerLagEntries is the number of entries that a learner may lack when it is promoted.
const maxLearnerLagEntries = 64

func membershipEntry(m Membership) (Entry, error) {
	data, err := bfcodec.Marshal(m)
	if err != nil {
		return Entry{}, err
	}
	return Entry{Kind: EntryMembership, Data: data}, nil
}

// ProposeChange appends a membership change and returns its index. A change takes effect
// as soon as it is in the log, so the next one must wait until it is committed, and a new
// leader must first commit an entry of its own term.
func (r *Raft) ProposeChange(c Change) (uint64, error) {
	if r.role != Leader || r.transferee != "" {
		return 0, ErrNotLeader
	}
	if t, _ := r.log.term(r.log.committed); r.ChangePending() || t != r.term {
		return 0, ErrChangePending
	}
	next, err := r.nextMembership(c)
	if err != nil {
		return 0, err
	}
	e, err := membershipEntry(next)
	if err != nil {
		return 0, err
	}
	if err := r.appendOwn(e); err != nil {
		return 0, err
	}
	r.updatePeers()
	return r.log.last(), nil
}

// nextMembership returns the membership that results from the change.
func (r *Raft) nextMembership(c Change) (Membership, error) {
	m := r.log.membership.clone()
	sameID := func(id string) bool { return id == c.ID }
	switch {
	case c.Kind == AddLearner && c.ID != "" && !m.Contains(c.ID):
		m.Learners = append(m.Learners, c.ID)
	case c.Kind == Promote && slices.Contains(m.Learners, c.ID):
		if !r.CaughtUp(c.ID) {
			return m, ErrNotCaughtUp
		}
		m.Learners = slices.DeleteFunc(m.Learners, sameID)
		m.Voters = append(m.Voters, c.ID)
	case c.Kind == Remove && m.Contains(c.ID) && c.ID != r.cfg.ID:
		m.Learners = slices.DeleteFunc(m.Learners, sameID)
		m.Voters = slices.DeleteFunc(m.Voters, sameID)
	default:
		return m, ErrInvalidChange
	}
	slices.Sort(m.Voters)
	slices.Sort(m.Learners)
	return m, nil
}

// CaughtUp reports whether a peer replies and lacks at most maxLearnerLagEntries entries.
func (r *Raft) CaughtUp(id string) bool {
	p := r.progress[id]
	return p != nil && p.state == pipelining && p.ticksSinceReply <= r.cfg.ElectionTicks && p.match+maxLearnerLagEntries >= r.log.last() && p.match > 0
}
