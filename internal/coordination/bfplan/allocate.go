package bfplan

import (
	"cmp"
	"slices"
	"time"
)

const (
	// targetUtilization is the utilization of a region's slots up to which its own callers'
	// requests run there. The rest is room for requests that arrive unevenly, and for growth
	// within the time that shares take to follow.
	targetUtilization = 0.7
	// nearFactor groups regions by distance: those within this factor of the nearest one of
	// the group count as equally near, and share requests by their room.
	nearFactor = 1.3
	// levelSteps is the number of bisection steps in the search for the utilization level.
	levelSteps = 40
	// roundingRest is the part of a region's load up to which a rest counts as an error of
	// rounding.
	roundingRest = 1e-6
)

// allocation is one distribution of the load of each region of callers over the regions.
type allocation struct {
	// room holds the free slots of each region, and left the load of each region of callers
	// that has no place yet.
	room, left []float64
	// placed holds the load by region of callers and region in which it runs.
	placed [][]float64
}

// allocate distributes load, in slots by region of callers, over the regions. Each region
// first runs its own load up to the lowest common utilization of at least the target at
// which everything fits; the rest goes to the nearest regions with room. Above full
// utilization all regions are equally overloaded, so that the callers of a small region are
// refused no more often than others.
func allocate(load, fixed, slots []float64, rtt [][]time.Duration, target float64) [][]float64 {
	n := len(load)
	a := &allocation{room: make([]float64, n), left: slices.Clone(load), placed: make([][]float64, n)}
	level := commonLevel(sum(load), fixed, slots, target)
	for r := range n {
		a.placed[r] = make([]float64, n)
		a.room[r] = max(0, level*slots[r]-fixed[r])
		a.place(r, r, min(a.left[r], a.room[r]))
	}
	tiers := make([][][]int, n)
	for from := range n {
		tiers[from] = nearTiers(from, rtt)
	}
	for tier := range n {
		a.placeInTier(tiers, tier)
	}
	shares := make([][]float64, n)
	for from := range n {
		// Rounding may leave a tiny rest, which must not count as load of a region without slots.
		if a.left[from] > roundingRest*load[from] {
			a.placed[from][from] += a.left[from]
		}
		shares[from] = normalized(a.placed[from], from)
	}
	return shares
}

// commonLevel returns the lowest utilization from the target on at which the load fits into
// the slots that the fixed load leaves.
func commonLevel(load float64, fixed, slots []float64, target float64) float64 {
	all := sum(slots)
	if all <= 0 {
		return target
	}
	fits := func(level float64) bool {
		room := 0.0
		for r := range slots {
			room += max(0, level*slots[r]-fixed[r])
		}
		return room >= load
	}
	if fits(target) {
		return target
	}
	low, high := target, (load+sum(fixed))/all
	for !fits(high) {
		// Fixed load beyond a region's part of the level takes no room elsewhere, so the level
		// that fits is at most (load+sum(fixed))/all; rounding may miss it by a little.
		high *= 1.001
	}
	for range levelSteps {
		if middle := (low + high) / 2; fits(middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

// place moves load of a region of callers into a region.
func (a *allocation) place(from, to int, load float64) {
	a.placed[from][to] += load
	a.room[to] -= load
	a.left[from] -= load
}

// placeInTier places what is left in the given tier of each region of callers. Regions that
// want the same room share it in proportion to what they have left.
func (a *allocation) placeInTier(tiers [][][]int, tier int) {
	// Each round fills a region or places all load of a region of callers.
	for range 2 * len(a.left) {
		wanted, wantedOf := make([][]float64, len(a.left)), make([]float64, len(a.left))
		for from := range a.left {
			wanted[from] = a.split(from, tiers[from], tier)
			for to, load := range wanted[from] {
				wantedOf[to] += load
			}
		}
		if sum(wantedOf) < 1e-9 {
			return
		}
		room := slices.Clone(a.room)
		for from := range wanted {
			for to, load := range wanted[from] {
				if load > 0 {
					a.place(from, to, load*min(1, room[to]/wantedOf[to]))
				}
			}
		}
	}
}

// split returns how much of its remaining load a region of callers sends to each region of
// one of its tiers: in proportion to their room.
func (a *allocation) split(from int, tiers [][]int, tier int) []float64 {
	out := make([]float64, len(a.left))
	if tier >= len(tiers) {
		return out
	}
	room := 0.0
	for _, to := range tiers[tier] {
		room += max(0, a.room[to])
	}
	if room < 1e-9 || a.left[from] < 1e-9 {
		return out
	}
	for _, to := range tiers[tier] {
		out[to] = min(a.left[from], room) * max(0, a.room[to]) / room
	}
	return out
}

// nearTiers groups the other regions by their distance from a region, nearest first.
func nearTiers(from int, rtt [][]time.Duration) [][]int {
	var others []int
	for r := range rtt {
		if r != from {
			others = append(others, r)
		}
	}
	slices.SortStableFunc(others, func(a, b int) int { return cmp.Compare(rtt[from][a], rtt[from][b]) })
	var tiers [][]int
	for _, r := range others {
		last := len(tiers) - 1
		if last >= 0 && float64(rtt[from][r]) <= nearFactor*float64(rtt[from][tiers[last][0]]) {
			tiers[last] = append(tiers[last], r)
			continue
		}
		tiers = append(tiers, []int{r})
	}
	return tiers
}

// normalized returns the parts as shares of their sum; without any, all requests stay in
// their own region.
func normalized(parts []float64, own int) []float64 {
	out, all := make([]float64, len(parts)), sum(parts)
	if all <= 0 {
		out[own] = 1
		return out
	}
	for r, part := range parts {
		out[r] = max(0, part) / all
	}
	return out
}

func sum(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}
