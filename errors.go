package briarferry

import "github.com/rotisserie/eris"

var (
	// ErrNotLeader is returned by a replica that does not lead; nothing was appended.
	ErrNotLeader = eris.New("briarferry: replica is not the leader")
	// ErrNoLease is returned where an entry holds no valid configuration lease.
	ErrNoLease = eris.New("briarferry: no valid configuration lease")
)
