package bfslot

import "expvar"

var counters = newCounters()

type counterSet struct {
	granted, grantedAhead, refused, expired, ownerWaits, requests, resends, returned *expvar.Int
}

func newCounters() *counterSet {
	m := expvar.NewMap("bfslot")
	add := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
	// home_waits counts the servers skipped because their new owner must still delay grants.
	return &counterSet{
		granted: add("leases_granted"), grantedAhead: add("leases_granted_ahead"), refused: add("leases_refused"), expired: add("leases_expired"),
		ownerWaits: add("home_waits"), requests: add("requests"), resends: add("resends"), returned: add("slots_returned"),
	}
}
