package bfquota

import (
	"math"
	"time"

	"briarferry"
)

const (
	// returnTime is the time after which a token isn't taken back any more, and returnMargin
	// is above the time from its grant until it is used and from its return until it is
	// reported.
	returnTime   = 5 * time.Second
	returnMargin = 5 * time.Second
	// smallBurst is the burst below which every token counts: a new owner grants none of them
	// before those of the earlier one have ended.
	smallBurst = 8
	// mediumBurst and largeBurst are the bursts from which more of a quota may be leased.
	// A lease of a smaller burst has too few tokens for several entries.
	mediumBurst = 16
	largeBurst  = 256
	// minDepth is the smallest depth of a lease, and minUsedDepth that of one of a quota that
	// is used up: a lease of few tokens loses many while no request comes. They apply up to
	// partUsed and from fullyUsed on, as parts of the rate.
	minDepth     = 1.2
	minUsedDepth = 12
	partUsed     = 0.75
	fullyUsed    = 0.95
	// keepDepth is the part of the smallest depth down to which an entry keeps its lease.
	keepDepth = 0.5
	// maxLeaseFill is the longest time in which an empty lease fills up.
	maxLeaseFill = 2 * time.Second
	// shareHysteresis is the relative change of a share below which it is kept.
	shareHysteresis = 0.1
	// aheadFill is the part of the depth of its bucket below which the owner grants no tokens
	// ahead of requests, and aheadPart the part of the outstanding tokens that these may be.
	aheadFill = 0.4
	aheadPart = 0.8
	// minUnkept is the number of outstanding tokens that are left for waiting requests.
	minUnkept = 2
	// aheadStep is the factor by which aheadRate changes, and minAheadRate and maxAheadRate
	// are its limits in requests per second.
	aheadStep    = 1.1
	minAheadRate = 0.05
	maxAheadRate = 100
	// aheadLow and aheadHigh are the parts of the tokens for later requests between which
	// aheadRate is kept.
	aheadLow  = 0.8
	aheadHigh = 0.95
)

// split is the division of a quota. It depends on the quota alone, so that a new owner knows
// what earlier owners may have granted.
type split struct {
	// ahead is the part of outstanding that may be kept for later requests.
	ahead float64
	// leased is the highest part of the quota in leases.
	leased float64
	// outstanding is the highest number of tokens granted and not known to be used.
	outstanding float64
}

// effectiveBurst returns the depth of the quota's bucket. A bucket of less than one token would
// admit nothing.
func effectiveBurst(q briarferry.Quota) float64 { return max(1, q.Burst) }

// leaseBurst returns the depth that the leases of a whole quota would have. It is limited, as the
// tokens of a lease that ends are lost.
func leaseBurst(q briarferry.Quota) float64 {
	return min(effectiveBurst(q), q.Rate*maxLeaseFill.Seconds())
}

// splitOf returns the division of the quota. A small quota is given out token by token, as
// its demand comes from more entries than its burst has tokens. A large one is mostly leased,
// so that entries need no owner for a while.
func splitOf(q briarferry.Quota) split {
	burst := effectiveBurst(q)
	s := split{outstanding: max(1, 0.8*burst)}
	switch {
	case burst < smallBurst:
		s.outstanding = burst
	case burst >= largeBurst:
		s = split{leased: 0.8, outstanding: 0.15 * burst}
	case burst >= mediumBurst || burst >= 2*minDepth && burst < q.Rate/2:
		s = split{leased: 0.5, outstanding: max(1, 0.4*burst)}
	}
	s.ahead = max(0, aheadPart*s.outstanding-minUnkept)
	return s
}

// deviation returns the standard deviation of the requests that come at the rate while a bucket
// of the quota fills, per second of that time.
func deviation(q briarferry.Quota, rate float64) float64 {
	return math.Sqrt(rate * q.Rate / leaseBurst(q))
}

// targetRate returns the rate of the lease for an entry with the given demand, where demand and
// deviation of all entries have the given sums. Where the quota allows, a lease exceeds the
// demand by the deviation. Where it doesn't, it is less than the demand by the deviation, as a
// full bucket loses tokens that others could use.
func targetRate(q briarferry.Quota, demand, demandSum, deviationSum float64) float64 {
	leasable := splitOf(q).leased * q.Rate
	factor := 1.0
	if deviationSum > 0 {
		factor = min(1, max(-1, (leasable-demandSum)/deviationSum))
	}
	target := max(0, demand+factor*deviation(q, demand))
	if least := demandSum - deviationSum; least > leasable {
		target *= leasable / least
	}
	return target
}

// leastDepth returns the smallest depth of a lease where all entries have the given demand.
func leastDepth(q briarferry.Quota, demandSum float64) float64 {
	part := (demandSum/q.Rate - partUsed) / (fullyUsed - partUsed)
	return minDepth + min(1, max(0, part))*(minUsedDepth-minDepth)
}

// withMargin returns the duration after which a period that another process counts has ended,
// for clocks that run at different rates.
func withMargin(d time.Duration) time.Duration { return d + d/10 }

// adaptAheadRate changes the demand from which entries may keep tokens, so that those with the
// highest demand keep them.
func (q *ownedQuota) adaptAheadRate() {
	limit := q.split.ahead
	switch {
	case q.sums.ahead > aheadHigh*limit:
		q.aheadRate *= aheadStep
	case q.sums.ahead < aheadLow*limit:
		q.aheadRate /= aheadStep
	}
	q.aheadRate = min(maxAheadRate, max(minAheadRate, q.aheadRate))
}
