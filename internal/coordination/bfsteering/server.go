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
	// loadReportLifetime is the age from which a server's load report is ignored; its
	// weight falls linearly until then.
	loadReportLifetime = 3 * time.Second
	// reportedSlowdownHalfLife is the time in which the weight of a reported slowdown falls by
	// half. It is short because servers share their hosts with other programs, whose load
	// changes several times a second.
	reportedSlowdownHalfLife = 250 * time.Millisecond
	// errorHalfLife and slownessHalfLife are the times in which the error rate and the
	// slowness of a server fall by half without new samples.
	errorHalfLife    = 4 * time.Second
	slownessHalfLife = 4 * time.Second
	// sampleWeight is the weight of a new sample in the error rate and the slowness of a
	// server. The averages of a route use a quarter of it, and more for their first samples.
	sampleWeight = 0.2
	maxSlowness  = 20.0
	// minEjectDuration and maxEjectDuration bound the time from the ejection of a server to
	// its next check. maxEjectDuration is also the minimum time between two checks of a
	// suspect server that is not ejected.
	minEjectDuration = 300 * time.Millisecond
	maxEjectDuration = 2 * time.Second
	// maxLostConnections is the number of consecutive lost connections after which a server
	// is ejected.
	maxLostConnections = 2
)

type (
	// server is what this entry knows about a backend server since the server's last start.
	// It is guarded by the service's mutex.
	server struct {
		bffleet.Server
		region    string
		hashSeed  uint64
		evacuated bool
		// joinedAfterStart reports whether the server was registered while this entry was
		// running. Servers that are in the first list of a restarted entry are new to it
		// but have warm caches.
		joinedAfterStart bool

		inFlight int
		sent     uint64
		// uploads counts the tries in flight of routes with large bodies.
		uploads int
		// othersLoad is the load caused by other entries at the time of the last load
		// report.
		othersLoad     float64
		loadReportedAt time.Time
		answeredAt     time.Time
		// reportedSlowdown is that of the last load report, or 0 if it had none.
		reportedSlowdown float64

		// coldUntil is the end of the cold period, in which the server handles only a few
		// requests. Each entry sends its first request at a different phase of its sending
		// interval, since the first requests of all entries at once would overload the
		// server.
		coldUntil  time.Time
		coldSince  time.Time
		coldSentAt time.Time
		coldPhase  float64

		// sentAt is when the last request was sent. warmAt is when the last health check
		// was sent whose answer said that the server isn't cold, and healthAskedAt when the
		// last one was sent at all; healthPending is true until it is reported.
		sentAt        time.Time
		warmAt        time.Time
		healthAskedAt time.Time
		healthPending bool

		// suspect marks a server to be checked: a try was overdue or timed out, and the
		// server had answered nothing since the try began. checkedAt is the time of the
		// last check.
		suspect   bool
		checkedAt time.Time

		lostConnections int
		ejectedUntil    time.Time
		ejections       int
		availability    availability
		// restarted marks a server that has probably restarted: it refused a connection,
		// maxLostConnections in a row were lost, or it was unreachable while no control VM
		// could be heard.
		restarted bool

		errorRate decayingAverage
		// slowness is the share by which answers take longer than expected from a normal
		// server: 1 means twice as long.
		slowness decayingAverage
		warm     lru
	}

	// decayingAverage is a moving average that falls by half in each half-life without a
	// sample.
	decayingAverage struct {
		value     float64
		updatedAt time.Time
	}

	// lru holds the keys that a server handled most recently.
	lru struct {
		order *list.List
		keys  map[string]*list.Element
	}
)

func (d *decayingAverage) get(now time.Time, halfLife time.Duration) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp2(-float64(now.Sub(d.updatedAt))/float64(halfLife))
}

func (d *decayingAverage) add(now time.Time, halfLife time.Duration, sample float64) {
	d.value = d.get(now, halfLife)*(1-sampleWeight) + sampleWeight*sample
	d.updatedAt = now
}

