package bfdrain

import (
	"sync"
	"time"

	"briarferry"
)

// Tracker is a Set under a lock, for the request path and the status page of an
// entry at the same time.
type Tracker struct {
	mu  sync.RWMutex
	set *Set
}

// NewTracker returns a tracker without drains.
func NewTracker(limits Limits) *Tracker { return &Tracker{set: New(limits)} }

// Update takes the list of drains in force and the newest readings.
func (t *Tracker) Update(now time.Time, drains []briarferry.Drain, readings []Target) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	err := t.set.Reconcile(drains)
	t.set.Step(now, readings)
	return err
}

// MayTakeBackend tells whether a backend server may get new work.
func (t *Tracker) MayTakeBackend(b briarferry.Backend) bool {
	return t.mayTake(Target{Kind: briarferry.DrainBackend, Name: b.Address.String(), Service: b.Service, Region: b.Region, FailureDomain: b.FailureDomain})
}

// MayTakeVM tells whether look-ups may name a VM.
func (t *Tracker) MayTakeVM(vm briarferry.VM) bool {
	return t.mayTake(Target{Kind: briarferry.DrainVM, Name: vm.Name, Region: vm.Region, FailureDomain: vm.FailureDomain})
}

func (t *Tracker) mayTake(target Target) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.set.drains) == 0 || t.set.MayTakeWork(target)
}

// Progress describes all drains.
func (t *Tracker) Progress(now time.Time) []Progress {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.set.Progress(now)
}
