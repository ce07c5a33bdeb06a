// Package bflease grants leases on the configuration to entries. A change is accepted
// only when no entry can use an older configuration any more.
package bflease

import (
	"context"
	"time"

	"briarferry"
	"briarferry/internal/state/bfmachine"
)

const (
	// Duration is how long a lease is valid, counted by its entry from when it sent the
	// request.
	Duration = 3 * time.Second
	// leaderLeaseDuration is how long the leader counts a lease as valid, from when it
	// replied. The 10% margin covers clocks that run at different rates.
	leaderLeaseDuration = Duration + Duration/10
	// LongPollTimeout is how long a sync call waits for a new revision.
	LongPollTimeout = 500 * time.Millisecond
	// freezeThreshold is the age of an entry's last tick above which its process counts
	// as frozen.
	freezeThreshold = 250 * time.Millisecond
	// tickInterval is the time between two ticks. Four ticks in a row may be missed
	// before freezeThreshold is exceeded.
	tickInterval = 50 * time.Millisecond
)

type (
	// SyncRequest asks for a lease and reports the revision that the entry has applied.
	SyncRequest struct {
		Entry string `cbor:"e"`
		// Incarnation distinguishes a restarted entry from its previous process, which
		// may be frozen and still hold a lease.
		Incarnation uint64 `cbor:"i"`
		// Revision is the revision that the entry has applied. The entry never applies an
		// older one afterwards.
		Revision uint64 `cbor:"r"`
		// Full asks for the full state instead of a delta.
		Full bool `cbor:"f,omitempty"`
	}

	// SyncReply grants a lease for the state at the revision. Delta or Full is set if the
	// entry has an older state, and Full also if the request asked for it.
	SyncReply struct {
		Revision    uint64                 `cbor:"r"`
		Checksum    uint64                 `cbor:"c"`
		CommitIndex uint64                 `cbor:"x"`
		Lease       time.Duration          `cbor:"l"`
		Full        *bfmachine.ConfigState `cbor:"f,omitempty"`
		Delta       *bfmachine.Delta       `cbor:"d,omitempty"`
	}

	// Transport sends a sync call to the leader.
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
		f.Add("delta", "must not be set together with a full state")
	}
	if r.Full != nil {
		f.Merge("full", r.Full.Validate())
	}
	return f
}
