package bfraft

type pendingRead struct {
	request uint64
	// from is the replica that asked, or "" for a local request.
	from  string
	round uint64
}

// ReadIndex asks for an index that covers every entry committed before the call.
// The answer comes as a ReadState with the request id.
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

// addRead waits for a round that starts after the request, which shows that no
// other leader committed anything before it.
func (r *Raft) addRead(p pendingRead) {
	p.round = r.round + 1
	r.reads = append(r.reads, p)
	r.needRound = true
}

func (r *Raft) roundAcked() {
	r.quorumRound = max(r.quorumRound, r.quorumValue(r.round, func(p *progress) uint64 { return p.round }))
	r.releaseReads()
}

// releaseReads answers the reads whose round a majority acknowledged. The leader's
// commit index is current only once an entry of its own term is committed.
func (r *Raft) releaseReads() {
	if t, _ := r.log.term(r.log.committed); t != r.term {
		return
	}
	for len(r.reads) > 0 && r.reads[0].round <= r.quorumRound {
		r.answerRead(r.reads[0], r.log.committed)
		r.reads = r.reads[1:]
	}
}

func (r *Raft) failReads() {
	for _, p := range r.reads {
		r.answerRead(p, 0)
	}
	r.reads = nil
}

func (r *Raft) answerRead(p pendingRead, index uint64) {
	if p.from == "" {
		r.readStates = append(r.readStates, ReadState{Request: p.request, Index: index})
		return
	}
	r.send(Message{Type: MsgReadIndexReply, To: p.from, Round: p.request, Index: index})
}
