package bfbalancer

import (
	"math"
	"time"

	"briarferry"
)

const (
	// latencyDecay is the time constant with which a latency peak decays.
	latencyDecay = 5 * time.Second
	// sampleWeight is the minimum weight of the latest try in the error rate and in the
	// average latency.
	sampleWeight = 0.1
	// reportDecay is the time constant with which the weight of a reported load falls.
	// Announcements arrive about once a second, so one lost announcement at most halves it.
	reportDecay = 2 * time.Second
	// tryDecay is the time constant with which the weight of a try falls relative to the
	// reported load.
	tryDecay = 2 * time.Second
	// reportEquivalentTries is the number of recent tries that weigh as much as a report.
	reportEquivalentTries = 4
	slowStartDuration     = 10 * time.Second
	// initialSlowStartShare is the share of its capacity at which a server is rated at the
	// beginning of a slow start.
	initialSlowStartShare = 0.1
	// returnGap is the gap in a server's announcements after which it goes through a slow
	// start again.
	returnGap = 3 * time.Second

	ejectFailureThreshold = 3
	// ejectOverdueThreshold is the number of consecutive overdue tries, cancelled because
	// another server answered, that lead to an ejection. If every slow try is hedged, there
	// is no other sign of an unresponsive server.
	ejectOverdueThreshold   = 5
	ejectErrorRateThreshold = 0.5
	minTriesForErrorRate    = 10
	minEjectDuration        = 5 * time.Second
	maxEjectDuration        = 5 * time.Minute
	// ejectionResetAfter is the time without an ejection that resets the ejection duration.
	ejectionResetAfter = 10 * time.Minute

	// A server that sheds requests or refuses connections is paused for a time that doubles
	// each time. Unlike an ejection this is short, as the server itself reports that it
	// accepts no requests.
	minShedPause    = 50 * time.Millisecond
	minRefusalPause = 250 * time.Millisecond
	maxPause        = 2 * time.Second
)

// server holds what one entry has observed about a backend server.
type server struct {
	latency             float64
	latencyAt           time.Time
	errorRate           float64
	weightedTries       float64
	lastTryAt           time.Time
	tries               int
	consecutiveFailures int
	consecutiveOverdue  int
	consecutiveSheds    int
	consecutiveRefusals int
	pausedUntil         time.Time

	lastCandidateAt time.Time
	lastHeardAt     time.Time
	slowStartAt     time.Time

	ejections    int
	ejectedUntil time.Time
}

// recordCandidate records that the server is a candidate. It begins a slow start if the
// server is starting or its announcements had a gap.
func (s *server) recordCandidate(now time.Time, b briarferry.Backend) {
	returned := !s.lastHeardAt.IsZero() && b.HeardAt.Sub(s.lastHeardAt) > returnGap
	if b.State == briarferry.StateStarting || returned {
		s.slowStartAt = now
	}
	s.lastCandidateAt, s.lastHeardAt = now, b.HeardAt
}

// slowStartShare returns the share of its capacity at which the server is rated. It rises
// to 1 during a slow start.
func (s *server) slowStartShare(now time.Time) float64 {
	if s.slowStartAt.IsZero() {
		return 1
	}
	share := now.Sub(s.slowStartAt).Seconds() / slowStartDuration.Seconds()
	return math.Min(1, initialSlowStartShare+(1-initialSlowStartShare)*share)
}

// observe records the result of a try.
func (s *server) observe(now time.Time, r briarferry.TryReport) {
	if r.Cancelled {
		s.observeCancelled(now, r.Latency.Seconds())
		return
	}
	s.consecutiveOverdue = 0
	s.weightedTries = s.recentTries(now) + 1
	s.lastTryAt = now
	switch {
	case r.Shed:
		s.consecutiveSheds++
		s.pausedUntil = now.Add(backoff(minShedPause, s.consecutiveSheds, maxPause))
		return
	case r.ConnectionRefused:
		s.consecutiveRefusals++
		s.pausedUntil = now.Add(backoff(minRefusalPause, s.consecutiveRefusals, maxPause))
	default:
		s.consecutiveSheds, s.consecutiveRefusals = 0, 0
	}
	s.observeLatency(now, r.Latency.Seconds())
	s.tries++
	weight := math.Max(sampleWeight, 1/float64(s.tries))
	if r.Failed {
		s.consecutiveFailures++
		s.errorRate += weight * (1 - s.errorRate)
		return
	}
	s.consecutiveFailures = 0
	s.errorRate -= weight * s.errorRate
}

// observeCancelled records a cancelled try. Its answer would have taken at least as long.
func (s *server) observeCancelled(now time.Time, v float64) {
	if v <= 0 || s.latencyAt.IsZero() || 2*v < s.latency {
		return
	}
	s.consecutiveOverdue++
	if v > s.latency {
		s.observeLatency(now, v)
	}
}

// observeLatency updates a peak moving average: it rises immediately and falls slowly, so
// that a server that becomes slow is avoided after one request.
func (s *server) observeLatency(now time.Time, v float64) {
	switch {
	case s.latencyAt.IsZero() || v > s.latency:
		s.latency = v
	default:
		weight := decay(now.Sub(s.latencyAt), latencyDecay)
		weight = math.Min(weight, 1-sampleWeight)
		s.latency = s.latency*weight + v*(1-weight)
	}
	s.latencyAt = now
}

// isOutlier reports whether the server should be ejected because of its recent tries.
func (s *server) isOutlier() bool {
	return s.consecutiveFailures >= ejectFailureThreshold || s.consecutiveOverdue >= ejectOverdueThreshold || s.tries >= minTriesForErrorRate && s.errorRate > ejectErrorRateThreshold
}

func (s *server) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// eject ejects the server for a duration that doubles with each ejection. Afterwards the
// server returns without its earlier latency, errors and tries, and with a slow start.
func (s *server) eject(now time.Time) {
	if now.Sub(s.ejectedUntil) > ejectionResetAfter {
		s.ejections = 0
	}
	s.ejections++
	s.ejectedUntil = now.Add(backoff(minEjectDuration, s.ejections, maxEjectDuration))
	s.slowStartAt = s.ejectedUntil
	s.consecutiveFailures, s.consecutiveOverdue, s.errorRate, s.tries, s.latency, s.weightedTries = 0, 0, 0, 0, 0, 0
	s.latencyAt = time.Time{}
}

// backoff returns the base duration, doubled for each attempt after the first.
func backoff(base time.Duration, attempt int, limit time.Duration) time.Duration {
	return min(base<<min(attempt-1, 20), limit)
}

func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-math.Max(0, elapsed.Seconds()) / timeConstant.Seconds())
}
