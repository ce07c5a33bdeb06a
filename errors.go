package briarferry

import "github.com/rotisserie/eris"

var (
	// ErrNotLeader is returned by a replica that is not the leader. Nothing was
	// appended to the log.
	ErrNotLeader = eris.New("briarferry: replica is not the leader")
	// ErrNoLease is returned by an entry without a valid configuration lease.
	ErrNoLease = eris.New("briarferry: no valid configuration lease")
)
