package bfplan

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func equalRTT(n int) [][]time.Duration {
	c := &Collector{Regions: make([]string, n)}
	return c.RTT()
}

// TestAllocate guards against load that leaves its region while there is room, that goes to a
// distant region before a near one, and against a small region whose callers get less than
// others.
func TestAllocate(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	chain := [][]time.Duration{{0, ms(20), ms(90)}, {ms(20), 0, ms(70)}, {ms(90), ms(70), 0}}
	for name, c := range map[string]struct {
		load, fixed, slots []float64
		rtt                [][]time.Duration
		want               [][]float64
	}{
		"all local":           {[]float64{10, 10, 10}, []float64{0, 0, 0}, []float64{20, 20, 20}, equalRTT(3), [][]float64{{1, 0, 0}, {0, 1, 0}, {0, 0, 1}}},
		"nearest first":       {[]float64{20, 4, 4}, []float64{0, 0, 0}, []float64{10, 30, 30}, chain, [][]float64{{0.35, 0.65, 0}, {0, 1, 0}, {0, 0, 1}}},
		"nearest is full":     {[]float64{20, 10, 4}, []float64{0, 0, 0}, []float64{10, 20, 30}, chain, [][]float64{{0.35, 0.2, 0.45}, {0, 1, 0}, {0, 0, 1}}},
		"equally near":        {[]float64{20, 11, 17}, []float64{0, 0, 0}, []float64{10, 30, 30}, equalRTT(3), [][]float64{{0.35, 0.4643, 0.1857}, {0, 1, 0}, {0, 0, 1}}},
		"bound load counts":   {[]float64{10, 10, 10}, []float64{7, 0, 0}, []float64{20, 100, 20}, chain, [][]float64{{0.7, 0.3, 0}, {0, 1, 0}, {0, 0, 1}}},
		"region without slot": {[]float64{10, 10, 10}, []float64{0, 0, 0}, []float64{0, 40, 40}, chain, [][]float64{{0, 1, 0}, {0, 1, 0}, {0, 0, 1}}},
		"no slots":            {[]float64{10, 10, 10}, []float64{0, 0, 0}, []float64{0, 0, 0}, chain, [][]float64{{1, 0, 0}, {0, 1, 0}, {0, 0, 1}}},
		"overload is shared":  {[]float64{100, 100, 100}, []float64{0, 0, 0}, []float64{20, 140, 140}, equalRTT(3), [][]float64{{0.2, 0.4, 0.4}, {0, 1, 0}, {0, 0, 1}}},
	} {
		got := allocate(c.load, c.fixed, c.slots, c.rtt, targetUtilization)
		for r := range got {
			if Distance(got[r], c.want[r]) > 0.001 {
				t.Errorf("%s: region %d gets %.4f, want %.4f", name, r, got[r], c.want[r])
			}
		}
	}
}

// TestAllocationProperties guards against shares that don't add up to 1, regions that are
// filled above the common level, and shares that jump when the load changes a little.
func TestAllocationProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "regions")
		list := func(name string, low float64) []float64 {
			return rapid.SliceOfN(rapid.Float64Range(low, 200), n, n).Draw(t, name)
		}
		load, slots := list("load", 1), list("slots", 1)
		fixed := make([]float64, n)
		got := allocate(load, fixed, slots, equalRTT(n), targetUtilization)
		level := commonLevel(sum(load), fixed, slots, targetUtilization)
		for to := range n {
			used := 0.0
			for from := range n {
				used += got[from][to] * load[from]
			}
			if used > level*slots[to]*1.001+0.001 {
				t.Fatalf("region %d runs %.2f in %.2f slots at level %.2f", to, used, slots[to], level)
			}
			if math.Abs(sum(got[to])-1) > 1e-9 {
				t.Fatalf("shares %v add up to %v", got[to], sum(got[to]))
			}
		}
		for r := range load {
			load[r] *= 1.001
		}
		for r, next := range allocate(load, fixed, slots, equalRTT(n), targetUtilization) {
			if d := Distance(got[r], next); d > 0.03 {
				t.Fatalf("a change of the load by 0.001 moves %.3f of region %d: %v to %v", d, r, got[r], next)
			}
		}
	})
}

