package bfbackend

import (
	"cmp"
	"slices"
	"time"
)

const (
	// recordBytes and refreshBytes are upper estimates of encoded sizes; names are
	// at most 63 bytes long but typically below 20.
	recordBytes  = 72
	refreshBytes = 24
)

type (
	// Digest sums up the servers with a valid lease; equal tables have equal digests.
	Digest struct {
		_     struct{} `cbor:",toarray"`
		Count uint32
		Sum   uint64
	}

	// Delta is what changed after a version of the sender's table.
	Delta struct {
		Records   []Record
		Refreshes []Refresh
		// Since is the version that the delta builds on; a receiver that is behind it
		// missed an earlier delta.
		Since uint64
		// Upto is the version that the receiver has after applying the delta.
		Upto uint64
	}

	change struct {
		// position is the version at which the receiver first lacks the change. A
		// renewed server that the receiver doesn't know at all stands at its content's
		// version, else a delta cut by size would later send it as a mere refresh.
		position uint64
		refresh  *Refresh
		record   *Record
		bytes    int
	}
)

// Digest covers each server's content but not its sequence and load, which are
// always under way between some VMs.
func (t *Table) Digest(now time.Time) Digest {
	var d Digest
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for _, e := range s.entries {
			if !e.lapsed(now) {
				d.Count++
				d.Sum ^= e.content
			}
		}
		s.mu.RUnlock()
	}
	return d
}

// Changes returns what changed after the given version at servers whose origin
// is wanted, oldest first, up to the given number of bytes.
func (t *Table) Changes(now time.Time, since uint64, wanted func(origin string) bool, maxBytes int) Delta {
	// Versions are assigned under the shard's lock, so every version up to this
	// one is visible to the scan below.
	upto := t.version.Load()
	if upto == since {
		return Delta{Since: since, Upto: upto}
	}
	var list []change
	for i := range t.shards {
		list = t.shards[i].changes(list, now, since, wanted)
	}
	slices.SortFunc(list, func(a, b change) int { return cmp.Compare(a.position, b.position) })
	d := Delta{Since: since, Upto: upto}
	for i, c := range list {
		if maxBytes -= c.bytes; maxBytes < 0 && i > 0 {
			d.Upto = list[i-1].position
			break
		}
		if c.record != nil {
			d.Records = append(d.Records, *c.record)
		} else {
			d.Refreshes = append(d.Refreshes, *c.refresh)
		}
	}
	return d
}

func (s *shard) changes(list []change, now time.Time, since uint64, wanted func(string) bool) []change {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for key, e := range s.entries {
		if e.version <= since || e.lapsed(now) || !wanted(e.origin) {
			continue
		}
		c := change{position: e.version}
		if e.contentVersion > since {
			r := newRecord(e, now)
			c.position, c.record, c.bytes = e.contentVersion, &r, recordBytes+len(r.Service)+len(r.Region)+len(r.FailureDomain)+len(r.Origin)
		} else {
			c.refresh, c.bytes = &Refresh{Key: key, LoadMilli: milli(e.a.Load), Sequence: e.a.Sequence,
				AgeMillis: ageMillis(now.Sub(e.heardAt))}, refreshBytes
		}
		list = append(list, c)
	}
	return list
}

// Page returns up to n records with keys above the cursor, in order of keys, and
// the cursor for the next page; more is false after the last one.
func (t *Table) Page(now time.Time, after uint64, n int) (page []Record, next uint64, more bool) {
	type keyed struct {
		key uint64
		r   Record
	}
	var all []keyed
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for key, e := range s.entries {
			if key > after && !e.lapsed(now) {
				all = append(all, keyed{key, newRecord(e, now)})
			}
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(all, func(a, b keyed) int { return cmp.Compare(a.key, b.key) })
	for i, k := range all {
		if i == n {
			return page, next, true
		}
		page, next = append(page, k.r), k.key
	}
	return page, next, false
}
