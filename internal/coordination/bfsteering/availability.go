package bfsteering

import (
	"time"

	"briarferry"
)

const (
	// maxPause bounds the pause that one answer of a server can start, so that an absurd
	// value doesn't take the server out for longer. If the server still wants none, its next
	// answer says so.
	maxPause = time.Minute
	// returnPeriod is the time after a pause in which the server gets more and more requests
	// again. All entries that paused would otherwise return at the same moment.
	returnPeriod = 3 * time.Second
)

// availability is what a server's process has said in its answers about further requests. It
// keeps them away from a process that is about to end, and from one that is overloaded
// although its load reports, which are older, say otherwise.
type availability struct {
	// leaving is true from the first answer that says so to the end of the process. Later
	// answers without the notice don't change it: they may have been written before.
	leaving     bool
	pausedUntil time.Time
	// pausing is true from the start of a pause until its end was noticed.
	pausing bool
}

// note records a notice and reports whether it changes anything: whether the server leaves,
// and whether a pause begins.
func (a *availability) note(now time.Time, n briarferry.ServerNotice) (leaves, pauses bool) {
	leaves = n.Leaving && !a.leaving
	a.leaving = a.leaving || n.Leaving
	until := now.Add(min(n.Pause, maxPause))
	if n.Pause <= 0 || !until.After(a.pausedUntil) {
		return leaves, false
	}
	pauses = !a.pausing
	a.pausedUntil, a.pausing = until, true
	return leaves, pauses
}

// closed reports whether the server wants no request now.
func (a *availability) closed(now time.Time) bool {
	return a.leaving || now.Before(a.pausedUntil)
}

// opensAt returns when an entry may send its first request after the pause. The phase, from
// 0 to 1, differs between entries and spreads them over half of the return period.
func (a *availability) opensAt(phase float64) time.Time {
	return a.pausedUntil.Add(time.Duration(phase * float64(returnPeriod) / 2))
}

// accepts reports whether the server may get another request while this entry has inFlight
// requests there. After a pause the number allowed grows from one to the server's slots.
func (a *availability) accepts(now time.Time, inFlight, slots int, phase float64) bool {
	if a.closed(now) {
		return false
	}
	end := a.pausedUntil.Add(returnPeriod)
	if a.pausedUntil.IsZero() || !now.Before(end) {
		return true
	}
	start := a.opensAt(phase)
	if now.Before(start) {
		return false
	}
	returned := float64(now.Sub(start)) / float64(end.Sub(start))
	return inFlight < 1+int(returned*float64(slots))
}

// endPause reports, once for each pause, that it is over.
func (a *availability) endPause(now time.Time) bool {
	if !a.pausing || now.Before(a.pausedUntil) {
		return false
	}
	a.pausing = false
	return true
}
