package bfgateway

import "briarferry/internal/protocol/bfwire"

// confirm records a confirmation of the route table. It counts from before the heartbeat that it
// answers, so that a delay on either way can't make it look newer than it is.
func (f *fleetSync) confirm(c *bfwire.TableConfirmation) {
	f.mu.Lock()
	sent, ok := f.sentAt[c.EchoSequence]
	f.mu.Unlock()
	if ok {
		f.confirmations.Confirm(c.Version, sent.clock-c.Age)
	}
}

// logConfirmation logs when a route table with homes begins or ends to count as the newest. Control
// VMs confirm no others. mu is held.
func (f *fleetSync) logConfirmation() {
	now, table := f.clock(), f.state.Load().Routes
	unconfirmed := table.HasHomes() && !f.confirmations.IsCurrent(now)
	if unconfirmed == f.tableUnconfirmed {
		return
	}
	f.tableUnconfirmed = unconfirmed
	age, _ := f.confirmations.Age(now)
	f.log.Info().Uint64("version", table.Version).Bool("confirmed", !unconfirmed).Dur("age_ms", age).Msg("confirmation of the route table")
}

// confirmationAge returns the time since the route table was last known to be the newest, in
// milliseconds, or nil if it never was.
func (f *fleetSync) confirmationAge() any {
	if age, ok := f.confirmations.Age(f.clock()); ok {
		return age.Milliseconds()
	}
	return nil
}
