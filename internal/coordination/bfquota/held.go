package bfquota

import (
	"math"
	"slices"
	"sync"
	"time"

	"briarferry"
)

const (
	// demandTime is the time constant of the measured demand, and slowDemandTime that of a
	// demand below slowDemand, in requests per second.
	demandTime     = 2 * time.Second
	slowDemandTime = 10 * time.Second
	slowDemand     = 2
	// aheadTime is the time for which tokens of an organisation are kept ahead: a round trip
	// and the delay until a used token is reported.
	aheadTime = 300 * time.Millisecond
	// maxAhead limits the tokens that are kept ahead.
	maxAhead = 64
	// settleDelay is the time after which the use of tokens is reported at the latest, so that
	// the owner can grant more.
	settleDelay = 60 * time.Millisecond
	// reportGap is the time without a report after which the count of single tokens begins
	// anew. It is shorter than the owner keeps its record.
	reportGap = 4 * time.Second
	// idleReportInterval is the time between two reports of an organisation for which the entry
	// has nothing.
	idleReportInterval = 2 * time.Second
	// retryDelay is the time until tokens are asked for again where the owner doesn't know when
	// it will have one.
	retryDelay = 50 * time.Millisecond
)

type (
	// held is what the entry has of an organisation's quota.
	held struct {
		holder *Holder
		key    uint64

		mu    sync.Mutex
		quota briarferry.Quota
		lease lease
		// batches are the single tokens of this term, and earlier those of earlier terms.
		batches, earlier []batch
		term             uint64
		born, ack        uint64
		spent, returned  uint64
		// keep is the number of single tokens that the owner lets the entry keep.
		keep uint32
		// reports counts the reports.
		reports    uint64
		reportedAt time.Duration
		// settleAt is when the use of single tokens is to be reported, or 0.
		settleAt time.Duration
		// refusedUntil is the time until which the owner has no tokens.
		refusedUntil time.Duration
		waiters      []*Waiter
		// advances are the requests that were admitted before their token came, at most
		// maxAdvances, which holds for advanceVersion of the known entries.
		advances       []*advance
		maxAdvances    int
		advanceVersion uint64
		// urgent is set if the organisation is to be reported at once.
		urgent bool

		active   bool
		arrivals int
		// fast and slow are the measured demand with two time constants.
		fast, slow  float64
		measuredAt  time.Duration
		lastRequest time.Duration
		clock       func() time.Duration
		// removed is set once the organisation has no quota any more.
		removed bool
	}
)

// setQuota sets the quota and reports whether it has changed.
func (h *held) setQuota(q briarferry.Quota) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.quota == q {
		return false
	}
	h.quota, h.urgent, h.refusedUntil, h.advanceVersion = q, true, 0, 0
	return true
}

// acquire returns a token, a waiter or a refusal, and whether the organisation has become active.
func (h *held) acquire(now time.Duration, clock func() time.Duration) (t *Token, w *Waiter, refusal *briarferry.Refusal, activate bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.removed {
		return nil, nil, nil, false
	}
	activate = !h.active
	if activate {
		h.active = true
		h.measuredAt = now
	}
	h.arrivals++
	h.lastRequest, h.clock = now, clock
	h.settleAdvances(now, 0, 0)
	if len(h.waiters) == 0 {
		if t = h.take(now); t != nil {
			return t, nil, nil, activate
		}
	}
	if now < h.refusedUntil {
		return nil, nil, quotaUsed(h.retryAfter(now)), activate
	}
	if len(h.waiters) >= maxWaiting {
		return nil, nil, waitedRefusal(), activate
	}
	if len(h.waiters) == 0 {
		if t = h.admitInAdvance(now); t != nil {
			return t, nil, nil, activate
		}
	}
	w = &Waiter{Done: make(chan Decision, 1), h: h, since: now}
	h.waiters = append(h.waiters, w)
	h.urgent = true
	return nil, w, nil, activate
}

// forget ends the count of single tokens, as the owner forgets silent entries.
func (h *held) forget() {
	h.batches, h.earlier, h.spent, h.returned, h.born, h.ack, h.keep = nil, nil, 0, 0, 0, 0, 0
	h.fast, h.slow, h.arrivals = 0, 0, 0
}

// admitAll admits all waiting requests, as there is no quota any more.
func (h *held) admitAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removed = true
	for _, w := range h.waiters {
		w.Done <- Decision{}
	}
	h.waiters = nil
}

// retryAfter returns the time until there will be a token, here or at the owner.
func (h *held) retryAfter(now time.Duration) time.Duration {
	retry := max(0, h.refusedUntil-now)
	h.lease.fill(now)
	if next, ok := h.lease.next(); ok && (retry == 0 || next < retry) {
		retry = next
	}
	return retry
}

