package bfquota

import "time"

// limitEnd is the time without a refusal after which an organisation no longer counts as limited.
const limitEnd = 10 * time.Second

// limitState tells whether an organisation's quota is used up.
type limitState struct {
	limited bool
	lastAt  time.Duration
}

// observe records whether requests got no token, and reports the changes.
func (o *Owner) observe(key uint64, q *ownedQuota, now time.Duration, refused bool) {
	s := &q.limited
	was := s.limited
	switch {
	case refused && now >= o.since+withMargin(LeaseDuration):
		s.limited, s.lastAt = true, now
	case s.limited && now-s.lastAt > limitEnd:
		s.limited = false
	}
	if s.limited != was && o.Limited != nil {
		o.Limited(key, s.limited)
	}
}
