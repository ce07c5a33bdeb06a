// Package bfquarantine prevents requests that crash backend servers from running again.
package bfquarantine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"briarferry"
)

const (
	defaultRetention = 10 * time.Minute
	// peerTimeout bounds how long a crash report delays the next run. Entries that don't
	// receive the report in time get it with their next fetch.
	peerTimeout = 500 * time.Millisecond
	// fetchInterval is the interval at which an entry fetches crashes that it has missed,
	// such as those before its start, from another entry.
	fetchInterval = time.Second
)

type (
	// Peers calls the quarantines of other entries.
	Peers interface {
		// Lock asks the VM for the exclusive right to run a request with the fingerprint.
		Lock(ctx context.Context, vm briarferry.VM, r LockRequest) (bool, error)
		// Unlock releases that right.
		Unlock(ctx context.Context, vm briarferry.VM, r LockRequest) error
		// Share reports crashes and clean runs to the VM.
		Share(ctx context.Context, vm briarferry.VM, u Update) error
		// Fetch returns the crashes that the VM knows.
		Fetch(ctx context.Context, vm briarferry.VM) (Update, error)
	}

	// Update is the information that entries exchange.
	Update struct {
		Crashes []Crash `cbor:"1,keyasint,omitempty"`
		// Cleared lists suspect fingerprints that have just run without a crash.
		Cleared []uint64 `cbor:"2,keyasint,omitempty"`
	}

	// Quarantine implements briarferry.Quarantine. Its fields must be set before use.
	Quarantine struct {
		Members briarferry.Members
		Peers   Peers
		// Retention returns how long a crash counts as evidence against a fingerprint; nil
		// means 10 min.
		Retention func() time.Duration

		mu       sync.Mutex
		table    *crashTable
		locks    locks
		inFlight map[briarferry.BackendID]map[uint64]int
		// waiting counts the runs that wait for a lock.
		waiting map[uint64]int
		known   knownCallers
	}
)

// Check returns a *briarferry.Refusal if the fingerprint is quarantined.
func (q *Quarantine) Check(fingerprint uint64) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	if q.table.isQuarantined(fingerprint) {
		return &briarferry.Refusal{
			Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun,
			Reason: "the request is quarantined, since it crashed backend servers", RetryAfter: q.retention(),
		}
	}
	return nil
}

// StartRun records the start of a run and returns the function that ends it. A suspect
// fingerprint waits until no other run of it is in progress in the whole system, and a new
// caller of a content that crashed servers for several others until no other new caller's is.
func (q *Quarantine) StartRun(ctx context.Context, fingerprint uint64, b briarferry.Backend) (func(briarferry.RunResult), error) {
	unlock := func(briarferry.RunResult) {}
	if key, ok := q.lockKey(fingerprint); ok {
		var err error
		if unlock, err = q.acquireRunLock(ctx, fingerprint, key); err != nil {
			return nil, err
		}
	}
	// Another run may have ended with a crash during the wait.
	if err := q.Check(fingerprint); err != nil {
		unlock(briarferry.RunFailed)
		return nil, err
	}
	q.mu.Lock()
	q.trackInFlight(b.ID(), fingerprint, 1)
	q.mu.Unlock()
	return func(result briarferry.RunResult) {
		q.endRun(ctx, fingerprint, b, result)
		unlock(result)
	}, nil
}

// endRun ends a run and reports a crash or a clean run to the other entries.
func (q *Quarantine) endRun(ctx context.Context, fingerprint uint64, b briarferry.Backend, result briarferry.RunResult) {
	var u Update
	q.mu.Lock()
	switch result {
	case briarferry.RunCrashed:
		c := Crash{Backend: b.ID(), FailureDomain: b.FailureDomain, Fingerprints: q.inFlightFingerprints(b.ID(), fingerprint)}
		q.table.add(time.Now(), c)
		u.Crashes = []Crash{c}
	case briarferry.RunAnswered:
		if q.table.isRecurringContent(fingerprint) {
			q.known.add(fingerprint)
		}
		if q.table.recordCleanRun(time.Now(), fingerprint) {
			u.Cleared = []uint64{fingerprint}
		}
	}
	q.trackInFlight(b.ID(), fingerprint, -1)
	q.mu.Unlock()
	if len(u.Crashes)+len(u.Cleared) > 0 {
		q.broadcast(context.WithoutCancel(ctx), u)
	}
}

