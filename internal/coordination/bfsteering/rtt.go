package bfsteering

import (
	"sync"
	"time"
)

const (
	// defaultRTT is the round trip time assumed to a region that has not been measured.
	defaultRTT = 100 * time.Millisecond
	// longerRTTDivisor is the inverse weight of a sample that is longer than the stored
	// time.
	longerRTTDivisor = 64
)

// roundTripTimes holds the round trip times to other regions.
type roundTripTimes struct {
	mu  sync.RWMutex
	rtt map[string]time.Duration
}

func (t *roundTripTimes) set(region string, rtt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rtt == nil {
		t.rtt = map[string]time.Duration{}
	}
	old, ok := t.rtt[region]
	if !ok || rtt < old {
		t.rtt[region] = rtt
		return
	}
	// Shorter samples replace the stored time at once, longer ones only raise it slowly.
	t.rtt[region] = old + (rtt-old)/longerRTTDivisor
}

// measured returns the round trip time to a region, or 0 if it has not been measured.
func (t *roundTripTimes) measured(region, ownRegion string) time.Duration {
	if region == ownRegion {
		return 0
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.rtt[region]
}

func (t *roundTripTimes) get(region, ownRegion string) time.Duration {
	if region == ownRegion {
		return 0
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	if rtt, ok := t.rtt[region]; ok {
		return rtt
	}
	return defaultRTT
}
