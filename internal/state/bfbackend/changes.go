package bfbackend

import (
	"cmp"
	"slices"
	"time"
)

const (
	// recordBytes and refreshBytes are upper estimates of the encoded sizes. The
	// lengths of the names are added to recordBytes; a name has at most 63 bytes, but
	// typically fewer than 20.
	recordBytes  = 72
	refreshBytes = 24
)

type (
	// Digest is a checksum over the servers with a valid lease; equal tables have
	// equal digests.
	Digest struct {
		_     struct{} `cbor:",toarray"`
		Count uint32
		Sum   uint64
	}

	// Delta holds the changes after a version of the sender's table. It is encoded with
	// the names of its fields.
	Delta struct {
		Records   []Record
		Refreshes []Refresh
		// Since is the version that the delta starts from; a receiver with an older
		// version has missed an earlier delta.
		Since uint64
		// Upto is the version that the receiver has after it applied the delta.
		Upto uint64
	}

	change struct {
		// position is the version by which changes are ordered. A record has its
		// content version, even if the server was refreshed since. With the version of
		// the refresh, a delta that is full before it reaches the record could have an
		// Upto above the record's content version. The next delta would then hold only a
		// refresh of a server that the receiver doesn't know.
		position uint64
		refresh  *Refresh
		record   *Record
		bytes    int
	}
)

// Digest returns the digest of the table. It covers the content of each server, but
// not its sequence and load: these change with each announcement and so always differ
// between some VMs.
func (t *Table) Digest(now time.Time) Digest {
	var d Digest
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for _, row := range s.rows {
			if !row.expired(now) {
				d.Count++
				d.Sum ^= row.contentHash
			}
		}
		s.mu.RUnlock()
	}
	return d
}

// Changes returns the changes after the given version, oldest first, of the servers
// for whose origin wanted returns true. The delta is limited to maxBytes, but holds at
// least one change.
func (t *Table) Changes(now time.Time, since uint64, wanted func(origin string) bool, maxBytes int) Delta {
	// Versions are assigned under the shard's lock, so the scan below sees every
	// version up to this one.
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
	for key, row := range s.rows {
		if row.version <= since || row.expired(now) || !wanted(row.origin) {
			continue
		}
		c := change{position: row.version}
		if row.contentVersion > since {
			r := newRecord(row, now)
			c.position, c.record, c.bytes = row.contentVersion, &r, recordBytes+len(r.Service)+len(r.Region)+len(r.FailureDomain)+len(r.Origin)
		} else {
			c.refresh, c.bytes = &Refresh{Key: key, LoadMilli: loadMilli(row.announcement.Load), Sequence: row.announcement.Sequence,
				AgeMillis: ageMillis(now.Sub(row.heardAt))}, refreshBytes
		}
		list = append(list, c)
	}
	return list
}

// Page returns up to n records with keys greater than after, sorted by key. Next is the
// cursor for the next page; more reports whether there is one.
func (t *Table) Page(now time.Time, after uint64, n int) (page []Record, next uint64, more bool) {
	type keyedRecord struct {
		key    uint64
		record Record
	}
	var all []keyedRecord
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for key, row := range s.rows {
			if key > after && !row.expired(now) {
				all = append(all, keyedRecord{key, newRecord(row, now)})
			}
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(all, func(a, b keyedRecord) int { return cmp.Compare(a.key, b.key) })
	for i, k := range all {
		if i == n {
			return page, next, true
		}
		page, next = append(page, k.record), k.key
	}
	return page, next, false
}
