package bfsteering

import (
	"net/netip"
	"testing"
	"time"
)

// TestConnectionTime guards against requests that are late because the time to open a
// connection to another region is not expected, and against opening connections to every
// server although others are connected.
func TestConnectionTime(t *testing.T) {
	connected := map[netip.AddrPort]bool{}
	newEntry := func(domains map[string]int) (*fleet, *Steering) {
		f := newFleet(t, 1, domains, 4)
		s := f.steering[0]
		s.Connected = func(a netip.AddrPort) bool { return connected[a] }
		m := s.service("prices").routeModel("read")
		for range minMeasuredSamples {
			m.warm.add(warmTime)
			m.cold.add(warmTime)
			m.all.add(warmTime)
		}
		return f, s
	}
	f, s := newEntry(map[string]int{"r2-a": 1})
	expected := func() time.Duration {
		try, err := s.Choose(f.now, request(""))
		if err != nil {
			t.Fatal(err)
		}
		defer try.Done(f.now, Report{Outcome: Cancelled})
		return try.Expected
	}
	without := expected()
	connected[f.state.Servers[0].Address] = true
	if with := expected(); without-with != 110*time.Millisecond {
		t.Errorf("expected %v without a connection and %v with one, want a difference of one round trip", without, with)
	}

	f, s = newEntry(map[string]int{"r1-a": 6})
	used := map[string]bool{}
	for range 30 {
		try, err := s.Choose(f.now, request(""))
		if err != nil {
			t.Fatal(err)
		}
		used[try.Backend.InstanceID], connected[try.Backend.Address] = true, true
		f.now = f.now.Add(warmTime)
		f.caches[try.Backend.InstanceID] = &lru{}
		f.finish(try)
	}
	if len(used) > 2 {
		t.Errorf("30 requests, one after the other, used %d of 6 equal servers", len(used))
	}
}
