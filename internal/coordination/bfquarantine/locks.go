package bfquarantine

import "time"

const (
	maxLocks      = 4096
	maxExpireScan = 64
)

type (
	// LockRequest asks the coordinator of a suspect fingerprint for the exclusive right to
	// run a request with the fingerprint.
	LockRequest struct {
		Fingerprint uint64 `cbor:"1,keyasint"`
		// Holder identifies the run. Repeating a request with the same holder is safe.
		Holder string `cbor:"2,keyasint"`
		// TTL is the maximum duration of the run. The lock expires after it, in case the
		// entry fails.
		TTL time.Duration `cbor:"3,keyasint"`
	}

	// locks holds the locks of the suspect fingerprints that this entry coordinates.
	locks map[uint64]lock

	lock struct {
		holder    string
		expiresAt time.Time
	}
)

// acquire takes the lock. It returns false while another run holds it or if there are too
// many locks.
func (l locks) acquire(now time.Time, r LockRequest) bool {
	current, ok := l[r.Fingerprint]
	if ok && current.holder != r.Holder && now.Before(current.expiresAt) {
		return false
	}
	if !ok && len(l) >= maxLocks {
		l.expire(now)
		if len(l) >= maxLocks {
			return false
		}
	}
	l[r.Fingerprint] = lock{holder: r.Holder, expiresAt: now.Add(r.TTL)}
	return true
}

func (l locks) release(r LockRequest) {
	if l[r.Fingerprint].holder == r.Holder {
		delete(l, r.Fingerprint)
	}
}

// expire checks up to maxExpireScan locks and removes the expired ones. Scanning the whole
// map on each request would be expensive when it is full.
func (l locks) expire(now time.Time) {
	seen := 0
	for f, current := range l {
		if seen++; seen > maxExpireScan {
			return
		}
		if !now.Before(current.expiresAt) {
			delete(l, f)
		}
	}
}
