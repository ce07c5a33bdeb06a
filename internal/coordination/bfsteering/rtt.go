package bfsteering

import (
	"sync"
	"time"
)

const (
	// unknownDelay is the round trip time that is assumed to a region until it is
	// measured.
	unknownDelay = 100 * time.Millisecond
	// delayShare is the weight, as a divisor, of a longer time than the shortest one.
	delayShare = 64
)

// delays are the round trip times to other regions.
type delays struct {
	mu  sync.RWMutex
	rtt map[string]time.Duration
}

func (d *delays) set(region string, rtt time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rtt == nil {
		d.rtt = map[string]time.Duration{}
	}
	old, ok := d.rtt[region]
	if !ok || rtt < old {
		d.rtt[region] = rtt
		return
	}
	// The shortest time counts, but an old one is given up slowly.
	d.rtt[region] = old + (rtt-old)/delayShare
}

func (d *delays) to(region, own string) time.Duration {
	if region == own {
		return 0
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	if rtt, ok := d.rtt[region]; ok {
		return rtt
	}
	return unknownDelay
}
