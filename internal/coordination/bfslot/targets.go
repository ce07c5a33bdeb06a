package bfslot

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// quantum is how long an entry keeps a slot that others with equal urgency wait
	// for. A slot that moves between regions is idle for a round trip of 110 ms.
	quantum = 400 * time.Millisecond
	// defaultFloor is the share of a service's slots that is kept for each lower
	// urgency where the configuration gives none.
	defaultFloor = 0.1
	// floorTurns is the length of a cycle in which a part of a slot is kept as a
	// share of the time.
	floorTurns = 20
	// rounding keeps the product of a share and a whole number from falling short.
	rounding = 1e-9
)

// claimant is an entry that wants slots of a service.
type claimant struct {
	name    string
	urgency int
	demand  int
	held    int
	// gainedAt is when the entry last got a slot.
	gainedAt time.Time
	target   int
}

// share sets the target of each claimant so that they add up to at most total. A
// more urgent one goes first except for the floors of the others; among equals the
// slots are divided evenly, and what can't be divided goes around.
func share(now time.Time, total int, list []*claimant, floorShare func(urgency int) float64) {
	slices.SortFunc(list, func(a, b *claimant) int { return cmp.Compare(a.urgency, b.urgency) })
	tiers := slices.Collect(chunkByUrgency(list))
	floors := make([]int, len(tiers))
	reserved := 0
	for i := len(tiers) - 1; i > 0; i-- {
		floors[i] = min(floor(now, total, floorShare(tiers[i][0].urgency)), sumDemand(tiers[i]), total-reserved)
		reserved += floors[i]
	}
	left := total
	for i, tier := range tiers {
		reserved -= floors[i]
		order(now, tier, (left-reserved)/len(tier))
		left -= divide(left-reserved, tier)
	}
}

// order sorts equals for the slots that remain when each has the even part: first
// those that just got one, then those without by their waiting time, and last those
// that have had one for longest.
func order(now time.Time, tier []*claimant, even int) {
	rank := func(c *claimant) int {
		switch {
		case c.held <= even:
			return 1
		case now.Sub(c.gainedAt) < quantum:
			return 0
		}
		return 2
	}
	slices.SortFunc(tier, func(a, b *claimant) int {
		byGain := a.gainedAt.Compare(b.gainedAt)
		if rank(a) == 2 {
			byGain = -byGain
		}
		return cmp.Or(cmp.Compare(rank(a), rank(b)), byGain, cmp.Compare(a.name, b.name))
	})
}

// floor returns the slots that an urgency keeps now.
func floor(now time.Time, total int, share float64) int {
	whole, part := math.Modf(float64(total)*share + rounding)
	turn := now.UnixMilli() / quantum.Milliseconds() % floorTurns
	if turn < int64(math.Round(part*floorTurns)) {
		whole++
	}
	return int(whole)
}

// divide gives out up to n slots evenly and returns how many it gave.
func divide(n int, list []*claimant) int {
	given := 0
	for n > given {
		var open []*claimant
		for _, c := range list {
			if c.target < c.demand {
				open = append(open, c)
			}
		}
		if len(open) == 0 {
			break
		}
		each := max(1, (n-given)/len(open))
		for _, c := range open {
			k := min(each, c.demand-c.target, n-given)
			c.target += k
			given += k
		}
	}
	return given
}

func chunkByUrgency(list []*claimant) func(yield func([]*claimant) bool) {
	return func(yield func([]*claimant) bool) {
		for start := 0; start < len(list); {
			end := start + 1
			for end < len(list) && list[end].urgency == list[start].urgency {
				end++
			}
			if !yield(list[start:end]) {
				return
			}
			start = end
		}
	}
}

func sumDemand(list []*claimant) int {
	n := 0
	for _, c := range list {
		n += c.demand
	}
	return n
}
