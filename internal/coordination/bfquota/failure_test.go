package bfquota

import (
	"net/http"
	"testing"
	"time"

	"briarferry"
)

// failureWorld has an organisation with a quota of 300 requests a second at three entries, which ask
// for a part of it, after leases have settled.
func failureWorld(t *testing.T, demand float64) (*world, briarferry.Quota) {
	t.Helper()
	quota := briarferry.Quota{Rate: 300, Burst: 300}
	w := newWorld(11, 3, map[string]briarferry.Quota{"a": quota})
	w.lead(1)
	for i, e := range w.entries {
		w.arrivals(e, "a", demand*quota.Rate*[]float64{0.6, 0.3, 0.1}[i], nil)
	}
	w.runUntil(10 * time.Second)
	return w, quota
}

// ran returns the number of requests that ran from a time on.
func (w *world) ran(organisation string, from time.Duration) float64 {
	n := 0.0
	for _, at := range w.runs[organisation] {
		if at >= from {
			n++
		}
	}
	return n
}

func checkWindows(t *testing.T, w *world, quota briarferry.Quota) {
	t.Helper()
	if x := excess(w.runs["a"], quota); x > 0.001 {
		t.Errorf("quota exceeded by %.3f requests", x)
	}
}

func checkRan(t *testing.T, w *world, from, to time.Duration, least, most float64) {
	t.Helper()
	if n := w.ran("a", from) - w.ran("a", to); n < least*(to-from).Seconds() || n > most*(to-from).Seconds() {
		t.Errorf("%.0f requests/s ran, want %.0f to %.0f", n/(to-from).Seconds(), least, most)
	}
}

// TestLostMessages guards against leases that end because some messages are lost.
func TestLostMessages(t *testing.T) {
	w, quota := failureWorld(t, 0.6)
	w.delay = func(int) (time.Duration, bool) { return 20 * time.Millisecond, w.rng.Float64() > 0.4 }
	w.runUntil(20 * time.Second)
	checkRan(t, w, 10*time.Second, 20*time.Second, 0.97*0.6*quota.Rate, quota.Rate)
	checkWindows(t, w, quota)
}

// TestEntryCutOff guards against an entry that admits requests after the end of its leases, and
// against leases that stay lost with it.
func TestEntryCutOff(t *testing.T) {
	w, quota := failureWorld(t, 2)
	w.entries[0].cutUntil = 1 << 62
	w.runUntil(10*time.Second + LeaseDuration + testReportInterval)
	w.entries[0].Tick(w.clock(w.entries[0]))
	token, _, _ := w.entries[0].Acquire(func() time.Duration { return w.clock(w.entries[0]) }, "a")
	if token != nil {
		t.Error("the entry has a token after the end of its leases")
	}
	w.runUntil(25 * time.Second)
	// The others ask for 0.8 of the quota.
	checkRan(t, w, 18*time.Second, 25*time.Second, 0.75*quota.Rate, quota.Rate)
	checkWindows(t, w, quota)
}

// TestFrozenEntry guards against a frozen entry that uses a lease which has ended when it wakes.
func TestFrozenEntry(t *testing.T) {
	w, quota := failureWorld(t, 2)
	e := w.entries[0]
	w.freeze(e, LeaseDuration+time.Second)
	w.runUntil(14 * time.Second)
	// The process wakes with the next instruction of a request, before any other work.
	e.missed = nil
	if token, _, _ := e.Acquire(func() time.Duration { return w.clock(e) }, "a"); token != nil {
		t.Error("a request got a token of a lease that has ended")
	}
	w.runUntil(25 * time.Second)
	checkWindows(t, w, quota)
}

