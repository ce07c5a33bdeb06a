package bfraft

// handleChunk collects the chunks of a snapshot and restores it once it is complete.
func (r *Raft) handleChunk(m Message) {
	c := m.Chunk
	if c == nil {
		return
	}
	if t, ok := r.log.term(c.Index); c.Index <= r.log.committed || ok && t == c.Term {
		// The log already contains everything that the snapshot covers.
		r.commitTo(c.Index)
		r.incomingSnapshot = nil
		r.send(Message{Type: MsgAppendReply, To: m.From, Index: max(r.log.committed, c.Index)})
		return
	}
	if r.incomingSnapshot == nil || r.incomingSnapshot.Index != c.Index || r.incomingSnapshot.Term != c.Term {
		r.incomingSnapshot = &Snapshot{Index: c.Index, Term: c.Term, Membership: c.Membership.clone()}
	}
	if received := uint64(len(r.incomingSnapshot.Data)); c.Offset == received {
		r.incomingSnapshot.Data = append(r.incomingSnapshot.Data, c.Data...)
	}
	received := uint64(len(r.incomingSnapshot.Data))
	if received < c.Size {
		r.send(Message{Type: MsgSnapshotReply, To: m.From, Index: c.Index, HintIndex: received})
		return
	}
	s := r.incomingSnapshot
	r.incomingSnapshot, r.restoredSnapshot, r.snapshot = nil, s, s
	r.log.reset(s)
	r.send(Message{Type: MsgAppendReply, To: m.From, Index: s.Index})
}

// Compact records a persisted snapshot and removes the entries that it covers, except for
// the newest ones, which slow followers may still need. It returns the last removed index.
func (r *Raft) Compact(s *Snapshot) uint64 {
	if r.snapshot != nil && s.Index <= r.snapshot.Index || s.Index > r.log.applying {
		return r.log.base
	}
	r.snapshot = s
	r.log.compact(r.log.compactionIndex(s.Index, r.cfg.KeepEntries, r.cfg.KeepBytes))
	return r.log.base
}
