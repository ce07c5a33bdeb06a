package bfroute

import (
	"sync"
	"time"
)

// MaxConfirmationAge is the time after a confirmation for which a table counts as the newest. An
// entry that is cut off or frozen uses the homes of an older table for no longer than this after
// a newer one was accepted. Most elections of the control group fit into it.
const MaxConfirmationAge = 2250 * time.Millisecond

// Confirmations tells whether an entry's route table is known to be the newest. Times are those
// of a clock that also counts the suspension of the VM. The zero value is ready to use, and its
// methods are safe for concurrent use.
type Confirmations struct {
	mu sync.Mutex
	// required is true once a control VM that confirms tables is known. Those of earlier
	// versions don't, and their entries use a table without confirmations.
	required bool
	// version is that of the table in use. No newer one had been accepted at confirmedAt, if
	// confirmed is set.
	version     uint64
	confirmed   bool
	confirmedAt time.Duration
	// laterVersion and laterAt are the last confirmation of a newer table than that in use.
	laterVersion uint64
	laterAt      time.Duration
}

// Require makes IsCurrent ask for a confirmation.
func (c *Confirmations) Require() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.required = true
}

// Use records the version of the table that is in use from now on.
func (c *Confirmations) Use(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = version
	if c.laterVersion > 0 && c.laterVersion <= version {
		c.confirm(c.laterAt)
		c.laterVersion = 0
	}
}

// Confirm records that no table newer than the given version had been accepted at the given time.
func (c *Confirmations) Confirm(newest uint64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.required = true
	switch {
	case newest <= c.version:
		c.confirm(at)
	case c.laterVersion == 0 || at > c.laterAt:
		c.laterVersion, c.laterAt = newest, at
	}
}

// confirm keeps the latest confirmation, as datagrams may arrive out of order.
func (c *Confirmations) confirm(at time.Duration) {
	if !c.confirmed || at > c.confirmedAt {
		c.confirmed, c.confirmedAt = true, at
	}
}

// IsCurrent reports whether the table in use is known to be the newest, but for changes of the
// last MaxConfirmationAge. It is always true while no control VM confirms tables.
func (c *Confirmations) IsCurrent(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.required || c.confirmed && now-c.confirmedAt <= MaxConfirmationAge
}

// Age returns the time since the last confirmation of the table in use, or false if there was
// none.
func (c *Confirmations) Age(now time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now - c.confirmedAt, c.confirmed
}
