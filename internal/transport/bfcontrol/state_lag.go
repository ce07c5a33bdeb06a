package bfcontrol

import "time"

// maxStateLag is the time for which entries may have a newer state than this control VM before it
// counts as outdated. A follower applies a change some round trips after the leader.
const maxStateLag = time.Second

// stateLag tells a control VM that is cut off or has just restarted from one that follows the
// leader: the one doesn't reach a revision that entries had some time ago.
type stateLag struct {
	// revision is one that an entry had at the time since, or 0.
	revision uint64
	since    time.Time
}

// exceeded reports whether this VM, at its own revision, still hasn't reached one that a live
// entry had maxStateLag ago. Newest is the highest revision of the live entries.
func (l *stateLag) exceeded(now time.Time, own, newest uint64) bool {
	switch {
	case newest <= own:
		l.revision = 0
	case l.revision <= own:
		l.revision, l.since = newest, now
	}
	return l.revision > own && now.Sub(l.since) > maxStateLag
}
