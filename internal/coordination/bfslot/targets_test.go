package bfslot

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestShareBounds guards against more targets than slots, targets above demand, slots
// left over while somebody wants them, and a lower urgency starved to zero.
func TestShareBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(rapid.Int64Range(0, 1<<40).Draw(t, "now"))
		total := rapid.IntRange(0, 40).Draw(t, "total")
		var list []*claimant
		demand := 0
		for i := range rapid.IntRange(1, 8).Draw(t, "entries") {
			c := &claimant{name: fmt.Sprint(i), urgency: rapid.IntRange(0, 3).Draw(t, "urgency"), demand: rapid.IntRange(0, 20).Draw(t, "demand"),
				held: rapid.IntRange(0, 5).Draw(t, "held"), gainedAt: now.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "gained")) * time.Millisecond)}
			demand += c.demand
			list = append(list, c)
		}
		share(now, total, list, tenth)
		given, tiers := 0, map[int][2]int{}
		for _, c := range list {
			if c.target > c.demand || c.target < 0 {
				t.Fatalf("target %d of demand %d", c.target, c.demand)
			}
			given += c.target
			tier := tiers[c.urgency]
			tiers[c.urgency] = [2]int{tier[0] + c.demand, tier[1] + c.target}
		}
		if given != min(total, demand) {
			t.Fatalf("%d slots given of %d for a demand of %d", given, total, demand)
		}
		for urgency, tier := range tiers {
			if total >= 10 && tier[0] > 0 && tier[1] == 0 {
				t.Fatalf("urgency %d got nothing of %d slots", urgency, total)
			}
		}
	})
}

// TestShareEvenly guards against an entry that gets more than another with equal
// urgency and demand.
func TestShareEvenly(t *testing.T) {
	now := time.UnixMilli(100_000)
	var list []*claimant
	for i := range 7 {
		list = append(list, &claimant{name: fmt.Sprint(i), demand: 50})
	}
	share(now, 18, list, tenth)
	for _, c := range list {
		if c.target < 2 || c.target > 3 {
			t.Errorf("entry %s gets %d of 18 slots among 7", c.name, c.target)
		}
	}
}

func tenth(int) float64 { return 0.1 }

// TestSmallFloorTakesTurns guards against a service with few slots whose less urgent
// requests never get one, and against a floor other than the configured one.
func TestSmallFloorTakesTurns(t *testing.T) {
	tests := []struct {
		total, want int
		share       float64
	}{{3, 30, 0.1}, {3, 60, 0.2}, {10, 100, 0.1}, {12, 300, 0.25}}
	for _, test := range tests {
		turns := 0
		for i := range 100 {
			urgent, other := &claimant{name: "a", urgency: 1, demand: 50}, &claimant{name: "b", urgency: 5, demand: 50}
			floor := func(int) float64 { return test.share }
			share(time.UnixMilli(int64(i)*quantum.Milliseconds()), test.total, []*claimant{urgent, other}, floor)
			turns += other.target
		}
		if turns != test.want {
			t.Errorf("%d slots, floor %.2f: %d slots in 100 turns, want %d", test.total, test.share, turns, test.want)
		}
	}
}
