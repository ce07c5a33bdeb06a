package bfslot

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTargetBounds guards against targets that exceed the demand or the number of slots,
// slots left over while the demand isn't met, and a lower urgency that gets no slot.
func TestTargetBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(rapid.Int64Range(0, 1<<40).Draw(t, "now"))
		total := rapid.IntRange(0, 40).Draw(t, "total")
		var list []*requester
		demand := 0
		for i := range rapid.IntRange(1, 8).Draw(t, "entries") {
			r := &requester{name: fmt.Sprint(i), urgency: rapid.IntRange(0, 3).Draw(t, "urgency"), demand: rapid.IntRange(0, 20).Draw(t, "demand"),
				granted: rapid.IntRange(0, 5).Draw(t, "granted"), lastGrantAt: now.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "ms since grant")) * time.Millisecond)}
			demand += r.demand
			list = append(list, r)
		}
		setTargets(now, total, list, tenth)
		given, groups := 0, map[int][2]int{}
		for _, r := range list {
			if r.target > r.demand || r.target < 0 {
				t.Fatalf("target %d with a demand of %d", r.target, r.demand)
			}
			given += r.target
			group := groups[r.urgency]
			groups[r.urgency] = [2]int{group[0] + r.demand, group[1] + r.target}
		}
		if given != min(total, demand) {
			t.Fatalf("targets add up to %d of %d slots for a demand of %d", given, total, demand)
		}
		for urgency, group := range groups {
			if total >= 10 && group[0] > 0 && group[1] == 0 {
				t.Fatalf("urgency %d got none of %d slots", urgency, total)
			}
		}
	})
}

// TestEqualTargets guards against uneven targets of entries with equal urgency and
// demand.
func TestEqualTargets(t *testing.T) {
	now := time.UnixMilli(100_000)
	var list []*requester
	for i := range 7 {
		list = append(list, &requester{name: fmt.Sprint(i), demand: 50})
	}
	setTargets(now, 18, list, tenth)
	for _, r := range list {
		if r.target < 2 || r.target > 3 {
			t.Errorf("entry %s gets %d of 18 slots among 7 entries", r.name, r.target)
		}
	}
}

func tenth(int) float64 { return 0.1 }

// TestFractionalFloorSlots guards against a service with few slots whose less urgent
// requests never get one, and against a floor other than the configured one.
func TestFractionalFloorSlots(t *testing.T) {
	tests := []struct {
		total, want int
		share       float64
	}{{3, 30, 0.1}, {3, 60, 0.2}, {10, 100, 0.1}, {12, 300, 0.25}}
	for _, test := range tests {
		granted := 0
		for i := range 100 {
			urgent, other := &requester{name: "a", urgency: 1, demand: 50}, &requester{name: "b", urgency: 5, demand: 50}
			floor := func(int) float64 { return test.share }
			setTargets(time.UnixMilli(int64(i)*timeSlice.Milliseconds()), test.total, []*requester{urgent, other}, floor)
			granted += other.target
		}
		if granted != test.want {
			t.Errorf("%d slots, floor share %.2f: %d slots in 100 time slices, want %d", test.total, test.share, granted, test.want)
		}
	}
}