// take returns a token of the lease or, if it has none, a single one.
func (h *held) take(now time.Duration) *Token {
	h.lease.fill(now)
	if h.lease.tokens >= 1 {
		h.lease.tokens--
		return &Token{h: h, clock: h.clock, at: now}
	}
	if _, ok := takeFrom(&h.earlier, now); ok {
		return &Token{h: h, clock: h.clock, at: now, single: true}
	}
	end, ok := takeFrom(&h.batches, now)
	if !ok {
		return nil
	}
	h.spent++
	if h.settleAt == 0 {
		h.settleAt = now
		if h.quota.Burst >= smallBurst {
			h.settleAt += settleDelay
		}
	}
	return &Token{h: h, clock: h.clock, at: now, single: true, born: h.born, reports: h.reports, end: end}
}

// giveBack takes a token back. One of the lease goes back to it if its history allows it. A single
// one that was reported as used goes back to the owner with the next report.
func (h *held) giveBack(t *Token, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case now-t.at > returnTime:
	case !t.single:
		h.lease.fill(now)
		h.lease.tokens += h.lease.history.takeBack(now, now-t.at, returnTime, 1)
	case t.born == 0 || t.born != h.born:
	case t.reports == h.reports:
		// The owner doesn't know yet that it was used.
		h.spent--
		h.batches = append(h.batches, batch{tokens: 1, since: now, end: t.end})
	default:
		h.returned++
	}
}

// measure updates the measured demand.
func (h *held) measure(now time.Duration) {
	passed := (now - h.measuredAt).Seconds()
	if passed <= 0 {
		return
	}
	fast, slow := math.Exp(-passed/demandTime.Seconds()), math.Exp(-passed/slowDemandTime.Seconds())
	h.fast = h.fast*fast + float64(h.arrivals)/passed*(1-fast)
	h.slow = h.slow*slow + float64(h.arrivals)/passed*(1-slow)
	h.arrivals, h.measuredAt = 0, now
}

// rate returns the measured demand in requests per second.
func (h *held) rate() float64 {
	if h.fast < slowDemand {
		return h.slow
	}
	return h.fast
}

// demand returns the item for a report, whether it is to be reported, and whether the organisation
// is still active.
func (h *held) demand(now time.Duration, sequence, term uint64, all bool) (d Demand, report, active bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	dropEnded(&h.batches, now)
	if now-h.lastRequest > idleTime && len(h.waiters)+len(h.advances) == 0 {
		h.active, h.urgent = false, false
		h.forget()
		return Demand{}, false, false
	}
	waiting := h.toAsk(now)
	settle := h.settleAt != 0 && now >= h.settleAt
	if !all && !h.urgent && !settle && waiting == 0 {
		return Demand{}, false, true
	}
	h.measure(now)
	if h.term != term || h.born == 0 || now-h.reportedAt > reportGap {
		h.startCount(sequence, term)
		waiting = h.toAsk(now)
	}
	ahead := h.ahead()
	h.lease.fill(now)
	h.dropSurplus(min(ahead, h.keep))
	single := count(h.batches)
	idle := h.lease.share == 0 && single == 0 && h.keep == 0 && h.rate() < minDepth/LeaseDuration.Seconds()
	if idle && !h.urgent && !settle && waiting == 0 && (ahead == 0 || now-h.reportedAt < idleReportInterval) {
		return Demand{}, false, true
	}
	h.urgent, h.settleAt, h.reportedAt = false, 0, now
	h.reports++
	for _, w := range h.waiters {
		if w.asked == 0 {
			w.asked, w.askedAt = sequence, now
		}
	}
	for _, a := range h.advances {
		if a.asked == 0 {
			a.asked, a.askedAt = sequence, now
		}
	}
	return Demand{
		Key: h.key, Born: h.born, Ack: h.ack, RateMilli: uint64(h.rate() * 1000), Share: h.lease.share,
		Spent: h.spent, Returned: h.returned, Held: single, Waiting: waiting, Ahead: ahead,
	}, true, true
}

// startCount begins a new count for a new owner. Single tokens of the earlier owner may be used
// until they end.
func (h *held) startCount(sequence, term uint64) {
	h.earlier = append(h.earlier, h.batches...)
	h.batches, h.spent, h.returned, h.ack = nil, 0, 0, 0
	h.born, h.term = sequence, term
	for _, w := range h.waiters {
		w.asked = 0
	}
	for _, a := range h.advances {
		a.asked = 0
	}
}

// ahead returns the number of single tokens to keep. A lease that covers the demand needs none.
func (h *held) ahead() uint32 {
	missing := h.rate() - h.lease.rate
	if missing < minAheadRate {
		return 0
	}
	return uint32(min(maxAhead, 1+missing*aheadTime.Seconds()))
}

