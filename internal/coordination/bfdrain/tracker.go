package bfdrain

import (
	"sync"
	"sync/atomic"
	"time"

	"briarferry"
)

// Tracker is a Set that is safe for concurrent use by the request path and the status
// page of an entry.
type Tracker struct {
	mu  sync.RWMutex
	set *Set
	// active is false while there is no drain, so that dispatches don't take the lock.
	active atomic.Bool
}

// NewTracker returns a tracker without drains.
func NewTracker(limits Limits) *Tracker { return &Tracker{set: New(limits)} }

// Update sets the drains to those in force and processes the newest readings.
func (t *Tracker) Update(now time.Time, drains []briarferry.Drain, readings []Target) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	err := t.set.Reconcile(drains)
	t.active.Store(len(t.set.drains) > 0)
	t.set.Step(now, readings)
	return err
}

// SetDrains sets the drains to those in force without new readings, so that a status can
// include drains that came into force after the last update.
func (t *Tracker) SetDrains(drains []briarferry.Drain) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	err := t.set.Reconcile(drains)
	t.active.Store(len(t.set.drains) > 0)
	return err
}

// BackendTarget returns the target for a backend server, without a reading.
func BackendTarget(b briarferry.Backend) Target {
	return Target{Kind: briarferry.DrainBackend, Name: b.Address.String(), Service: b.Service, Region: b.Region, FailureDomain: b.FailureDomain}
}

// VMTarget returns the target for a VM, without a reading.
func VMTarget(vm briarferry.VM) Target {
	return Target{Kind: briarferry.DrainVM, Name: vm.Name, Region: vm.Region, FailureDomain: vm.FailureDomain}
}

// BackendMayTakeRequests reports whether a backend server may get new requests.
func (t *Tracker) BackendMayTakeRequests(b briarferry.Backend) bool {
	return !t.active.Load() || t.mayTakeRequests(BackendTarget(b))
}

// VMMayTakeRequests reports whether look-ups may return a VM.
func (t *Tracker) VMMayTakeRequests(vm briarferry.VM) bool {
	return !t.active.Load() || t.mayTakeRequests(VMTarget(vm))
}

func (t *Tracker) mayTakeRequests(target Target) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.set.MayTakeRequests(target)
}

// Progress returns the progress of all drains in the order in which they were added.
func (t *Tracker) Progress(now time.Time) []Progress {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.set.Progress(now)
}
