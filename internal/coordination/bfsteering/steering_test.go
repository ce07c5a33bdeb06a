package bfsteering

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"briarferry"
)

// TestAffinityBeatsLeastLoaded guards against requests that spread over all servers, miss
// the cache everywhere and evict each other's keys.
func TestAffinityBeatsLeastLoaded(t *testing.T) {
	domains := map[string]int{"r1-a": 3, "r1-b": 3}
	a := newFleet(t, 3, domains, 8)
	withAffinity, _ := a.serve(90, 60, 20*time.Second, a.choose)
	b := newFleet(t, 3, domains, 8)
	leastLoaded, _ := b.serve(90, 60, 20*time.Second, b.leastLoaded)
	t.Logf("on time: %.2f with affinity, %.2f with the least loaded server", withAffinity, leastLoaded)
	if withAffinity < 0.8 || withAffinity < leastLoaded+0.2 {
		t.Errorf("on time: %.2f with affinity, %.2f with the least loaded server", withAffinity, leastLoaded)
	}
}

// TestRecoveryFromOverload guards against servers that do not recover from an overload
// because late requests run cold on servers that don't rank first or second for their keys.
func TestRecoveryFromOverload(t *testing.T) {
	f := newFleet(t, 3, map[string]int{"r1-a": 3, "r1-b": 3}, 8)
	f.serve(90, 60, 10*time.Second, f.choose)
	f.serve(350, 60, 5*time.Second, f.choose)
	after, _ := f.serve(90, 60, 5*time.Second, f.choose)
	if after < 0.8 {
		t.Errorf("%.2f on time after the overload, want at least 0.8", after)
	}
}

// TestEntriesAgreeOnPrimaryServer guards against entries that send the same key to
// different servers first.
func TestEntriesAgreeOnPrimaryServer(t *testing.T) {
	f := newFleet(t, 3, map[string]int{"r1-a": 4, "r1-b": 4}, 8)
	for k := range 30 {
		key, seen := fmt.Sprint("key", k), map[string]bool{}
		for _, s := range f.steering {
			try, err := s.Choose(f.now, request(key))
			if err != nil {
				t.Fatal(err)
			}
			seen[try.Backend.InstanceID] = true
			try.Done(f.now, Report{Outcome: Cancelled})
		}
		if len(seen) != 1 {
			t.Errorf("%s is sent to %d servers first, want 1", key, len(seen))
		}
	}
}

// TestUnmeasuredRouteIsServed guards against refusals on a newly added route whose response
// times have not been measured.
func TestUnmeasuredRouteIsServed(t *testing.T) {
	f := newFleet(t, 1, map[string]int{"r1-a": 1}, 8)
	for _, key := range []string{"", "k"} {
		r := request(key)
		r.Remaining = 300 * time.Millisecond
		if _, err := f.steering[0].Choose(f.now, r); err != nil {
			t.Errorf("key %q: %v", key, err)
		}
	}
}

// TestColdServerRate guards against a cold server that gets more requests from all entries
// together than it can handle.
func TestColdServerRate(t *testing.T) {
	// most is the allowed maximum: 1.5 times the rate plus 5 (rate 8) or 8 (rate 4.7),
	// rounded down. On a simulated day with faults, one request from each of many entries at
	// the same moment exceeded it.
	for _, c := range []struct {
		entries int
		rate    float64
		most    int
	}{{1, 8, 17}, {7, 8, 17}, {31, 4.7, 15}, {200, 4.7, 15}} {
		f := newFleet(t, c.entries, map[string]int{"r1-a": 1}, 50)
		f.state.Routes.Services[0].ColdRate = c.rate
		f.now = f.now.Add(time.Second)
		srv := &f.state.Servers[0]
		srv.ColdRemaining, srv.ColdRevision = briarferry.Duration(3*time.Second), 2
		f.updateEntries()
		var sent []time.Time
		for range 3000 {
			for _, s := range f.steering {
				if try, err := s.Choose(f.now, request("")); err == nil {
					sent = append(sent, f.now)
					try.Done(f.now, Report{Outcome: Cancelled})
				}
			}
			f.now = f.now.Add(time.Millisecond)
		}
		most := 0
		for i := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(sent[i]) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
		if most > c.most || len(sent) == 0 {
			t.Errorf("%d entries: %d requests, %d in one second; want at most %d", c.entries, len(sent), most, c.most)
		}
	}
}