// TestKeptTokens guards against a token that is kept for later requests and used after its end.
func TestKeptTokens(t *testing.T) {
	h := &Holder{Entry: "e", Incarnation: 1}
	h.SetQuotas(map[string]briarferry.Quota{"a": {Rate: 10, Burst: 10}})
	now := time.Minute
	clock := func() time.Duration { return now }
	h.Apply(now, &Grant{Sequence: 1, Term: 1})
	_, w, _ := h.Acquire(clock, "a")
	r := h.Reports(now, true)[0]
	h.Apply(now, &Grant{Sequence: r.Sequence, Term: 1, Items: []Granted{{Key: Key("a"), Rate: 10, Burst: 10, Tokens: 3, Keep: 2, TokenMillis: 1000}}})
	if d := <-w.Done; d.Token == nil {
		t.Fatal(d.Refusal)
	}
	now += TokenDuration - time.Millisecond
	if token, _, _ := h.Acquire(clock, "a"); token == nil {
		t.Error("a kept token isn't used")
	}
	now += time.Millisecond
	if token, _, _ := h.Acquire(clock, "a"); token != nil {
		t.Error("a token was used after its end")
	}
}

// TestLateGrant guards against a lease that counts from when its grant came: an owner that was frozen
// may send it when another one takes the lease for ended.
func TestLateGrant(t *testing.T) {
	h := &Holder{Entry: "e", Incarnation: 1}
	h.SetQuotas(map[string]briarferry.Quota{"a": {Rate: 100, Burst: 100}})
	now := time.Minute
	clock := func() time.Duration { return now }
	h.Apply(now, &Grant{Sequence: 1, Term: 1})
	h.Acquire(clock, "a")
	r := h.Reports(now, true)[0]
	sent := now
	now += LeaseDuration - 500*time.Millisecond
	h.Apply(now, &Grant{Sequence: r.Sequence, Term: 1, Items: []Granted{{Key: Key("a"), Share: wholeShare, Rate: 100, Burst: 100, Tokens: 5, Keep: 5, TokenMillis: 1000}}})
	now = sent + LeaseDuration - time.Millisecond
	h.Tick(now)
	if token, _, _ := h.Acquire(clock, "a"); token == nil {
		t.Error("the lease isn't used")
	}
	now = sent + LeaseDuration
	if token, _, _ := h.Acquire(clock, "a"); token != nil {
		t.Error("a request got a token after the end of the lease")
	}
}

// TestNewOwner guards against a new owner that grants what entries may still have of earlier ones,
// also where these changed several times.
func TestNewOwner(t *testing.T) {
	quota := briarferry.Quota{Rate: 100, Burst: 100}
	for _, c := range []struct {
		after        time.Duration
		tokens       uint32
		tokenSeconds float64
	}{
		{200 * time.Millisecond, 0, 0.25},
		{1000 * time.Millisecond, 10, 0.25}, // 0.1 of the burst is neither leased nor outstanding.
		{3200 * time.Millisecond, 40, 1},    // No more than 0.4 may be outstanding.
	} {
		o := &Owner{}
		o.SetQuotas(0, map[uint64]briarferry.Quota{Key("a"): quota})
		o.Lead(7, time.Hour)
		r := Report{Entry: "e", Sequence: 3, Term: 7, Items: []Demand{{Key: Key("a"), Born: 1, Share: 50_000, Waiting: 90}}}
		g := o.Handle(time.Hour+c.after, &r).Items[0]
		if g.Tokens != c.tokens || float64(g.TokenMillis)/1000 != c.tokenSeconds || g.Share != 50_000 || g.RetryMillis != 0 {
			t.Errorf("after %v: %+v, want %d tokens for %v s", c.after, g, c.tokens, c.tokenSeconds)
		}
	}
}

// TestOwnerDies guards against requests within the quota that are refused while there is no owner
// and while a new one doesn't know all leases, and against a new owner that leases them twice.
func TestOwnerDies(t *testing.T) {
	for _, demand := range []float64{0.6, 3} {
		w, quota := failureWorld(t, demand)
		w.owners[0].leaseEnd = w.now
		w.after(1500*time.Millisecond, func() { w.lead(2) })
		w.runUntil(20 * time.Second)
		least := 0.98 * 0.6
		if demand > 1 {
			// What the earlier owner kept for single tokens isn't given out for a while.
			least = 0.9
		}
		checkRan(t, w, 10*time.Second, 20*time.Second, least*quota.Rate, 1.1*quota.Rate)
		checkWindows(t, w, quota)
	}
}