// Receive merges an update from another entry.
func (q *Quarantine) Receive(u Update) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	now := time.Now()
	q.table.expire(now.Add(-q.retention()))
	for _, c := range u.Crashes {
		q.table.add(now, c)
	}
	for _, f := range u.Cleared {
		q.table.recordCleanRun(now, f)
	}
}

// KnownCrashes returns the crashes that have not expired. It excludes cleared fingerprints:
// an entry dates a clean run at the time it learns of it, so a forwarded one would also
// clear crashes that followed the run.
func (q *Quarantine) KnownCrashes() Update {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	now := time.Now()
	q.table.expire(now.Add(-q.retention()))
	var u Update
	for _, c := range q.table.crashes {
		u.Crashes = append(u.Crashes, Crash{
			Backend: c.backend, FailureDomain: c.failureDomain, Age: now.Sub(c.at), Fingerprints: slices.Clone(c.fingerprints),
		})
	}
	return u
}

// AcquireLock handles another entry's request for the exclusive right to run a request with
// a fingerprint that this entry coordinates. It reports whether the lock was granted.
func (q *Quarantine) AcquireLock(r LockRequest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	r.TTL = min(max(r.TTL, 0), maxLockTTL)
	return q.locks.acquire(time.Now(), r)
}

// ReleaseLock releases the lock of a fingerprint that this entry coordinates.
func (q *Quarantine) ReleaseLock(r LockRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	q.locks.release(r)
}

// Run periodically fetches missed crashes from a random entry until ctx is done.
func (q *Quarantine) Run(ctx context.Context) error {
	ticker := time.NewTicker(fetchInterval)
	defer ticker.Stop()
	for {
		q.fetchMissedCrashes(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (q *Quarantine) fetchMissedCrashes(ctx context.Context) {
	peers := q.peers()
	if len(peers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if u, err := q.Peers.Fetch(ctx, peers[rand.IntN(len(peers))]); err == nil {
		q.Receive(u)
	}
}

// broadcast sends the update to all other entries concurrently and waits for them.
func (q *Quarantine) broadcast(ctx context.Context, u Update) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, vm := range q.peers() {
		wg.Go(func() { _ = q.Peers.Share(ctx, vm, u) })
	}
	wg.Wait()
}

func (q *Quarantine) peers() []briarferry.VM {
	var peers []briarferry.VM
	self := q.Members.Self().Name
	for _, vm := range q.Members.Live() {
		if vm.Name != self {
			peers = append(peers, vm)
		}
	}
	return peers
}

// trackInFlight changes the number of runs of a fingerprint at a server. The mutex must be
// held.
func (q *Quarantine) trackInFlight(id briarferry.BackendID, fingerprint uint64, change int) {
	fingerprints, ok := q.inFlight[id]
	if !ok {
		fingerprints = map[uint64]int{}
		q.inFlight[id] = fingerprints
	}
	if fingerprints[fingerprint] += change; fingerprints[fingerprint] <= 0 {
		delete(fingerprints, fingerprint)
	}
	if len(fingerprints) == 0 {
		delete(q.inFlight, id)
	}
}

// inFlightFingerprints returns the fingerprints in flight at a server, starting with the
// given one. The mutex must be held.
func (q *Quarantine) inFlightFingerprints(id briarferry.BackendID, first uint64) []uint64 {
	fingerprints := []uint64{first}
	for f := range q.inFlight[id] {
		if f != first && len(fingerprints) < maxFingerprints {
			fingerprints = append(fingerprints, f)
		}
	}
	return fingerprints
}

func (q *Quarantine) retention() time.Duration {
	if q.Retention != nil {
		return q.Retention()
	}
	return defaultRetention
}

// init creates the tables on first use. The mutex must be held.
func (q *Quarantine) init() {
	if q.table == nil {
		q.table, q.locks = newTable(), locks{}
		q.inFlight = map[briarferry.BackendID]map[uint64]int{}
		q.waiting = map[uint64]int{}
		q.known = knownCallers{}
	}
}
