package bfreturn

import "time"

const (
	// fullTimeSpan is the time for which the longest remaining time is remembered at least;
	// it is forgotten after twice that time.
	fullTimeSpan = 10 * time.Second
	// minElapsed is the difference to the longest remaining time from which a caller counts
	// as returning. It is less than MinWait, since the longest can be that of a caller with
	// a slightly longer time.
	minElapsed = 60 * time.Millisecond
)

// FullTime learns the time that the first attempts on a route have, as the longest one that
// was seen recently. Callers repeat with a new request ID at any entry, so that only the
// shorter remaining time tells a returning caller from a new one.
type FullTime struct {
	since          time.Time
	latest, before time.Duration
}

// Returning records a remaining time and reports whether it is that of a returning caller.
func (f *FullTime) Returning(now time.Time, remaining time.Duration) bool {
	if elapsed := now.Sub(f.since); elapsed >= fullTimeSpan {
		f.before, f.latest, f.since = f.latest, 0, now
		if elapsed >= 2*fullTimeSpan {
			f.before = 0
		}
	}
	f.latest = max(f.latest, remaining)
	return remaining < max(f.latest, f.before)-minElapsed
}