// dropSurplus drops single tokens that are no longer wanted. The owner takes them back when the
// next report doesn't list them.
func (h *held) dropSurplus(ahead uint32) {
	for surplus := count(h.batches); surplus > ahead; surplus-- {
		b := &h.batches[0]
		if b.tokens--; b.tokens == 0 {
			h.batches = slices.Delete(h.batches, 0, 1)
		}
	}
}

// toAsk returns the number of requests, waiting or admitted in advance, for which tokens are to be asked for.
func (h *held) toAsk(now time.Duration) uint32 {
	n := uint32(0)
	for _, w := range h.waiters {
		if w.asked != 0 && now-w.askedAt > askTimeout {
			w.asked = 0
		}
		if w.asked == 0 {
			n++
		}
	}
	for _, a := range h.advances {
		if a.asked != 0 && now-a.askedAt > askTimeout {
			a.asked = 0
		}
		if a.asked == 0 {
			n++
		}
	}
	return n
}

// apply applies the reply to a report that was sent at the given time. It reports whether there
// are requests for which tokens are to be asked for again.
func (h *held) apply(now, sentAt time.Duration, g *Grant, item *Granted) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g.Term != h.term || g.Sequence <= h.ack || g.Sequence < h.born {
		return false
	}
	h.ack = g.Sequence
	h.applyLease(now, sentAt, item)
	h.applyTokens(now, sentAt, item)
	if item.RetryMillis > 0 {
		h.refusedUntil = now + max(minRefusal, time.Duration(item.RetryMillis)*time.Millisecond)
	}
	h.settleAdvances(now, g.Sequence, time.Duration(item.RetryMillis)*time.Millisecond)
	again := h.serveWaiters(now, func(w *Waiter) *briarferry.Refusal {
		if w.asked == 0 || w.asked > g.Sequence {
			return nil
		}
		if item.RetryMillis == 0 {
			w.askedAt = now + retryDelay - askTimeout
			return nil
		}
		return quotaUsed(h.retryAfter(now))
	})
	return again
}

func (h *held) applyLease(now, sentAt time.Duration, item *Granted) {
	h.lease.fill(now)
	l := &h.lease
	if l.share == 0 {
		l.tokens, l.filledAt = 0, now
		l.history.begin(now)
	}
	part := float64(item.Share) / wholeShare
	l.share, l.rate, l.depth = item.Share, part*item.Rate, part*item.Burst
	l.end = max(l.end, sentAt+LeaseDuration)
	l.fill(now)
}

// applyTokens adds the granted tokens and extends those that the report listed.
func (h *held) applyTokens(now, sentAt time.Duration, item *Granted) {
	end := sentAt + min(TokenDuration, time.Duration(item.TokenMillis)*time.Millisecond)
	dropEnded(&h.batches, now)
	for i := range h.batches {
		if h.batches[i].since < sentAt {
			h.batches[i].end = max(h.batches[i].end, end)
		}
	}
	h.keep = item.Keep
	if item.Tokens > 0 && now < end {
		h.batches = append(h.batches, batch{tokens: item.Tokens, since: now, end: end})
	}
}

// serveWaiters gives tokens to waiting requests in their order, and refuses those for which the
// function returns a refusal. It reports whether any of the others have asked in vain.
func (h *held) serveWaiters(now time.Duration, refuse func(w *Waiter) *briarferry.Refusal) bool {
	kept := h.waiters[:0]
	again := false
	for i, w := range h.waiters {
		if len(kept) == 0 {
			if t := h.take(now); t != nil {
				h.holder.Admitted.Add(1)
				h.holder.Waited.Add(1)
				w.Done <- Decision{Token: t}
				continue
			}
		}
		if refusal := refuse(w); refusal != nil {
			h.holder.Refused.Add(1)
			w.Done <- Decision{Refusal: refusal}
			continue
		}
		kept = append(kept, h.waiters[i])
		again = again || w.asked == 0
	}
	clear(h.waiters[len(kept):])
	h.waiters = kept
	return again
}

// serve decides about waiting requests as time has passed.
func (h *held) serve(now time.Duration, silent bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settleAdvances(now, 0, 0)
	if len(h.waiters) == 0 {
		return
	}
	h.serveWaiters(now, func(w *Waiter) *briarferry.Refusal {
		switch {
		case silent:
			h.holder.Unowned.Add(1)
			return unownedRefusal()
		case now-w.since > silenceLimit:
			return waitedRefusal()
		}
		return nil
	})
}

// removeWaiter removes a request that no longer waits. It reports false if it was decided.
func (h *held) removeWaiter(w *Waiter) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := slices.Index(h.waiters, w)
	if i < 0 {
		return false
	}
	h.waiters = slices.Delete(h.waiters, i, i+1)
	return true
}

// due reports whether the organisation is to be reported before the next regular report.
func (h *held) due(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.urgent || h.settleAt != 0 && now >= h.settleAt || h.toAsk(now) > 0
}
