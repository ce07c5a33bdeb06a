package bfquarantine

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarferry"
)

const (
	lockRetryInterval = 10 * time.Millisecond
	// maxWaitingRuns limits the runs that wait for one lock at an entry, as each of them
	// occupies a slot.
	maxWaitingRuns = 8
	// lockTTLMargin is added to the maximum duration of a run.
	lockTTLMargin = time.Second
	maxLockTTL    = 2 * time.Minute
	// contentCrashPause is the time after a crash by a new caller in which no other new caller
	// runs the same content. It bounds the crashes by a caller that changes its address.
	contentCrashPause = 2 * time.Second
	maxKnownCallers   = 4096
)

// knownCallers holds fingerprints that ran without a crash although their content crashed
// servers for other callers.
type knownCallers map[uint64]struct{}

func (k knownCallers) has(fingerprint uint64) bool {
	_, ok := k[fingerprint]
	return ok
}

// add adds the fingerprint. If there are too many, it replaces any other one, whose next run
// waits for its content's lock.
func (k knownCallers) add(fingerprint uint64) {
	if k.has(fingerprint) {
		return
	}
	if len(k) >= maxKnownCallers {
		for other := range k {
			delete(k, other)
			break
		}
	}
	k[fingerprint] = struct{}{}
}

// lockKey returns the key of the lock that a run with the fingerprint needs, if any. It is the
// content's for a new caller of a content that crashed servers for several other callers, and
// the fingerprint's own for a suspect one.
func (q *Quarantine) lockKey(fingerprint uint64) (uint64, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	if !q.known.has(fingerprint) && q.table.isCrashingContent(fingerprint) {
		return briarferry.NewFingerprint(uint64(briarferry.FingerprintContent(fingerprint)), 0), true
	}
	return fingerprint, q.table.isSuspect(fingerprint)
}

// acquireRunLock waits for the lock with the key, and returns the function that ends the run
// that holds it.
func (q *Quarantine) acquireRunLock(ctx context.Context, fingerprint, key uint64) (func(briarferry.RunResult), error) {
	if !q.addWaiter(key) {
		return nil, refuseSuspect("too many requests like this one wait since one of them crashed a backend server")
	}
	defer q.removeWaiter(key)
	r := LockRequest{Fingerprint: key, Holder: q.newHolder(), TTL: maxLockTTL}
	if deadline, ok := ctx.Deadline(); ok {
		r.TTL = time.Until(deadline) + lockTTLMargin
	}
	for {
		coordinator := q.coordinator(key)
		ok, err := q.acquireLockAt(ctx, coordinator, r)
		if err != nil {
			// The lock may have been granted although no answer came.
			go q.releaseLockAt(context.WithoutCancel(ctx), coordinator, r)
			return nil, refuseSuspect("the entry that coordinates a suspect request can't be reached")
		}
		if ok {
			return func(result briarferry.RunResult) {
				q.endLock(context.WithoutCancel(ctx), coordinator, r, key != fingerprint && result == briarferry.RunCrashed)
			}, nil
		}
		select {
		case <-time.After(lockRetryInterval):
		case <-ctx.Done():
			return nil, refuseSuspect("another run of the suspect request did not end in time")
		}
		// Runs that ended in the meantime may have changed which lock is needed.
		current, needed := q.lockKey(fingerprint)
		if !needed {
			return func(briarferry.RunResult) {}, nil
		}
		if current != key {
			return q.acquireRunLock(ctx, fingerprint, current)
		}
	}
}

// endLock releases the lock after a run. If the run of a new caller's request crashed a server,
// the lock is held for the crash pause instead.
func (q *Quarantine) endLock(ctx context.Context, coordinator briarferry.VM, r LockRequest, pause bool) {
	if !pause {
		q.releaseLockAt(ctx, coordinator, r)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	r.TTL = contentCrashPause
	_, _ = q.acquireLockAt(ctx, coordinator, r)
}

func (q *Quarantine) newHolder() string {
	return fmt.Sprintf("%s-%x", q.Members.Self().Name, rand.Uint64())
}

func (q *Quarantine) acquireLockAt(ctx context.Context, coordinator briarferry.VM, r LockRequest) (bool, error) {
	if coordinator.Name == q.Members.Self().Name {
		return q.AcquireLock(r), nil
	}
	return q.Peers.Lock(ctx, coordinator, r)
}

func (q *Quarantine) releaseLockAt(ctx context.Context, coordinator briarferry.VM, r LockRequest) {
	if coordinator.Name == q.Members.Self().Name {
		q.ReleaseLock(r)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	_ = q.Peers.Unlock(ctx, coordinator, r)
}

// coordinator returns the live VM with the highest hash for the fingerprint. All entries
// choose the same one, and few fingerprints move when VMs join or leave.
func (q *Quarantine) coordinator(fingerprint uint64) briarferry.VM {
	best, bestHash := q.Members.Self(), uint64(0)
	for _, vm := range q.Members.Live() {
		data := binary.LittleEndian.AppendUint64([]byte(vm.Name), fingerprint)
		if hash := xxhash.Sum64(data); hash >= bestHash {
			best, bestHash = vm, hash
		}
	}
	return best
}

func (q *Quarantine) addWaiter(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting[fingerprint] >= maxWaitingRuns {
		return false
	}
	q.waiting[fingerprint]++
	return true
}

func (q *Quarantine) removeWaiter(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting[fingerprint]--; q.waiting[fingerprint] == 0 {
		delete(q.waiting, fingerprint)
	}
}

func refuseSuspect(reason string) error {
	return &briarferry.Refusal{
		Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun,
		Reason: reason, RetryAfter: time.Second,
	}
}
