package bfraft

import "slices"

// inLease reports whether a leader may hold a lease that relies on this replica refusing
// votes. A restarted replica counts as in a lease for one election timeout, as it may
// have acknowledged a heartbeat just before the restart.
func (r *Raft) inLease() bool {
	return r.role == Leader || r.leaderElapsed < r.cfg.ElectionTicks
}

// canCampaign reports whether this replica may start an election. Learners, removed
// replicas and replicas with an empty log may not.
func (r *Raft) canCampaign() bool {
	return r.role != Leader && r.log.last() > 0 && slices.Contains(r.log.membership.Voters, r.cfg.ID)
}

// BePassive keeps a replica that is about to stop from starting elections. It still votes, and
// accepts a leadership transfer.
func (r *Raft) BePassive() { r.passive = true }

// campaign requests pre-votes as a PreCandidate, or votes for a new term as a Candidate.
func (r *Raft) campaign(role Role) {
	if r.transferCampaign {
		// The others hold their votes back from any other replica for an election timeout, so
		// an earlier end of this campaign would gain nothing.
		r.resetElectionTimer()
	} else {
		r.resetRetryTimer()
	}
	r.role, r.leader = role, ""
	r.votes = map[string]bool{r.cfg.ID: true}
	m := Message{Type: MsgPreVote, Term: r.term + 1, Index: r.log.last(), LogTerm: r.log.lastTerm()}
	if role == Candidate {
		r.term++
		r.vote = r.cfg.ID
		m.Type, m.Transfer = MsgVote, r.transferCampaign
	}
	if r.countVotes() {
		return
	}
	for _, id := range r.log.membership.Voters {
		if id != r.cfg.ID {
			m.To = id
			r.send(m)
		}
	}
}

func (r *Raft) handleVote(m Message) {
	reply := Message{Type: MsgVoteReply, To: m.From, Reject: true}
	if m.Type == MsgPreVote {
		reply.Type = MsgPreVoteReply
	}
	canVote := r.vote == m.From || r.vote == "" && r.leader == "" || m.Type == MsgPreVote && m.Term > r.term
	leased := r.inLease() && !m.Transfer
	if canVote && !leased && !r.prefersOwnCampaign(m) && r.log.last() > 0 && r.log.isUpToDate(m.Index, m.LogTerm) {
		reply.Reject = false
		// A pre-vote is granted for the term that the candidate would start.
		reply.Term = m.Term
		if m.Type == MsgVote {
			r.vote = m.From
			r.electionElapsed = 0
		}
	}
	r.send(reply)
}

// prefersOwnCampaign reports whether this replica's pre-vote campaign takes precedence
// over the sender's. If two replicas with equal logs campaign at the same time, the one
// with the lower id wins; otherwise both would vote for themselves and wait for another
// timeout.
func (r *Raft) prefersOwnCampaign(m Message) bool {
	if m.Type != MsgPreVote || r.role != PreCandidate || r.cfg.ID > m.From {
		return false
	}
	return m.Term == r.term+1 && m.Index == r.log.last() && m.LogTerm == r.log.lastTerm()
}

func (r *Raft) handleVoteReply(m Message) {
	preVote := m.Type == MsgPreVoteReply
	if preVote && (r.role != PreCandidate || !m.Reject && m.Term != r.term+1) || !preVote && r.role != Candidate {
		return
	}
	if _, ok := r.votes[m.From]; !ok {
		r.votes[m.From] = !m.Reject
	}
	r.countVotes()
}

// countVotes advances or ends a campaign that a majority has granted or rejected. It
// reports whether a majority has granted it.
func (r *Raft) countVotes() bool {
	granted, refused := 0, 0
	for _, id := range r.log.membership.Voters {
		switch v, ok := r.votes[id]; {
		case ok && v:
			granted++
		case ok:
			refused++
		}
	}
	switch {
	case granted >= r.quorum() && r.role == PreCandidate:
		r.campaign(Candidate)
		return true
	case granted >= r.quorum():
		r.becomeLeader()
		return true
	case refused >= r.quorum():
		r.becomeFollower(r.term, "")
		r.resetRetryTimer()
	}
	return false
}

func (r *Raft) becomeLeader() {
	r.role, r.leader = Leader, r.cfg.ID
	r.electionElapsed, r.heartbeatElapsed, r.transferCampaign = 0, 0, false
	r.heartbeatRound, r.quorumRound, r.pendingReads = 0, 0, nil
	r.progress = map[string]*progress{}
	r.updatePeers()
	// Most peers have the same log, so appends to them start without a probe.
	for _, p := range r.progress {
		p.state = pipelining
	}
	r.inheritSilence()
	_ = r.appendOwn(Entry{Kind: EntryNoOp}) // fails only for a membership entry
	r.roundDue = true
}

// checkQuorum reports whether a majority replied since the last check.
func (r *Raft) checkQuorum() bool {
	active := 0
	for _, id := range r.log.membership.Voters {
		p := r.progress[id]
		if id == r.cfg.ID || p != nil && p.recentlyActive {
			active++
		}
	}
	for _, p := range r.progress {
		p.recentlyActive = false
	}
	return active >= r.quorum()
}

// Transfer starts a leadership transfer to the voter that replies and has the longest log.
// It returns the voter's id, or "" if there is none. Proposals fail until the transfer
// ends.
func (r *Raft) Transfer() string {
	if r.role != Leader {
		return ""
	}
	best := ""
	for _, id := range r.peers() {
		p := r.progress[id]
		if !slices.Contains(r.log.membership.Voters, id) || p.ticksSinceReply > r.cfg.ElectionTicks/2 {
			continue
		}
		if best == "" || p.match > r.progress[best].match {
			best = id
		}
	}
	r.transferee, r.transferElapsed = best, 0
	r.maybeSendTimeoutNow(best)
	return best
}

// maybeSendTimeoutNow tells the target of a leadership transfer to start its election once
// it has the whole log.
func (r *Raft) maybeSendTimeoutNow(id string) {
	if id == "" || id != r.transferee {
		return
	}
	if p := r.progress[id]; p != nil && p.match == r.log.last() {
		r.send(Message{Type: MsgTimeoutNow, To: id})
	}
}
