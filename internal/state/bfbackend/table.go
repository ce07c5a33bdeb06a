// Package bfbackend implements the table of announced backend servers.
package bfbackend

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"briarferry"
)

const (
	// LeaseDuration is how long an announcement stays valid.
	LeaseDuration = 3 * time.Second
	// DefaultCapacity is the default maximum number of servers. It is far above
	// the number of servers in the current deployment, 132.
	DefaultCapacity = 16_384

	shardCount = 16
	// sequenceRetention is how long the sequence of a server is kept after its lease
	// has expired, so that a delayed older announcement doesn't add it again.
	sequenceRetention = 10 * time.Second
)

var (
	// ErrFull is returned if the table has no room for another server.
	ErrFull = eris.New("bfbackend: table of backend servers is full")
	// ErrStale is returned for an announcement whose sequence is not above the known
	// one.
	ErrStale = eris.New("bfbackend: announcement is older than the known one")
)

type (
	// Table holds the newest announcement of each backend server. Its methods may be
	// called concurrently.
	Table struct {
		// Origin is the name of this VM. It must be set before use.
		Origin string
		// Capacity is the maximum number of servers; 0 means DefaultCapacity.
		Capacity int
		// IsDrained reports whether an operator drains a server, which then counts as
		// draining whatever it announces. Nil means that no server is drained. It must
		// be set before use.
		IsDrained func(b briarferry.Backend) bool

		shards  [shardCount]shard
		version atomic.Uint64
		size    atomic.Int64
	}

	shard struct {
		mu   sync.RWMutex
		rows map[uint64]*tableRow
	}

	tableRow struct {
		announcement briarferry.Announcement
		origin       string
		heardAt      time.Time
		startedAt    time.Time
		contentHash  uint64
		// version is the table's version at the last change, contentVersion its
		// version at the last change of more than sequence and load.
		version, contentVersion uint64
	}
)

// Announce stores an announcement that a backend server sent to this VM and returns
// it. An announcement without a sequence gets one.
func (t *Table) Announce(now time.Time, a briarferry.Announcement) (briarferry.Announcement, error) {
	key := Key(a.ID())
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Sequence == 0 {
		// The clocks of VMs differ; max keeps the sequence above the known one.
		a.Sequence = uint64(now.UnixMilli())
		if row := s.rows[key]; row != nil {
			a.Sequence = max(a.Sequence, row.announcement.Sequence+1)
		}
	}
	return a, t.store(s, key, a, t.Origin, now)
}

// Merge stores a record that another VM sent and reports whether the table changed.
func (t *Table) Merge(now time.Time, r Record) (bool, error) {
	age := time.Duration(r.AgeMillis) * time.Millisecond
	a := r.Announcement()
	key := Key(a.ID())
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if age >= LeaseDuration && s.rows[key] == nil {
		return false, nil
	}
	switch err := t.store(s, key, a, r.Origin, now.Add(-age)); err {
	case nil:
		return true, nil
	case ErrStale:
		return false, nil
	default:
		return false, err
	}
}

// Refresh renews a known record. It reports whether the server is known.
func (t *Table) Refresh(now time.Time, origin string, r Refresh) bool {
	s := t.shard(r.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	row := s.rows[r.Key]
	if row == nil {
		return false
	}
	a := row.announcement
	a.Sequence, a.Load = r.Sequence, float64(r.LoadMilli)/loadScale
	_ = t.store(s, r.Key, a, origin, now.Add(-time.Duration(r.AgeMillis)*time.Millisecond))
	return true
}

func (t *Table) store(s *shard, key uint64, a briarferry.Announcement, origin string, heardAt time.Time) error {
	row := s.rows[key]
	if row != nil && a.Sequence <= row.announcement.Sequence {
		return ErrStale
	}
	if row == nil {
		if t.size.Add(1) > int64(t.capacity()) {
			t.size.Add(-1)
			return ErrFull
		}
		if s.rows == nil {
			s.rows = make(map[uint64]*tableRow)
		}
		row = &tableRow{startedAt: heardAt}
		s.rows[key] = row
	}
	if row.announcement.State == briarferry.StateDraining || heardAt.Sub(row.heardAt) >= LeaseDuration || a.State == briarferry.StateStarting && row.announcement.State != a.State {
		row.startedAt = heardAt
	}
	row.version = t.version.Add(1)
	if c := hashContent(&a); c != row.contentHash {
		row.contentHash, row.contentVersion = c, row.version
	}
	row.announcement, row.origin, row.heardAt = a, origin, heardAt
	return nil
}

// Get returns a server with a valid lease by its key.
func (t *Table) Get(now time.Time, key uint64) (briarferry.Backend, bool) {
	s := t.shard(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	row := s.rows[key]
	if row == nil || row.expired(now) {
		return briarferry.Backend{}, false
	}
	return t.backend(row), true
}

// backend returns the backend server in a row of the table. The state is draining if an
// operator drains the server.
func (t *Table) backend(row *tableRow) briarferry.Backend {
	b := row.backend()
	if t.IsDrained != nil && t.IsDrained(b) {
		b.State = briarferry.StateDraining
	}
	return b
}

// ForEach calls f for each server with a valid lease. The time startedAt is when the
// server first announced itself, or last came back from a restart, a drain or an expired
// lease.
func (t *Table) ForEach(now time.Time, f func(key uint64, b briarferry.Backend, startedAt time.Time)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for key, row := range s.rows {
			if !row.expired(now) {
				f(key, t.backend(row), row.startedAt)
			}
		}
		s.mu.RUnlock()
	}
}

// ServiceBackends returns the servers of a service that have a valid lease.
func (t *Table) ServiceBackends(now time.Time, service string) []briarferry.Backend {
	var list []briarferry.Backend
	t.ForEach(now, func(_ uint64, b briarferry.Backend, _ time.Time) {
		if b.Service == service {
			list = append(list, b)
		}
	})
	return list
}

// Sweep removes the servers whose lease expired more than sequenceRetention ago.
func (t *Table) Sweep(now time.Time) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for key, row := range s.rows {
			if now.Sub(row.heardAt) > LeaseDuration+sequenceRetention {
				delete(s.rows, key)
				t.size.Add(-1)
			}
		}
		s.mu.Unlock()
	}
}

// Version returns the version of the table; each change increments it.
func (t *Table) Version() uint64 { return t.version.Load() }

func (t *Table) capacity() int {
	if t.Capacity > 0 {
		return t.Capacity
	}
	return DefaultCapacity
}

func (t *Table) shard(key uint64) *shard { return &t.shards[key%shardCount] }

func (row *tableRow) expired(now time.Time) bool { return now.Sub(row.heardAt) >= LeaseDuration }

func (row *tableRow) backend() briarferry.Backend {
	return briarferry.Backend{Announcement: row.announcement, HeardAt: row.heardAt, ExpiresAt: row.heardAt.Add(LeaseDuration)}
}