// TestShiftIsLimited guards against requests that change regions faster than the limit
// allows, from the first window of traffic on. Without a limit from the first window on, 36
// of 100 requests moved between the first two windows of a simulated day with faults.
func TestShiftIsLimited(t *testing.T) {
	for seed := range uint64(40) {
		checkShift(t, seed)
	}
}

func checkShift(t *testing.T, seed uint64) {
	const maxShift = 0.15
	f := newFleet(t, 2, map[string]int{"r1-a": 1, "r1-b": 1, "r2-a": 6}, 8)
	f.rand = rand.New(rand.NewPCG(seed, 7))
	f.now = f.now.Add(10 * time.Second)
	for _, s := range f.steering {
		s.Limits.MaxShift = maxShift
	}
	f.updateEntries()
	f.now = f.now.Add(10 * time.Second)
	start := f.now
	type run struct {
		at     time.Duration
		region string
	}
	var runs []run
	choose := func(s *Steering, r Request) (*Try, error) {
		try, err := s.Choose(f.now, r)
		if err == nil {
			runs = append(runs, run{f.now.Sub(start), try.Backend.Region})
		}
		return try, err
	}
	for _, phase := range []struct {
		rate   float64
		length time.Duration
	}{{30, time.Second}, {220, 3 * time.Second}, {60, 4 * time.Second}, {150, 4 * time.Second}, {40, 4 * time.Second}} {
		f.serve(phase.rate, 40, phase.length, choose)
	}
	share := func(from time.Duration) (float64, int) {
		remote, all := 0, 0
		for _, r := range runs {
			if r.at >= from && r.at < from+shiftWindow {
				all++
				if r.region == "r2" {
					remote++
				}
			}
		}
		return float64(remote) / math.Max(1, float64(all)), all
	}
	for from := time.Duration(0); from <= 12*time.Second; from += 500 * time.Millisecond {
		a, n := share(from)
		b, m := share(from + shiftWindow)
		if n >= 30 && m >= 30 && math.Abs(a-b) > maxShift {
			t.Errorf("seed %d: remote share %.2f at %v and %.2f one window later", seed, a, from, b)
		}
	}
}

// TestServerEjection guards against requests to a server that is down, and against one that
// stays ejected after it is reachable again.
func TestServerEjection(t *testing.T) {
	f := newFleet(t, 1, map[string]int{"r1-a": 2}, 8)
	s := f.steering[0]
	try, err := s.Choose(f.now, request("k"))
	if err != nil {
		t.Fatal(err)
	}
	ejected := try.Backend
	try.Done(f.now, Report{Outcome: Refused})
	for range 20 {
		try, err := s.Choose(f.now, request("k"))
		if err != nil || try.Backend.InstanceID == ejected.InstanceID {
			t.Fatalf("chose %v, %v", try, err)
		}
		try.Done(f.now, Report{Outcome: Cancelled})
	}
	f.now = f.now.Add(minEjectDuration)
	due := s.ServersToCheck(f.now)
	if len(due) != 1 || due[0].InstanceID != ejected.InstanceID {
		t.Fatalf("servers to check: %v", due)
	}
	s.ReportCheck(f.now, due[0], Refused)
	if len(s.ServersToCheck(f.now)) != 0 {
		t.Error("the server is due for another check immediately")
	}
	s.ReportCheck(f.now, due[0], Answered)
	f.now = f.now.Add(4 * time.Second)
	seen := false
	for k := range 40 {
		try, err := s.Choose(f.now, request(fmt.Sprint(k)))
		if err != nil {
			t.Fatal(err)
		}
		seen = seen || try.Backend.InstanceID == ejected.InstanceID
		try.Done(f.now, Report{Outcome: Cancelled})
	}
	if !seen {
		t.Error("the reinstated server gets no requests")
	}
}

// TestOverdueAnswerTriggersCheck guards against servers that are ejected only because they
// are slow: an overdue answer must lead to a check instead.
func TestOverdueAnswerTriggersCheck(t *testing.T) {
	f := newFleet(t, 1, map[string]int{"r1-a": 1}, 8)
	s := f.steering[0]
	try, err := s.Choose(f.now, request("k"))
	if err != nil {
		t.Fatal(err)
	}
	f.now = f.now.Add(maxEjectDuration)
	try.ReportOverdue()
	if due := s.ServersToCheck(f.now); len(due) != 1 {
		t.Fatalf("servers to check: %v", due)
	}
	if _, err := s.Choose(f.now, request("j")); err != nil {
		t.Errorf("ejected before the check: %v", err)
	}
}

