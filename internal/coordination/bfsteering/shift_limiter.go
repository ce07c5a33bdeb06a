package bfsteering

import (
	"math"
	"sync"
	"time"
)

const (
	// shiftWindow is the span over which the regions' shares are compared. The latest
	// one is kept much shorter: in a window as long, the requests of a busy second would
	// hide that the few of the next one all go elsewhere.
	shiftWindow  = 2 * time.Second
	latestWindow = 500 * time.Millisecond
	shiftBucket  = 100 * time.Millisecond
	shiftSlots   = int(2 * shiftWindow / shiftBucket)
	// shiftShare is the part of the limit that an entry uses; the rest covers chance
	// and the other entries of the region.
	shiftShare = 0.25
	// shiftPrior is the number of requests with the earlier shares that are added to
	// the latest window, so that its first requests don't decide alone.
	shiftPrior = 10
	// minShiftSample is the number of requests in the earlier window below which the
	// shares say nothing.
	minShiftSample = 20
	// disturbedFor is how long a change of the servers suspends the limit, as their
	// work must go elsewhere at once.
	disturbedFor = 5 * time.Second
)

type (
	// shiftLimit keeps the shares of the regions in which requests run from changing
	// faster than the limit allows.
	shiftLimit struct {
		mu   sync.Mutex
		max  float64
		base time.Time
		// started is the bucket of the first request after a silence of two windows.
		started   int64
		buckets   [shiftSlots]map[string]int
		last      int64
		disturbed time.Time
	}
)

func (l *shiftLimit) configure(maxShift float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.max = maxShift
}

func (l *shiftLimit) disturb(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disturbed = now.Add(disturbedFor)
}

// advance empties the buckets that time has passed over.
func (l *shiftLimit) advance(now time.Time) {
	if l.base.IsZero() {
		l.base = now
	}
	at := int64(now.Sub(l.base) / shiftBucket)
	for step := max(l.last+1, at-int64(shiftSlots)+1); step <= at; step++ {
		l.buckets[step%int64(shiftSlots)] = nil
	}
	l.last = max(l.last, at)
}

func (l *shiftLimit) count(now time.Time, region string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	if _, _, all, before := l.sums(); all+before == 0 {
		l.started = l.last
	}
	b := &l.buckets[l.last%int64(shiftSlots)]
	if *b == nil {
		*b = map[string]int{}
	}
	(*b)[region]++
}

// sums returns the requests of each region in the latest window and in the one before.
// After the start of traffic the first window stays the earlier one until another whole
// one has passed: while servers fill up its shares change, and only its whole says
// something.
func (l *shiftLimit) sums() (latest, earlier map[string]int, latestAll, earlierAll int) {
	latest, earlier = map[string]int{}, map[string]int{}
	window, short := int64(shiftWindow/shiftBucket), int64(latestWindow/shiftBucket)
	boundary := l.last - short + 1
	if l.last-l.started < 2*window {
		boundary = l.started + window
	}
	for step := max(0, min(boundary, l.last+1)-window); step <= l.last; step++ {
		for region, n := range l.buckets[step%int64(shiftSlots)] {
			if step >= boundary {
				latest[region] += n
				latestAll += n
			} else {
				earlier[region] += n
				earlierAll += n
			}
		}
	}
	return latest, earlier, latestAll, earlierAll
}

// filter drops the servers of regions whose share would grow too fast. Where it would in
// all regions, as the first request of a window is all of it, the one with the least
// growth is left.
func (l *shiftLimit) filter(now time.Time, list []candidate) []candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.max <= 0 || now.Before(l.disturbed) {
		return list
	}
	l.advance(now)
	latest, earlier, all, before := l.sums()
	if before < minShiftSample || l.last-l.started < int64(shiftWindow/shiftBucket) {
		return list
	}
	growth := map[string]float64{}
	least := math.Inf(1)
	for _, c := range list {
		region := c.server.region
		old := float64(earlier[region]) / float64(before)
		growth[region] = (float64(latest[region])+shiftPrior*old+1)/float64(all+shiftPrior+1) - old
		least = min(least, growth[region])
	}
	kept := make([]candidate, 0, len(list))
	for _, c := range list {
		if growth[c.server.region] <= max(least, shiftShare*l.max) {
			kept = append(kept, c)
		}
	}
	return kept
}
