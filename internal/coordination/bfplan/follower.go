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
)

type (
	// Follower holds the shares of one service that an entry uses. Their changes are limited,
	// so that an entry that missed plans doesn't move its requests at once.
	Follower struct {
		// Phase and LeavePhase are the starts of the entry's sequences, random numbers from 0
		// to 1, so that entries don't move in step.
		Phase, LeavePhase float64
		// Shares are the shares in force; nil means that none are yet.
		Shares []float64

		count     uint64
		updatedAt time.Time
		usedAt    time.Time
		// forced and forcedTerm identify the last change that was followed at once.
		forced, forcedTerm uint64
		// influence is the part of the requests that follow the shares. It falls to 0 when
		// plans are missing.
		influence float64
	}

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
	if f.Shares == nil || len(f.Shares) != len(target) {
		f.Shares, f.influence = slices.Clone(start), 1
	}
	isForced := forced > 0 && (term != f.forcedTerm || forced > f.forced)
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

// Next decides about the next request.
func (f *Follower) Next(now time.Time, maxShift float64) Draw {
	f.usedAt = now
	f.count++
	at := fraction(f.Phase + float64(f.count)*goldenRatio)
	leave := fraction(f.LeavePhase + float64(f.count)*silverRatio)
	if f.Shares == nil || leave >= f.influence {
		return Draw{}
	}
	d := Draw{Planned: true, MayLeave: leave < leaveShare*maxShift, Region: len(f.Shares) - 1}
	for r, share := range f.Shares {
		if at < share {
			d.Region = r
			break
		}
		at -= share
	}
	// Rounding may leave the last region without a share.
	for d.Region > 0 && f.Shares[d.Region] == 0 {
		d.Region--
	}
	return d
}

func fraction(v float64) float64 { return v - math.Floor(v) }
