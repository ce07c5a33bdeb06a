package bfquarantine

import "time"

const (
	maxLocks   = 4096
	expireScan = 64
)

type (
	// LockRequest asks the coordinator for the only run of a suspect fingerprint.
	LockRequest struct {
		Fingerprint uint64 `cbor:"1,keyasint"`
		// Holder identifies the run; a repeated request with it is safe.
		Holder string `cbor:"2,keyasint"`
		// TTL is how long the run may last; the lock ends by itself afterwards, in
		// case its entry dies.
		TTL time.Duration `cbor:"3,keyasint"`
	}

	// locks are the runs of suspect fingerprints that this entry coordinates.
	locks map[uint64]lock

	lock struct {
		holder string
		until  time.Time
	}
)

// acquire takes the lock; it is false while another run holds it.
func (l locks) acquire(now time.Time, r LockRequest) bool {
	held, ok := l[r.Fingerprint]
	if ok && held.holder != r.Holder && now.Before(held.until) {
		return false
	}
	if !ok && len(l) >= maxLocks {
		l.expire(now)
		if len(l) >= maxLocks {
			return false
		}
	}
	l[r.Fingerprint] = lock{holder: r.Holder, until: now.Add(r.TTL)}
	return true
}

func (l locks) release(r LockRequest) {
	if l[r.Fingerprint].holder == r.Holder {
		delete(l, r.Fingerprint)
	}
}

// expire drops ended locks among a few entries; a full scan for each request would
// make a full table expensive.
func (l locks) expire(now time.Time) {
	seen := 0
	for f, held := range l {
		if seen++; seen > expireScan {
			return
		}
		if !now.Before(held.until) {
			delete(l, f)
		}
	}
}
