package bfretry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowTime is the length of one window; quantiles cover two of them.
	windowTime = 10 * time.Second
	// refreshTime bounds how often quantiles are computed.
	refreshTime = 250 * time.Millisecond
	// enoughSamples is the number of samples below which quantiles are not used.
	enoughSamples = 20
	maxMicros     = int64(60 * time.Second / time.Microsecond)

	minTryTimeout = 100 * time.Millisecond
	timeoutFactor = 3
	// firstTimeoutFactor multiplies the configured latency while none was observed.
	firstTimeoutFactor = 10
	// slowShare is the share of tries that must time out before timeouts count as
	// latencies. Below it they come from single servers, and the try timeout must
	// not grow with them; above it the whole service is slow, and without them the
	// timeout would stay below every answer's latency for ever.
	slowShare = 1.0 / 3
)

// latency keeps the recent latencies of one service. It has no lock.
type latency struct {
	windows  [2]*hdrhistogram.Histogram
	timeouts [2]int64
	merged   *hdrhistogram.Histogram
	turned   time.Time

	refreshed time.Time
	p95, p99  time.Duration
}

func newLatency() *latency {
	create := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, 2) }
	return &latency{windows: [2]*hdrhistogram.Histogram{create(), create()}, merged: create()}
}

// turn starts a new window where the current one has ended.
func (l *latency) turn(now time.Time) {
	if now.Sub(l.turned) < windowTime {
		return
	}
	l.windows[0], l.windows[1] = l.windows[1], l.windows[0]
	l.windows[0].Reset()
	l.timeouts[0], l.timeouts[1] = 0, l.timeouts[0]
	l.turned = now
}

func (l *latency) observe(now time.Time, d time.Duration, timedOut bool) {
	l.turn(now)
	if timedOut {
		l.timeouts[0]++
		answered := l.windows[0].TotalCount() + l.windows[1].TotalCount()
		timeouts := l.timeouts[0] + l.timeouts[1]
		if float64(timeouts) < slowShare*float64(timeouts+answered) || timeouts < enoughSamples/2 {
			return
		}
	}
	_ = l.windows[0].RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// refresh computes the quantiles anew where they are old.
func (l *latency) refresh(now time.Time) {
	l.turn(now)
	if now.Sub(l.refreshed) < refreshTime {
		return
	}
	l.refreshed = now
	l.merged.Reset()
	l.merged.Merge(l.windows[0])
	l.merged.Merge(l.windows[1])
	if l.merged.TotalCount() < enoughSamples {
		return
	}
	l.p95 = time.Duration(l.merged.ValueAtQuantile(95)) * time.Microsecond
	l.p99 = time.Duration(l.merged.ValueAtQuantile(99)) * time.Microsecond
}

// tryTimeout returns how long a try may take.
func (l *latency) tryTimeout(now time.Time, expected time.Duration) time.Duration {
	l.refresh(now)
	if l.p99 == 0 {
		return max(minTryTimeout, firstTimeoutFactor*expected)
	}
	return max(minTryTimeout, timeoutFactor*l.p99)
}
