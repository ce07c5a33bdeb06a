// Package bfquarantine keeps requests that crash backend servers from running
// again.
package bfquarantine

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarferry"
)

const (
	defaultKeep = 10 * time.Minute
	// shareTimeout bounds how long a crash holds up the next try; entries that did
	// not hear of it in time learn of it with the next exchange.
	shareTimeout = 500 * time.Millisecond
	// exchangeEvery is the interval at which an entry asks another one for crashes
	// that it has missed, such as those from before its start.
	exchangeEvery = time.Second
	lockPause     = 10 * time.Millisecond
	// maxWaiting bounds the tries of one fingerprint that wait at an entry while
	// they hold a slot each.
	maxWaiting = 8
	// lockMargin is added to the time that a run may take.
	lockMargin = time.Second
	maxLock    = 2 * time.Minute
)

type (
	// Peers reaches the quarantines of other entries.
	Peers interface {
		// Lock asks the VM for the only run of a fingerprint.
		Lock(ctx context.Context, vm briarferry.VM, r LockRequest) (bool, error)
		// Unlock ends the run.
		Unlock(ctx context.Context, vm briarferry.VM, r LockRequest) error
		// Share tells the VM about crashes and clearances.
		Share(ctx context.Context, vm briarferry.VM, u Update) error
		// Fetch returns what the VM knows.
		Fetch(ctx context.Context, vm briarferry.VM) (Update, error)
	}

	// Update is what entries tell each other.
	Update struct {
		Crashes []Crash `cbor:"1,keyasint,omitempty"`
		// Cleared are fingerprints that have run without a crash just now.
		Cleared []uint64 `cbor:"2,keyasint,omitempty"`
	}

	// Quarantine implements briarferry.Quarantine. Its fields are set before use.
	Quarantine struct {
		Members briarferry.Members
		Peers   Peers
		// Retention returns how long a crash speaks against a fingerprint; nil means 10 min.
		Retention func() time.Duration

		mu       sync.Mutex
		table    *table
		locks    locks
		inFlight map[briarferry.BackendID]map[uint64]int
		waiting  map[uint64]int
	}
)

// Check returns a *briarferry.Refusal where the fingerprint is quarantined.
func (q *Quarantine) Check(fingerprint uint64) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	if q.table.quarantined(fingerprint) {
		return &briarferry.Refusal{
			Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun,
			Reason: "the request is quarantined, since it crashed backend servers", RetryAfter: q.keep(),
		}
	}
	return nil
}

// Enter notes a run. A suspect waits until it is the only run of its fingerprint
// in the whole system.
func (q *Quarantine) Enter(ctx context.Context, fingerprint uint64, b briarferry.Backend) (func(briarferry.RunEnd), error) {
	unlock := func() {}
	if q.isSuspect(fingerprint) {
		var err error
		if unlock, err = q.lock(ctx, fingerprint); err != nil {
			return nil, err
		}
	}
	// Another run may have ended with a crash while this one waited.
	if err := q.Check(fingerprint); err != nil {
		unlock()
		return nil, err
	}
	q.mu.Lock()
	q.track(b.ID(), fingerprint, 1)
	q.mu.Unlock()
	return func(end briarferry.RunEnd) {
		q.leave(ctx, fingerprint, b, end)
		unlock()
	}, nil
}

func (q *Quarantine) isSuspect(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	return q.table.suspect(fingerprint)
}

// leave ends a run and tells the other entries what it showed.
func (q *Quarantine) leave(ctx context.Context, fingerprint uint64, b briarferry.Backend, end briarferry.RunEnd) {
	var u Update
	q.mu.Lock()
	switch end {
	case briarferry.RunCrashed:
		c := Crash{Backend: b.ID(), FailureDomain: b.FailureDomain, Fingerprints: q.present(b.ID(), fingerprint)}
		q.table.add(time.Now(), c)
		u.Crashes = []Crash{c}
	case briarferry.RunAnswered:
		if q.table.clear(time.Now(), fingerprint) {
			u.Cleared = []uint64{fingerprint}
		}
	}
	q.track(b.ID(), fingerprint, -1)
	q.mu.Unlock()
	if len(u.Crashes)+len(u.Cleared) > 0 {
		q.share(context.WithoutCancel(ctx), u)
	}
}

// Receive adds what another entry tells.
func (q *Quarantine) Receive(u Update) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	now := time.Now()
	q.table.expire(now.Add(-q.keep()))
	for _, c := range u.Crashes {
		q.table.add(now, c)
	}
	for _, f := range u.Cleared {
		q.table.clear(now, f)
	}
}

// KnownCrashes returns the crashes that have not expired. It leaves out clearances: passed
// on from entry to entry, they would take effect later and later.
func (q *Quarantine) KnownCrashes() Update {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	now := time.Now()
	q.table.expire(now.Add(-q.keep()))
	var u Update
	for _, c := range q.table.crashes {
		u.Crashes = append(u.Crashes, Crash{
			Backend: c.backend, FailureDomain: c.domain, Age: now.Sub(c.at), Fingerprints: slices.Clone(c.prints),
		})
	}
	return u
}

// AcquireLock answers an entry that asks this one for the only run of a fingerprint.
func (q *Quarantine) AcquireLock(r LockRequest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	r.TTL = min(max(r.TTL, 0), maxLock)
	return q.locks.acquire(time.Now(), r)
}

