package bfraft

// pendingRead is a read index request that waits until a majority acknowledges its
// heartbeat round.
type pendingRead struct {
	request uint64
	// from is the replica that sent the request, or "" for a local request.
	from  string
	round uint64
}

// ReadIndex requests an index that covers every entry committed before the call.
// The result is returned as a ReadState with the request id.
func (r *Raft) ReadIndex(request uint64) {
	switch {
	case r.role == Leader:
		r.addRead(pendingRead{request: request})
	case r.leader == "":
		r.readStates = append(r.readStates, ReadState{Request: request})
	default:
		r.send(Message{Type: MsgReadIndex, To: r.leader, Round: request})
	}
}

func (r *Raft) handleReadIndex(m Message) {
	if r.role == Leader {
		r.addRead(pendingRead{request: m.Round, from: m.From})
		return
	}
	r.send(Message{Type: MsgReadIndexReply, To: m.From, Round: m.Round})
}

// addRead adds a request that waits for the next heartbeat round. Since that round starts
// after the request, its acknowledgement by a majority proves that no newer leader had
// committed an entry before the request.
func (r *Raft) addRead(p pendingRead) {
	p.round = r.heartbeatRound + 1
	r.pendingReads = append(r.pendingReads, p)
	r.roundDue = true
}

// updateQuorumRound recomputes the newest heartbeat round that a majority acknowledged.
func (r *Raft) updateQuorumRound() {
	r.quorumRound = max(r.quorumRound, r.quorumValue(r.heartbeatRound, func(p *progress) uint64 { return p.ackedRound }))
	r.answerConfirmedReads()
}

// answerConfirmedReads answers the reads whose heartbeat round a majority acknowledged. It
// answers none until an entry of the leader's own term is committed: before that, the
// commit index may be older than that of an earlier leader.
func (r *Raft) answerConfirmedReads() {
	if t, _ := r.log.term(r.log.committed); t != r.term {
		return
	}
	for len(r.pendingReads) > 0 && r.pendingReads[0].round <= r.quorumRound {
		r.answerRead(r.pendingReads[0], r.log.committed)
		r.pendingReads = r.pendingReads[1:]
	}
}

func (r *Raft) failReads() {
	for _, p := range r.pendingReads {
		r.answerRead(p, 0)
	}
	r.pendingReads = nil
}

func (r *Raft) answerRead(p pendingRead, index uint64) {
	if p.from == "" {
		r.readStates = append(r.readStates, ReadState{Request: p.request, Index: index})
		return
	}
	r.send(Message{Type: MsgReadIndexReply, To: p.from, Round: p.request, Index: index})
}
