package bfentry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"

	"briarferry"
	"briarferry/internal/transport/bfupstream"
)

var errHedgeDenied = errors.New("bfentry: no retry budget left for a hedge")

type (
	// tryResult is the answer or the error of one try.
	tryResult struct {
		answer *briarferry.Answer
		err    error
	}

	// hedge is the second, concurrent try of a request. The results channel is buffered
	// because the one result may arrive after the request has ended.
	hedge struct {
		timer   *time.Timer
		results chan tryResult
	}
)

// tryWithHedge runs a try. If the service has hedging enabled and the try takes longer than
// usual, it starts a second try at another server. It returns the first answer and cancels
// the other try.
func (p *Pipeline) tryWithHedge(ctx context.Context, st *requestState) (*briarferry.Answer, error) {
	after, ok := p.retryPolicy().HedgeAfter(time.Now(), st.service)
	if !ok || st.request.Key != "" {
		return p.try(ctx, st, func() {})
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &hedge{results: make(chan tryResult, 1)}
	// The first try runs in this goroutine. Few requests are hedged, and a goroutine of its
	// own would cost every request two context switches.
	a, err := p.try(ctx, st, func() {
		h.startAfter(after, func() { p.runHedge(ctx, cancel, st, h) })
	})
	if !h.stop() || err == nil {
		return a, err
	}
	got := <-h.results
	if got.err == nil {
		st.count(countHedgeWon)
		return got.answer, nil
	}
	return a, err
}

// runHedge runs the second try if the retry budget allows it. It cancels the first one when
// the second is answered.
func (p *Pipeline) runHedge(ctx context.Context, cancel context.CancelFunc, st *requestState, h *hedge) {
	if !p.retryPolicy().Spend(st.service.Name) {
		st.count(countRetryBudgetSpent)
		h.results <- tryResult{err: errHedgeDenied}
		return
	}
	st.count(countHedged)
	a, err := p.try(ctx, st, func() {})
	h.results <- tryResult{answer: a, err: err}
	if err == nil {
		cancel()
	}
}

// startAfter starts the second try in its own goroutine after the delay.
func (h *hedge) startAfter(delay time.Duration, run func()) {
	h.timer = time.AfterFunc(delay, run)
}

// stop prevents the second try from starting. It reports whether the try has already begun.
func (h *hedge) stop() (began bool) { return h.timer != nil && !h.timer.Stop() }

// try waits for a slot and runs the request once on the slot's server. It calls onStart just
// before it sends the request.
func (p *Pipeline) try(ctx context.Context, st *requestState, onStart func()) (*briarferry.Answer, error) {
	slot, err := p.acquireSlot(ctx, st)
	if err != nil {
		return nil, err
	}
	if p.Config != nil {
		if _, _, ok := p.Config.Current(); !ok {
			slot.Done(briarferry.TryReport{Cancelled: true})
			return nil, st.withReason("no_lease", refuseNotRun("this entry lost its configuration lease"))
		}
	}
	done, err := p.enterQuarantine(ctx, st, slot.Backend())
	if err != nil {
		slot.Done(briarferry.TryReport{Cancelled: true})
		return nil, err
	}
	// A hedge that starts during this try must use another server.
	st.avoidServer(slot.Backend().ID())
	onStart()
	a, err := p.dispatch(ctx, st, slot)
	done(st.runResult(err))
	return a, err
}

// runResult classifies the end of a try for the quarantine and counts server crashes.
func (st *requestState) runResult(err error) briarferry.RunResult {
	var tryErr *briarferry.TryError
	switch {
	case err == nil:
		return briarferry.RunAnswered
	case errors.As(err, &tryErr) && tryErr.Dispatched && tryErr.ConnectionLost && tryErr.ServerRefusedConnection:
		st.count(countServerCrash)
		return briarferry.RunCrashed
	}
	return briarferry.RunFailed
}

// acquireSlot waits until the admission queue assigns a slot to the request.
func (p *Pipeline) acquireSlot(ctx context.Context, st *requestState) (briarferry.Slot, error) {
	ctx, span := tracer.Start(ctx, "queue")
	defer span.End()
	slot, err := p.Admitter.Acquire(ctx, briarferry.Ticket{
		Service: st.service.Name, Class: st.request.Class, Deadline: st.request.Deadline,
		Expected: st.service.ExpectedLatency.Std(), Avoid: st.avoidedServers(),
	})
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		reason := "admission"
		var refusal *briarferry.Refusal
		if errors.As(err, &refusal) {
			reason = refusal.Reason
		}
		return nil, st.withReason(reason, err)
	}
	return slot, nil
}

