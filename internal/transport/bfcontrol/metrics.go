package bfcontrol

import (
	"expvar"
	"sync"
)

var (
	counters struct {
		badDatagrams, reports, lookups, unconfirmed expvar.Int
	}
	publishOnce sync.Once
)

// publish makes the counters visible; a process has one control node.
func publish(n *Node) {
	publishOnce.Do(func() {
		m := expvar.NewMap("control")
		m.Set("bad_datagrams", &counters.badDatagrams)
		m.Set("server_reports", &counters.reports)
		m.Set("lookups", &counters.lookups)
		m.Set("unconfirmed_orders", &counters.unconfirmed)
		m.Set("replica", expvar.Func(func() any { return n.replica.Status() }))
		m.Set("revision", expvar.Func(func() any { return n.machine.State().Revision }))
	})
}
