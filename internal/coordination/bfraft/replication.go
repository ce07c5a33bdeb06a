package bfraft

const (
	// probing sends one append at a time until the peer's log is known to match.
	probing progressState = iota
	// pipelining sends further appends before the earlier ones are acknowledged.
	pipelining
	// sendingSnapshot sends a snapshot in chunks.
	sendingSnapshot
)

type (
	// progressState is how the leader replicates the log to a peer.
	progressState uint8

	// progress is the state of the replication to one peer.
	progress struct {
		// match is the last index up to which the peer's log is known to match.
		match uint64
		// next is the index of the next entry to send.
		next  uint64
		state progressState
		// inflight holds the last index of each unacknowledged append.
		inflight []uint64
		// awaitingReply is true while a probe or a snapshot chunk is unacknowledged.
		awaitingReply bool
		// ticksSinceReply is the number of ticks since the peer's last reply to this leader, or
		// since the election.
		ticksSinceReply int
		// silentBefore is the number of ticks for which the peer had not replied to earlier
		// leaders. It is 0 once the peer replies to this one.
		silentBefore int
		// stalledHeartbeats is the number of heartbeat replies since an append or a
		// snapshot chunk was last acknowledged or considered lost.
		stalledHeartbeats int
		// recentlyActive is true if the peer replied since the last quorum check.
		recentlyActive bool
		// ackedRound is the newest heartbeat round that the peer acknowledged.
		ackedRound     uint64
		snapshot       *Snapshot
		snapshotOffset uint64
		// chunkResent is true after a chunk was sent again for lack of a reply.
		chunkResent bool
	}
)

// maxStalledHeartbeats is the number of heartbeat replies without an acknowledgement after
// which unacknowledged appends are considered lost. With heartbeats every 100 ms this is
// more than two round trips between the most distant regions.
const maxStalledHeartbeats = 4

// updatePeers adds and removes the progress of peers to match the membership.
func (r *Raft) updatePeers() {
	m := r.log.membership
	for _, ids := range [][]string{m.Voters, m.Learners} {
		for _, id := range ids {
			if id != r.cfg.ID && r.progress[id] == nil {
				r.progress[id] = &progress{next: r.log.last() + 1, recentlyActive: true}
			}
		}
	}
	for id := range r.progress {
		if !m.Contains(id) {
			delete(r.progress, id)
		}
	}
}

// queueLeaderMessages queues the heartbeats, appends and snapshot chunks that a leader has
// to send.
func (r *Raft) queueLeaderMessages() {
	if r.role != Leader {
		return
	}
	if r.roundDue {
		r.startHeartbeatRound()
	}
	for _, id := range r.peers() {
		r.sendAppends(id, r.progress[id])
	}
}

func (r *Raft) startHeartbeatRound() {
	r.roundDue, r.heartbeatElapsed = false, 0
	r.heartbeatRound++
	silent := r.silentMembers()
	for _, id := range r.peers() {
		p := r.progress[id]
		r.send(Message{Type: MsgHeartbeat, To: id, Commit: min(p.match, r.log.committed), Round: r.heartbeatRound, Silent: silent})
	}
	r.updateQuorumRound()
}

func (r *Raft) sendAppends(id string, p *progress) {
	for !p.awaitingReply && p.state != sendingSnapshot && r.needsAppend(p) && len(p.inflight) < r.cfg.MaxInflight {
		prev, ok := r.log.term(p.next - 1)
		if !ok {
			r.startSnapshot(p)
			break
		}
		entries := r.log.slice(p.next, r.log.last(), r.cfg.MaxMessageBytes)
		r.send(Message{Type: MsgAppend, To: id, Index: p.next - 1, LogTerm: prev, Entries: entries, Commit: r.log.committed})
		if p.state == probing {
			p.awaitingReply = true
			return
		}
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
	if p.state == sendingSnapshot && !p.awaitingReply {
		r.sendChunk(id, p)
	}
}

// needsAppend reports whether an append should be sent to the peer. A probe is sent even
// without entries: a replica that joins an idle group would otherwise wait for the next
// command.
func (r *Raft) needsAppend(p *progress) bool {
	return p.next <= r.log.last() || p.state == probing && p.match < r.log.last()
}

func (r *Raft) startSnapshot(p *progress) {
	if r.snapshot == nil {
		return
	}
	p.state, p.snapshot, p.snapshotOffset, p.inflight = sendingSnapshot, r.snapshot, 0, nil
}

func (r *Raft) sendChunk(id string, p *progress) {
	s := p.snapshot
	size := uint64(len(s.Data))
	end := min(p.snapshotOffset+uint64(r.cfg.MaxMessageBytes), size)
	r.send(Message{Type: MsgSnapshot, To: id, Commit: r.log.committed, Chunk: &Chunk{
		Index: s.Index, Term: s.Term, Membership: s.Membership.clone(), Size: size,
		Offset: p.snapshotOffset, Data: s.Data[p.snapshotOffset:end],
	}})
	p.awaitingReply = true
}

func (r *Raft) stepFromFollower(m Message) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.recentlyActive, p.ticksSinceReply, p.silentBefore = true, 0, 0
	switch m.Type {
	case MsgAppendReply:
		r.handleAppendReply(m, p)
	case MsgSnapshotReply:
		r.handleSnapshotReply(m, p)
	case MsgHeartbeatReply:
		r.handleHeartbeatReply(m, p)
	}
}

