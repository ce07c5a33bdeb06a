package bfplan

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestRegionWithoutSlots guards against rounding errors that count as load of a region without
// slots, and so move requests at once, beyond the limit.
func TestRegionWithoutSlots(t *testing.T) {
	rtt := [][]time.Duration{
		{0, 50 * time.Millisecond, 60 * time.Millisecond},
		{50 * time.Millisecond, 0, 60 * time.Millisecond},
		{60 * time.Millisecond, 60 * time.Millisecond, 0},
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		load := []float64{20 * rng.Float64(), 20 * rng.Float64(), 20 * rng.Float64()}
		for from, shares := range allocate(load, make([]float64, 3), []float64{0, 40, 45}, rtt, targetUtilization) {
			if shares[0] != 0 {
				t.Fatalf("load %v: region %d sends %v to a region without slots", load, from, shares[0])
			}
		}
	}
}
