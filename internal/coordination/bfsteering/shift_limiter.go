package bfsteering

import (
	"math"
	"sync"
	"time"
)

const (
	// shiftWindow is the length of the windows whose region shares are compared. The latest
	// window is shortened to latestWindow: in a full window, the many requests of a busy
	// second would hide that the few of the next second all go to another region.
	shiftWindow  = 2 * time.Second
	latestWindow = 500 * time.Millisecond
	bucketLength = 100 * time.Millisecond
	bucketCount  = int(2 * shiftWindow / bucketLength)
	// entryShiftShare is the share of the limit that an entry uses. The rest is headroom
	// for random variation and for the other entries of the region.
	entryShiftShare = 0.25
	// priorRequests is the number of requests with the earlier shares that are added to the
	// latest window, so that its first requests alone don't determine its shares.
	priorRequests = 10
	// minEarlierRequests is the number of requests in the earlier window below which its
	// shares are not significant.
	minEarlierRequests = 20
	// shiftSuspension is how long the limit is suspended after a change of the servers, as
	// the requests of lost servers must move at once.
	shiftSuspension = 5 * time.Second
)

type (
	// shiftLimiter limits how fast the shares of the regions in which requests run may
	// change.
	shiftLimiter struct {
		mu       sync.Mutex
		maxShift float64
		base     time.Time
		// firstBucket is the bucket of the first request after a time in which both windows
		// had no requests.
		firstBucket    int64
		buckets        [bucketCount]map[string]int
		latest         int64
		suspendedUntil time.Time
	}
)

func (l *shiftLimiter) configure(limit float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxShift = limit
}

func (l *shiftLimiter) suspend(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspendedUntil = now.Add(shiftSuspension)
}

// suspended reports whether the limit is suspended.
func (l *shiftLimiter) suspended(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.suspendedUntil)
}

// advance clears the buckets after the latest one, up to and including the current one.
func (l *shiftLimiter) advance(now time.Time) {
	if l.base.IsZero() {
		l.base = now
	}
	current := int64(now.Sub(l.base) / bucketLength)
	for bucket := max(l.latest+1, current-int64(bucketCount)+1); bucket <= current; bucket++ {
		l.buckets[bucket%int64(bucketCount)] = nil
	}
	l.latest = max(l.latest, current)
}

func (l *shiftLimiter) record(now time.Time, region string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	if _, _, latestAll, earlierAll := l.windowCounts(); latestAll+earlierAll == 0 {
		l.firstBucket = l.latest
	}
	b := &l.buckets[l.latest%int64(bucketCount)]
	if *b == nil {
		*b = map[string]int{}
	}
	(*b)[region]++
}

// windowCounts returns the requests per region, and their total, of the latest window and
// the one before. After the start of traffic the first window remains the earlier one until
// another full window has passed: its shares change while the servers' load builds up, so
// only the whole window is significant.
func (l *shiftLimiter) windowCounts() (latest, earlier map[string]int, latestAll, earlierAll int) {
	latest, earlier = map[string]int{}, map[string]int{}
	windowLength, latestLength := int64(shiftWindow/bucketLength), int64(latestWindow/bucketLength)
	boundary := l.latest - latestLength + 1
	if l.latest-l.firstBucket < 2*windowLength {
		boundary = l.firstBucket + windowLength
	}
	for bucket := max(0, min(boundary, l.latest+1)-windowLength); bucket <= l.latest; bucket++ {
		for region, n := range l.buckets[bucket%int64(bucketCount)] {
			if bucket >= boundary {
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

// filter drops the servers of regions whose share would grow too fast. If it would in all
// regions, as with the first request of a window, the regions with the least growth remain.
func (l *shiftLimiter) filter(now time.Time, list []candidate) []candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxShift <= 0 || now.Before(l.suspendedUntil) {
		return list
	}
	l.advance(now)
	latest, earlier, latestAll, earlierAll := l.windowCounts()
	if earlierAll < minEarlierRequests || l.latest-l.firstBucket < int64(shiftWindow/bucketLength) {
		return list
	}
	growth := map[string]float64{}
	least := math.Inf(1)
	for _, c := range list {
		region := c.server.region
		share := float64(earlier[region]) / float64(earlierAll)
		growth[region] = (float64(latest[region])+priorRequests*share+1)/float64(latestAll+priorRequests+1) - share
		least = min(least, growth[region])
	}
	kept := list[:0]
	for _, c := range list {
		if growth[c.server.region] <= max(least, entryShiftShare*l.maxShift) {
			kept = append(kept, c)
		}
	}
	return kept
}
