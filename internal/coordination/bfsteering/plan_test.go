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
