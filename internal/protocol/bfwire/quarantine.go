package bfwire

import "briarferry/internal/coordination/bfquarantine"

type (
	// QuarantineLock acquires or releases a coordinator's lock on a suspect fingerprint,
	// so that only one request with the fingerprint runs at a time.
	QuarantineLock = bfquarantine.LockRequest

	// QuarantineLockReply reports whether the lock was granted.
	QuarantineLockReply struct {
		Granted bool `cbor:"1,keyasint"`
	}

	// QuarantineUpdate carries crash records and cleared fingerprints between
	// entries.
	QuarantineUpdate = bfquarantine.Update

	// QuarantineQuery asks for the crash records that an entry knows.
	QuarantineQuery struct{}

	// QuarantineAck acknowledges a message that needs no reply.
	QuarantineAck struct{}
)
