package bfquota

import (
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"briarferry"
)

const (
	// maxWaiting limits the requests of an organisation that wait for a token at an entry, and
	// those that are admitted in advance.
	maxWaiting = 512
	// askTimeout is the time after which tokens are asked for again. It is above the longest
	// round trip of 110 ms.
	askTimeout = 250 * time.Millisecond
	// minRefusal is the shortest time for which requests are refused after the owner had no
	// token. It limits the reports of an entry whose callers ask for more than the quota.
	minRefusal = 50 * time.Millisecond
	// idleTime is the time without a request after which an organisation is no longer reported.
	idleTime = 10 * time.Second
	// silenceLimit is the time without a reply from an owner after which requests no longer
	// wait. It covers a leader election and the change to the new owner.
	silenceLimit = 3 * time.Second
	// termReset is the time without an owner after which one with an earlier term is
	// accepted: the control group may have been formed anew.
	termReset = 15 * time.Second
	// sentHistory is the number of reports whose send times are kept.
	sentHistory = 1024
)

type (
	// Holder admits the requests of an entry. All times are those of a clock that also counts
	// the suspension of the VM. It is safe for concurrent use: organisations have a lock each,
	// and another one guards the exchange with the owner. Locks are taken in the order
	// Holder.mu, held.mu, knownEntries.mu.
	Holder struct {
		Entry       string
		Incarnation uint64
		ReplyTo     netip.AddrPort
		// Tolerance is the excess over the quotas that their operators accept. All entries of
		// a deployment must have the same.
		Tolerance Tolerance
		// Wake is called when a report should be sent soon. It must not block.
		Wake func()
		// Admitted, Waited, Refused and Unowned count the requests that got a token, those of
		// them that waited for it, and those that were refused, of which Unowned for lack of an
		// owner.
		Admitted, Waited, Refused, Unowned atomic.Uint64

		limited atomic.Pointer[map[string]*held]

		entries knownEntries
		// heardAt is the send time of the last report that an owner answered.
		heardAt atomic.Int64

		mu       sync.Mutex
		sequence uint64
		term     uint64
		// sent holds the recent reports, each at its sequence modulo sentHistory.
		sent [sentHistory]sentReport
		// active lists the organisations to report.
		active map[uint64]*held
		// silentSince is the send time of the first report that no owner has answered, or 0.
		silentSince time.Duration
		// reportAll is set if a new owner is to learn of all leases.
		reportAll bool
	}

	// sentReport is when a report was sent.
	sentReport struct {
		sequence uint64
		at       time.Duration
	}

	// Decision is the result for a request that has waited. Both are nil if the organisation no
	// longer has a quota.
	Decision struct {
		Token   *Token
		Refusal *briarferry.Refusal
	}

	// Token is the right to run one request. It implements briarferry.QuotaToken.
	Token struct {
		h      *held
		clock  func() time.Duration
		single bool
		born   uint64
		at     time.Duration
		// reports is the number of reports before it was taken, and end is when a single token
		// may no longer be used.
		reports uint64
		end     time.Duration
		// advance is set if the request was admitted before its token came.
		advance *advance
	}

	// Waiter is a request that waits for a token.
	Waiter struct {
		// Done receives the decision.
		Done chan Decision
		h    *held
		// asked is the sequence of the report that asked for its token, or 0.
		asked   uint64
		askedAt time.Duration
		since   time.Duration
	}
)

// SetQuotas replaces the quotas by the name of the organisation.
func (h *Holder) SetQuotas(quotas map[string]briarferry.Quota) {
	old := h.limited.Load()
	next := make(map[string]*held, len(quotas))
	changed := false
	for name, quota := range quotas {
		if !quota.Limited() {
			continue
		}
		var state *held
		if old != nil {
			state = (*old)[name]
		}
		if state == nil {
			state = &held{holder: h, key: Key(name)}
		}
		changed = state.setQuota(quota) || changed
		next[name] = state
	}
	h.limited.Store(&next)
	if old != nil {
		for name, state := range *old {
			if next[name] == nil {
				state.admitAll()
			}
		}
	}
	if changed {
		h.wake()
	}
}

func (h *Holder) wake() {
	if h.Wake != nil {
		h.Wake()
	}
}

// Acquire returns a token, or a waiter for one, or a refusal. All are nil for an organisation
// without a quota. The clock is used when the token is returned.
func (h *Holder) Acquire(clock func() time.Duration, organisation string) (*Token, *Waiter, *briarferry.Refusal) {
	limited := h.limited.Load()
	if limited == nil {
		return nil, nil, nil
	}
	state := (*limited)[organisation]
	if state == nil {
		return nil, nil, nil
	}
	now := clock()
	t, w, refusal, activate := state.acquire(now, clock)
	if activate {
		h.activate(state)
	}
	switch {
	case t == nil && w == nil && refusal == nil:
		// The quota was removed meanwhile.
		return nil, nil, nil
	case t != nil:
		h.Admitted.Add(1)
	case refusal != nil:
		h.Refused.Add(1)
	case h.silent(now):
		w.Cancel()
		return nil, nil, h.unowned()
	default:
		h.wake()
	}
	return t, w, refusal
}

func (h *Holder) activate(state *held) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.active == nil {
		h.active = map[uint64]*held{}
	}
	h.active[state.key] = state
}