// enterQuarantine registers the try with the quarantine. The returned function must be called
// when the try has ended.
func (p *Pipeline) enterQuarantine(ctx context.Context, st *requestState, b briarferry.Backend) (func(briarferry.RunResult), error) {
	if p.Quarantine == nil {
		return func(briarferry.RunResult) {}, nil
	}
	done, err := p.Quarantine.StartRun(ctx, st.request.Fingerprint, b)
	if err != nil {
		return nil, st.withReason("quarantine", err)
	}
	return done, nil
}

// dispatch sends the request to the slot's server.
func (p *Pipeline) dispatch(ctx context.Context, st *requestState, slot briarferry.Slot) (*briarferry.Answer, error) {
	ctx, span := tracer.Start(ctx, "attempt")
	defer span.End()
	ctx, cancel := p.tryContext(ctx, st)
	defer cancel()
	span.SetAttributes(attribute.String("backend", slot.Backend().Address.String()))
	start := time.Now()
	a, err := p.Upstream.Do(ctx, slot.Backend(), st.request)
	// Only answers that are being received count against the memory limit, as the recorded
	// answer of a claimed request is needed for longer than the request takes.
	a.Release()
	p.recordTry(ctx, st, slot, time.Since(start), a, err)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return a, err
}

// recordTry releases the slot and records the result of the try for the balancer, the retry
// policy and the counters.
func (p *Pipeline) recordTry(ctx context.Context, st *requestState, slot briarferry.Slot, took time.Duration, a *briarferry.Answer, err error) {
	var tryErr *briarferry.TryError
	errors.As(err, &tryErr)
	shed := errors.Is(err, bfupstream.ErrShed)
	cancelled := err != nil && errors.Is(ctx.Err(), context.Canceled)
	atConnectionLimit := errors.Is(err, bfupstream.ErrConnectionLimit)
	// Must be set before the slot is released, so that no later error says "not run".
	if err == nil || tryErr == nil || tryErr.Dispatched {
		st.dispatched.Store(true)
	}
	if atConnectionLimit {
		took = 0
	}
	slot.Done(briarferry.TryReport{
		Latency: took, Failed: !shed && (err != nil || a.Status >= http.StatusInternalServerError),
		Shed: shed, ConnectionRefused: tryErr != nil && tryErr.ServerRefusedConnection, Cancelled: cancelled || atConnectionLimit,
	})
	silent := tryErr != nil && tryErr.TimedOut
	if err == nil || silent {
		p.retryPolicy().Observe(time.Now(), st.service.Name, took, silent)
	}
	if err != nil {
		st.countFailure(err, tryErr, cancelled)
	}
}

// tryContext returns the context of one try. A request with a key can't be tried again once
// it was dispatched. It may therefore take until its deadline and continues when the caller
// disconnects, so that its answer is recorded instead of an unknown outcome.
func (p *Pipeline) tryContext(ctx context.Context, st *requestState) (context.Context, context.CancelFunc) {
	if st.request.Key != "" {
		return context.WithDeadline(context.WithoutCancel(ctx), st.request.Deadline)
	}
	return context.WithTimeout(ctx, p.retryPolicy().TryTimeout(time.Now(), st.service))
}

// countFailure counts a failed try by its cause. Cancelled tries are not counted.
func (st *requestState) countFailure(err error, tryErr *briarferry.TryError, cancelled bool) {
	switch {
	case cancelled:
	case errors.Is(err, bfupstream.ErrShed):
		st.count(countShed)
	case errors.Is(err, bfupstream.ErrAnswerMismatch):
		st.count(countAnswerMismatch)
	case errors.Is(err, bfupstream.ErrInvalidStatus):
		st.count(countInvalidStatus)
	case errors.Is(err, bfupstream.ErrTruncated):
		st.count(countTruncated)
	case tryErr != nil && tryErr.TimedOut:
		st.count(countSilent)
	case tryErr != nil && !tryErr.Dispatched:
		st.count(countNotSent)
	default:
		st.count(countConnectionDied)
	}
}
