package bfsteering

import (
	"testing"
	"time"

	"briarferry"
)

// uploadFleet returns an entry with one server, and a request with a body of 60 KB that takes
// 343 ms over the entry's link of 1.4 Mbit/s.
func uploadFleet(t *testing.T, entries, slots int) (*fleet, *Steering, Request) {
	f := newFleet(t, entries, map[string]int{"r1-a": 1}, slots)
	s := f.steering[0]
	s.LinkBandwidth = 1.4e6 / 8
	route := *readRoute()
	route.Idempotent, route.LargeBodies, route.Affinity = false, true, false
	return f, s, Request{Route: &route, Service: "prices", Remaining: 3 * time.Second, StreamedBytes: 60_000}
}

// TestUploadTimes guards against counting the time that a caller takes to send its body as
// the server's, and against estimates that lack the time on the link.
func TestUploadTimes(t *testing.T) {
	const work, transfer = 50 * time.Millisecond, 343 * time.Millisecond
	f, s, r := uploadFleet(t, 1, 8)
	upload := func(sending time.Duration) *Try {
		try, err := s.Choose(f.now, r)
		if err != nil {
			t.Fatal(err)
		}
		sentAt := f.now.Add(sending)
		f.now = sentAt.Add(work)
		try.Done(f.now, Report{Outcome: Answered, BodySentAt: sentAt})
		return try
	}
	for range 20 {
		upload(transfer)
	}
	if try := upload(transfer); try.Expected < transfer+work-time.Millisecond || try.Expected > transfer+work+time.Millisecond {
		t.Errorf("an upload is expected to take %v, want %v", try.Expected, transfer+work)
	}
	for range 20 {
		upload(2 * time.Second)
	}
	if m := s.service("prices").routeModel(r.Route.Name); m.all.value > work+time.Millisecond {
		t.Errorf("with slow callers the server is expected to take %v, want %v", m.all.value, work)
	}
	srv := s.service("prices").servers[0]
	for _, outcome := range []Outcome{Cancelled, TimedOut, ConnectionLost, ConnectionLost} {
		try, err := s.Choose(f.now, r)
		if err != nil {
			t.Fatal(err)
		}
		f.now = f.now.Add(3 * time.Second)
		try.Done(f.now, Report{Outcome: outcome, AwaitedCaller: true})
	}
	if slow, failing := srv.slowness.get(f.now, slownessHalfLife), srv.errorRate.get(f.now, errorHalfLife); slow > 0 || failing > 0 || srv.suspect || srv.ejected() {
		t.Errorf("slow callers gave the server a slowness of %.2f and an error rate of %.2f; suspect %v", slow, failing, srv.suspect)
	}
	// A server that takes long after it had the body is slow.
	try, err := s.Choose(f.now, r)
	if err != nil {
		t.Fatal(err)
	}
	sentAt := f.now.Add(transfer)
	f.now = sentAt.Add(10 * work)
	try.Done(f.now, Report{Outcome: Answered, BodySentAt: sentAt})
	if slow := srv.slowness.get(f.now, slownessHalfLife); slow <= 0 {
		t.Error("a server that took ten times as long as usual doesn't count as slow")
	}
}

// TestUploadLimit guards against more uploads of an entry at a server than its share of the
// server's slots, against counting those that have ended, and against refusing uploads while
// the server reports free slots.
func TestUploadLimit(t *testing.T) {
	cases := []struct {
		entries, slots int
		// reportedFree is true if the server reports that it has nothing to do.
		reportedFree bool
		want         int
	}{{1, 8, false, 8}, {3, 8, false, 3}, {4, 3, false, 1}, {20, 3, false, 1}, {3, 8, true, 8}, {20, 3, true, 3}}
	for _, c := range cases {
		f, s, r := uploadFleet(t, c.entries, c.slots)
		r.Route.Target = briarferry.Duration(2 * time.Second)
		for range 3 {
			var tries []*Try
			if c.reportedFree {
				s.service("prices").servers[0].loadReportedAt = f.now
			}
			for {
				try, err := s.Choose(f.now, r)
				if err != nil {
					break
				}
				tries = append(tries, try)
			}
			if len(tries) != c.want {
				t.Errorf("%d uploads of one of %d entries at a server with %d slots, want %d; reported free %v", len(tries), c.entries, c.slots, c.want, c.reportedFree)
			}
			for _, try := range tries {
				try.Done(f.now, Report{Outcome: Cancelled})
			}
		}
	}
}
