package bfdrain

import (
	"fmt"
	"testing"
	"time"

	"briarferry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testServers returns n backend servers in two failure domains of each of two regions.
func testServers(n, capacity, inFlight int) []Target {
	var out []Target
	for i := range n {
		out = append(out, Target{Kind: briarferry.DrainBackend, Name: fmt.Sprintf("10.0.0.%d:80", i), Service: "s",
			Region: fmt.Sprint("r", i%2), FailureDomain: fmt.Sprint("d", i/2%2), Capacity: capacity, InFlight: inFlight})
	}
	return out
}

func setWithDrain(t *testing.T, d briarferry.Drain) *Set {
	t.Helper()
	s := New(DefaultLimits())
	if err := s.Add(d); err != nil {
		t.Fatal(err)
	}
	return s
}

// TestCovers guards against drains that apply to too many or too few targets.
func TestCovers(t *testing.T) {
	target := Target{Kind: briarferry.DrainVM, Name: "a", Region: "r", FailureDomain: "d"}
	for _, test := range []struct {
		kind   briarferry.DrainKind
		target string
		want   bool
	}{
		{briarferry.DrainVM, "a", true}, {briarferry.DrainVM, "b", false}, {briarferry.DrainBackend, "a", false},
		{briarferry.DrainFailureDomain, "d", true}, {briarferry.DrainFailureDomain, "r", false},
		{briarferry.DrainRegion, "r", true}, {briarferry.DrainRegion, "d", false},
	} {
		if d := (briarferry.Drain{Kind: test.kind, Target: test.target}); Covers(d, target) != test.want {
			t.Errorf("drain of %s %s covers VM a in failure domain d of region r: %t", test.kind, test.target, !test.want)
		}
	}
}

// TestServerDrain guards against new requests to a server once its drain was added, and
// against a server that counts as empty while it has requests in flight or its reading
// is stale.
func TestServerDrain(t *testing.T) {
	servers := testServers(4, 10, 4)
	s := setWithDrain(t, briarferry.Drain{ID: "1", Kind: briarferry.DrainBackend, Target: servers[0].Name})
	if s.MayTakeRequests(servers[0]) || !s.MayTakeRequests(servers[1]) {
		t.Fatal("drained server may take requests, or another one may not")
	}
	for _, step := range []struct {
		after, age time.Duration
		inFlight   int
		want       State
		known      bool
	}{
		{0, 0, 4, StateStopping, false},
		{2 * time.Second, 0, 2, StateStopping, true},
		{4 * time.Second, 0, 1, StateEmptying, true},
		{5 * time.Second, time.Minute, 0, StateEmptying, false},
		{6 * time.Second, 0, 0, StateEmpty, true},
	} {
		servers[0].InFlight, servers[0].Age = step.inFlight, step.age
		s.Step(start.Add(step.after), servers)
		if p := s.Progress(start.Add(step.after))[0]; p.State != step.want || p.RemainingKnown != step.known || p.InsufficientCapacity {
			t.Errorf("after %s: %+v", step.after, p)
		}
	}
	s.Step(start.Add(time.Minute), servers[1:])
	if p := s.Progress(start.Add(time.Minute))[0]; p.State == StateEmpty || p.Stale != 1 {
		t.Errorf("server without a new reading counts as empty: %+v", p)
	}
	if !s.Remove("1") || !s.MayTakeRequests(servers[0]) {
		t.Error("server may take no requests after its drain was removed")
	}
}

// TestVMWaitsForLookups guards against a VM that counts as empty while callers may still
// use cached look-ups that return it.
func TestVMWaitsForLookups(t *testing.T) {
	vms := []Target{{Kind: briarferry.DrainVM, Name: "a", Capacity: 9}, {Kind: briarferry.DrainVM, Name: "b", Capacity: 9}}
	s := setWithDrain(t, briarferry.Drain{ID: "1", Kind: briarferry.DrainVM, Target: "a"})
	s.Step(start, vms)
	if p := s.Progress(start.Add(4 * time.Second))[0]; p.State != StateEmptying || p.Remaining != 4*time.Second {
		t.Errorf("while look-ups are cached: %+v", p)
	}
	if p := s.Progress(start.Add(8 * time.Second))[0]; p.State != StateEmpty {
		t.Errorf("after cached look-ups expired: %+v", p)
	}
}

// TestRegionDrainWaitsForCapacity guards against a drain that leaves too little capacity
// at any step, and against one that doesn't proceed when the load falls.
func TestRegionDrainWaitsForCapacity(t *testing.T) {
	servers := testServers(8, 10, 6)
	s := setWithDrain(t, briarferry.Drain{ID: "1", Kind: briarferry.DrainRegion, Target: "r0"})
	for i, load := range []int{6, 6, 5, 4, 3} {
		for j := range servers {
			servers[j].InFlight = load
		}
		s.Step(start.Add(time.Duration(i)*time.Second), servers)
		capacity := 0
		for _, target := range servers {
			if s.MayTakeRequests(target) {
				capacity += target.Capacity
			}
		}
		p := s.Progress(start.Add(time.Duration(i) * time.Second))[0]
		if float64(8*load) > float64(capacity)*0.9 {
			t.Errorf("load %d on a capacity of %d", 8*load, capacity)
		}
		if wantAll := load <= 4; (p.Started == p.Targets) != wantAll || p.InsufficientCapacity == wantAll {
			t.Errorf("load %d: %+v", load, p)
		}
	}
}

// TestServerDrainReportsInsufficientCapacity guards against a drained server that still
// gets requests because the other servers have too little capacity, and against a drain
// that doesn't report this lack.
func TestServerDrainReportsInsufficientCapacity(t *testing.T) {
	servers := testServers(2, 10, 9)
	s := setWithDrain(t, briarferry.Drain{ID: "1", Kind: briarferry.DrainBackend, Target: servers[0].Name})
	s.Step(start, servers)
	if p := s.Progress(start)[0]; s.MayTakeRequests(servers[0]) || !p.InsufficientCapacity {
		t.Errorf("got %+v", p)
	}
	if err := s.Add(briarferry.Drain{ID: "1", Kind: briarferry.DrainRegion, Target: "r0"}); err == nil {
		t.Error("two drains with the same ID were added")
	}
}

// TestTrackerAppliesList guards against drains that stay after their removal from the
// replicated list, or are removed while they are in it.
func TestTrackerAppliesList(t *testing.T) {
	vm := briarferry.VM{Name: "a", Region: "r"}
	list := []briarferry.Drain{{ID: "1", Kind: briarferry.DrainVM, Target: "a"}, {ID: "2", Kind: briarferry.DrainVM, Target: "b"}}
	tracker := NewTracker(DefaultLimits())
	for i, test := range []struct {
		list            []briarferry.Drain
		mayTakeRequests bool
	}{{nil, true}, {list, false}, {list[:1], false}, {list[1:], true}} {
		if err := tracker.Update(start, test.list, nil); err != nil {
			t.Fatal(err)
		}
		if tracker.VMMayTakeRequests(vm) != test.mayTakeRequests || len(tracker.Progress(start)) != len(test.list) {
			t.Errorf("update %d: VMMayTakeRequests wrongly returned %t, the number of drains is wrong, or both", i, !test.mayTakeRequests)
		}
	}
	if err := tracker.SetDrains(list); err != nil || tracker.VMMayTakeRequests(vm) || len(tracker.Progress(start)) != 2 {
		t.Errorf("SetDrains didn't apply the list before an update: %v", err)
	}
}

// TestUnknownCapacityKeepsHalf guards against a region's drain that waits forever because
// VMs report requests in flight but no capacity, or that drains all VMs.
func TestUnknownCapacityKeepsHalf(t *testing.T) {
	for _, test := range []struct{ drained, others, started int }{{3, 4, 3}, {2, 2, 2}, {4, 3, 3}, {2, 0, 1}, {1, 0, 0}} {
		var vms []Target
		for i := range test.drained + test.others {
			region := "r0"
			if i >= test.drained {
				region = "r1"
			}
			vms = append(vms, Target{Kind: briarferry.DrainVM, Name: fmt.Sprint("vm", i), Region: region, InFlight: 50})
		}
		s := setWithDrain(t, briarferry.Drain{ID: "1", Kind: briarferry.DrainRegion, Target: "r0"})
		s.Step(start, vms)
		if p := s.Progress(start)[0]; p.Started != test.started || p.InsufficientCapacity != (test.started < test.drained) {
			t.Errorf("%+v: %+v", test, p)
		}
	}
}
