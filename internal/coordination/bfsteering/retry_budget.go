package bfsteering

import "time"

// budgetShare is the part of the promised retries that entries use; the rest covers
// entries that count each other wrongly for a while.
const budgetShare = 0.7

// budget limits the second tries of one service at this entry. It belongs to the
// service's lock.
type budget struct {
	tokens float64
	filled bool
	at     time.Time
}

// deposit adds what one first try allows.
func (b *budget) deposit(now time.Time, l Limits, entries int) {
	b.refill(now, l, entries)
	b.tokens = min(b.tokens+budgetShare*l.RetryShare, b.limit(l, entries))
}

// refill grants this entry's part of the slack once in each window.
func (b *budget) refill(now time.Time, l Limits, entries int) {
	limit := b.slack(l, entries)
	if !b.filled {
		b.tokens, b.filled, b.at = limit/2, true, now
		return
	}
	if l.RetryWindow > 0 {
		b.tokens = min(b.tokens+limit/2*float64(now.Sub(b.at))/float64(l.RetryWindow), b.limit(l, entries))
	}
	b.at = now
}

func (b *budget) slack(l Limits, entries int) float64 {
	return budgetShare * l.RetrySlack / float64(entries)
}

func (b *budget) limit(l Limits, entries int) float64 { return max(1, b.slack(l, entries)/2) }

func (b *budget) has(now time.Time, l Limits, entries int) bool {
	b.refill(now, l, entries)
	return b.tokens >= 1
}

func (b *budget) spend() { b.tokens-- }