// TestIneligibleServersGetNoRequests guards against requests to evacuated failure domains,
// draining servers and regions that are not home regions of the route.
func TestIneligibleServersGetNoRequests(t *testing.T) {
	f := newFleet(t, 1, map[string]int{"r1-a": 2, "r1-b": 1, "r2-a": 2}, 8)
	f.state.Evacuated = []string{"r1-a"}
	f.state.Servers[2].Draining = true
	f.updateEntries()
	r := request("k")
	try, err := f.steering[0].Choose(f.now, r)
	if err != nil || try.Backend.FailureDomain != "r2-a" {
		t.Fatalf("chose %v, %v", try, err)
	}
	r.Route.HomeRegions = []string{"r1"}
	var refusal *briarferry.Refusal
	if _, err := f.steering[0].Choose(f.now, r); !errors.As(err, &refusal) || refusal.Outcome != briarferry.OutcomeNotRun {
		t.Errorf("got %v, want a refusal with outcome not run", err)
	}
}

// TestHomesOfRouteAndOrganisation guards against requests to servers outside the home regions
// of the route or of the organisation, with and without a key that has its own servers.
func TestHomesOfRouteAndOrganisation(t *testing.T) {
	f := newFleet(t, 1, map[string]int{"r1-a": 2, "r1-b": 2, "r2-a": 2}, 8)
	for _, c := range []struct {
		route, organisation []string
		want                string
	}{
		{nil, []string{"r2"}, "r2"}, {[]string{"r2"}, nil, "r2"}, {[]string{"r1", "r2"}, []string{"r2", "r3"}, "r2"}, {[]string{"r1"}, []string{"r1", "r2"}, "r1"},
		{[]string{"r1"}, []string{"r2"}, ""}, {nil, []string{"r3"}, ""},
	} {
		for k := range 10 {
			r := request(fmt.Sprint("k", k/2))
			r.Route.Affinity = k%2 == 0
			r.Route.HomeRegions, r.Organisation = c.route, &briarferry.Organisation{HomeRegions: c.organisation}
			got := ""
			if try, err := f.steering[0].Choose(f.now, r); err == nil {
				got = try.Backend.Region
				try.Done(f.now, Report{Outcome: Cancelled})
			}
			if got != c.want {
				t.Errorf("route %v, organisation %v: chose region %q, want %q", c.route, c.organisation, got, c.want)
			}
		}
	}
}

// TestMayUse guards against sending a request to a server that was chosen before it began to
// drain, left, was evacuated, or was replaced at its address.
func TestMayUse(t *testing.T) {
	cases := []struct {
		name   string
		change func(f *fleet)
		want   bool
	}{
		{"unchanged", func(*fleet) {}, true},
		{"draining", func(f *fleet) { f.state.Servers[0].Draining = true }, false},
		{"evacuated", func(f *fleet) { f.state.Evacuated = []string{"r1-a"} }, false},
		{"left", func(f *fleet) { f.state.Servers = nil }, false},
		{"restarted elsewhere", func(f *fleet) { f.state.Servers[0].Address = netip.MustParseAddrPort("10.9.9.9:80") }, false},
	}
	for _, c := range cases {
		f := newFleet(t, 1, map[string]int{"r1-a": 1}, 8)
		try, err := f.steering[0].Choose(f.now, request("k"))
		if err != nil {
			t.Fatal(err)
		}
		c.change(f)
		f.updateEntries()
		if got := f.steering[0].MayUse(f.now, try.Backend); got != c.want {
			t.Errorf("%s: may use %v", c.name, got)
		}
	}
}

// TestRetryBudget guards against more retries than all entries together may make.
func TestRetryBudget(t *testing.T) {
	const entries, requests = 7, 700
	f := newFleet(t, entries, map[string]int{"r1-a": 5, "r1-b": 5}, 100)
	retries := 0
	for n := range requests {
		s := f.steering[n%entries]
		for _, retry := range []bool{false, true} {
			r := request("")
			r.Retry = retry
			try, err := s.Choose(f.now, r)
			if err != nil {
				continue
			}
			if retry {
				retries++
			}
			try.Done(f.now, Report{Outcome: Failed})
		}
		f.now = f.now.Add(10 * time.Millisecond)
	}
	if limit := 0.2*requests + 64; float64(retries) > limit {
		t.Errorf("%d retries, want at most %.0f", retries, limit)
	}
	if retries == 0 {
		t.Error("no retry was allowed")
	}
}
