package bfretry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowLength is the length of one window. Quantiles cover the current and the
	// previous one.
	windowLength = 10 * time.Second
	// refreshInterval is the minimum time between computations of the quantiles.
	refreshInterval = 250 * time.Millisecond
	// minSamples is the number of samples below which the quantiles are not recomputed.
	// Earlier ones stay in use.
	minSamples = 20
	maxMicros  = int64(60 * time.Second / time.Microsecond)

	minTryTimeout    = 100 * time.Millisecond
	p99TimeoutFactor = 3
	// initialTimeoutFactor multiplies the service's expected time to get the try timeout
	// until there are enough samples.
	initialTimeoutFactor = 10
	// minTimeoutShare is the share of tries that must time out for timeouts to count as
	// latencies. Below it the timeouts come from single servers and must not raise the try
	// timeout. Above it the whole service is slow, and without them the try timeout would
	// forever stay below the latency of every answer.
	minTimeoutShare = 1.0 / 3
)

// latencyTracker holds the recent latencies of one service. It is guarded by the mutex of
// the service's state.
type latencyTracker struct {
	windows     [2]*hdrhistogram.Histogram
	timeouts    [2]int64
	merged      *hdrhistogram.Histogram
	windowStart time.Time

	refreshedAt time.Time
	p95, p99    time.Duration
}

func newLatencyTracker() *latencyTracker {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, 2) }
	return &latencyTracker{windows: [2]*hdrhistogram.Histogram{newHistogram(), newHistogram()}, merged: newHistogram()}
}

// rotate starts a new window if the current one has ended.
func (l *latencyTracker) rotate(now time.Time) {
	if now.Sub(l.windowStart) < windowLength {
		return
	}
	l.windows[0], l.windows[1] = l.windows[1], l.windows[0]
	l.windows[0].Reset()
	l.timeouts[0], l.timeouts[1] = 0, l.timeouts[0]
	l.windowStart = now
}

func (l *latencyTracker) observe(now time.Time, d time.Duration, timedOut bool) {
	l.rotate(now)
	if timedOut {
		l.timeouts[0]++
		answered := l.windows[0].TotalCount() + l.windows[1].TotalCount()
		timeouts := l.timeouts[0] + l.timeouts[1]
		if float64(timeouts) < minTimeoutShare*float64(timeouts+answered) || timeouts < minSamples/2 {
			return
		}
	}
	_ = l.windows[0].RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// refresh recomputes the quantiles if they are older than refreshInterval.
func (l *latencyTracker) refresh(now time.Time) {
	l.rotate(now)
	if now.Sub(l.refreshedAt) < refreshInterval {
		return
	}
	l.refreshedAt = now
	l.merged.Reset()
	l.merged.Merge(l.windows[0])
	l.merged.Merge(l.windows[1])
	if l.merged.TotalCount() < minSamples {
		return
	}
	l.p95 = time.Duration(l.merged.ValueAtQuantile(95)) * time.Microsecond
	l.p99 = time.Duration(l.merged.ValueAtQuantile(99)) * time.Microsecond
}

// tryTimeout returns how long a try may take.
func (l *latencyTracker) tryTimeout(now time.Time, expected time.Duration) time.Duration {
	l.refresh(now)
	if l.p99 == 0 {
		return max(minTryTimeout, initialTimeoutFactor*expected)
	}
	return max(minTryTimeout, p99TimeoutFactor*l.p99)
}
