// Package bflease hands configuration leases from the leader to entries, so that
// an accepted change is never in force next to work under an older one.
package bflease

import (
	"context"
	"time"

	"briarferry"
	"briarferry/internal/state/bfmachine"
)

const (
	// Duration is how long a lease lasts from the moment its entry asked for it.
	Duration = 3 * time.Second
	// leaderDuration is the same lease as the leader counts it, from the moment it
	// answered: a 10% margin covers clocks that run at different rates.
	leaderDuration = Duration + Duration/10
	// LongPollTimeout is how long a sync call is held open while nothing is new.
	LongPollTimeout = 500 * time.Millisecond
	// freezeLimit is the age of an entry's clock tick from which it counts as frozen.
	freezeLimit = 250 * time.Millisecond
	// tickInterval leaves room for four late ticks before the limit.
	tickInterval = 50 * time.Millisecond
)

type (
	// SyncRequest asks for a lease and tells what the entry has applied.
	SyncRequest struct {
		Entry string `cbor:"e"`
		// Incarnation tells a restarted entry from its frozen predecessor, which may
		// still hold a lease.
		Incarnation uint64 `cbor:"i"`
		// Revision is the revision that the entry has applied and will not go below.
		Revision uint64 `cbor:"r"`
		// Full asks for the whole state.
		Full bool `cbor:"f,omitempty"`
	}

	// SyncReply grants a lease under the state with the revision. Delta or Full is
	// set where the entry has an older one.
	SyncReply struct {
		Revision    uint64                 `cbor:"r"`
		Checksum    uint64                 `cbor:"c"`
		CommitIndex uint64                 `cbor:"x"`
		Lease       time.Duration          `cbor:"l"`
		Full        *bfmachine.ConfigState `cbor:"f,omitempty"`
		Delta       *bfmachine.Delta       `cbor:"d,omitempty"`
	}

	// Transport carries a sync call to the leader.
	Transport interface {
		Sync(ctx context.Context, r SyncRequest) (SyncReply, error)
	}
)

// Validate reports every field that is out of range.
func (r *SyncRequest) Validate() briarferry.Findings {
	var f briarferry.Findings
	if !briarferry.ValidName(r.Entry) {
		f.Add("entry", "must be a name: %q", r.Entry)
	}
	return f
}

// Validate reports every field that is out of range.
func (r *SyncReply) Validate() briarferry.Findings {
	var f briarferry.Findings
	if r.Lease < 0 || r.Lease > Duration {
		f.Add("lease", "must be at most %s", Duration)
	}
	if r.Full != nil && r.Delta != nil {
		f.Add("delta", "must not stand next to a full state")
	}
	if r.Full != nil {
		f.Merge("full", r.Full.Validate())
	}
	return f
}
