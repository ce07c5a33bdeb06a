package bfquota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"briarferry"
	"briarferry/internal/state/bfcodec"
)

const (
	testReportInterval = 500 * time.Millisecond
	testFlushDelay     = 20 * time.Millisecond
)

type (
	// world runs entries and owners on a simulated clock and network.
	world struct {
		now    time.Duration
		rng    *rand.Rand
		events eventQueue
		order  uint64
		// delay returns the one-way delay between an entry and the owner, or false if the
		// message is lost.
		delay   func(entry int) (time.Duration, bool)
		entries []*simEntry
		// owners are those that believe to be one. Each has the time at which its quorum lease
		// ends. Reports go to the last one.
		owners []*simOwner
		quotas map[string]briarferry.Quota
		// tolerance is that of all owners.
		tolerance Tolerance
		// runs holds the times at which requests of an organisation got their token.
		runs map[string][]time.Duration

		// measures turns on the count of messages and bytes at the owner.
		measures                                            bool
		reports, reportItems, grantItems, bytesIn, bytesOut int
	}

	simEntry struct {
		*Holder
		index  int
		offset time.Duration
		// frozenUntil is the time until which the process doesn't run, and missed what it is to
		// do afterwards.
		frozenUntil time.Duration
		missed      []func()
		cutUntil    time.Duration
		flushing    bool
		waiting     []simWaiter
	}

	simWaiter struct {
		*Waiter
		decide func(Decision)
	}

	simOwner struct {
		Owner
		leaseEnd time.Duration
	}

	event struct {
		at    time.Duration
		order uint64
		do    func()
	}

	eventQueue []event
)

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newWorld(seed uint64, entries int, quotas map[string]briarferry.Quota) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), quotas: quotas, runs: map[string][]time.Duration{}}
	w.delay = func(int) (time.Duration, bool) { return 20 * time.Millisecond, true }
	for i := range entries {
		e := &simEntry{index: i, offset: time.Duration(w.rng.Int64N(int64(time.Hour)))}
		e.Holder = &Holder{Entry: "entry-recife-a-1", Incarnation: uint64(i), ReplyTo: netip.MustParseAddrPort("127.0.0.1:1"), Wake: func() { w.flushSoon(e) }}
		e.SetQuotas(quotas)
		w.entries = append(w.entries, e)
		w.after(time.Duration(w.rng.Int64N(int64(testReportInterval))), func() { w.reportLoop(e) })
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now + d, w.order, do})
}

func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) clock(e *simEntry) time.Duration { return w.now + e.offset }

// lead makes a new owner the only one whose quorum lease lasts.
func (w *world) lead(term uint64) *simOwner {
	for _, o := range w.owners {
		o.leaseEnd = min(o.leaseEnd, w.now)
	}
	o := &simOwner{leaseEnd: 1 << 62}
	o.Tolerance = w.tolerance
	o.Lead(term, w.now)
	o.SetQuotas(w.now, byKey(w.quotas))
	w.owners = append(w.owners, o)
	return o
}

func byKey(quotas map[string]briarferry.Quota) map[uint64]briarferry.Quota {
	out := map[uint64]briarferry.Quota{}
	for name, q := range quotas {
		out[Key(name)] = q
	}
	return out
}

func (w *world) setQuotas(quotas map[string]briarferry.Quota) {
	w.quotas = quotas
	for _, o := range w.owners {
		o.SetQuotas(w.now, byKey(quotas))
	}
	for _, e := range w.entries {
		e.SetQuotas(quotas)
	}
}

// run does something in the entry's process, now or when it is no longer frozen.
func (w *world) run(e *simEntry, do func()) {
	if w.now < e.frozenUntil {
		e.missed = append(e.missed, do)
		return
	}
	do()
}

func (w *world) freeze(e *simEntry, d time.Duration) {
	if w.now < e.frozenUntil {
		return
	}
	e.frozenUntil = w.now + d
	w.after(d, func() {
		missed := e.missed
		e.missed = nil
		for _, do := range missed {
			do()
		}
	})
}

func (w *world) reportLoop(e *simEntry) {
	w.run(e, func() { w.send(e, true) })
	w.after(testReportInterval, func() { w.reportLoop(e) })
}

func (w *world) flushSoon(e *simEntry) {
	if e.flushing {
		return
	}
	e.flushing = true
	w.after(testFlushDelay, func() {
		w.run(e, func() {
			e.flushing = false
			w.send(e, false)
		})
	})
}

