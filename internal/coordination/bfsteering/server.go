package bfsteering

import (
	"container/list"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarferry"
	"briarferry/internal/state/bffleet"
)

const (
	// loadLife is how long a server's report of its load counts, ever less.
	loadLife = 3 * time.Second
	// errorLife halves what failures say about a server; slowLife does so for slowness.
	errorLife = 4 * time.Second
	slowLife  = 4 * time.Second
	// sampleShare is the weight of a new sample in moving averages.
	sampleShare = 0.2
	maxSlow     = 20.0
	// minEject and maxEject bound how long a server that gave no sign of life is left
	// alone before it is checked.
	minEject = 300 * time.Millisecond
	maxEject = 2 * time.Second
	// deadTries is the number of tries in a row that end with a dead connection after
	// which a server counts as gone.
	deadTries = 2
)

type (
	// server is what this entry knows of one start of a backend server. It belongs to
	// its service's lock.
	server struct {
		bffleet.Server
		region    string
		score     uint64
		evacuated bool
		// joined tells that the server was registered while this entry was running. After
		// a start all servers are new to the entry, but warm for the keys that they have.
		joined bool

		inFlight int
		sent     uint64
		// others is the load by other entries when the server last told.
		others   float64
		othersAt time.Time
		answered time.Time

		// coldUntil is the end of the time in which the server bears few requests. This
		// entry sends its first one when a part of its interval has passed that differs
		// from entry to entry, as all of them at once would be too many.
		coldUntil time.Time
		coldSince time.Time
		coldSent  time.Time
		coldPhase float64

		// suspect tells that an answer is overdue; checked is when a connection to the
		// server was last tried.
		suspect bool
		checked time.Time

		dead         int
		ejectedUntil time.Time
		ejections    int
		// restarted tells that the server refused a connection or lost all it had.
		restarted bool

		errors   decaying
		slowness decaying
		warm     lru
	}

	// decaying is a moving average that halves in each life without a new sample.
	decaying struct {
		value float64
		at    time.Time
	}

	// lru holds the keys that a server handled last.
	lru struct {
		order *list.List
		keys  map[string]*list.Element
	}
)

func (d *decaying) get(now time.Time, life time.Duration) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp2(-float64(now.Sub(d.at))/float64(life))
}

func (d *decaying) add(now time.Time, life time.Duration, sample float64) {
	d.value = d.get(now, life)*(1-sampleShare) + sampleShare*sample
	d.at = now
}

func (l *lru) has(key string) bool {
	_, ok := l.keys[key]
	return ok
}

// touch makes the key the newest and forgets the oldest beyond the limit.
func (l *lru) touch(key string, limit int) {
	if l.order == nil {
		l.order, l.keys = list.New(), map[string]*list.Element{}
	}
	if e := l.keys[key]; e != nil {
		l.order.MoveToFront(e)
	} else {
		l.keys[key] = l.order.PushFront(key)
	}
	for l.order.Len() > limit {
		oldest := l.order.Back()
		l.order.Remove(oldest)
		delete(l.keys, oldest.Value.(string))
	}
}

func (l *lru) clear() { l.order, l.keys = nil, nil }

// scoreSeed gives each server its own place in the order of every key.
func scoreSeed(id string) uint64 { return xxhash.Sum64String(id) }

// rank orders servers for a key in the same way at every entry (rendezvous hashing).
func (s *server) rank(key uint64) uint64 {
	x := key ^ s.score
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// chill treats the server as cold until the given time.
func (s *server) chill(now, until time.Time) {
	if until.After(s.coldUntil) {
		if !now.Before(s.coldUntil) {
			s.coldSince = now
		}
		s.coldUntil = until
		s.warm.clear()
	}
}

// load estimates the running and waiting requests at the server. Where it has not told
// lately, the other entries of the region are taken to send as much as this one.
func (s *server) load(now time.Time, neighbours int) float64 {
	alike := float64(s.inFlight * neighbours)
	age := now.Sub(s.othersAt)
	if s.othersAt.IsZero() || age >= loadLife {
		return float64(s.inFlight) + alike
	}
	told := 1 - float64(age)/float64(loadLife)
	return float64(s.inFlight) + s.others*told + alike*(1-told)
}

// usable tells whether the server may get the request at all.
func (s *server) usable(r *Request) bool {
	return !s.Draining && !s.evacuated && r.Route.ServesIn(s.region)
}

// tooCold tells whether another request now would be more than this entry's part of
// what a cold server bears.
func (s *server) tooCold(now time.Time, c *briarferry.RouteService, entries int) bool {
	if !now.Before(s.coldUntil) || c.ColdRate <= 0 {
		return false
	}
	gap := time.Duration(float64(entries) / c.ColdRate * float64(time.Second))
	first := s.coldSince.Add(time.Duration(s.coldPhase * float64(gap)))
	return now.Before(first) || now.Sub(s.coldSent) < gap
}

// phaseOf returns a number from 0 to 1 that differs from entry to entry.
func phaseOf(entry, instance string) float64 {
	return float64(xxhash.Sum64String(entry+"\x00"+instance)>>11) / (1 << 53)
}

func (s *server) eject(now time.Time) {
	pause := min(maxEject, minEject<<min(s.ejections, 8))
	s.ejections++
	s.ejectedUntil = now.Add(pause)
	s.dead = 0
}

// due tells whether the server should be checked now.
func (s *server) due(now time.Time) bool {
	if s.Draining || s.evacuated {
		return false
	}
	if s.ejected() {
		return !now.Before(s.ejectedUntil)
	}
	return s.suspect && now.Sub(s.checked) >= maxEject
}

func (s *server) ejected() bool { return !s.ejectedUntil.IsZero() }

func (s *server) backend(c *briarferry.RouteService) briarferry.Backend {
	return briarferry.Backend{
		InstanceID: s.ID,
		Announcement: briarferry.Announcement{
			Service: s.Service, Address: s.Address, Region: s.region, FailureDomain: s.FailureDomain,
			Slots: s.Slots, ConnectionLimit: max(1, c.ConnectionLimit),
		},
	}
}