// ReleaseLock ends the run of a fingerprint that this entry coordinates.
func (q *Quarantine) ReleaseLock(r LockRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	q.locks.release(r)
}

// Run fetches missed crashes from a random entry at intervals until ctx ends.
func (q *Quarantine) Run(ctx context.Context) error {
	ticker := time.NewTicker(exchangeEvery)
	defer ticker.Stop()
	for {
		q.exchange(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (q *Quarantine) exchange(ctx context.Context) {
	others := q.others()
	if len(others) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	if u, err := q.Peers.Fetch(ctx, others[rand.IntN(len(others))]); err == nil {
		q.Receive(u)
	}
}

// share tells all other entries at once and waits for them.
func (q *Quarantine) share(ctx context.Context, u Update) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, vm := range q.others() {
		wg.Go(func() { _ = q.Peers.Share(ctx, vm, u) })
	}
	wg.Wait()
}

func (q *Quarantine) others() []briarferry.VM {
	var others []briarferry.VM
	self := q.Members.Self().Name
	for _, vm := range q.Members.Live() {
		if vm.Name != self {
			others = append(others, vm)
		}
	}
	return others
}

// lock waits for the only run of a suspect fingerprint.
func (q *Quarantine) lock(ctx context.Context, fingerprint uint64) (func(), error) {
	if !q.joinWaiters(fingerprint) {
		return nil, refuseSuspect("too many requests like this one wait since one of them crashed a backend server")
	}
	defer q.leaveWaiters(fingerprint)
	r := LockRequest{Fingerprint: fingerprint, Holder: q.holder(), TTL: maxLock}
	if deadline, ok := ctx.Deadline(); ok {
		r.TTL = time.Until(deadline) + lockMargin
	}
	for {
		owner := q.owner(fingerprint)
		ok, err := q.lockAt(ctx, owner, r)
		if err != nil {
			return nil, refuseSuspect("the entry that coordinates a suspect request can't be reached")
		}
		if ok {
			return func() { q.unlockAt(context.WithoutCancel(ctx), owner, r) }, nil
		}
		select {
		case <-time.After(lockPause):
		case <-ctx.Done():
			return nil, refuseSuspect("another run of the suspect request did not end in time")
		}
		// A clean run in the meantime lifts the suspicion.
		if !q.isSuspect(fingerprint) {
			return func() {}, nil
		}
	}
}

func (q *Quarantine) holder() string {
	return fmt.Sprintf("%s-%x", q.Members.Self().Name, rand.Uint64())
}

func (q *Quarantine) lockAt(ctx context.Context, owner briarferry.VM, r LockRequest) (bool, error) {
	if owner.Name == q.Members.Self().Name {
		return q.AcquireLock(r), nil
	}
	return q.Peers.Lock(ctx, owner, r)
}

func (q *Quarantine) unlockAt(ctx context.Context, owner briarferry.VM, r LockRequest) {
	if owner.Name == q.Members.Self().Name {
		q.ReleaseLock(r)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	_ = q.Peers.Unlock(ctx, owner, r)
}

// owner returns the live VM with the highest hash for the fingerprint, so that
// all entries ask the same one and few fingerprints move when VMs come and go.
func (q *Quarantine) owner(fingerprint uint64) briarferry.VM {
	best, score := q.Members.Self(), uint64(0)
	for _, vm := range q.Members.Live() {
		data := binary.LittleEndian.AppendUint64([]byte(vm.Name), fingerprint)
		if s := xxhash.Sum64(data); s >= score {
			best, score = vm, s
		}
	}
	return best
}

func (q *Quarantine) joinWaiters(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting[fingerprint] >= maxWaiting {
		return false
	}
	q.waiting[fingerprint]++
	return true
}

func (q *Quarantine) leaveWaiters(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting[fingerprint]--; q.waiting[fingerprint] == 0 {
		delete(q.waiting, fingerprint)
	}
}

// track counts a fingerprint in or out at a server. The lock is held.
func (q *Quarantine) track(id briarferry.BackendID, fingerprint uint64, change int) {
	prints, ok := q.inFlight[id]
	if !ok {
		prints = map[uint64]int{}
		q.inFlight[id] = prints
	}
	if prints[fingerprint] += change; prints[fingerprint] <= 0 {
		delete(prints, fingerprint)
	}
	if len(prints) == 0 {
		delete(q.inFlight, id)
	}
}

// present returns the fingerprints in flight at a server, the given one first. The
// lock is held.
func (q *Quarantine) present(id briarferry.BackendID, first uint64) []uint64 {
	prints := []uint64{first}
	for f := range q.inFlight[id] {
		if f != first && len(prints) < maxInFlight {
			prints = append(prints, f)
		}
	}
	return prints
}

func (q *Quarantine) keep() time.Duration {
	if q.Retention != nil {
		return q.Retention()
	}
	return defaultKeep
}

// init makes the tables. The lock is held.
func (q *Quarantine) init() {
	if q.table == nil {
		q.table, q.locks = newTable(), locks{}
		q.inFlight = map[briarferry.BackendID]map[uint64]int{}
		q.waiting = map[uint64]int{}
	}
}

func refuseSuspect(reason string) error {
	return &briarferry.Refusal{
		Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun,
		Reason: reason, RetryAfter: time.Second,
	}
}