// TestSmallQuotaOwnerDies guards against requests that are refused instead of waiting until there is
// an owner, for an organisation whose quota is too small to be leased.
func TestSmallQuotaOwnerDies(t *testing.T) {
	quota := briarferry.Quota{Rate: 8, Burst: 8}
	w := newWorld(3, 6, map[string]briarferry.Quota{"a": quota})
	w.lead(1)
	refused, total := 0, 0
	for _, e := range w.entries {
		w.arrivals(e, "a", quota.Rate/1.6/6, func(token *Token, _ time.Duration) {
			if w.now < 5*time.Second {
				return
			}
			total++
			if token == nil {
				refused++
			}
		})
	}
	w.runUntil(10 * time.Second)
	w.owners[0].leaseEnd = w.now
	w.after(1300*time.Millisecond, func() { w.lead(2) })
	w.runUntil(30 * time.Second)
	if refused > total/20 {
		t.Errorf("%d of %d requests refused", refused, total)
	}
	checkWindows(t, w, quota)
}

// TestOutdatedOwner guards against grants of an earlier owner that an entry accepts after it has
// followed a newer one.
func TestOutdatedOwner(t *testing.T) {
	w, _ := failureWorld(t, 0.6)
	e := w.entries[0]
	state := (*e.limited.Load())["a"]
	reports := e.Reports(w.clock(e), true)
	old := w.owners[0].Handle(w.now, &reports[0])
	if len(old.Items) != 1 || old.Items[0].Share == 0 {
		t.Fatalf("no lease: %+v", old)
	}
	e.Apply(w.clock(e), &Grant{Sequence: reports[0].Sequence, Term: 2})
	before := state.lease
	if e.Apply(w.clock(e), &old) || state.lease.end != before.end {
		t.Error("a grant of the earlier term was applied")
	}
	// The earlier owner ignores reports to the newer one, and the newer one those to the earlier.
	next := e.Reports(w.clock(e), true)
	if g := w.owners[0].Handle(w.now, &next[0]); len(g.Items) > 0 {
		t.Error("the earlier owner granted something for a report of a later term")
	}
	if g := w.lead(2).Handle(w.now, &reports[0]); len(g.Items) > 0 {
		t.Error("the newer owner took over a lease from a report to the earlier one")
	}
}

// TestRepeatedMessages guards against tokens that are given twice for a report that comes twice, or
// taken twice from a grant that does.
func TestRepeatedMessages(t *testing.T) {
	quota := briarferry.Quota{Rate: 1, Burst: 4}
	o := &Owner{}
	o.SetQuotas(0, map[uint64]briarferry.Quota{Key("a"): quota})
	o.Lead(1, 0)
	const now = time.Minute
	h := &Holder{Entry: "e", Incarnation: 1}
	h.SetQuotas(map[string]briarferry.Quota{"a": quota})
	h.Apply(now, &Grant{Sequence: 1, Term: 1})
	clock := func() time.Duration { return now }
	_, first, _ := h.Acquire(clock, "a")
	_, second, _ := h.Acquire(clock, "a")
	r := h.Reports(now, false)[0]
	g := o.Handle(now, &r)
	if again := o.Handle(now, &r); len(again.Items) > 0 {
		t.Errorf("tokens for a repeated report: %+v", again)
	}
	if g.Items[0].Tokens != 2 {
		t.Fatalf("%d tokens for two requests", g.Items[0].Tokens)
	}
	h.Apply(now, &g)
	h.Apply(now, &g)
	for _, w := range []*Waiter{first, second} {
		if d := <-w.Done; d.Token == nil {
			t.Errorf("refused: %v", d.Refusal)
		}
	}
	if token, w, _ := h.Acquire(clock, "a"); token != nil {
		t.Error("a repeated grant gave another token")
	} else if w != nil {
		w.Cancel()
	}
}

