package bfnode

import (
	"encoding/json"
	"expvar"
	"sync"

	"briarferry/internal/coordination/bflease"
	"briarferry/internal/coordination/bfreplica"
	"briarferry/internal/state/bfmachine"
)

// publishMu prevents two nodes in one process from publishing the same name concurrently, which
// makes expvar panic.
var publishMu sync.Mutex

// publish publishes a variable through expvar. If several nodes run in one process, as in tests,
// it publishes only the variable of the first one.
func publish(name string, value func() any) {
	publishMu.Lock()
	defer publishMu.Unlock()
	if expvar.Get(name) == nil {
		expvar.Publish(name, expvar.Func(value))
	}
}

func publishLease(h *bflease.Holder) {
	publish("bflease", func() any {
		return map[string]uint64{
			"syncs": h.Syncs.Load(), "failures": h.Failures.Load(),
			"freezes": h.Freezes.Load(), "rejected": h.Rejected.Load(),
		}
	})
}

func publishReplica(r *bfreplica.Node, m *bfmachine.Machine, l *bflease.Leader) {
	publish("bfreplica", func() any {
		return map[string]any{"status": r.Status(), "counters": json.RawMessage(r.Metrics().String())}
	})
	publish("bfmachine", func() any {
		c := &m.Counters
		return map[string]uint64{
			"commands": c.Commands.Load(), "operations": c.Operations.Load(), "invalid": c.Invalid.Load(),
			"changes": c.Changes.Load(), "conflicts": c.Conflicts.Load(), "resends": c.Resends.Load(),
			"claims": uint64(m.ClaimCount()), "granted": c.Granted.Load(), "held": c.Held.Load(),
			"completed": c.Completed.Load(), "mismatch": c.Mismatch.Load(), "stale": c.Stale.Load(),
			"full": c.Full.Load(), "released": c.Released.Load(),
			"lease_grants": l.Grants.Load(), "lease_refusals": l.Refusals.Load(),
		}
	})
}
