// Package bfdrain tracks drains until their targets have no requests in flight. Set is
// a pure state machine: the caller passes the time and the readings of the targets.
package bfdrain

import (
	"time"

	"briarferry"
)

const (
	// StateWaiting means that no target has started to drain, for lack of capacity.
	StateWaiting State = "waiting"
	// StateStopping means that some entries may not know of the drain yet and may still
	// send new requests.
	StateStopping State = "stopping"
	// StateEmptying means that the targets complete their requests in flight.
	StateEmptying State = "emptying"
	// StateEmpty means that the targets may be stopped.
	StateEmpty State = "empty"
)

const (
	// PropagationTime is the time after which a drained target gets no new requests,
	// since all entries know of the drain.
	PropagationTime = 3 * time.Second

	// maxDrains bounds the number of drains in a Set.
	maxDrains = 4096
)

type (
	// State is the stage that a drain has reached.
	State string

	// Target is a backend server or a VM with its last known reading.
	Target struct {
		// Kind is DrainBackend or DrainVM.
		Kind briarferry.DrainKind
		// Name is the address of a backend server or the name of a VM.
		Name          string
		Service       string
		Region        string
		FailureDomain string
		// Capacity and InFlight are numbers of concurrent requests; a Capacity of 0 means
		// that it is unknown.
		Capacity int
		InFlight int
		// Age is the age of the reading.
		Age time.Duration
	}

	// Limits determines when targets may start to drain and when they count as empty.
	Limits struct {
		// LookupTTL is how long callers may cache a look-up.
		LookupTTL time.Duration
		// MaxUtilization is the share of the remaining capacity that the load may use.
		MaxUtilization float64
		// StaleAfter is the age from which a reading counts as stale.
		StaleAfter time.Duration
	}

	// Progress describes a drain to operators.
	Progress struct {
		briarferry.Drain
		State State
		// Targets counts the targets that the drain covers, Started those that have
		// started to drain, and Empty those that may be stopped.
		Targets, Started, Empty int
		InFlight                int
		// Stale counts targets that have started to drain and whose reading is stale;
		// they never count as empty.
		Stale int
		// InsufficientCapacity reports that the remaining capacity is too small for the
		// load.
		InsufficientCapacity bool
		// Remaining is the estimated time until the drain is empty; it is valid if
		// RemainingKnown.
		Remaining      time.Duration
		RemainingKnown bool
	}
)

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{LookupTTL: 5 * time.Second, MaxUtilization: 0.9, StaleAfter: 3 * time.Second}
}

// Covers reports whether a drain applies to a target.
func Covers(d briarferry.Drain, t Target) bool {
	switch d.Kind {
	case briarferry.DrainBackend, briarferry.DrainVM:
		return t.Kind == d.Kind && t.Name == d.Target
	case briarferry.DrainFailureDomain:
		return t.FailureDomain == d.Target
	case briarferry.DrainRegion:
		return t.Region == d.Target
	}
	return false
}

// waitsForCapacity reports whether the targets of a drain wait for capacity before they
// start. A single backend server or VM starts at once, since it is about to stop anyway;
// a lack of capacity is only reported.
func waitsForCapacity(k briarferry.DrainKind) bool {
	return k == briarferry.DrainFailureDomain || k == briarferry.DrainRegion
}
