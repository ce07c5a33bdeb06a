package bfdrain

import (
	"sync"
	"sync/atomic"
	"time"

	"briarferry"
)

// Tracker is a Set under a lock, for the request path and the status page of an
// entry at the same time.
type Tracker struct {
	mu  sync.RWMutex
	set *Set
	// active is false while there is no drain, so that dispatches skip the lock.
	active atomic.Bool
}

// NewTracker returns a tracker without drains.
func NewTracker(limits Limits) *Tracker { return &Tracker{set: New(limits)} }

// Update takes the list of drains in force and the newest readings.
func (t *Tracker) Update(now time.Time, drains []briarferry.Drain, readings []Target) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	err := t.set.Reconcile(drains)
	t.active.Store(len(t.set.drains) > 0)
	t.set.Step(now, readings)
	return err
}

// SetDrains takes the list of drains in force without new readings, for an answer that
// must not wait for the next update.
func (t *Tracker) SetDrains(drains []briarferry.Drain) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	err := t.set.Reconcile(drains)
	t.active.Store(len(t.set.drains) > 0)
	return err
}

// BackendTarget returns a backend server as a target without readings.
func BackendTarget(b briarferry.Backend) Target {
	return Target{Kind: briarferry.DrainBackend, Name: b.Address.String(), Service: b.Service, Region: b.Region, FailureDomain: b.FailureDomain}
}

// VMTarget returns a VM as a target without readings.
func VMTarget(vm briarferry.VM) Target {
	return Target{Kind: briarferry.DrainVM, Name: vm.Name, Region: vm.Region, FailureDomain: vm.FailureDomain}
}

// MayTakeBackend tells whether a backend server may get new work.
func (t *Tracker) MayTakeBackend(b briarferry.Backend) bool {
	return !t.active.Load() || t.mayTake(BackendTarget(b))
}

// MayTakeVM tells whether look-ups may name a VM.
func (t *Tracker) MayTakeVM(vm briarferry.VM) bool {
	return !t.active.Load() || t.mayTake(VMTarget(vm))
}

func (t *Tracker) mayTake(target Target) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.set.MayTakeWork(target)
}

// Progress describes all drains.
func (t *Tracker) Progress(now time.Time) []Progress {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.set.Progress(now)
}
