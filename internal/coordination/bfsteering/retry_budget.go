package bfsteering

import "time"

// entryBudgetShare is the share of the allowed retries that the entries use. The rest is
// headroom for the time in which entries disagree about the number of live entries.
const entryBudgetShare = 0.7

// retryBudget is a token bucket for the retries of one service at this entry. It is guarded
// by the service's mutex.
type retryBudget struct {
	tokens      float64
	initialized bool
	refilledAt  time.Time
}

// deposit adds the tokens that one first try earns.
func (b *retryBudget) deposit(now time.Time, l Limits, entries int) {
	b.refill(now, l, entries)
	b.tokens = min(b.tokens+entryBudgetShare*l.RetryShare, b.maxTokens(l, entries))
}

// refill adds half of this entry's part of the retry slack per RetryWindow, in proportion
// to the elapsed time. The bucket's capacity is the other half, or one token if that is
// more. So a full bucket and the refill of one RetryWindow don't exceed this entry's part,
// unless that is less than two tokens.
func (b *retryBudget) refill(now time.Time, l Limits, entries int) {
	slack := b.slack(l, entries)
	if !b.initialized {
		b.tokens, b.initialized, b.refilledAt = slack/2, true, now
		return
	}
	if l.RetryWindow > 0 {
		b.tokens = min(b.tokens+slack/2*float64(now.Sub(b.refilledAt))/float64(l.RetryWindow), b.maxTokens(l, entries))
	}
	b.refilledAt = now
}

func (b *retryBudget) slack(l Limits, entries int) float64 {
	return entryBudgetShare * l.RetrySlack / float64(entries)
}

func (b *retryBudget) maxTokens(l Limits, entries int) float64 { return max(1, b.slack(l, entries)/2) }

func (b *retryBudget) available(now time.Time, l Limits, entries int) bool {
	b.refill(now, l, entries)
	return b.tokens >= 1
}

func (b *retryBudget) spend() { b.tokens-- }
