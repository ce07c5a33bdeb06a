package bfraft

import "slices"

// inLease tells whether a leader may hold a lease that counts on this replica. A
// restarted replica counts as having heard a leader at its start, as it may have
// acknowledged a heartbeat just before.
func (r *Raft) inLease() bool {
	return r.role == Leader || r.heard < r.cfg.ElectionTicks
}

// canCampaign is false for learners, removed replicas and empty logs.
func (r *Raft) canCampaign() bool {
	return r.role != Leader && r.log.last() > 0 && slices.Contains(r.log.membership.Voters, r.cfg.ID)
}

func (r *Raft) campaign(role Role) {
	r.retryTimer()
	r.role, r.leader = role, ""
	r.votes = map[string]bool{r.cfg.ID: true}
	m := Message{Type: MsgPreVote, Term: r.term + 1, Index: r.log.last(), LogTerm: r.log.lastTerm()}
	if role == Candidate {
		r.term++
		r.vote = r.cfg.ID
		m.Type, m.Transfer = MsgVote, r.transfer
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
	free := r.vote == m.From || r.vote == "" && r.leader == "" || m.Type == MsgPreVote && m.Term > r.term
	leased := r.inLease() && !m.Transfer
	if free && !leased && !r.competes(m) && r.log.last() > 0 && r.log.upToDate(m.Index, m.LogTerm) {
		reply.Reject = false
		// A pre-vote is for the term that the candidate would start.
		reply.Term = m.Term
		if m.Type == MsgVote {
			r.vote = m.From
			r.elapsed = 0
		}
	}
	r.send(reply)
}

// competes tells whether this replica's own campaign goes before the sender's. Of two
// replicas with equal logs that campaign at the same time the first by id wins;
// otherwise both would vote for themselves and wait for another timeout.
func (r *Raft) competes(m Message) bool {
	if m.Type != MsgPreVote || r.role != PreCandidate || r.cfg.ID > m.From {
		return false
	}
	return m.Term == r.term+1 && m.Index == r.log.last() && m.LogTerm == r.log.lastTerm()
}

func (r *Raft) handleVoteReply(m Message) {
	pre := m.Type == MsgPreVoteReply
	if pre && (r.role != PreCandidate || !m.Reject && m.Term != r.term+1) || !pre && r.role != Candidate {
		return
	}
	if _, ok := r.votes[m.From]; !ok {
		r.votes[m.From] = !m.Reject
	}
	r.countVotes()
}

// countVotes moves on where a majority has granted or refused the campaign.
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
		r.retryTimer()
	}
	return false
}

func (r *Raft) becomeLeader() {
	r.role, r.leader = Leader, r.cfg.ID
	r.elapsed, r.beat, r.transfer = 0, 0, false
	r.round, r.quorumRound, r.reads = 0, 0, nil
	r.progress = map[string]*progress{}
	r.syncProgress()
	// Most peers hold the same log, so their first appends don't wait for a probe.
	for _, p := range r.progress {
		p.state = streaming
	}
	_ = r.appendOwn(Entry{Kind: EntryNoOp}) // fails only for a membership entry
	r.needRound = true
}

// checkQuorum tells whether a majority answered since the last check.
func (r *Raft) checkQuorum() bool {
	active := 0
	for _, id := range r.log.membership.Voters {
		p := r.progress[id]
		if id == r.cfg.ID || p != nil && p.active {
			active++
		}
	}
	for _, p := range r.progress {
		p.active = false
	}
	return active >= r.quorum()
}

// Transfer hands leadership to the voter with the longest log that answers, and
// returns its id, or "" where there is none. Proposals fail until it ends.
func (r *Raft) Transfer() string {
	if r.role != Leader {
		return ""
	}
	best := ""
	for _, id := range r.peers() {
		p := r.progress[id]
		if !slices.Contains(r.log.membership.Voters, id) || p.silent > r.cfg.ElectionTicks/2 {
			continue
		}
		if best == "" || p.match > r.progress[best].match {
			best = id
		}
	}
	r.transferee, r.transferTicks = best, 0
	r.maybeTimeoutNow(best)
	return best
}

func (r *Raft) maybeTimeoutNow(id string) {
	if id == "" || id != r.transferee {
		return
	}
	if p := r.progress[id]; p != nil && p.match == r.log.last() {
		r.send(Message{Type: MsgTimeoutNow, To: id})
	}
}
