package bfraft

const (
	// probing sends one append at a time until the logs match.
	probing replication = iota
	// streaming sends appends ahead of their acknowledgements.
	streaming
	// installing sends a snapshot.
	installing
)

type (
	replication uint8

	// progress is what the leader knows of a peer.
	progress struct {
		match uint64
		next  uint64
		state replication
		// inflight holds the last index of each append that is not acknowledged.
		inflight []uint64
		// waiting is true while a probe or a snapshot chunk awaits its reply.
		waiting bool
		// silent is the number of ticks since the peer's last reply.
		silent int
		// idle is the number of heartbeat replies since the last progress.
		idle   int
		active bool
		round  uint64
		snap   *Snapshot
		offset uint64
		// resent is true after a chunk without a reply was sent again.
		resent bool
	}
)

// maxIdleBeats is the number of heartbeat replies without an acknowledgement after
// which outstanding appends count as lost. At 100 ms a beat this is more than two
// round trips between the farthest regions.
const maxIdleBeats = 4

// syncProgress makes the leader's peers those of the membership.
func (r *Raft) syncProgress() {
	m := r.log.membership
	for _, ids := range [][]string{m.Voters, m.Learners} {
		for _, id := range ids {
			if id != r.cfg.ID && r.progress[id] == nil {
				r.progress[id] = &progress{next: r.log.last() + 1, active: true}
			}
		}
	}
	for id := range r.progress {
		if !m.Contains(id) {
			delete(r.progress, id)
		}
	}
}

// flush turns pending work of a leader into messages.
func (r *Raft) flush() {
	if r.role != Leader {
		return
	}
	if r.needRound {
		r.startRound()
	}
	for _, id := range r.peers() {
		r.sendAppends(id, r.progress[id])
	}
}

func (r *Raft) startRound() {
	r.needRound, r.beat = false, 0
	r.round++
	for _, id := range r.peers() {
		p := r.progress[id]
		r.send(Message{Type: MsgHeartbeat, To: id, Commit: min(p.match, r.log.committed), Round: r.round})
	}
	r.roundAcked()
}

func (r *Raft) sendAppends(id string, p *progress) {
	for !p.waiting && p.state != installing && r.hasAppend(p) && len(p.inflight) < r.cfg.MaxInflight {
		prev, ok := r.log.term(p.next - 1)
		if !ok {
			r.startInstall(p)
			break
		}
		entries := r.log.slice(p.next, r.log.last(), r.cfg.MaxMessageBytes)
		r.send(Message{Type: MsgAppend, To: id, Index: p.next - 1, LogTerm: prev, Entries: entries, Commit: r.log.committed})
		if p.state == probing {
			p.waiting = true
			return
		}
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
	if p.state == installing && !p.waiting {
		r.sendChunk(id, p)
	}
}

// hasAppend tells whether the peer needs entries. A probe goes out even without
// entries: a replica that joins an idle group would otherwise wait for the next command.
func (r *Raft) hasAppend(p *progress) bool {
	return p.next <= r.log.last() || p.state == probing && p.match < r.log.last()
}

func (r *Raft) startInstall(p *progress) {
	if r.snapshot == nil {
		return
	}
	p.state, p.snap, p.offset, p.inflight = installing, r.snapshot, 0, nil
}

func (r *Raft) sendChunk(id string, p *progress) {
	s := p.snap
	size := uint64(len(s.Data))
	end := min(p.offset+uint64(r.cfg.MaxMessageBytes), size)
	r.send(Message{Type: MsgSnapshot, To: id, Commit: r.log.committed, Chunk: &Chunk{
		Index: s.Index, Term: s.Term, Membership: s.Membership.clone(), Size: size,
		Offset: p.offset, Data: s.Data[p.offset:end],
	}})
	p.waiting = true
}

func (r *Raft) stepFromFollower(m Message) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.active, p.silent = true, 0
	switch m.Type {
	case MsgAppendReply:
		r.handleAppendReply(m, p)
	case MsgSnapshotReply:
		r.handleSnapshotReply(m, p)
	case MsgHeartbeatReply:
		r.handleHeartbeatReply(m, p)
	}
}

