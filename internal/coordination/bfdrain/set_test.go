package bfdrain

import (
	"fmt"
	"testing"
	"time"

	"briarferry"
)

var at = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// servers returns backend servers in two failure domains of each of two regions.
func servers(n, capacity, inFlight int) []Target {
	var out []Target
	for i := range n {
		out = append(out, Target{Kind: briarferry.DrainBackend, Name: fmt.Sprintf("10.0.0.%d:80", i), Service: "s",
			Region: fmt.Sprint("r", i%2), FailureDomain: fmt.Sprint("d", i/2%2), Capacity: capacity, InFlight: inFlight})
	}
	return out
}

func announced(t *testing.T, d briarferry.Drain) *Set {
	t.Helper()
	s := New(DefaultLimits())
	if err := s.Add(d); err != nil {
		t.Fatal(err)
	}
	return s
}

// TestCovers guards against drains that reach too far or not far enough.
func TestCovers(t *testing.T) {
	target := Target{Kind: briarferry.DrainVM, Name: "a", Region: "r", FailureDomain: "d"}
	for _, c := range []struct {
		kind   briarferry.DrainKind
		target string
		want   bool
	}{
		{briarferry.DrainVM, "a", true}, {briarferry.DrainVM, "b", false}, {briarferry.DrainBackend, "a", false},
		{briarferry.DrainFailureDomain, "d", true}, {briarferry.DrainFailureDomain, "r", false},
		{briarferry.DrainRegion, "r", true}, {briarferry.DrainRegion, "d", false},
	} {
		if d := (briarferry.Drain{Kind: c.kind, Target: c.target}); Covers(d, target) != c.want {
			t.Errorf("%s %s covers %t", c.kind, c.target, !c.want)
		}
	}
}

// TestServerDrain guards against new work after the announcement, and against a
// server that counts as empty while it runs requests or sends no readings.
func TestServerDrain(t *testing.T) {
	all := servers(4, 10, 4)
	s := announced(t, briarferry.Drain{ID: "1", Kind: briarferry.DrainBackend, Target: all[0].Name})
	if s.MayTakeWork(all[0]) || !s.MayTakeWork(all[1]) {
		t.Fatal("the drained server takes work, or another one does not")
	}
	for _, c := range []struct {
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
		all[0].InFlight, all[0].Age = c.inFlight, c.age
		s.Step(at.Add(c.after), all)
		if p := s.Progress(at.Add(c.after))[0]; p.State != c.want || p.RemainingKnown != c.known || p.BreaksLimit {
			t.Errorf("after %s: %+v", c.after, p)
		}
	}
	s.Step(at.Add(time.Minute), all[1:])
	if p := s.Progress(at.Add(time.Minute))[0]; p.State == StateEmpty || p.Stale != 1 {
		t.Errorf("a server that vanished counts as empty: %+v", p)
	}
	if !s.Remove("1") || !s.MayTakeWork(all[0]) {
		t.Error("the server takes no work after the drain's end")
	}
}

// TestVMWaitsForLookups guards against stopping a VM that cached look-ups name.
func TestVMWaitsForLookups(t *testing.T) {
	vms := []Target{{Kind: briarferry.DrainVM, Name: "a", Capacity: 9}, {Kind: briarferry.DrainVM, Name: "b", Capacity: 9}}
	s := announced(t, briarferry.Drain{ID: "1", Kind: briarferry.DrainVM, Target: "a"})
	s.Step(at, vms)
	if p := s.Progress(at.Add(4 * time.Second))[0]; p.State != StateEmptying || p.Remaining != 4*time.Second {
		t.Errorf("before the look-ups' end: %+v", p)
	}
	if p := s.Progress(at.Add(8 * time.Second))[0]; p.State != StateEmpty {
		t.Errorf("after the look-ups' end: %+v", p)
	}
}