func (w *world) send(e *simEntry, all bool) {
	e.Tick(w.clock(e))
	w.collect(e)
	for _, r := range e.Reports(w.clock(e), all) {
		if w.measures {
			w.reports++
			w.reportItems += len(r.Items)
			w.bytesIn += encodedBytes(&r)
		}
		if len(w.owners) == 0 {
			continue
		}
		to := w.owners[len(w.owners)-1]
		if len(w.owners) > 1 && w.rng.IntN(4) == 0 {
			to = w.owners[len(w.owners)-2]
		}
		w.deliver(e, func() { w.handle(e, to, &r) })
	}
	// Tokens that are used or waited for are reported soon.
	w.after(settleDelay, func() {
		if w.now >= e.frozenUntil && e.Due(w.clock(e)) {
			w.flushSoon(e)
		}
	})
}

func (w *world) deliver(e *simEntry, do func()) {
	d, ok := w.delay(e.index)
	if !ok || w.now < e.cutUntil {
		return
	}
	w.after(d, do)
}

func (w *world) handle(e *simEntry, o *simOwner, r *Report) {
	if w.now >= o.leaseEnd {
		return
	}
	o.Sweep(w.now)
	g := o.Handle(w.now, r)
	if w.measures {
		w.grantItems += len(g.Items)
		w.bytesOut += encodedBytes(&g)
	}
	w.deliver(e, func() {
		w.run(e, func() {
			e.Apply(w.clock(e), &g)
			w.collect(e)
		})
	})
}

// request sends a request of the organisation through the entry; done gets its token, or nil.
func (w *world) request(e *simEntry, organisation string, done func(t *Token, waited time.Duration)) {
	w.run(e, func() {
		started := w.now
		decide := func(d Decision) {
			if d.Token != nil {
				w.runs[organisation] = append(w.runs[organisation], w.now)
			}
			if done != nil {
				done(d.Token, w.now-started)
			}
		}
		t, waiter, _ := e.Acquire(func() time.Duration { return w.clock(e) }, organisation)
		if waiter != nil {
			e.waiting = append(e.waiting, simWaiter{waiter, decide})
			return
		}
		decide(Decision{Token: t})
	})
}

// collect hands out the decisions about waiting requests.
func (w *world) collect(e *simEntry) {
	e.waiting = slices.DeleteFunc(e.waiting, func(waiter simWaiter) bool {
		select {
		case d := <-waiter.Done:
			waiter.decide(d)
			return true
		default:
			return false
		}
	})
}

// encodedBytes returns the size of a datagram, with 28 bytes of IP and UDP headers.
func encodedBytes(m any) int {
	data, err := bfcodec.Marshal(m)
	if err != nil {
		panic(err)
	}
	return 28 + 1 + len(data)
}

// excess returns the highest number of requests beyond the quota in any window.
func excess(runs []time.Duration, q briarferry.Quota) float64 {
	level, last, worst := effectiveBurst(q), time.Duration(0), 0.0
	for _, at := range runs {
		level = min(effectiveBurst(q), level+q.Rate*(at-last).Seconds()) - 1
		last = at
		worst = max(worst, -level)
	}
	return worst
}

// checkTokens returns what is wrong with what the entries may use at this moment: leased shares
// beyond the part that may be leased, or more tokens than the burst and those tolerated. Those under way don't count.
func (w *world) checkTokens(organisation string, quota briarferry.Quota, tolerated float64) error {
	var shares, tokens float64
	for _, e := range w.entries {
		now, state := w.clock(e), (*e.limited.Load())[organisation]
		if l := state.lease; now < l.end {
			shares += float64(l.share)
			tokens += min(l.depth, l.tokens+l.rate*(now-l.filledAt).Seconds())
		}
		for _, b := range slices.Concat(state.batches, state.earlier) {
			if now < b.end {
				tokens += float64(b.tokens)
			}
		}
	}
	if o := w.owners[len(w.owners)-1]; w.now < o.leaseEnd {
		if q := o.orgs[Key(organisation)]; q != nil {
			tokens += q.tokens
		}
	}
	if limit := splitOf(quota).leased * wholeShare; shares > limit+1 {
		return fmt.Errorf("%s at %v: %.0f millionths leased, of %.0f", organisation, w.now, shares, limit)
	}
	if tokens > effectiveBurst(quota)+tolerated+0.001 {
		return fmt.Errorf("%s at %v: %.3f tokens, of %v", organisation, w.now, tokens, quota.Burst)
	}
	return nil
}