// TestShiftLimitHolds guards against a region whose requests change their region faster than
// the limit, in sum over all entries, while callers come in waves and move, servers join,
// messages are lost, and leaders change.
func TestShiftLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.SliceOfN(rapid.Float64Range(20, 150), 3, 3).Draw(t, "slots")
		load := rapid.Float64Range(0.3, 1.3).Draw(t, "load")
		base := load * sum(slots) / 0.3 / 3
		// With fewer than 4 requests a second at each entry, chance alone may exceed the limit.
		entries := rapid.SliceOfN(rapid.IntRange(2, min(40, int(base/4))), 3, 3).Draw(t, "entries")
		waves := wave(base, rapid.Float64Range(25, 60).Draw(t, "period"))
		movedFrom := rapid.IntRange(0, 2).Draw(t, "moved_from")
		movedAt := time.Duration(rapid.IntRange(8, 30).Draw(t, "moved_at")) * time.Second
		s := newSim(rapid.Uint64().Draw(t, "seed"), slots, entries, func(region int, at time.Duration) float64 {
			rate := waves(region, at)
			if at < movedAt || at >= movedAt+6*time.Second {
				return rate
			}
			// 0.8 of the callers of one of two failure domains use another region.
			moved := 0.4 * waves(movedFrom, at)
			switch region {
			case movedFrom:
				return rate - moved
			case (movedFrom + 1) % 3:
				return rate + moved
			}
			return rate
		})
		s.lossRate = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		s.run(4 * time.Second)
		for i := range 8 {
			switch rapid.IntRange(0, 4).Draw(t, fmt.Sprint("event_", i)) {
			case 0:
				s.newLeader(s.planner.Term + 1)
			case 1:
				r := rapid.IntRange(0, 2).Draw(t, "joins_in")
				s.slots[r] *= 1.3
			case 2:
				// A server leaves: too few to move requests at once.
				r := rapid.IntRange(0, 2).Draw(t, "leaves_in")
				s.slots[r] *= 0.98
			case 3:
				s.silentUntil = s.elapsed + time.Duration(rapid.IntRange(1, 8).Draw(t, "silent"))*time.Second
			}
			s.run(4 * time.Second)
		}
		if worst, at, region := s.largestShift(0, s.elapsed); worst > simShift {
			t.Fatalf("%.3f of the requests of region %d changed their region at %v", worst, region, at)
		}
	})
}

// TestNoOscillation guards against shares that keep changing under a steady load.
func TestNoOscillation(t *testing.T) {
	for _, load := range []float64{0.3, 0.6, 0.8, 1, 1.4} {
		slots := []float64{138, 30, 114}
		s := newSim(1, slots, []int{12, 12, 12}, func(int, time.Duration) float64 { return load * sum(slots) / 0.3 / 3 })
		s.run(60 * time.Second)
		settled := s.changes
		s.run(120 * time.Second)
		if got := s.changes - settled; got > 12 {
			t.Errorf("load %.1f: %d of 240 plans changed a share under a steady load", load, got)
		}
		t.Logf("load %.1f: %d changes in the first 60 s, %d in 120 s after", load, settled, s.changes-settled)
	}
}

// TestLostRegion guards against requests that go on to a region without usable servers, and
// against a new leader that doesn't notice.
func TestLostRegion(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		s := newSim(1, []float64{100, 30, 100}, []int{12, 12, 12}, func(int, time.Duration) float64 { return 200 })
		s.run(20 * time.Second)
		if before, _ := s.shares(1, len(s.runs)-simTicks); before[0] < 0.1 {
			t.Fatalf("the small region runs %.2f of its requests in the first region; the test needs more", before[0])
		}
		s.slots[0] = 0
		if newLeader {
			s.newLeader(2)
		}
		s.run(2 * time.Second)
		s.run(Window)
		if after, _ := s.shares(1, len(s.runs)-simTicks); after[0] > 0 {
			t.Errorf("new leader %v: %.2f of the requests run in the lost region 2 s later", newLeader, after[0])
		}
	}
}

// TestNewLeaderContinues guards against a new leader that starts from other shares than those
// in force.
func TestNewLeaderContinues(t *testing.T) {
	s := newSim(1, []float64{138, 30, 114}, []int{12, 12, 12}, func(int, time.Duration) float64 { return 200 })
	s.run(40 * time.Second)
	before := s.entries[20].follower.Shares
	s.newLeader(2)
	s.run(3 * time.Second)
	if s.entries[20].plan.Term != 2 {
		t.Fatal("no plan of the new leader after 3 s")
	}
	if d := Distance(before, s.entries[20].follower.Shares); d > 0.02 {
		t.Errorf("a new leader moved %.3f: %v to %v", d, before, s.entries[20].follower.Shares)
	}
}

// TestHoldAtStart guards against shares that change with the first reports, which say little.
func TestHoldAtStart(t *testing.T) {
	s := newSim(1, []float64{138, 30, 114}, []int{12, 12, 12}, func(_ int, at time.Duration) float64 {
		if at < 5*time.Second {
			return 0
		}
		return 200
	})
	s.run(5 * time.Second)
	want := InitialShares(s.slots, s.rtt())
	for s.elapsed < 5*time.Second+Window {
		s.run(Interval)
		for _, e := range s.entries {
			if d := Distance(e.follower.Shares, want[e.region]); d > 0.002 {
				t.Fatalf("at %v shares are %v, want %v", s.elapsed, e.follower.Shares, want[e.region])
			}
		}
	}
}
