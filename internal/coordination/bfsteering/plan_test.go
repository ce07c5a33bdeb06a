package bfsteering

import (
	"math"
	"testing"
	"time"
)

// waves returns the rate of requests of a region, whose callers come in waves that differ in
// phase by region.
func waves(perEntry float64, entries int) func(int, time.Duration) float64 {
	return func(region int, at time.Duration) float64 {
		return perEntry * float64(entries) / 3 * (1 + 0.33*math.Sin(2*math.Pi*(at.Seconds()/36+float64(region)/3)))
	}
}

// TestPlanOfManyEntries guards against entries of few requests each that together move more of
// a region's requests than the limit allows, and against callers of a small region that are
// served far less often than others.
func TestPlanOfManyEntries(t *testing.T) {
	for _, c := range []struct {
		entries int
		servers []int
	}{{22, []int{9, 2, 8}}, {109, []int{46, 10, 38}}} {
		for _, planned := range []bool{false, true} {
			s := newPlanSim(1, c.servers, c.entries, planned, waves(6, c.entries))
			s.run(40 * time.Second)
			worst, at := s.largestShift(0)
			share, served := [3]float64{}, [3]float64{}
			best := 0.0
			for r := range share {
				share[r] = s.onTime(r, 0, 40*time.Second)
				served[r] = s.served(r)
				best = max(best, share[r])
			}
			t.Logf("%d entries, planned %v: largest shift %.3f at %v, on time by region %.3f, served %.3f, other regions %.3f, lag %v, left %v, %d messages",
				c.entries, planned, worst, at, share, served, s.remote(), s.lag(), s.reasons, s.messages)
			if planned && worst > simMaxShift {
				t.Errorf("%d entries: %.3f of a region's requests moved at %v", c.entries, worst, at)
			}
			if planned && share[1] < 0.8*best {
				t.Errorf("%d entries: the small region is served on time to %.3f, others up to %.3f", c.entries, share[1], best)
			}
		}
	}
}

// TestPlanWhileCallersMove guards against requests that move faster than the limit allows while
// callers of a failure domain use entries of another region, and when the leader changes.
func TestPlanWhileCallersMove(t *testing.T) {
	const entries = 60
	usual := waves(6, entries)
	s := newPlanSim(2, []int{25, 6, 21}, entries, true, func(region int, at time.Duration) float64 {
		rate := usual(region, at)
		if at < 12*time.Second || at > 18*time.Second {
			return rate
		}
		moved := 0.4 * usual(0, at)
		return rate + []float64{-moved, moved, 0}[region]
	})
	s.run(20 * time.Second)
	s.newLeader(2)
	s.run(12 * time.Second)
	if s.plan.Term != 2 {
		t.Fatalf("the plan is of term %d, want 2", s.plan.Term)
	}
	worst, at := s.largestShift(0)
	t.Logf("largest shift %.3f at %v, left %v", worst, at, s.reasons)
	if worst > simMaxShift {
		t.Errorf("%.3f of a region's requests moved at %v", worst, at)
	}
}
