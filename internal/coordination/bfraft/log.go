package bfraft

import (
	"slices"

	"github.com/rotisserie/eris"

	"briarferry/internal/state/bfcodec"
)

// raftLog holds the entries with an index above base. The newest snapshot covers
// everything up to base.
type raftLog struct {
	base           uint64
	baseTerm       uint64
	baseMembership Membership
	entries        []Entry
	// stable is the last persisted index.
	stable    uint64
	committed uint64
	// applying is the last index that was returned for applying.
	applying uint64

	// membership is the newest one in the log, committed or not, and membershipIndex the
	// index of its entry.
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
			return nil, eris.Errorf("bfraft: gap in the log: entry %d follows entry %d", e.Index, l.last())
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
		stable: snap.Index, committed: snap.Index, applying: snap.Index,
		membership: snap.Membership.clone(), membershipIndex: snap.Index,
	}
}

func (l *raftLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at the index, or false if the log doesn't hold it.
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
			return eris.Wrapf(err, "bfraft: decode membership entry %d", e.Index)
		}
		l.membership, l.membershipIndex = m, e.Index
	}
	l.entries = append(l.entries, e)
	return nil
}

// truncate removes the entry at the index and all later ones.
func (l *raftLog) truncate(index uint64) {
	// Without spare capacity, later appends can't overwrite slices that Ready returned.
	l.entries = slices.Clip(l.entries[:index-l.base-1])
	l.stable = min(l.stable, index-1)
	if l.membershipIndex >= index {
		l.membership, l.membershipIndex = l.membershipAt(index - 1)
	}
}

// membershipAt returns the membership in force after the entry at the index, and the index
// of the entry that set it, or base.
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

// slice returns the entries between the indexes from and to, both included. It returns no
// more than maxBytes, but at least one entry.
func (l *raftLog) slice(from, to uint64, maxBytes int) []Entry {
	if from > to {
		return nil
	}
	part := l.entries[from-l.base-1 : to-l.base]
	size := 0
	for i, e := range part {
		size += len(e.Data) + entryOverheadBytes
		if i > 0 && size > maxBytes {
			return slices.Clip(part[:i])
		}
	}
	return slices.Clip(part)
}

// compact removes the entries up to the index, which must have been returned for applying.
func (l *raftLog) compact(index uint64) {
	if index <= l.base || index > l.applying {
		return
	}
	l.baseMembership, _ = l.membershipAt(index)
	l.baseTerm, _ = l.term(index)
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base = index
}

// compactionIndex returns the index up to which entries can be removed if count entries up
// to the given index are to be kept, or fewer where they exceed the byte limit.
func (l *raftLog) compactionIndex(index, count uint64, bytes int) uint64 {
	for ; index > l.base && count > 0; index, count = index-1, count-1 {
		if bytes -= len(l.entries[index-l.base-1].Data) + entryOverheadBytes; bytes < 0 {
			break
		}
	}
	return index
}

// conflictHint returns the index and term of the last entry up to the given index whose
// term is at most the given term, so that one rejection skips all consecutive entries that
// conflict.
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

// isUpToDate reports whether a log that ends with the given index and term is at least as
// up to date as this one.
func (l *raftLog) isUpToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}
