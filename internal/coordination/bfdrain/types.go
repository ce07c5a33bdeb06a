// Package bfdrain tracks announced drains until their targets are empty. The set is
// a pure state machine: the caller passes time and readings in.
package bfdrain

import (
	"strings"
	"time"

	"briarferry"
)

const (
	// KindBackendServer drains one backend server, named by its address.
	KindBackendServer Kind = "backend_server"
	// KindVM drains one entry VM.
	KindVM Kind = "vm"
	// KindFailureDomain drains all of a failure domain, named as domain or
	// region/domain.
	KindFailureDomain Kind = "failure_domain"
	// KindRegion drains all of a region.
	KindRegion Kind = "region"
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
	// StopWithin is the time after which a drained target gets no new work.
	StopWithin = 3 * time.Second

	// maxDrains bounds the drains that are tracked at a time.
	maxDrains = 4096
)

type (
	// Kind is what a drain applies to.
	Kind string

	// State is how far a drain has come.
	State string

	// Drain is an operator's order.
	Drain struct {
		ID     string `json:"id"`
		Kind   Kind   `json:"kind"`
		Target string `json:"target"`
	}

	// Target is a backend server or a VM as it was last heard.
	Target struct {
		// Kind is KindBackendServer or KindVM.
		Kind Kind
		// Name is the address of a backend server or the name of a VM.
		Name          string
		Service       string
		Region        string
		FailureDomain string
		// Capacity and InFlight are in requests at a time.
		Capacity int
		InFlight int
		// Age is the age of the reading.
		Age time.Duration
	}

	// Limits bounds the pace of drains.
	Limits struct {
		LookupTTL time.Duration
		// FillShare is the share of the remaining capacity that the load may take.
		FillShare float64
		// Silence is the age from which a reading counts as missing.
		Silence time.Duration
	}

	// Progress describes a drain to operators.
	Progress struct {
		Drain
		State State
		// Targets, Begun and Empty count what the drain covers.
		Targets, Begun, Empty int
		InFlight              int
		// Silent counts targets that have begun and whose readings are missing; they
		// never count as empty.
		Silent int
		// BreaksLimit tells that the remaining capacity is too small for the load.
		BreaksLimit bool
		// Remaining estimates the time until the drain is empty, where Known.
		Remaining time.Duration
		Known     bool
	}
)

// DefaultLimits returns the limits of the design page.
func DefaultLimits() Limits {
	return Limits{LookupTTL: 5 * time.Second, FillShare: 0.9, Silence: 3 * time.Second}
}

// Validate reports every field that is out of range.
func (d *Drain) Validate() briarferry.Findings {
	var f briarferry.Findings
	if !briarferry.ValidName(d.ID) {
		f.Add("id", "must be a name: %q", d.ID)
	}
	switch d.Kind {
	case KindBackendServer, KindVM, KindFailureDomain, KindRegion:
	default:
		f.Add("kind", "must be backend_server, vm, failure_domain or region: %q", d.Kind)
	}
	if d.Target == "" || len(d.Target) > 128 {
		f.Add("target", "must have 1 to 128 bytes")
	}
	return f
}

// Covers tells whether the drain applies to a target.
func (d *Drain) Covers(t Target) bool {
	switch d.Kind {
	case KindBackendServer, KindVM:
		return t.Kind == d.Kind && t.Name == d.Target
	case KindFailureDomain:
		if region, domain, ok := strings.Cut(d.Target, "/"); ok {
			return t.Region == region && t.FailureDomain == domain
		}
		return t.FailureDomain == d.Target
	case KindRegion:
		return t.Region == d.Target
	}
	return false
}

// paced tells whether the drain's targets wait for capacity. A single server or VM
// begins at once, since it is about to leave anyway; the breach is only reported.
func (d *Drain) paced() bool { return d.Kind == KindFailureDomain || d.Kind == KindRegion }
