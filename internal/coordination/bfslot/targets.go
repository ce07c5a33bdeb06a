package bfslot

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// timeSlice is how long an entry keeps a slot that others with equal urgency wait
	// for. A slot that moves between regions is idle for a round trip of 110 ms.
	timeSlice = 400 * time.Millisecond
	// defaultFloorShare is the share of a service's slots that is reserved for each
	// lower urgency if the configuration sets none.
	defaultFloorShare = 0.1
	// floorCycleSlices is the number of time slices in a cycle. A fraction of a slot is
	// reserved as a whole slot in that fraction of the slices.
	floorCycleSlices = 20
	// roundingTolerance keeps the product of a share and a number of slots from ending
	// up just below a whole number.
	roundingTolerance = 1e-9
)

// requester is an entry that requests or holds slots of a service.
type requester struct {
	name    string
	urgency int
	demand  int
	granted int
	// lastGrantAt is when the entry was last granted a slot.
	lastGrantAt time.Time
	// target is the number of slots that the entry is to have.
	target int
}

// setTargets sets the target of each requester so that the targets add up to at most
// total. Requesters with a higher urgency are served first, except for the floors that
// are reserved for the others. Requesters with equal urgency get equal numbers of
// slots, and the remainder rotates among them.
func setTargets(now time.Time, total int, list []*requester, floorShare func(urgency int) float64) {
	slices.SortFunc(list, func(a, b *requester) int { return cmp.Compare(a.urgency, b.urgency) })
	groups := slices.Collect(groupByUrgency(list))
	floors := make([]int, len(groups))
	reserved := 0
	for i := len(groups) - 1; i > 0; i-- {
		floors[i] = min(floorSlots(now, total, floorShare(groups[i][0].urgency)), sumDemand(groups[i]), total-reserved)
		reserved += floors[i]
	}
	left := total
	for i, group := range groups {
		reserved -= floors[i]
		sortForRemainder(now, group, (left-reserved)/len(group))
		left -= divideEvenly(left-reserved, group)
	}
}

// sortForRemainder sorts requesters with equal urgency for the slots that remain once
// each has its equal share: first those that have more than the share and were granted a
// slot within the last time slice, then those that don't have more, and last those that
// have more and whose time slice is over. The oldest grant comes first in the first two
// groups, and last in the last one.
func sortForRemainder(now time.Time, group []*requester, equalShare int) {
	priority := func(r *requester) int {
		switch {
		case r.granted <= equalShare:
			return 1
		case now.Sub(r.lastGrantAt) < timeSlice:
			return 0
		}
		return 2
	}
	slices.SortFunc(group, func(a, b *requester) int {
		byGrantTime := a.lastGrantAt.Compare(b.lastGrantAt)
		if priority(a) == 2 {
			byGrantTime = -byGrantTime
		}
		return cmp.Or(cmp.Compare(priority(a), priority(b)), byGrantTime, cmp.Compare(a.name, b.name))
	})
}

// floorSlots returns the number of slots reserved for an urgency in the current time
// slice.
func floorSlots(now time.Time, total int, share float64) int {
	whole, fraction := math.Modf(float64(total)*share + roundingTolerance)
	slice := now.UnixMilli() / timeSlice.Milliseconds() % floorCycleSlices
	if slice < int64(math.Round(fraction*floorCycleSlices)) {
		whole++
	}
	return int(whole)
}

// divideEvenly raises the targets by up to n slots evenly, limited by the demand, and
// returns the number of slots given.
func divideEvenly(n int, list []*requester) int {
	given := 0
	for n > given {
		var unmet []*requester
		for _, r := range list {
			if r.target < r.demand {
				unmet = append(unmet, r)
			}
		}
		if len(unmet) == 0 {
			break
		}
		each := max(1, (n-given)/len(unmet))
		for _, r := range unmet {
			k := min(each, r.demand-r.target, n-given)
			r.target += k
			given += k
		}
	}
	return given
}

// groupByUrgency returns an iterator over the runs of requesters with equal urgency.
func groupByUrgency(list []*requester) func(yield func([]*requester) bool) {
	return func(yield func([]*requester) bool) {
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

func sumDemand(list []*requester) int {
	n := 0
	for _, r := range list {
		n += r.demand
	}
	return n
}
