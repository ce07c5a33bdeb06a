package bfquota

import (
	"time"

	"briarferry"
)

// usedTolerance is the part of the tolerance that is used. The rest is for clocks that run at
// different rates and for requests that are on their way when a window begins.
const usedTolerance = 0.9

// Tolerance is the excess over a quota that its operator accepts: in any Window, Share of what
// the quota allows in it, and Requests. The zero value accepts none. It is used for tokens that
// entries keep ahead of requests: without it, an organisation whose burst is below the number
// of entries has to wait for most of its tokens.
type Tolerance struct {
	Window   time.Duration
	Share    float64
	Requests float64
}

// tokens returns the number of tokens by which the burst of the quota may be exceeded.
func (t Tolerance) tokens(q briarferry.Quota) float64 {
	return usedTolerance * (t.Share*(q.Rate*t.Window.Seconds()+q.Burst) + t.Requests)
}

// splitOf returns the division of the quota, whose tolerance is all kept ahead of requests.
func (o *Owner) splitOf(q briarferry.Quota) split {
	s, tolerated := splitOf(q), o.Tolerance.tokens(q)
	s.outstanding += tolerated
	s.ahead += tolerated
	return s
}

// depth returns the number of tokens that all entries and the owner may have together.
func (q *ownedQuota) depth() float64 { return effectiveBurst(q.quota) + q.tolerated }
