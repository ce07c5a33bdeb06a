// Package bfwire holds the messages between the system's processes.
package bfwire

import "briarferry/internal/coordination/bfquarantine"

type (
	// QuarantineLock asks a coordinator for the only run of a suspect fingerprint,
	// or ends that run.
	QuarantineLock = bfquarantine.LockRequest

	// QuarantineLockReply tells whether the run may start.
	QuarantineLockReply struct {
		Granted bool `cbor:"1,keyasint"`
	}

	// QuarantineUpdate carries crashes and clearances between entries.
	QuarantineUpdate = bfquarantine.Update

	// QuarantineQuery asks for the crashes that an entry knows.
	QuarantineQuery struct{}

	// QuarantineAck acknowledges a message that has no answer.
	QuarantineAck struct{}
)