func (l *lru) has(key string) bool {
	_, ok := l.keys[key]
	return ok
}

// touch marks the key as most recently used and removes the least recently used keys beyond
// the limit.
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

// hashSeed returns the seed that gives each server its own rank for every key.
func hashSeed(id string) uint64 { return xxhash.Sum64String(id) }

// rank returns the server's rendezvous hash for a key, which orders servers in the same way
// at every entry.
func (s *server) rank(key uint64) uint64 {
	x := key ^ s.hashSeed
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// markCold treats the server as cold until the given time.
func (s *server) markCold(now, until time.Time) {
	if until.After(s.coldUntil) {
		if !now.Before(s.coldUntil) {
			s.coldSince = now
		}
		s.coldUntil = until
		s.warm.clear()
	}
}

// load estimates the number of running and waiting requests at the server. As a load report
// ages, the estimate shifts to the assumption that every other entry of the region sends as
// much as this one.
func (s *server) load(now time.Time, peers int) float64 {
	estimate := float64(s.inFlight * peers)
	age := now.Sub(s.loadReportedAt)
	if s.loadReportedAt.IsZero() || age >= loadReportLifetime {
		return float64(s.inFlight) + estimate
	}
	weight := 1 - float64(age)/float64(loadReportLifetime)
	return float64(s.inFlight) + s.othersLoad*weight + estimate*(1-weight)
}

// currentSlowdown estimates the server's current time for a request relative to its usual
// time, from the last load report.
func (s *server) currentSlowdown(now time.Time) float64 {
	if s.reportedSlowdown == 0 {
		return 1
	}
	weight := math.Exp2(-float64(now.Sub(s.loadReportedAt)) / float64(reportedSlowdownHalfLife))
	return 1 + (s.reportedSlowdown-1)*weight
}

// usable reports whether the server may get the request at all.
func (s *server) usable(r *Request) bool {
	return !s.withdrawn() && r.ServesIn(s.region)
}

// withdrawn reports whether the server gets no new requests any more.
func (s *server) withdrawn() bool { return s.Draining || s.evacuated || s.availability.leaving }

// tooCold reports whether another request now would exceed this entry's share of the
// request rate that a cold server can handle. A server that may have turned cold without
// this entry's knowledge counts as cold; u is nil if no server may have.
func (s *server) tooCold(now time.Time, c *briarferry.RouteService, entries int, u *uninformed) bool {
	since, cold := s.countsAsCold(now, c, u)
	if !cold || c.ColdRate <= 0 {
		return false
	}
	if u != nil {
		entries = max(entries, u.entries)
	}
	gap := time.Duration(float64(entries) / c.ColdRate * float64(time.Second))
	first := since.Add(time.Duration(s.coldPhase * float64(gap)))
	return now.Before(first) || now.Sub(s.coldSentAt) < gap
}

// countsAsCold reports whether the server is cold or may be, and since when.
func (s *server) countsAsCold(now time.Time, c *briarferry.RouteService, u *uninformed) (time.Time, bool) {
	if now.Before(s.coldUntil) {
		return s.coldSince, true
	}
	if u == nil || c.HealthPath == "" {
		return time.Time{}, false
	}
	since := u.unverifiedSince(s)
	return since, !now.Before(since)
}

// phase returns a number from 0 to 1 that differs between entries, and for an entry between
// names.
func phase(entry, name string) float64 {
	return float64(xxhash.Sum64String(entry+"\x00"+name)>>11) / (1 << 53)
}

func (s *server) eject(now time.Time) {
	duration := min(maxEjectDuration, minEjectDuration<<min(s.ejections, 8))
	s.ejections++
	s.ejectedUntil = now.Add(duration)
	s.lostConnections = 0
}

// needsCheck reports whether the server should be checked now.
func (s *server) needsCheck(now time.Time) bool {
	if s.withdrawn() {
		return false
	}
	if s.ejected() {
		return !now.Before(s.ejectedUntil)
	}
	return s.suspect && now.Sub(s.checkedAt) >= maxEjectDuration
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
