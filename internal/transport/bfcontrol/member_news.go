package bfcontrol

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// memberListInterval is the number of an entry's heartbeats of which one is answered with
	// the members of the group. The list is half of an answer in a group of 11.
	memberListInterval = 8
	// memberNewsTime is how long all heartbeats list the members after they have changed.
	memberNewsTime = 4 * time.Second
)

// memberNews decides which heartbeats list the members of the group.
type memberNews struct {
	mu        sync.Mutex
	members   []netip.Addr
	changedAt time.Time
}

// due reports whether the answer to the heartbeat with this sequence lists the members. An
// entry starts with sequence 1, so its first heartbeat gets the list.
func (n *memberNews) due(now time.Time, sequence uint64, members []netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !slices.Equal(n.members, members) {
		n.members, n.changedAt = members, now
	}
	return sequence%memberListInterval == 1 || now.Sub(n.changedAt) < memberNewsTime
}