// TestReturnedTokens guards against a token that is lost, or taken back twice, when its request
// didn't run.
func TestReturnedTokens(t *testing.T) {
	quota := briarferry.Quota{Rate: 0.001, Burst: 20}
	o := &Owner{}
	o.SetQuotas(0, map[uint64]briarferry.Quota{Key("a"): quota})
	o.Lead(1, -1000*time.Hour)
	h := &Holder{Entry: "e", Incarnation: 1}
	h.SetQuotas(map[string]briarferry.Quota{"a": quota})
	now := time.Minute
	h.Apply(now, &Grant{Sequence: 1, Term: 1})
	clock := func() time.Duration { return now }
	exchange := func() {
		for _, r := range h.Reports(now, true) {
			g := o.Handle(now, &r)
			h.Apply(now, &g)
		}
	}
	acquire := func() *Token {
		t.Helper()
		now += 200 * time.Millisecond
		token, w, refusal := h.Acquire(clock, "a")
		if w != nil {
			exchange()
			d := <-w.Done
			token, refusal = d.Token, d.Refusal
		}
		if token == nil {
			t.Fatalf("no token at %v: %v", now, refusal)
		}
		return token
	}
	// All of these requests end at once and didn't run.
	for range 100 {
		acquire().Return()
		exchange()
	}
	// These ran, and leave about half of the tokens.
	for range 10 {
		acquire()
		exchange()
	}
	left := func() float64 {
		now += 2 * TokenDuration
		exchange()
		q := o.orgs[Key("a")]
		return q.tokens + q.sums.outstanding
	}
	for range 20 {
		// The entry stays active, and the bucket isn't full for a while.
		now += time.Second
		exchange()
	}
	token := acquire()
	exchange()
	before := left()
	token.Return()
	if after := left(); after < before+0.9 || after > before+1.1 {
		t.Errorf("%.2f tokens after one came back to %.2f", after, before)
	}
}

// TestQuotaChange guards against a lower quota that binds late and a raised one that isn't used.
func TestQuotaChange(t *testing.T) {
	w, _ := failureWorld(t, 2)
	lower := briarferry.Quota{Rate: 60, Burst: 60}
	w.setQuotas(map[string]briarferry.Quota{"a": lower})
	w.runUntil(20 * time.Second)
	checkRan(t, w, 13*time.Second, 20*time.Second, 0.9*lower.Rate, lower.Rate+lower.Burst/7)
	raised := briarferry.Quota{Rate: 600, Burst: 600}
	w.setQuotas(map[string]briarferry.Quota{"a": raised})
	w.runUntil(30 * time.Second)
	checkRan(t, w, 21*time.Second, 30*time.Second, 0.9*600, 600+600/9.0)
}

// TestNoOwner guards against requests that wait without end where there is no owner, and against
// refusals that tell of a used quota.
func TestNoOwner(t *testing.T) {
	w := newWorld(3, 1, map[string]briarferry.Quota{"a": {Rate: 10, Burst: 10}})
	e := w.entries[0]
	clock := func() time.Duration { return w.clock(e) }
	_, waiter, _ := e.Acquire(clock, "a")
	if waiter == nil {
		t.Fatal("the first request doesn't wait")
	}
	w.runUntil(silenceLimit + time.Second)
	select {
	case d := <-waiter.Done:
		if d.Refusal == nil || d.Refusal.Status != http.StatusServiceUnavailable || d.Refusal.Outcome != briarferry.OutcomeNotRun {
			t.Errorf("decision %+v, want 503 not run", d)
		}
	default:
		t.Error("the request still waits")
	}
	if _, waiter, refusal := e.Acquire(clock, "a"); waiter != nil || refusal == nil || refusal.Status != http.StatusServiceUnavailable {
		t.Errorf("later request: waiter %v, refusal %v", waiter, refusal)
	}
	if token, waiter, refusal := e.Acquire(clock, "b"); token != nil || waiter != nil || refusal != nil {
		t.Error("an organisation without a quota is limited")
	}
}
