package bfreturn

import "time"

const (
	// tickLength is the length of the intervals in which requests are counted and told to
	// come back.
	tickLength  = 100 * time.Millisecond
	recentTicks = 10
)

type (
	// clock numbers the intervals since its first use.
	clock struct{ start time.Time }

	// recent counts events in the last recentTicks intervals.
	recent struct {
		counts [recentTicks]int32
		latest int64
	}
)

func (c *clock) tick(now time.Time) int64 {
	if c.start.IsZero() {
		c.start = now
	}
	return int64(max(0, now.Sub(c.start)) / tickLength)
}

func (c *clock) startOf(tick int64) time.Time {
	return c.start.Add(time.Duration(tick) * tickLength)
}

func (r *recent) advance(tick int64) {
	for t := max(r.latest+1, tick-recentTicks+1); t <= tick; t++ {
		r.counts[t%recentTicks] = 0
	}
	r.latest = max(r.latest, tick)
}

func (r *recent) add(tick int64) {
	r.advance(tick)
	r.counts[r.latest%recentTicks]++
}

func (r *recent) sum(tick int64) float64 {
	r.advance(tick)
	total := int32(0)
	for _, n := range r.counts {
		total += n
	}
	return float64(total)
}
