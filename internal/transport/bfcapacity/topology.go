// Package bfcapacity measures the system's own costs at several sizes and projects
// them to the target size of the design page.
package bfcapacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"briarferry/internal/coordination/bfplacement"
)

const (
	// The target size of the design page.
	targetRegions       = 9
	targetDomains       = 26
	targetSites         = 52
	targetNodes         = 520
	targetBlocks        = 270_000
	targetLookups       = 260_000
	targetChangesPerDay = 1_100

	// siteCapacity is each site's limit and loadShare the share of all sites'
	// capacity that the generated demand takes.
	siteCapacity = bfplacement.Rate(50_000_000)
	loadShare    = 0.6

	worldSeed = 20261204
)

// World is a generated network with client blocks.
type World struct {
	Net      bfplacement.Network
	Services []bfplacement.Service
	Blocks   bfplacement.Blocks
}

// NewWorld generates the target network with the given number of blocks. Equal
// numbers give equal worlds.
func NewWorld(blocks int) *World {
	rng := rand.New(rand.NewPCG(worldSeed, uint64(blocks)))
	w := &World{Services: []bfplacement.Service{
		{Name: "catalogue", Urgency: 2, BitsPerRequest: 40_000},
		{Name: "orders", Urgency: 0, BitsPerRequest: 12_000},
		{Name: "ledger", Urgency: 1, BitsPerRequest: 8_000},
	}}
	w.addNetwork()
	w.addBlocks(rng, blocks)
	return w
}

// addNetwork spreads regions over a ring; all but one have three failure domains,
// each with two sites.
func (w *World) addNetwork() {
	for r := range targetRegions {
		w.Net.Regions = append(w.Net.Regions, bfplacement.Region{Name: fmt.Sprintf("region-%d", r)})
		domains := 3
		if r == targetRegions-1 {
			domains = targetDomains - 3*(targetRegions-1)
		}
		for s := range 2 * domains {
			w.Net.Sites = append(w.Net.Sites, bfplacement.Site{
				Name: fmt.Sprintf("site-%d-%d", r, s), Region: r,
				FailureDomain: fmt.Sprintf("domain-%d-%d", r, s/2), Capacity: siteCapacity,
			})
		}
		for other := range r {
			w.Net.Links = append(w.Net.Links, bfplacement.Link{
				A: other, B: r, BitsPerSecond: 3_000_000_000, OneWayDelay: ringDelay(float64(r), float64(other)),
			})
		}
	}
}

// ringDelay is 20 ms for each step between neighbours on the ring of regions.
func ringDelay(a, b float64) time.Duration {
	d := math.Abs(a - b)
	return time.Duration(min(d, targetRegions-d) * 20 * float64(time.Millisecond))
}

func (w *World) addBlocks(rng *rand.Rand, n int) {
	weights, sum := make([]float64, n), 0.0
	for i := range weights {
		// A log-normal rate gives few large blocks and many small ones.
		weights[i] = math.Exp(min(rng.NormFloat64(), 3))
		sum += weights[i]
	}
	total := loadShare * float64(siteCapacity) * targetSites
	for i := range n {
		a := uint32(0x0b000000 + i<<8)
		w.Blocks.Prefixes = append(w.Blocks.Prefixes,
			netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8)}), 24))
		rate := total * weights[i] / sum
		for _, share := range []float64{0.7, 0.1, 0.2} {
			w.Blocks.Demand = append(w.Blocks.Demand, bfplacement.Rate(rate*share))
		}
		place := float64(i)/float64(n)*targetRegions + rng.Float64()*0.6 - 0.3
		access := 2000 + rng.IntN(6000)
		for r := range targetRegions {
			d := ringDelay(math.Mod(place+targetRegions, targetRegions), float64(r))
			w.Blocks.DelayMicros = append(w.Blocks.DelayMicros, uint32(access)+uint32(d.Microseconds())+uint32(rng.IntN(500)))
		}
	}
}

// Planner returns a planner of the world's blocks.
func (w *World) Planner() (*bfplacement.Planner, error) {
	return bfplacement.NewPlanner(bfplacement.DefaultLimits(), w.Services, w.Blocks, targetRegions)
}

// Demand returns the blocks' demand with one region's callers multiplied.
func (w *World) Demand(region int, factor float64) []bfplacement.Rate {
	out := make([]bfplacement.Rate, len(w.Blocks.Demand))
	columns := len(w.Services)
	for b := range w.Blocks.Prefixes {
		f := 1.0
		if w.nearest(b) == region {
			f = factor
		}
		for c := range columns {
			out[b*columns+c] = bfplacement.Rate(float64(w.Blocks.Demand[b*columns+c]) * f)
		}
	}
	return out
}

func (w *World) nearest(b int) int {
	row, best := w.Blocks.DelayMicros[b*targetRegions:(b+1)*targetRegions], 0
	for r, d := range row {
		if d < row[best] {
			best = r
		}
	}
	return best
}
