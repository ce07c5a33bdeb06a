package bfgossip

import (
	"expvar"
	"sync"

	"briarferry/internal/coordination/bfmember"
)

var (
	counters = newCounters()

	memberMu       sync.Mutex
	memberCounters = map[string]*expvar.Int{}
)

type counterSet struct {
	heartbeatsIn, heartbeatsOut, bytesIn, bytesOut, invalid, pulls, tableFull, sendErrors, unauthentic *expvar.Int
}

func newCounters() *counterSet {
	m := expvar.NewMap("bfgossip")
	add := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
	for _, name := range []string{"suspicions", "downs", "freezes", "heartbeats_dropped"} {
		memberCounters[name] = add(name)
	}
	return &counterSet{
		heartbeatsIn: add("heartbeats_in"), heartbeatsOut: add("heartbeats_out"),
		bytesIn: add("bytes_in"), bytesOut: add("bytes_out"), invalid: add("invalid_messages"),
		pulls: add("table_pulls"), tableFull: add("table_full"), sendErrors: add("send_errors"),
		unauthentic: add("unauthentic_datagrams"),
	}
}

// publishMemberStats publishes the counters of the membership. A process has only one
// membership.
func publishMemberStats(s bfmember.Stats) {
	memberMu.Lock()
	defer memberMu.Unlock()
	memberCounters["suspicions"].Set(int64(s.Suspicions))
	memberCounters["downs"].Set(int64(s.Downs))
	memberCounters["freezes"].Set(int64(s.Freezes))
	memberCounters["heartbeats_dropped"].Set(int64(s.Dropped))
}
