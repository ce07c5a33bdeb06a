package bfgossip

import (
	"expvar"
	"sync"

	"briarferry/internal/coordination/bfmember"
)

var (
	counters = newCounters()

	memberMu   sync.Mutex
	memberVars = map[string]*expvar.Int{}
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
		memberVars[name] = add(name)
	}
	return &counterSet{
		heartbeatsIn: add("heartbeats_in"), heartbeatsOut: add("heartbeats_out"),
		bytesIn: add("bytes_in"), bytesOut: add("bytes_out"), invalid: add("invalid_messages"),
		pulls: add("table_pulls"), tableFull: add("table_full"), sendErrors: add("send_errors"),
		unauthentic: add("unauthentic_datagrams"),
	}
}

// countMembers publishes the membership's own counts; a process has one membership.
func countMembers(s bfmember.Stats) {
	memberMu.Lock()
	defer memberMu.Unlock()
	memberVars["suspicions"].Set(int64(s.Suspicions))
	memberVars["downs"].Set(int64(s.Downs))
	memberVars["freezes"].Set(int64(s.Freezes))
	memberVars["heartbeats_dropped"].Set(int64(s.Dropped))
}
