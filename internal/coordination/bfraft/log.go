package bfraft

import (
	"slices"

	"github.com/rotisserie/eris"

	"briarferry/internal/state/bfcodec"
)

// raftLog holds the entries after base. Everything up to base is covered by the
// newest snapshot.
type raftLog struct {
	base           uint64
	baseTerm       uint64
	baseMembership Membership
	entries        []Entry
	// stable is the last index that is persisted.
	stable    uint64
	committed uint64
	// handed is the last index that was given out to be applied.
	handed uint64

	membership      Membership
	membershipIndex uint64
}

func newLog(snap *Snapshot, entries []Entry) (*raftLog, error) {
	l := &raftLog{}
	if snap != nil {
		l.reset(snap)
	}
	for _, e := range entries {
		if e.Index <= l.base {
			continue
		}
		if e.Index != l.last()+1 {
			return nil, eris.Errorf("bfraft: entry %d follows entry %d", e.Index, l.last())
		}
		if err := l.append(e); err != nil {
			return nil, err
		}
	}
	l.stable = l.last()
	return l, nil
}

func (l *raftLog) reset(snap *Snapshot) {
	*l = raftLog{
		base: snap.Index, baseTerm: snap.Term, baseMembership: snap.Membership.clone(),
		stable: snap.Index, committed: snap.Index, handed: snap.Index,
		membership: snap.Membership.clone(), membershipIndex: snap.Index,
	}
}

func (l *raftLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at the index, or false where it is not held.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *raftLog) append(e Entry) error {
	if e.Kind == EntryMembership {
		var m Membership
		if err := bfcodec.Unmarshal(e.Data, &m); err != nil {
			return eris.Wrapf(err, "bfraft: membership entry %d", e.Index)
		}
		l.membership, l.membershipIndex = m, e.Index
	}
	l.entries = append(l.entries, e)
	return nil
}

// truncate drops the entry at the index and all after it.
func (l *raftLog) truncate(index uint64) {
	// The clip keeps slices that were handed out for persistence unchanged.
	l.entries = slices.Clip(l.entries[:index-l.base-1])
	l.stable = min(l.stable, index-1)
	if l.membershipIndex >= index {
		l.membership, l.membershipIndex = l.membershipAt(index - 1)
	}
}

func (l *raftLog) membershipAt(index uint64) (Membership, uint64) {
	for i := min(index, l.last()); i > l.base; i-- {
		e := l.entries[i-l.base-1]
		if e.Kind != EntryMembership {
			continue
		}
		var m Membership
		if bfcodec.Unmarshal(e.Data, &m) == nil {
			return m, i
		}
	}
	return l.baseMembership.clone(), l.base
}

// slice returns entries from the index on, at least one and then up to the byte limit.
func (l *raftLog) slice(from, to uint64, maxBytes int) []Entry {
	if from > to {
		return nil
	}
	part := l.entries[from-l.base-1 : to-l.base]
	size := 0
	for i, e := range part {
		size += len(e.Data) + entryOverhead
		if i > 0 && size > maxBytes {
			return slices.Clip(part[:i])
		}
	}
	return slices.Clip(part)
}

// compact drops entries up to the index, which must be committed and handed out.
func (l *raftLog) compact(index uint64) {
	if index <= l.base || index > l.handed {
		return
	}
	l.baseMembership, _ = l.membershipAt(index)
	l.baseTerm, _ = l.term(index)
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base = index
}

// keepFrom returns the index up to which entries may be dropped, where a number of
// entries before the snapshot's index is kept within a byte limit.
func (l *raftLog) keepFrom(index, count uint64, bytes int) uint64 {
	for ; index > l.base && count > 0; index, count = index-1, count-1 {
		if bytes -= len(l.entries[index-l.base-1].Data) + entryOverhead; bytes < 0 {
			break
		}
	}
	return index
}

// conflictHint returns the last index up to the given one whose term is at most
// the given term, so that one rejection skips a whole run of conflicting entries.
func (l *raftLog) conflictHint(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	for index > l.base {
		t, _ := l.term(index)
		if t <= term {
			return index, t
		}
		index--
	}
	t, _ := l.term(index)
	return index, t
}

func (l *raftLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}
