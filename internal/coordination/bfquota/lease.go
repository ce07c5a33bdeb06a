package bfquota

import (
	"slices"
	"time"
)

type (
	// lease is a bucket that fills at a rate.
	lease struct {
		share       uint32
		rate, depth float64
		tokens      float64
		filledAt    time.Duration
		history     history
		end         time.Duration
	}

	// batch is a number of single tokens that may be used until end.
	batch struct {
		tokens uint32
		since  time.Duration
		end    time.Duration
	}
)

// fill adds the tokens that have come. A lease that has ended has none.
func (l *lease) fill(now time.Duration) {
	if now >= l.end {
		*l = lease{filledAt: now}
		l.history.begin(now)
		return
	}
	if now > l.filledAt {
		l.tokens += l.rate * (now - l.filledAt).Seconds()
		l.filledAt = now
	}
	l.tokens = min(l.tokens, l.depth)
	l.history.observe(now, l.tokens, l.depth)
}

// next returns the time until the lease has a token.
func (l *lease) next() (time.Duration, bool) {
	if l.rate <= 0 {
		return 0, false
	}
	return time.Duration(max(0, 1-l.tokens) / l.rate * float64(time.Second)), true
}

// takeFrom takes a token and returns its end. It drops those that have ended.
func takeFrom(batches *[]batch, now time.Duration) (end time.Duration, ok bool) {
	dropEnded(batches, now)
	if len(*batches) == 0 {
		return 0, false
	}
	b := &(*batches)[0]
	end = b.end
	b.tokens--
	if b.tokens == 0 {
		*batches = slices.Delete(*batches, 0, 1)
	}
	return end, true
}

func dropEnded(batches *[]batch, now time.Duration) {
	*batches = slices.DeleteFunc(*batches, func(b batch) bool { return now >= b.end })
}

func count(batches []batch) uint32 {
	n := uint32(0)
	for _, b := range batches {
		n += b.tokens
	}
	return n
}
