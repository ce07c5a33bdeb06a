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

// TestStartKeepsKeysTogether guards against an entry that tries every server once with any
// key after its start: where cold servers answer on time too, all entries together then
// drive out the keys that the servers had.
func TestStartKeepsKeysTogether(t *testing.T) {
	f := newFleet(t, 4, map[string]int{"r1-a": 6, "r1-b": 6}, 8)
	used := map[string]bool{}
	for range 30 {
		for _, s := range f.steering {
			try, err := s.Choose(f.now, patientRequest("k"))
			if err != nil {
				t.Fatal(err)
			}
			used[try.Backend.InstanceID] = true
			f.now = f.now.Add(f.serviceTime(try))
			f.done(try)
		}
	}
	// The first and the second server of the key, and the nearest of each failure domain.
	if len(used) > 4 {
		t.Errorf("one key went to %d servers", len(used))
	}
}

// patientRequest may be answered by a cold server on time.
func patientRequest(key string) Request {
	r := request(key)
	r.Route.Target, r.Route.Timeout, r.Remaining = briarferry.Duration(2500*time.Millisecond), briarferry.Duration(5*time.Second), 5*time.Second
	return r
}

// TestJoiningServerIsTried guards against a server that joins a running deployment and
// gets no request, since the others have all keys.
func TestJoiningServerIsTried(t *testing.T) {
	f := newFleet(t, 1, map[string]int{"r1-a": 4, "r1-b": 4}, 8)
	f.serve(40, 30, startSpan+2*time.Second, f.steer)
	next := *f.state
	next.Revision++
	next.Servers = append(slices.Clone(next.Servers), bffleet.Server{Instance: briarferry.Instance{
		ID: "i-99", Service: "prices", FailureDomain: "r1-a", Slots: 8, Started: 1, Address: netip.MustParseAddrPort("10.0.0.99:80"),
	}})
	f.state = &next
	f.update()
	for n := range 10 {
		try, err := f.steer(f.steering[0], patientRequest(fmt.Sprint("k", n)))
		if err != nil {
			t.Fatal(err)
		}
		if try.Backend.InstanceID == "i-99" {
			return
		}
	}
	t.Error("the server that joined got none of 10 requests")
}