// TestRegionDrainIsPaced guards against a drain that leaves too little capacity at
// any step, and against one that does not go on when load falls.
func TestRegionDrainIsPaced(t *testing.T) {
	all := servers(8, 10, 6)
	s := announced(t, briarferry.Drain{ID: "1", Kind: briarferry.DrainRegion, Target: "r0"})
	for i, load := range []int{6, 6, 5, 4, 3} {
		for j := range all {
			all[j].InFlight = load
		}
		s.Step(at.Add(time.Duration(i)*time.Second), all)
		capacity := 0
		for _, target := range all {
			if s.MayTakeWork(target) {
				capacity += target.Capacity
			}
		}
		p := s.Progress(at.Add(time.Duration(i) * time.Second))[0]
		if float64(8*load) > float64(capacity)*0.9 {
			t.Errorf("load %d of %d", 8*load, capacity)
		}
		if wantAll := load <= 4; (p.Started == p.Targets) != wantAll || p.BreaksLimit == wantAll {
			t.Errorf("load %d: %+v", load, p)
		}
	}
}

// TestSingleDrainReportsBreach guards against a leaving server that goes on getting
// work because others are too small, and against hiding that they are.
func TestSingleDrainReportsBreach(t *testing.T) {
	all := servers(2, 10, 9)
	s := announced(t, briarferry.Drain{ID: "1", Kind: briarferry.DrainBackend, Target: all[0].Name})
	s.Step(at, all)
	if p := s.Progress(at)[0]; s.MayTakeWork(all[0]) || !p.BreaksLimit {
		t.Errorf("got %+v", p)
	}
	if err := s.Add(briarferry.Drain{ID: "1", Kind: briarferry.DrainRegion, Target: "r0"}); err == nil {
		t.Error("an id was used for two drains")
	}
}

// TestTrackerFollowsList guards against drains that go on after their removal from
// the replicated list, or are forgotten while they stand in it.
func TestTrackerFollowsList(t *testing.T) {
	vm := briarferry.VM{Name: "a", Region: "r"}
	list := []briarferry.Drain{{ID: "1", Kind: briarferry.DrainVM, Target: "a"}, {ID: "2", Kind: briarferry.DrainVM, Target: "b"}}
	tracker := NewTracker(DefaultLimits())
	for i, c := range []struct {
		list []briarferry.Drain
		may  bool
	}{{nil, true}, {list, false}, {list[:1], false}, {list[1:], true}} {
		if err := tracker.Update(at, c.list, nil); err != nil {
			t.Fatal(err)
		}
		if tracker.MayTakeVM(vm) != c.may || len(tracker.Progress(at)) != len(c.list) {
			t.Errorf("update %d: may take work is %t", i, !c.may)
		}
	}
	if err := tracker.SetDrains(list); err != nil || tracker.MayTakeVM(vm) || len(tracker.Progress(at)) != 2 {
		t.Errorf("the list is not followed before an update: %v", err)
	}
}

// TestUnknownCapacityLeavesHalf guards against a region's drain that waits for ever
// because VMs tell requests in flight but no capacity, or that takes all VMs.
func TestUnknownCapacityLeavesHalf(t *testing.T) {
	for _, c := range []struct{ drained, kept, begun int }{{3, 4, 3}, {2, 2, 2}, {4, 3, 3}, {2, 0, 1}, {1, 0, 0}} {
		var vms []Target
		for i := range c.drained + c.kept {
			region := "r0"
			if i >= c.drained {
				region = "r1"
			}
			vms = append(vms, Target{Kind: briarferry.DrainVM, Name: fmt.Sprint("vm", i), Region: region, InFlight: 50})
		}
		s := announced(t, briarferry.Drain{ID: "1", Kind: briarferry.DrainRegion, Target: "r0"})
		s.Step(at, vms)
		if p := s.Progress(at)[0]; p.Started != c.begun || p.BreaksLimit != (c.begun < c.drained) {
			t.Errorf("%+v: %+v", c, p)
		}
	}
}
