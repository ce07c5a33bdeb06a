// Package bfdrain tracks announced drains until their targets are empty. The set is
// a pure state machine: the caller passes time and readings in.
package bfdrain

import (
	"time"

	"briarferry"
)

const (
	// StateWaiting is a drain of which no target has begun, for lack of capacity.
	StateWaiting State = "waiting"
	// StateStopping is the time in which every process learns of the drain.
	StateStopping State = "stopping"
	// StateEmptying is a drain whose targets finish their requests.
	StateEmptying State = "emptying"
	// StateEmpty is a drain whose targets may be stopped.
	StateEmpty State = "empty"
)

const (
	// PropagationTime is the time after which a drained target gets no new work.
	PropagationTime = 3 * time.Second

	// maxDrains bounds the drains that are tracked at a time.
	maxDrains = 4096
)

type (
	// State is how far a drain has come.
	State string

	// Target is a backend server or a VM as it was last heard.
	Target struct {
		// Kind is DrainBackend or DrainVM.
		Kind briarferry.DrainKind
		// Name is the address of a backend server or the name of a VM.
		Name          string
		Service       string
		Region        string
		FailureDomain string
		// Capacity and InFlight are in requests at a time; a Capacity of 0 is unknown.
		Capacity int
		InFlight int
		// Age is the age of the reading.
		Age time.Duration
	}

	// Limits bounds the pace of drains.
	Limits struct {
		LookupTTL time.Duration
		// MaxUtilization is the share of the remaining capacity that the load may take.
		MaxUtilization float64
		// StaleAfter is the age from which a reading counts as missing.
		StaleAfter time.Duration
	}

	// Progress describes a drain to operators.
	Progress struct {
		briarferry.Drain
		State State
		// Targets, Started and Empty count what the drain covers.
		Targets, Started, Empty int
		InFlight                int
		// Stale counts targets that have begun and whose readings are missing; they
		// never count as empty.
		Stale int
		// BreaksLimit tells that the remaining capacity is too small for the load.
		BreaksLimit bool
		// Remaining estimates the time until the drain is empty, where RemainingKnown.
		Remaining      time.Duration
		RemainingKnown bool
	}
)

// DefaultLimits returns the limits of the design page.
func DefaultLimits() Limits {
	return Limits{LookupTTL: 5 * time.Second, MaxUtilization: 0.9, StaleAfter: 3 * time.Second}
}

// Covers tells whether a drain applies to a target.
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

// paced tells whether the drain's targets wait for capacity. A single server or VM
// begins at once, since it is about to leave anyway; the breach is only reported.
func paced(k briarferry.DrainKind) bool {
	return k == briarferry.DrainFailureDomain || k == briarferry.DrainRegion
}
