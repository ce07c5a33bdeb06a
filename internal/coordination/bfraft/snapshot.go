package bfraft

// handleChunk collects the chunks of a snapshot and restores it when complete.
func (r *Raft) handleChunk(m Message) {
	c := m.Chunk
	if c == nil {
		return
	}
	if t, ok := r.log.term(c.Index); c.Index <= r.log.committed || ok && t == c.Term {
		// The log already holds what the snapshot covers.
		r.commitTo(c.Index)
		r.incoming = nil
		r.send(Message{Type: MsgAppendReply, To: m.From, Index: max(r.log.committed, c.Index)})
		return
	}
	if r.incoming == nil || r.incoming.Index != c.Index || r.incoming.Term != c.Term {
		r.incoming = &Snapshot{Index: c.Index, Term: c.Term, Membership: c.Membership.clone()}
	}
	if have := uint64(len(r.incoming.Data)); c.Offset == have {
		r.incoming.Data = append(r.incoming.Data, c.Data...)
	}
	have := uint64(len(r.incoming.Data))
	if have < c.Size {
		r.send(Message{Type: MsgSnapshotReply, To: m.From, Index: c.Index, HintIndex: have})
		return
	}
	s := r.incoming
	r.incoming, r.restored, r.snapshot = nil, s, s
	r.log.reset(s)
	r.send(Message{Type: MsgAppendReply, To: m.From, Index: s.Index})
}

// Compact tells that the snapshot is persisted; entries that it covers are dropped
// except for the newest, which slow followers may still need. It returns the last
// dropped index.
func (r *Raft) Compact(s *Snapshot) uint64 {
	if r.snapshot != nil && s.Index <= r.snapshot.Index || s.Index > r.log.handed {
		return r.log.base
	}
	r.snapshot = s
	r.log.compact(r.log.keepFrom(s.Index, r.cfg.KeepEntries, r.cfg.KeepBytes))
	return r.log.base
}
