package bfsteering

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/coordination/bfreturn"
)

// overload serves the fleet with the rate for the time and returns the waits that refused
// callers were told, by reason.
func (f *fleet) overload(rate float64, length time.Duration, prepare func(n int, r *Request)) map[string][]time.Duration {
	waits, n := map[string][]time.Duration{}, 0
	f.serve(rate, 40, length, func(s *Steering, r Request) (*Try, error) {
		n++
		if prepare != nil {
			prepare(n, &r)
		}
		r.Arrival = s.Arrive(f.now, r)
		try, err := s.Choose(f.now, r)
		var refused *briarferry.Refusal
		if errors.As(err, &refused) {
			waits[refused.Reason] = append(waits[refused.Reason], refused.RetryAfter)
		}
		return try, err
	})
	return waits
}

// TestRefusedReturnsAreSpread guards against callers refused at the same time that come back
// together or after more than a third of their time, and against a shortage without a line at
// its begin and end.
func TestRefusedReturnsAreSpread(t *testing.T) {
	f := newFleet(t, 1, map[string]int{"r1-a": 3, "r1-b": 3}, 8)
	var log bytes.Buffer
	f.steering[0].Log = zerolog.New(&log)
	f.overload(80, 5*time.Second, nil)
	waits := f.overload(500, 3*time.Second, nil)[bfreturn.NoRoom.String()]
	if len(waits) < 200 {
		t.Fatalf("%d requests refused, want an overload", len(waits))
	}
	tenths := map[time.Duration]int{}
	for _, wait := range waits {
		tenths[wait/(100*time.Millisecond)]++
		if wait < bfreturn.MinWait || wait > time.Second {
			t.Errorf("wait %v, want 0.1 to 1 s", wait)
		}
	}
	for tenth, n := range tenths {
		if n > len(waits)/2 {
			t.Errorf("%d of %d come back after %v", n, len(waits), tenth*100*time.Millisecond)
		}
	}
	f.overload(40, 8*time.Second, nil)
	for _, line := range []string{"too little room for the service", "room for the service suffices again"} {
		if n := strings.Count(log.String(), line); n < 1 || n > 3 {
			t.Errorf("%d lines %q, want one for a shortage", n, line)
		}
	}
	if counts := f.steering[0].Returns()["prices"]; counts.Refused < int64(len(waits)) || counts.Booked == 0 {
		t.Errorf("counts %+v", counts)
	}
}

// TestToldCallerIsServed guards against a caller that came as it was told and is refused again
// while new callers, which would be late as well, are refused.
func TestToldCallerIsServed(t *testing.T) {
	f := newFleet(t, 1, map[string]int{"r1-a": 3, "r1-b": 3}, 8)
	f.overload(80, 5*time.Second, nil)
	type told struct {
		at        time.Time
		remaining time.Duration
		key       string
	}
	var waiting []told
	served, refused := 0, 0
	f.serve(250, 40, 5*time.Second, func(s *Steering, r Request) (*Try, error) {
		if len(waiting) > 0 && !f.now.Before(waiting[0].at) {
			r.Remaining, r.Key = waiting[0].remaining, waiting[0].key
			waiting = waiting[1:]
		}
		r.Arrival = s.Arrive(f.now, r)
		try, err := s.Choose(f.now, r)
		if r.Arrival.Due {
			served, refused = served+b2i(err == nil), refused+b2i(err != nil)
		}
		var refusal *briarferry.Refusal
		if errors.As(err, &refusal) && r.Remaining == 3*time.Second {
			next := told{f.now.Add(refusal.RetryAfter), r.Remaining - refusal.RetryAfter, r.Key}
			i := 0
			for i < len(waiting) && waiting[i].at.Before(next.at) {
				i++
			}
			waiting = append(waiting[:i], append([]told{next}, waiting[i:]...)...)
		}
		return try, err
	})
	if served < 20 || refused*2 > served {
		t.Errorf("%d callers that came as told are served and %d refused", served, refused)
	}
}

// TestShareOfOneOrganisation guards against an organisation that takes the late placements of
// the others by sending several times its usual, and refusals without a reason that says so.
func TestShareOfOneOrganisation(t *testing.T) {
	f := newFleet(t, 1, map[string]int{"r1-a": 3, "r1-b": 3}, 8)
	organisations := make([]*briarferry.Organisation, 4)
	for i := range organisations {
		organisations[i] = &briarferry.Organisation{Name: fmt.Sprint("org-", i)}
	}
	sent, placed := make([]int, 4), make([]int, 4)
	// No server is in time for the route, so that all placements are late.
	send := func(rate float64, length time.Duration, pick func(n int) int) (shareUsed int) {
		clear(sent)
		clear(placed)
		n := 0
		f.serve(rate, 40, length, func(s *Steering, r Request) (*Try, error) {
			n++
			i := pick(n)
			r.Route.Target, r.Organisation = briarferry.Duration(100*time.Millisecond), organisations[i]
			r.Arrival = s.Arrive(f.now, r)
			try, err := s.Choose(f.now, r)
			sent[i], placed[i] = sent[i]+1, placed[i]+b2i(err == nil)
			if err != nil && strings.Contains(err.Error(), bfreturn.ShareUsed.String()) {
				shareUsed += b2i(i == 0)
			}
			return try, err
		})
		return shareUsed
	}
	send(80, 10*time.Second, func(n int) int { return n % 4 })
	used := send(440, 5*time.Second, func(n int) int { return max(0, n%22-18) })
	light, heavy := float64(placed[1]+placed[2]+placed[3])/float64(sent[1]+sent[2]+sent[3]), float64(placed[0])/float64(sent[0])
	if used == 0 || light < 2*heavy {
		t.Errorf("%.2f of the requests of the heavy organisation are placed and %.2f of the others, %d refused for its share", heavy, light, used)
	}
}

// TestRequestsInTimeAreChosenAlike guards against rules of a shortage that change which server
// gets a request that is in time.
func TestRequestsInTimeAreChosenAlike(t *testing.T) {
	f := newFleet(t, 2, map[string]int{"r1-a": 3, "r1-b": 3}, 8)
	inTime := 0
	f.overload(80, 5*time.Second, nil)
	f.serve(400, 40, 4*time.Second, func(s *Steering, r Request) (*Try, error) {
		r.Arrival = s.Arrive(f.now, r)
		v := s.service(r.Service)
		list, _ := v.candidates(f.now, s, &r, v.routeModel(r.Route.Name), planDecision{})
		expected, ok := pick(list, &r)
		try, err := s.Choose(f.now, r)
		if ok && expected.estimate <= onTimeLimit(&r) {
			inTime++
			if err != nil || try.Backend.InstanceID != expected.server.ID {
				t.Fatalf("server %v, %v, want %s", try, err, expected.server.ID)
			}
		}
		return try, err
	})
	if inTime < 100 || f.steering[0].Returns()["prices"].Refused < 100 {
		t.Errorf("%d requests in time, want an overload", inTime)
	}
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
