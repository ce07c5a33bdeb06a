package bfsteering

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
)

const (
	// contactTimeout is the time without a heartbeat from any control VM after which the
	// entry is uninformed. Control VMs answer its heartbeats, which it sends every 0.5 s.
	contactTimeout = 800 * time.Millisecond
	// contactBurst is the size of a burst of requests and answers, in bytes, that may delay the
	// heartbeats on the entry's link. The time that the link needs for it is added to
	// contactTimeout, up to maxContactTimeout.
	contactBurst      = 128 << 10
	maxContactTimeout = 1500 * time.Millisecond
	// settlingTime is how long control VMs must be heard again before the entry counts as
	// informed. After a loss of all control VMs they need an election, and the servers report
	// again, before the fleet state shows which servers turned cold meanwhile.
	settlingTime = 3 * time.Second
	// healthCheckShare is the interval between two health checks of a server by all entries
	// together. That of one entry is kept between minHealthInterval and maxHealthInterval.
	healthCheckShare  = 25 * time.Millisecond
	minHealthInterval = 250 * time.Millisecond
	maxHealthInterval = time.Second
	// healthMargin is how long the answer to a health check may take before the previous
	// answer no longer counts.
	healthMargin = 500 * time.Millisecond
	// healthUsePeriod is the time after a request in which a server counts as used.
	healthUsePeriod = 2 * time.Second
	// maxHealthChecks is the largest number of health checks that one call returns.
	maxHealthChecks = 10
	// maxStatedColdTime limits the time for which an answer can make a server count as cold.
	maxStatedColdTime = time.Minute
)

type (
	// HealthCheck is a health check that is due. ReportHealth must be called with it exactly
	// once.
	HealthCheck struct {
		Backend briarferry.Backend
		Path    string

		askedAt time.Time
	}

	// Health is what the answer to a health check says.
	Health struct {
		// Valid reports whether the server gave a usable answer.
		Valid bool
		// ColdFor is how long the server stays cold; zero means that it isn't cold.
		ColdFor time.Duration
	}

	// dueCheck is a health check that is due; previous is the time of the last one.
	dueCheck struct {
		check    HealthCheck
		service  *service
		server   *server
		previous time.Time
	}

	// coldWatch knows whether control VMs tell this entry which servers are cold.
	coldWatch struct {
		// current is nil while they do.
		current atomic.Pointer[uninformed]

		mu sync.Mutex
		// heardSince is when control VMs were heard again, or zero if they aren't heard.
		heardSince time.Time
	}

	// uninformed describes a period in which control VMs don't tell which servers are cold.
	uninformed struct {
		since time.Time
		// entries is the largest number of live entries known in the period. Control VMs that
		// have restarted know only some of them at first.
		entries int
	}
)

// observe records when a control VM was last heard, and returns the current period without
// information, or nil.
func (w *coldWatch) observe(now, lastHeard time.Time, timeout time.Duration, entries int, log *zerolog.Logger) *uninformed {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.current.Load()
	heard := now.Sub(lastHeard) <= timeout
	switch {
	case u == nil && heard:
		return nil
	case u == nil:
		u = &uninformed{since: now, entries: entries}
		log.Warn().Dur("silent_ms", now.Sub(lastHeard)).Int("entries", entries).Msg("no control VM tells which backend servers are cold")
	case !heard:
		w.heardSince = time.Time{}
	case w.heardSince.IsZero():
		w.heardSince = now
	case now.Sub(w.heardSince) >= settlingTime:
		w.current.Store(nil)
		w.heardSince = time.Time{}
		log.Info().Dur("took_ms", now.Sub(u.since)).Msg("control VMs tell again which backend servers are cold")
		return nil
	}
	u = &uninformed{since: u.since, entries: max(u.entries, entries)}
	w.current.Store(u)
	return u
}

// contactTimeoutOn returns the time without a heartbeat after which an entry is uninformed whose
// link has the given bandwidth in bytes per second; zero means unknown.
func contactTimeoutOn(bandwidth float64) time.Duration {
	if bandwidth <= 0 {
		return contactTimeout
	}
	burst := time.Duration(contactBurst / bandwidth * float64(time.Second))
	return min(maxContactTimeout, contactTimeout+burst)
}

// interval returns the time between two health checks of a server by this entry.
func (u *uninformed) interval() time.Duration {
	return min(maxHealthInterval, max(minHealthInterval, time.Duration(u.entries)*healthCheckShare))
}

// unverifiedSince returns the time from which the server may have turned cold without this
// entry's knowledge.
func (u *uninformed) unverifiedSince(srv *server) time.Time {
	known := u.since
	if srv.warmAt.After(known) {
		known = srv.warmAt
	}
	return known.Add(u.interval() + healthMargin)
}

// HealthChecks returns the health checks that are due now: of the servers that this entry
// uses, while no control VM tells which of them are cold.
func (s *Steering) HealthChecks(now time.Time) []HealthCheck {
	if s.LastContact == nil {
		return nil
	}
	lastHeard := s.LastContact()
	if lastHeard.IsZero() {
		return nil
	}
	u := s.coldWatch.observe(now, lastHeard, contactTimeoutOn(s.LinkBandwidth), s.entries(), &s.Log)
	if u == nil {
		return nil
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	var due []dueCheck
	for _, v := range s.services {
		due = v.appendDueChecks(now, u.interval(), due)
	}
	slices.SortFunc(due, func(a, b dueCheck) int { return a.previous.Compare(b.previous) })
	var out []HealthCheck
	for _, d := range due[:min(len(due), maxHealthChecks)] {
		d.service.mu.Lock()
		d.server.healthAskedAt, d.server.healthPending = now, true
		d.service.mu.Unlock()
		out = append(out, d.check)
	}
	return out
}

// appendDueChecks appends the health checks of the service's servers that are due.
func (v *service) appendDueChecks(now time.Time, interval time.Duration, due []dueCheck) []dueCheck {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, srv := range v.servers {
		if !srv.needsHealthCheck(now, &v.config, interval) {
			continue
		}
		check := HealthCheck{Backend: srv.backend(&v.config), Path: v.config.HealthPath, askedAt: now}
		due = append(due, dueCheck{check: check, service: v, server: srv, previous: srv.healthAskedAt})
	}
	return due
}

// needsHealthCheck reports whether a health check of the server is due. A server that is
// known to be cold isn't checked.
func (s *server) needsHealthCheck(now time.Time, c *briarferry.RouteService, interval time.Duration) bool {
	switch {
	case c.ColdRate <= 0, c.HealthPath == "", s.withdrawn(), s.ejected(), s.healthPending:
		return false
	case now.Before(s.coldUntil), now.Sub(s.sentAt) > healthUsePeriod:
		return false
	}
	return now.Sub(s.healthAskedAt) >= interval
}

// ReportHealth records the result of a health check.
func (s *Steering) ReportHealth(now time.Time, c HealthCheck, h Health) {
	v := s.service(c.Backend.Service)
	if v == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, srv := range v.servers {
		if srv.ID != c.Backend.InstanceID || srv.Address != c.Backend.Address || !srv.healthAskedAt.Equal(c.askedAt) {
			continue
		}
		srv.healthPending = false
		switch {
		case !h.Valid:
		case h.ColdFor <= 0:
			srv.warmAt = c.askedAt
		default:
			srv.markCold(now, now.Add(min(h.ColdFor, maxStatedColdTime)))
			s.Log.Info().Str("instance", srv.ID).Str("backend", srv.Address.String()).Str("service", srv.Service).Dur("cold_ms", h.ColdFor).Msg("backend server says that it is cold")
		}
	}
}
