package bfsteering

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/state/bffleet"
)

// TestRestartedEntryKeepsKeyAffinity guards against a restarted entry that sends one
// request to each server, whatever its key. If cold servers answer on time too, several
// such entries together evict the keys that the servers have cached.
func TestRestartedEntryKeepsKeyAffinity(t *testing.T) {
	f := newFleet(t, 4, map[string]int{"r1-a": 6, "r1-b": 6}, 8)
	used := map[string]bool{}
	for range 30 {
		for _, s := range f.steering {
			try, err := s.Choose(f.now, longTargetRequest("k"))
			if err != nil {
				t.Fatal(err)
			}
			used[try.Backend.InstanceID] = true
			f.now = f.now.Add(f.serviceTime(try))
			f.finish(try)
		}
	}
	// The primary and the secondary server of the key, and the highest-ranked one of each
	// failure domain.
	if len(used) > 4 {
		t.Errorf("requests with one key used %d servers, want at most 4", len(used))
	}
}

// longTargetRequest returns a request with a target that even a cold server meets.
func longTargetRequest(key string) Request {
	r := request(key)
	r.Route.Target, r.Route.Timeout, r.Remaining = briarferry.Duration(2500*time.Millisecond), briarferry.Duration(5*time.Second), 5*time.Second
	return r
}

// TestJoiningServerIsTried guards against a server that joins a running deployment and gets
// no requests because the other servers have all keys cached.
func TestJoiningServerIsTried(t *testing.T) {
	f := newFleet(t, 1, map[string]int{"r1-a": 4, "r1-b": 4}, 8)
	f.serve(40, 30, startupPeriod+2*time.Second, f.choose)
	next := *f.state
	next.Revision++
	next.Servers = append(slices.Clone(next.Servers), bffleet.Server{Instance: briarferry.Instance{
		ID: "i-99", Service: "prices", FailureDomain: "r1-a", Slots: 8, Started: 1, Address: netip.MustParseAddrPort("10.0.0.99:80"),
	}})
	f.state = &next
	f.updateEntries()
	for n := range 10 {
		try, err := f.choose(f.steering[0], longTargetRequest(fmt.Sprint("k", n)))
		if err != nil {
			t.Fatal(err)
		}
		if try.Backend.InstanceID == "i-99" {
			return
		}
	}
	t.Error("the joined server got none of 10 requests")
}
