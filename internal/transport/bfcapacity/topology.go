// Package bfcapacity measures the control overhead of the system and the cost of look-ups
// at several sizes and projects them to the target size of the design page, docs/design.md.
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
	targetVMs           = 520
	targetBlocks        = 270_000
	targetLookups       = 260_000
	targetChangesPerDay = 1_100

	// siteCapacity is the capacity of each site. loadShare is the generated demand as a
	// share of the capacity of all sites.
	siteCapacity = bfplacement.Rate(50_000_000)
	loadShare    = 0.6

	topologySeed = 20261204
)

// Topology is a generated network with services and blocks of callers.
type Topology struct {
	Net      bfplacement.Network
	Services []bfplacement.Service
	Blocks   bfplacement.Blocks
}

// NewTopology generates the target network with the given number of blocks. The same
// number always gives the same topology.
func NewTopology(blocks int) *Topology {
	rng := rand.New(rand.NewPCG(topologySeed, uint64(blocks)))
	topo := &Topology{Services: []bfplacement.Service{
		{Name: "catalogue", Urgency: 2, BitsPerRequest: 40_000},
		{Name: "orders", Urgency: 0, BitsPerRequest: 12_000},
		{Name: "ledger", Urgency: 1, BitsPerRequest: 8_000},
	}}
	topo.addNetwork()
	topo.addBlocks(rng, blocks)
	return topo
}

// addNetwork places the regions on a ring. All but the last have three failure domains,
// and each failure domain has two sites.
func (topo *Topology) addNetwork() {
	for r := range targetRegions {
		topo.Net.Regions = append(topo.Net.Regions, bfplacement.Region{Name: fmt.Sprintf("region-%d", r)})
		domains := 3
		if r == targetRegions-1 {
			domains = targetDomains - 3*(targetRegions-1)
		}
		for s := range 2 * domains {
			topo.Net.Sites = append(topo.Net.Sites, bfplacement.Site{
				Name: fmt.Sprintf("site-%d-%d", r, s), Region: r,
				FailureDomain: fmt.Sprintf("domain-%d-%d", r, s/2), Capacity: siteCapacity,
			})
		}
		for other := range r {
			topo.Net.Links = append(topo.Net.Links, bfplacement.Link{
				A: other, B: r, BitsPerSecond: 3_000_000_000, OneWayDelay: ringDelay(float64(r), float64(other)),
			})
		}
	}
}

// ringDelay returns the delay between two positions on the ring of regions, which is
// 20 ms between neighbours.
func ringDelay(a, b float64) time.Duration {
	d := math.Abs(a - b)
	return time.Duration(min(d, targetRegions-d) * 20 * float64(time.Millisecond))
}

func (topo *Topology) addBlocks(rng *rand.Rand, n int) {
	weights, sum := make([]float64, n), 0.0
	for i := range weights {
		// The log-normal distribution gives a few large blocks and many small ones.
		weights[i] = math.Exp(min(rng.NormFloat64(), 3))
		sum += weights[i]
	}
	total := loadShare * float64(siteCapacity) * targetSites
	for i := range n {
		a := uint32(0x0b000000 + i<<8)
		topo.Blocks.Prefixes = append(topo.Blocks.Prefixes,
			netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8)}), 24))
		rate := total * weights[i] / sum
		for _, share := range []float64{0.7, 0.1, 0.2} {
			topo.Blocks.Demand = append(topo.Blocks.Demand, bfplacement.Rate(rate*share))
		}
		position := float64(i)/float64(n)*targetRegions + rng.Float64()*0.6 - 0.3
		access := 2000 + rng.IntN(6000)
		for r := range targetRegions {
			d := ringDelay(math.Mod(position+targetRegions, targetRegions), float64(r))
			topo.Blocks.DelayMicros = append(topo.Blocks.DelayMicros, uint32(access)+uint32(d.Microseconds())+uint32(rng.IntN(500)))
		}
	}
}

// Planner returns a planner for the topology's blocks.
func (topo *Topology) Planner() (*bfplacement.Planner, error) {
	return bfplacement.NewPlanner(bfplacement.DefaultLimits(), topo.Services, topo.Blocks, targetRegions)
}

// Demand returns the demand of the blocks, with that of the blocks nearest to one region
// multiplied by factor.
func (topo *Topology) Demand(region int, factor float64) []bfplacement.Rate {
	out := make([]bfplacement.Rate, len(topo.Blocks.Demand))
	columns := len(topo.Services)
	for b := range topo.Blocks.Prefixes {
		f := 1.0
		if topo.nearestRegion(b) == region {
			f = factor
		}
		for c := range columns {
			out[b*columns+c] = bfplacement.Rate(float64(topo.Blocks.Demand[b*columns+c]) * f)
		}
	}
	return out
}

func (topo *Topology) nearestRegion(b int) int {
	row, best := topo.Blocks.DelayMicros[b*targetRegions:(b+1)*targetRegions], 0
	for r, d := range row {
		if d < row[best] {
			best = r
		}
	}
	return best
}
