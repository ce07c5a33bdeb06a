package bfplan

import (
	"math"
	"slices"
	"time"
)

const (
	// goldenRatio and silverRatio are the steps of two sequences that are evenly spread over
	// [0, 1) and independent of each other.
	goldenRatio = 0.6180339887498949
	silverRatio = 0.4142135623730950
	// leaveShare is the share of the limit on shifts that requests may use which leave their
	// planned region because no server there can answer in time.
	leaveShare = 0.2
	// keyTolerance is how far a key's position may be from a region's part for the key to go
	// there when the region lacks one request of its share. A smaller value keeps keys in their
	// regions more strictly, but lets counts differ more from the shares, which raises
	// spreadVariance.
	keyTolerance = 0.15
	// maxCredit bounds how many requests a region may lack, so that those of one time are not
	// made up for at another.
	maxCredit = 8
	// startDraws is the number of draws after which credits don't depend on their start.
	startDraws = 32
)

type (
	// Follower holds the shares of one service that an entry uses. Their changes are limited,
	// so that an entry that missed plans doesn't move its requests at once.
	Follower struct {
		// Own is the index of the entry's region.
		Own int
		// Common is shared by the followers of all services of an entry, as the limit on shifts
		// applies to their requests together. It may be nil.
		Common *Credits
		// Phase and LeavePhase are the starts of the entry's sequences, random numbers from 0
		// to 1, so that entries don't move in step. Phase is for requests without a key.
		Phase, LeavePhase float64
		// Shares are the shares in force; nil means that none are yet.
		Shares []float64

		count     uint64
		credits   Credits
		updatedAt time.Time
		usedAt    time.Time
		// forced and forcedTerm identify the last change that was followed at once.
		forced, forcedTerm uint64
		// influence is the part of the requests that follow the shares. It falls to 0 when
		// plans are missing.
		influence float64
	}

	// Credits holds how many requests each region lacks of its share.
	Credits []float64

	// Draw is the decision about one request.
	Draw struct {
		// Region is the index of the region; Planned is false if the entry chooses itself.
		Region  int
		Planned bool
		// MayLeave reports whether the request may run in another region if no server there
		// can answer in time.
		MayLeave bool
	}
)

// Follow moves the shares towards a plan. Term and forced are those of the plan's row. Start
// are the shares used so far, if the follower has none.
func (f *Follower) Follow(now time.Time, target, start []float64, term, forced uint64, maxShift float64) {
	step := f.step(now, maxShift)
	f.influence = min(1, f.influence+step)
	follows := len(f.Shares) == len(target)
	if !follows {
		f.Shares, f.influence = slices.Clone(start), 1
	}
	// A change made before the entry followed has no effect on its present shares.
	isForced := follows && forced > 0 && (term != f.forcedTerm || forced > f.forced)
	if isForced || now.Sub(f.usedAt) > quietTime {
		f.Shares, f.influence = slices.Clone(target), 1
	}
	f.forcedTerm, f.forced = term, forced
	Approach(f.Shares, target, step)
}

// Release returns the requests to the entry's own choice, a few at a time. It is called
// instead of Follow while there is no valid plan.
func (f *Follower) Release(now time.Time, maxShift float64) {
	f.influence = max(0, f.influence-f.step(now, maxShift))
	if f.influence == 0 {
		f.Shares = nil
	}
}

// step returns how much may change since the last call.
func (f *Follower) step(now time.Time, maxShift float64) float64 {
	elapsed := min(Interval, max(0, now.Sub(f.updatedAt)))
	f.updatedAt = now
	return StepPerSecond(maxShift) * elapsed.Seconds()
}

// Next decides about the next request. Place is a number from 0 to 1 that is the same for all
// requests with a key at all entries, or negative for a request without a key. The regions
// divide the places, the entry's own one first, so that the same keys go to the same regions,
// as far as each region gets its share of the requests.
func (f *Follower) Next(now time.Time, place, maxShift float64) Draw {
	f.usedAt = now
	f.count++
	leave := fraction(f.LeavePhase + float64(f.count)*silverRatio)
	if f.Shares == nil || leave >= f.influence {
		return Draw{}
	}
	if place < 0 {
		place = fraction(f.Phase + float64(f.count)*goldenRatio)
	}
	return Draw{Planned: true, MayLeave: leave < leaveShare*maxShift, Region: f.nearest(place)}
}

// nearest returns the region whose part of the places is the nearest one, where a region that
// lacks requests counts as nearer.
func (f *Follower) nearest(place float64) int {
	common := f.Common
	if common == nil {
		common = &f.credits
	}
	common.fit(len(f.Shares))
	if len(f.credits) != len(f.Shares) {
		f.credits.fit(len(f.Shares))
		// The first requests of an entry must not differ from later ones: all entries start at
		// the same time.
		for i := range startDraws {
			f.nearest(fraction(f.Phase + float64(i)*goldenRatio))
		}
	}
	best, bestScore, start := -1, 0.0, 0.0
	for i := range f.Shares {
		// The own region's part of the places only changes at its end: it is the one whose
		// servers would lack the keys that it gets.
		r := f.inOrder(i)
		share := f.Shares[r]
		end := start + share
		score := (f.credits[r]+(*common)[r])/2 - max(0, start-place, place-end)/keyTolerance
		if share > 0 && (best < 0 || score > bestScore) {
			best, bestScore = r, score
		}
		start = end
	}
	f.credits.charge(best, f.Shares)
	if f.Common != nil {
		f.Common.charge(best, f.Shares)
	}
	return best
}

// fit sets the number of regions.
func (c *Credits) fit(regions int) {
	if len(*c) != regions {
		*c = make(Credits, regions)
	}
}

// charge records a request that a region gets.
func (c Credits) charge(region int, shares []float64) {
	c[region]--
	for r, share := range shares {
		c[r] = min(maxCredit, max(-maxCredit, c[r]+share))
	}
}

// inOrder returns the i-th region in the order in which they divide the places.
func (f *Follower) inOrder(i int) int {
	switch {
	case i == 0:
		return f.Own
	case i <= f.Own:
		return i - 1
	}
	return i
}

func fraction(v float64) float64 { return v - math.Floor(v) }

// Use records a request that follows no plan.
func (f *Follower) Use(now time.Time) { f.usedAt = now }
