package bfbalancer

import (
	"math"
	"time"

	"briarferry"
)

const (
	// latencyDecay is the time constant with which a latency peak fades.
	latencyDecay = 5 * time.Second
	// errorWeight is the share of the newest try in the error rate.
	errorWeight = 0.1
	// reportDecay discounts a reported load by its age; announcements come about
	// once a second, so that one lost announcement halves its influence at most.
	reportDecay = 2 * time.Second
	// evidenceDecay is the time constant with which own observations lose weight
	// against the reported load.
	evidenceDecay = 2 * time.Second
	// enoughEvidence is the number of recent tries that count as much as a report.
	enoughEvidence = 4
	// rampTime is the length of a slow start.
	rampTime = 10 * time.Second
	// rampFloor is the share of its capacity that a server starts with.
	rampFloor = 0.1
	// absence is a gap in a server's announcements that makes its next one a return.
	absence = 3 * time.Second

	ejectAfterFailures = 3
	// ejectAfterOverdue is the number of tries in a row that were given up for an
	// answer from elsewhere. Where every slow try is hedged, a frozen server shows in
	// nothing else.
	ejectAfterOverdue = 5
	ejectErrorRate    = 0.5
	ejectMinTries     = 10
	ejectBase         = 5 * time.Second
	ejectLimit        = 5 * time.Minute
	// forgiveAfter is the time without an ejection that resets the ejection time.
	forgiveAfter = 10 * time.Minute

	// A server that sheds or refuses connections is left alone for a while that
	// doubles each time. This is not an ejection: it is short, and the server says
	// itself that it takes nothing.
	shedBase   = 50 * time.Millisecond
	refuseBase = 250 * time.Millisecond
	shedLimit  = 2 * time.Second
)

// server is what one entry has observed of a backend server.
type server struct {
	latency   float64
	latencyAt time.Time
	errors    float64
	evidence  float64
	triedAt   time.Time
	tries     int
	failures  int
	overdue   int
	sheds     int
	refusals  int
	shedUntil time.Time

	seenAt    time.Time
	heardAt   time.Time
	rampStart time.Time

	ejections    int
	ejectedUntil time.Time
}

// see notes that the server is a candidate, and starts its ramp after a start or
// an absence.
func (s *server) see(now time.Time, b briarferry.Backend) {
	returned := !s.heardAt.IsZero() && b.HeardAt.Sub(s.heardAt) > absence
	if b.State == briarferry.StateStarting || returned {
		s.rampStart = now
	}
	s.seenAt, s.heardAt = now, b.HeardAt
}

// ramp returns the share of its capacity that the server may get.
func (s *server) ramp(now time.Time) float64 {
	if s.rampStart.IsZero() {
		return 1
	}
	share := now.Sub(s.rampStart).Seconds() / rampTime.Seconds()
	return math.Min(1, rampFloor+(1-rampFloor)*share)
}

// observe adds the result of a try.
func (s *server) observe(now time.Time, r briarferry.TryReport) {
	if r.Cancelled {
		s.observeCancelled(now, r.Latency.Seconds())
		return
	}
	s.overdue = 0
	s.evidence = s.recent(now) + 1
	s.triedAt = now
	switch {
	case r.Shed:
		s.sheds++
		s.shedUntil = now.Add(growing(shedBase, s.sheds, shedLimit))
		return
	case r.Refused:
		s.refusals++
		s.shedUntil = now.Add(growing(refuseBase, s.refusals, shedLimit))
	default:
		s.sheds, s.refusals = 0, 0
	}
	s.observeLatency(now, r.Latency.Seconds())
	s.tries++
	weight := math.Max(errorWeight, 1/float64(s.tries))
	if r.Failed {
		s.failures++
		s.errors += weight * (1 - s.errors)
		return
	}
	s.failures = 0
	s.errors -= weight * s.errors
}

// observeCancelled uses that an answer would have taken at least as long as the try
// that was given up.
func (s *server) observeCancelled(now time.Time, v float64) {
	if v <= 0 || s.latencyAt.IsZero() || 2*v < s.latency {
		return
	}
	s.overdue++
	if v > s.latency {
		s.observeLatency(now, v)
	}
}

// observeLatency keeps a peak moving average: it rises at once and falls slowly,
// so that a server that turns slow is avoided after one request.
func (s *server) observeLatency(now time.Time, v float64) {
	switch {
	case s.latencyAt.IsZero() || v > s.latency:
		s.latency = v
	default:
		keep := decay(now.Sub(s.latencyAt), latencyDecay)
		keep = math.Min(keep, 1-errorWeight)
		s.latency = s.latency*keep + v*(1-keep)
	}
	s.latencyAt = now
}

// outlier tells whether the server's recent tries call for an ejection.
func (s *server) outlier() bool {
	return s.failures >= ejectAfterFailures || s.overdue >= ejectAfterOverdue || s.tries >= ejectMinTries && s.errors > ejectErrorRate
}

func (s *server) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// eject takes the server out for a time that grows with each ejection. It comes
// back with a clean record and a slow start.
func (s *server) eject(now time.Time) {
	if now.Sub(s.ejectedUntil) > forgiveAfter {
		s.ejections = 0
	}
	s.ejections++
	s.ejectedUntil = now.Add(growing(ejectBase, s.ejections, ejectLimit))
	s.rampStart = s.ejectedUntil
	s.failures, s.overdue, s.errors, s.tries, s.latency, s.evidence = 0, 0, 0, 0, 0, 0
	s.latencyAt = time.Time{}
}

// growing doubles the base with each repetition after the first.
func growing(base time.Duration, n int, limit time.Duration) time.Duration {
	return min(base<<min(n-1, 20), limit)
}

func decay(elapsed, constant time.Duration) float64 {
	return math.Exp(-math.Max(0, elapsed.Seconds()) / constant.Seconds())
}
