package bfplacement

import (
	"fmt"
	"slices"
)

// table holds the blocks in the form that the planner works on. It keeps neither the
// prefixes nor the demand by service, which would be a third of its memory.
type table struct {
	blockSet  uint32
	micros    []uint32
	services  []Service
	urgencies []int
	n, r, k   int
	// home is the nearest region of each block; order ranks all regions by delay.
	home  []uint8
	order []uint8
	// rate and bits are cumulative over the classes, most urgent first.
	rate []Rate
	bits []int64
}

func newTable(services []Service, blocks Blocks, regions int) (*table, error) {
	t := &table{micros: blocks.DelayMicros, services: services, n: len(blocks.Prefixes), r: regions}
	for _, s := range services {
		if !slices.Contains(t.urgencies, s.Urgency) {
			t.urgencies = append(t.urgencies, s.Urgency)
		}
	}
	slices.Sort(t.urgencies)
	t.k = len(t.urgencies)
	if t.k == 0 || regions == 0 || regions > 255 {
		return nil, fmt.Errorf("bfplacement: %d classes and %d regions are out of range", t.k, regions)
	}
	if len(blocks.DelayMicros) != t.n*regions {
		return nil, fmt.Errorf("bfplacement: %d delays for %d blocks and %d regions", len(blocks.DelayMicros), t.n, regions)
	}
	t.blockSet = PrefixChecksum(blocks.Prefixes)
	t.rankRegions()
	t.rate = make([]Rate, t.n*t.k)
	t.bits = make([]int64, t.n*t.k)
	return t, t.setDemand(blocks.Demand)
}

func (t *table) rankRegions() {
	t.home = make([]uint8, t.n)
	t.order = make([]uint8, t.n*t.r)
	for b := range t.n {
		row, delay := t.order[b*t.r:(b+1)*t.r], t.micros[b*t.r:(b+1)*t.r]
		for i := range row {
			j := i
			for ; j > 0 && delay[row[j-1]] > delay[i]; j-- {
				row[j] = row[j-1]
			}
			row[j] = uint8(i)
		}
		t.home[b] = row[0]
	}
}

func (t *table) setDemand(demand []Rate) error {
	if len(demand) != t.n*len(t.services) {
		return fmt.Errorf("bfplacement: %d demands for %d blocks and %d services", len(demand), t.n, len(t.services))
	}
	rank := make([]int, len(t.services))
	for i, s := range t.services {
		rank[i] = slices.Index(t.urgencies, s.Urgency)
	}
	for b := range t.n {
		rate, bits := t.rate[b*t.k:(b+1)*t.k], t.bits[b*t.k:(b+1)*t.k]
		clear(rate)
		clear(bits)
		for i, s := range t.services {
			d := max(0, demand[b*len(t.services)+i])
			rate[rank[i]] += d
			bits[rank[i]] += int64(d) * s.BitsPerRequest / 1000
		}
		for c := 1; c < t.k; c++ {
			rate[c] += rate[c-1]
			bits[c] += bits[c-1]
		}
	}
	return nil
}

// served returns the rate of the block's first level classes.
func (t *table) served(b, level int) Rate {
	if level == 0 {
		return 0
	}
	return t.rate[b*t.k+level-1]
}

func (t *table) servedBits(b, level int) int64 {
	if level == 0 {
		return 0
	}
	return t.bits[b*t.k+level-1]
}

func (t *table) delay(b, region int) uint32 { return t.micros[b*t.r+region] }
