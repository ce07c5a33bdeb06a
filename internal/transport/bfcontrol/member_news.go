package bfcontrol

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"briarferry/internal/protocol/bfwire"
)

// memberNewsTime is how long all heartbeats list the members after they have changed.
const memberNewsTime = 4 * time.Second

// memberNews decides which heartbeats list the members of the group.
type memberNews struct {
	mu        sync.Mutex
	members   []netip.Addr
	changedAt time.Time
}

// due reports whether the answer to the heartbeat with this sequence lists the members. An
// entry's first heartbeat gets the list.
func (n *memberNews) due(now time.Time, sequence uint64, members []netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !slices.Equal(n.members, members) {
		n.members, n.changedAt = members, now
	}
	return sequence%bfwire.MemberListInterval == 1 || now.Sub(n.changedAt) < memberNewsTime
}
