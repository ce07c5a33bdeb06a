package bfwire

import "briarferry/internal/coordination/bfquarantine"

type (
	// QuarantineLock asks the entry that coordinates a suspect fingerprint to lock or
	// unlock it, so that only one request with the fingerprint runs at a time.
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

	// QuarantineAck is the empty reply to a message.
	QuarantineAck struct{}
)
