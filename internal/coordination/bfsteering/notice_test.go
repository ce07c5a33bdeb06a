package bfsteering

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briarferry"
)

// tell ends a try at the server with the notice.
func (f *fleet) tell(t *Try, o Outcome, n briarferry.ServerNotice) {
	t.Done(f.now, Report{Outcome: o, Notice: n})
}

// chooseAll starts tries until no server accepts one, at most 200, and returns how many went
// to the instance. The tries stay in flight.
func (f *fleet) chooseAll(s *Steering, instance string) int {
	count := 0
	for range 200 {
		try, err := s.Choose(f.now, request(""))
		if err != nil {
			break
		}
		if try.Backend.InstanceID == instance {
			count++
		}
	}
	return count
}

// TestLeavingServer guards against requests to a server that said that it leaves, whatever
// it answers afterwards, and against leaving out its successor.
func TestLeavingServer(t *testing.T) {
	f := newFleet(t, 1, map[string]int{"r1-a": 3}, 4)
	s := f.steering[0]
	for _, o := range []Outcome{Answered, Failed, Shed} {
		try, err := s.Choose(f.now, request(""))
		if err != nil {
			t.Fatal(err)
		}
		id := try.Backend.InstanceID
		other, err := s.Choose(f.now, request(""))
		if err != nil {
			t.Fatal(err)
		}
		f.tell(try, o, briarferry.ServerNotice{Leaving: true})
		if s.MayUse(f.now, try.Backend) {
			t.Errorf("%s: a request that was chosen before may still go to %s", o, id)
		}
		// An answer without the notice may have been written before it.
		f.tell(try, Answered, briarferry.ServerNotice{})
		f.tell(other, Answered, briarferry.ServerNotice{})
		if got := f.chooseAll(s, id); got != 0 {
			t.Errorf("%s: %d requests chosen for %s, which leaves", o, got, id)
		}
		f.now = f.now.Add(time.Hour)
		f.updateEntries()
		if got := f.chooseAll(s, id); got != 0 {
			t.Errorf("%s: %d requests chosen an hour later for %s, which leaves", o, got, id)
		}
		for i := range f.state.Servers {
			if f.state.Servers[i].ID == id {
				f.state.Servers[i].Started++
			}
		}
		f.updateEntries()
		if !s.MayUse(f.now, try.Backend) {
			t.Errorf("%s: the next process of %s gets no requests", o, id)
		}
	}
}

// TestPausedServer guards against requests to a server in the pause that it asked for, and
// against a refusal whose Retry-After ends before it.
func TestPausedServer(t *testing.T) {
	f := newFleet(t, 1, map[string]int{"r1-a": 2}, 4)
	s := f.steering[0]
	pauses := map[string]time.Duration{"i-01": 4 * time.Second, "i-02": 6 * time.Second}
	for range pauses {
		try, err := s.Choose(f.now, request(""))
		if err != nil {
			t.Fatal(err)
		}
		f.tell(try, Shed, briarferry.ServerNotice{Pause: pauses[try.Backend.InstanceID]})
	}
	for at := time.Duration(0); at < 6*time.Second; at += 50 * time.Millisecond {
		try, err := s.Choose(f.now, request(""))
		switch {
		case err == nil && at < pauses[try.Backend.InstanceID]:
			t.Fatalf("%s got a request after %v", try.Backend.InstanceID, at)
		case err == nil:
			f.tell(try, Cancelled, briarferry.ServerNotice{})
		case at < 4*time.Second:
			var r *briarferry.Refusal
			if !errors.As(err, &r) || r.Outcome != briarferry.OutcomeNotRun || r.RetryAfter < 4*time.Second-at {
				t.Fatalf("after %v: %v, want a refusal with a Retry-After of the %v that are left", at, err, 4*time.Second-at)
			}
		}
		f.now = f.now.Add(50 * time.Millisecond)
	}
	f.now = f.now.Add(returnPeriod)
	if got := f.chooseAll(s, "i-02"); got < 4 {
		t.Errorf("%d requests chosen after the pause, want at least its slots", got)
	}
}

// TestReturnIsGradual guards against all entries that a server asked for a pause sending it
// requests again at its end.
func TestReturnIsGradual(t *testing.T) {
	const entries, slots = 1000, 9
	now := time.Unix(1000, 0)
	all := make([]availability, entries)
	sent := make([]int, entries)
	for i := range all {
		all[i].note(now, briarferry.ServerNotice{Pause: 2 * time.Second})
	}
	total := 0
	for at := time.Duration(0); at <= 2*time.Second+returnPeriod; at += 100 * time.Millisecond {
		for i := range all {
			if all[i].accepts(now.Add(at), sent[i], slots, float64(i)/entries) {
				sent[i]++
				total++
			}
		}
		returned := float64(at-2*time.Second) / float64(returnPeriod)
		// Entries send their first request in the first half of the period, one after the
		// other, and at each of them the number grows in steps of one.
		allowed := entries * (slots*returned + min(1, 0.1+returned))
		switch {
		case returned < 0 && total > 0:
			t.Fatalf("%d requests in the pause", total)
		case returned >= 0 && float64(total) > allowed:
			t.Errorf("%d requests in flight at %d entries with %d slots each, after %.2f of the return period", total, entries, slots, returned)
		}
	}
	if total < entries*slots {
		t.Errorf("%d requests in flight at the end, want %d", total, entries*slots)
	}
}

// TestAvailabilityProperties guards against a notice that shortens a pause or ends the
// leaving, and against a pause beyond the limit.
func TestAvailabilityProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var a availability
		now := time.Unix(1000, 0)
		closedUntil, leaving := now, false
		for range rapid.IntRange(1, 20).Draw(r, "notices") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(r, "later")))
			n := briarferry.ServerNotice{Leaving: rapid.IntRange(0, 9).Draw(r, "leaving") == 0, Pause: time.Duration(rapid.Int64Range(0, int64(3*time.Minute)).Draw(r, "pause"))}
			a.note(now, n)
			leaving = leaving || n.Leaving
			if until := now.Add(min(n.Pause, maxPause)); until.After(closedUntil) {
				closedUntil = until
			}
			want := leaving || now.Before(closedUntil)
			if a.closed(now) != want || want && a.accepts(now, 0, 9, 0) {
				r.Fatalf("closed %v, accepts %v; want closed %v", a.closed(now), a.accepts(now, 0, 9, 0), want)
			}
			if !leaving && !a.accepts(now.Add(maxPause+returnPeriod), 0, 1, 1) {
				r.Fatal("no request accepted after the longest pause")
			}
		}
	})
}