// handleSnapshotReply continues with the chunk that the follower requests. A follower that
// restarted has lost the earlier chunks and requests a lower offset. Such a request counts
// only after a chunk was sent again, so that delayed replies don't repeat parts of a
// transfer that makes progress.
func (r *Raft) handleSnapshotReply(m Message, p *progress) {
	if p.state != sendingSnapshot || m.Index != p.snapshot.Index || m.HintIndex >= uint64(len(p.snapshot.Data)) {
		return
	}
	if m.HintIndex > p.snapshotOffset || m.HintIndex < p.snapshotOffset && p.chunkResent {
		p.snapshotOffset, p.awaitingReply, p.stalledHeartbeats, p.chunkResent = m.HintIndex, false, 0, false
	}
}

func (r *Raft) handleHeartbeatReply(m Message, p *progress) {
	p.ackedRound = max(p.ackedRound, m.Round)
	r.updateQuorumRound()
	if p.match == r.log.last() && p.state == pipelining {
		p.stalledHeartbeats = 0
		return
	}
	if p.stalledHeartbeats++; p.stalledHeartbeats < maxStalledHeartbeats {
		return
	}
	p.stalledHeartbeats, p.awaitingReply, p.chunkResent = 0, false, true
	if p.state == pipelining {
		r.startProbe(p, p.match+1)
	}
}

func (r *Raft) startProbe(p *progress, next uint64) {
	p.state, p.next, p.inflight, p.awaitingReply, p.snapshot = probing, max(next, p.match+1), nil, false, nil
}

func (r *Raft) handleAppendReply(m Message, p *progress) {
	if m.Reject {
		r.handleAppendReject(m, p)
		return
	}
	if m.Index > r.log.last() {
		return
	}
	for len(p.inflight) > 0 && p.inflight[0] <= m.Index {
		p.inflight = p.inflight[1:]
	}
	if m.Index > p.match {
		p.match, p.stalledHeartbeats = m.Index, 0
	}
	p.next = max(p.next, p.match+1)
	if p.state == probing || p.state == sendingSnapshot && p.match >= p.snapshot.Index {
		p.state, p.awaitingReply, p.snapshot, p.inflight = pipelining, false, nil, nil
		p.next = p.match + 1
	}
	r.maybeCommit()
	r.maybeSendTimeoutNow(m.From)
}

// handleAppendReject probes the peer again at the last index where the logs may match. The
// rejection carries the rejected index, so that delayed rejections are recognized.
func (r *Raft) handleAppendReject(m Message, p *progress) {
	if p.state == sendingSnapshot || m.Index <= p.match {
		return
	}
	if p.state == probing && m.Index != p.next-1 {
		return
	}
	hint, _ := r.log.conflictHint(min(m.HintIndex, m.Index-1), m.HintTerm)
	r.startProbe(p, hint+1)
}

// maybeCommit advances the commit index to the last entry that a majority persisted, if
// that entry has the leader's own term.
func (r *Raft) maybeCommit() {
	index := r.quorumValue(r.log.stable, func(p *progress) uint64 { return p.match })
	if t, ok := r.log.term(index); !ok || t != r.term || index <= r.log.committed {
		return
	}
	r.log.committed = index
	r.answerConfirmedReads()
}

func (r *Raft) stepFromLeader(m Message) {
	if r.role == Leader {
		return
	}
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(m.Term, m.From)
	}
	r.electionElapsed, r.leaderElapsed, r.lastLeader = 0, 0, m.From
	switch m.Type {
	case MsgHeartbeat:
		r.reportedSilence = m.Silent
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