func (h *Holder) unowned() *briarferry.Refusal {
	h.Refused.Add(1)
	h.Unowned.Add(1)
	return unownedRefusal()
}

// waitedRefusal is for a request for which the owner had no token, though it didn't say that the
// quota is used up.
func waitedRefusal() *briarferry.Refusal {
	return &briarferry.Refusal{Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun, Reason: "the organisation's quota had no token in time", RetryAfter: time.Second}
}

func unownedRefusal() *briarferry.Refusal {
	return &briarferry.Refusal{Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun, Reason: "no owner of the organisation's quota answers", RetryAfter: time.Second}
}

func quotaUsed(retry time.Duration) *briarferry.Refusal {
	return &briarferry.Refusal{Status: http.StatusTooManyRequests, Outcome: briarferry.OutcomeNotRun, Reason: "the organisation's quota is used up", RetryAfter: max(time.Millisecond, retry)}
}

// silent reports whether no owner has answered for silenceLimit.
func (h *Holder) silent(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.silentSince != 0 && now-h.silentSince > silenceLimit
}

// Owned reports whether an owner has answered the last reports.
func (h *Holder) Owned(now time.Duration) bool { return !h.silent(now) }

// Reports returns the reports to send now: those of all active organisations, or of those that
// want something at once.
func (h *Holder) Reports(now time.Duration, all bool) []Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resetTerm(now)
	all, h.reportAll = all || h.reportAll, false
	var out []Report
	var items []Demand
	flush := func() {
		if len(items) == 0 {
			return
		}
		out = append(out, Report{Entry: h.Entry, Incarnation: h.Incarnation, Sequence: h.sequence, Term: h.term, ReplyTo: h.ReplyTo, Items: items})
		h.recordSent(now)
		items = nil
	}
	for _, key := range slices.Sorted(maps.Keys(h.active)) {
		state := h.active[key]
		sequence := h.sequence
		if len(items) == 0 {
			sequence++
		}
		item, report, active := state.demand(now, sequence, h.term, all)
		if !active {
			delete(h.active, key)
		}
		if report {
			h.sequence = sequence
			items = append(items, item)
		}
		if len(items) == MaxItems {
			flush()
		}
	}
	flush()
	return out
}

// recordSent notes the send time of the last report. mu is held.
func (h *Holder) recordSent(now time.Duration) {
	h.sent[h.sequence%sentHistory] = sentReport{h.sequence, now}
	if h.silentSince == 0 {
		h.silentSince = max(1, now)
	}
}

// resetTerm forgets the term after a long time without an owner. All that its owner gave has
// ended by then. mu is held.
func (h *Holder) resetTerm(now time.Duration) {
	if h.silentSince != 0 && now-h.silentSince > termReset {
		h.term = 0
	}
}

// Apply applies a grant. It reports whether the grant came from the owner.
func (h *Holder) Apply(now time.Duration, g *Grant) bool {
	h.mu.Lock()
	if g.Term == 0 || g.Term < h.term {
		h.mu.Unlock()
		return false
	}
	sent := h.sent[g.Sequence%sentHistory]
	sentAt, ok := sent.at, sent.sequence == g.Sequence && g.Sequence != 0
	newTerm := g.Term != h.term
	h.term = g.Term
	h.silentSince = 0
	h.reportAll = h.reportAll || newTerm
	states := make([]*held, len(g.Items))
	for i := range g.Items {
		states[i] = h.active[g.Items[i].Key]
	}
	h.mu.Unlock()
	if newTerm {
		h.wake()
		return true
	}
	if !ok {
		return true
	}
	h.heardAt.Store(int64(sentAt))
	for i, state := range states {
		if state != nil && state.apply(now, sentAt, g, &g.Items[i]) {
			h.wake()
		}
	}
	return true
}

// Tick decides about waiting requests whose token has come or whose time has passed.
func (h *Holder) Tick(now time.Duration) {
	silent := h.silent(now)
	h.mu.Lock()
	states := make([]*held, 0, len(h.active))
	for _, key := range slices.Sorted(maps.Keys(h.active)) {
		states = append(states, h.active[key])
	}
	h.mu.Unlock()
	for _, state := range states {
		state.serve(now, silent)
	}
}

// Counts returns the number of active organisations.
func (h *Holder) Counts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.active)
}

// Cancel ends the wait. A token that came at the same time is given back.
func (w *Waiter) Cancel() {
	if !w.h.removeWaiter(w) {
		if d := <-w.Done; d.Token != nil {
			d.Token.Return()
		}
	}
}

// Return gives the token back, for a request that certainly didn't run.
func (t *Token) Return() {
	if t == nil || t.advance != nil && t.h.returnAdvance(t.advance) {
		return
	}
	if t.advance != nil {
		if t = t.advance.token; t == nil {
			return
		}
	}
	t.h.giveBack(t, t.clock())
}

// Due reports whether a report is due before the next regular one.
func (h *Holder) Due(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, state := range h.active {
		if state.due(now) {
			return true
		}
	}
	return h.reportAll
}

// Limited reports whether any organisation has a quota.
func (h *Holder) Limited() bool {
	limited := h.limited.Load()
	return limited != nil && len(*limited) > 0
}

// Probe returns a report without contents, which asks for the owner.
func (h *Holder) Probe() Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	return Report{Entry: h.Entry, Incarnation: h.Incarnation, Sequence: h.sequence, Term: h.term, ReplyTo: h.ReplyTo}
}
