package bfslot

import "expvar"

var counters = newCounters()

type counterSet struct {
	granted, ahead, refused, expired, waits, requests, resends, returned *expvar.Int
}

func newCounters() *counterSet {
	m := expvar.NewMap("bfslot")
	add := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
	return &counterSet{
		granted: add("leases_granted"), ahead: add("leases_granted_ahead"), refused: add("leases_refused"), expired: add("leases_expired"),
		waits: add("home_waits"), requests: add("requests"), resends: add("resends"), returned: add("slots_returned"),
	}
}