// handleSnapshotReply moves on to the chunk that the follower wants. A follower that
// restarted lost the chunks before; its lower position counts only after a chunk was
// sent again, so that late replies don't repeat parts of a working transfer.
func (r *Raft) handleSnapshotReply(m Message, p *progress) {
	if p.state != installing || m.Index != p.snap.Index || m.HintIndex >= uint64(len(p.snap.Data)) {
		return
	}
	if m.HintIndex > p.offset || m.HintIndex < p.offset && p.resent {
		p.offset, p.waiting, p.idle, p.resent = m.HintIndex, false, 0, false
	}
}

func (r *Raft) handleHeartbeatReply(m Message, p *progress) {
	p.round = max(p.round, m.Round)
	r.roundAcked()
	if p.match == r.log.last() && p.state == streaming {
		p.idle = 0
		return
	}
	if p.idle++; p.idle < maxIdleBeats {
		return
	}
	p.idle, p.waiting, p.resent = 0, false, true
	if p.state == streaming {
		r.startProbe(p, p.match+1)
	}
}

func (r *Raft) startProbe(p *progress, next uint64) {
	p.state, p.next, p.inflight, p.waiting, p.snap = probing, max(next, p.match+1), nil, false, nil
}

func (r *Raft) handleAppendReply(m Message, p *progress) {
	if m.Reject {
		r.handleReject(m, p)
		return
	}
	if m.Index > r.log.last() {
		return
	}
	for len(p.inflight) > 0 && p.inflight[0] <= m.Index {
		p.inflight = p.inflight[1:]
	}
	if m.Index > p.match {
		p.match, p.idle = m.Index, 0
	}
	p.next = max(p.next, p.match+1)
	if p.state == probing || p.state == installing && p.match >= p.snap.Index {
		p.state, p.waiting, p.snap, p.inflight = streaming, false, nil, nil
		p.next = p.match + 1
	}
	r.maybeCommit()
	r.maybeTimeoutNow(m.From)
}

// handleReject moves back to the newest position where the logs may match. Index
// names the rejected position, so that late rejections are recognized.
func (r *Raft) handleReject(m Message, p *progress) {
	if p.state == installing || m.Index <= p.match {
		return
	}
	if p.state == probing && m.Index != p.next-1 {
		return
	}
	hint, _ := r.log.conflictHint(min(m.HintIndex, m.Index-1), m.HintTerm)
	r.startProbe(p, hint+1)
}

// maybeCommit commits entries of the leader's own term that a majority persisted.
func (r *Raft) maybeCommit() {
	index := r.quorumValue(r.log.stable, func(p *progress) uint64 { return p.match })
	if t, ok := r.log.term(index); !ok || t != r.term || index <= r.log.committed {
		return
	}
	r.log.committed = index
	r.releaseReads()
}

func (r *Raft) stepFromLeader(m Message) {
	if r.role == Leader {
		return
	}
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(m.Term, m.From)
	}
	r.elapsed, r.heard = 0, 0
	switch m.Type {
	case MsgHeartbeat:
		r.commitTo(m.Commit)
		r.send(Message{Type: MsgHeartbeatReply, To: m.From, Round: m.Round})
	case MsgAppend:
		r.handleAppend(m)
	case MsgSnapshot:
		r.handleChunk(m)
	}
}

func (r *Raft) commitTo(index uint64) {
	r.log.committed = max(r.log.committed, min(index, r.log.last()))
}

func (r *Raft) handleAppend(m Message) {
	if m.Index < r.log.committed {
		r.send(Message{Type: MsgAppendReply, To: m.From, Index: r.log.committed})
		return
	}
	if t, ok := r.log.term(m.Index); !ok || t != m.LogTerm {
		hint, term := r.log.conflictHint(m.Index, m.LogTerm)
		r.send(Message{Type: MsgAppendReply, To: m.From, Index: m.Index, Reject: true, HintIndex: hint, HintTerm: term})
		return
	}
	last := m.Index
	for _, e := range m.Entries {
		t, ok := r.log.term(e.Index)
		if ok && t != e.Term {
			if e.Index <= r.log.committed {
				return // a committed entry is never replaced
			}
			r.log.truncate(e.Index)
			ok = false
		}
		if !ok && r.log.append(e) != nil {
			break
		}
		last = e.Index
	}
	r.commitTo(min(m.Commit, last))
	r.send(Message{Type: MsgAppendReply, To: m.From, Index: last})
}
