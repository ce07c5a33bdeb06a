package bfplacement

import (
	"fmt"
	"slices"
)

// blockTable holds the blocks in the form that the planner computes with. It keeps
// neither the prefixes nor the demand by service, which would take a third of its
// memory.
type blockTable struct {
	blockSetChecksum                    uint32
	delayMicros                         []uint32
	services                            []Service
	urgencies                           []int
	blockCount, regionCount, classCount int
	// homeRegion is the nearest region of each block. regionsByDelay ranks all regions
	// for each block, nearest first.
	homeRegion     []uint8
	regionsByDelay []uint8
	// cumulativeRate and cumulativeBits hold, for each block and class, the rate and the
	// link bits per second of that class and all more urgent ones.
	cumulativeRate []Rate
	cumulativeBits []int64
}

func newBlockTable(services []Service, blocks Blocks, regions int) (*blockTable, error) {
	t := &blockTable{delayMicros: blocks.DelayMicros, services: services, blockCount: len(blocks.Prefixes), regionCount: regions}
	for _, s := range services {
		if !slices.Contains(t.urgencies, s.Urgency) {
			t.urgencies = append(t.urgencies, s.Urgency)
		}
	}
	slices.Sort(t.urgencies)
	t.classCount = len(t.urgencies)
	if t.classCount == 0 || regions == 0 || regions > 255 {
		return nil, fmt.Errorf("bfplacement: %d classes and %d regions are out of range", t.classCount, regions)
	}
	if len(blocks.DelayMicros) != t.blockCount*regions {
		return nil, fmt.Errorf("bfplacement: got %d delays for %d blocks and %d regions", len(blocks.DelayMicros), t.blockCount, regions)
	}
	t.blockSetChecksum = PrefixChecksum(blocks.Prefixes)
	t.rankRegions()
	t.cumulativeRate = make([]Rate, t.blockCount*t.classCount)
	t.cumulativeBits = make([]int64, t.blockCount*t.classCount)
	return t, t.setDemand(blocks.Demand)
}

func (t *blockTable) rankRegions() {
	t.homeRegion = make([]uint8, t.blockCount)
	t.regionsByDelay = make([]uint8, t.blockCount*t.regionCount)
	for b := range t.blockCount {
		row, delay := t.regionsByDelay[b*t.regionCount:(b+1)*t.regionCount], t.delayMicros[b*t.regionCount:(b+1)*t.regionCount]
		for i := range row {
			j := i
			for ; j > 0 && delay[row[j-1]] > delay[i]; j-- {
				row[j] = row[j-1]
			}
			row[j] = uint8(i)
		}
		t.homeRegion[b] = row[0]
	}
}

func (t *blockTable) setDemand(demand []Rate) error {
	if len(demand) != t.blockCount*len(t.services) {
		return fmt.Errorf("bfplacement: got %d demand values for %d blocks and %d services", len(demand), t.blockCount, len(t.services))
	}
	classIndex := make([]int, len(t.services))
	for i, s := range t.services {
		classIndex[i] = slices.Index(t.urgencies, s.Urgency)
	}
	for b := range t.blockCount {
		rate, bits := t.cumulativeRate[b*t.classCount:(b+1)*t.classCount], t.cumulativeBits[b*t.classCount:(b+1)*t.classCount]
		clear(rate)
		clear(bits)
		for i, s := range t.services {
			d := max(0, demand[b*len(t.services)+i])
			rate[classIndex[i]] += d
			bits[classIndex[i]] += int64(d) * s.BitsPerRequest / 1000
		}
		for c := 1; c < t.classCount; c++ {
			rate[c] += rate[c-1]
			bits[c] += bits[c-1]
		}
	}
	return nil
}

// servedRate returns the total rate of a block's most urgent classes; classes is their
// number.
func (t *blockTable) servedRate(b, classes int) Rate {
	if classes == 0 {
		return 0
	}
	return t.cumulativeRate[b*t.classCount+classes-1]
}

func (t *blockTable) servedBits(b, classes int) int64 {
	if classes == 0 {
		return 0
	}
	return t.cumulativeBits[b*t.classCount+classes-1]
}

func (t *blockTable) delayTo(b, region int) uint32 { return t.delayMicros[b*t.regionCount+region] }
