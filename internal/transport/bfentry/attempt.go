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

var errNoHedge = errors.New("no second try")

type (
	// result is the end of one try.
	result struct {
		answer *briarferry.Answer
		err    error
	}

	// hedge is the second try of a request. Its result channel has room for the one
	// result, which may come after the request has ended.
	hedge struct {
		timer   *time.Timer
		results chan result
	}
)

// hedged runs a try and, for services that ask for it, a second one at another
// server where the first takes longer than usual. The first answer wins; the
// other try is cancelled.
func (p *Pipeline) hedged(ctx context.Context, t *run) (*briarferry.Answer, error) {
	after, ok := p.policy().HedgeAfter(time.Now(), t.service)
	if !ok || t.request.Key != "" {
		return p.attempt(ctx, t, func() {})
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &hedge{results: make(chan result, 1)}
	// The first try runs here: a goroutine for it would cost every request two
	// switches, and few are hedged.
	a, err := p.attempt(ctx, t, func() {
		h.start(after, func() { p.hedge(ctx, cancel, t, h) })
	})
	if !h.stop() || err == nil {
		return a, err
	}
	got := <-h.results
	if got.err == nil {
		t.count(countHedgeWon)
		return got.answer, nil
	}
	return a, err
}

// hedge runs the second try where the budget allows it, and cancels the first one
// once it has an answer.
func (p *Pipeline) hedge(ctx context.Context, cancel context.CancelFunc, t *run, h *hedge) {
	if !p.policy().Spend(t.service.Name) {
		t.count(countNoBudget)
		h.results <- result{err: errNoHedge}
		return
	}
	t.count(countHedged)
	a, err := p.attempt(ctx, t, func() {})
	h.results <- result{answer: a, err: err}
	if err == nil {
		cancel()
	}
}

// start runs the second try after a while, in its own goroutine.
func (h *hedge) start(after time.Duration, run func()) {
	h.timer = time.AfterFunc(after, run)
}

// stop prevents the second try, or tells that it has begun.
func (h *hedge) stop() (began bool) { return h.timer != nil && !h.timer.Stop() }

// attempt waits for a slot and runs the request once on its server.
func (p *Pipeline) attempt(ctx context.Context, t *run, onStart func()) (*briarferry.Answer, error) {
	slot, err := p.acquire(ctx, t)
	if err != nil {
		return nil, err
	}
	if p.Config != nil {
		if _, _, ok := p.Config.Current(); !ok {
			slot.Done(briarferry.TryReport{Cancelled: true})
			return nil, t.refuse("no_lease", refuseNotRun("this entry lost its configuration lease"))
		}
	}
	leave, err := p.enterQuarantine(ctx, t, slot.Backend())
	if err != nil {
		slot.Done(briarferry.TryReport{Cancelled: true})
		return nil, err
	}
	// A hedge that starts while this try runs must go elsewhere.
	t.addAvoid(slot.Backend().ID())
	onStart()
	a, err := p.dispatch(ctx, t, slot)
	leave(t.end(err))
	return a, err
}

// end tells what the run showed about the request.
func (t *run) end(err error) briarferry.RunEnd {
	var tryErr *briarferry.TryError
	switch {
	case err == nil:
		return briarferry.RunAnswered
	case errors.As(err, &tryErr) && tryErr.Dispatched && tryErr.ConnectionDied && tryErr.ServerGone:
		t.count(countStrike)
		return briarferry.RunCrashed
	}
	return briarferry.RunFailed
}

func (p *Pipeline) acquire(ctx context.Context, t *run) (briarferry.Slot, error) {
	ctx, span := tracer.Start(ctx, "queue")
	defer span.End()
	slot, err := p.Admitter.Acquire(ctx, briarferry.Ticket{
		Service: t.service.Name, Class: t.request.Class, Deadline: t.request.Deadline,
		Expected: t.service.Expected.Std(), Avoid: t.avoided(),
	})
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		reason := "admission"
		var refusal *briarferry.Refusal
		if errors.As(err, &refusal) {
			reason = refusal.Reason
		}
		return nil, t.refuse(reason, err)
	}
	return slot, nil
}

func (p *Pipeline) enterQuarantine(ctx context.Context, t *run, b briarferry.Backend) (func(briarferry.RunEnd), error) {
	if p.Quarantine == nil {
		return func(briarferry.RunEnd) {}, nil
	}
	leave, err := p.Quarantine.Enter(ctx, t.request.Fingerprint, b)
	if err != nil {
		return nil, t.refuse("quarantine", err)
	}
	return leave, nil
}

// dispatch sends the request to the slot's server.
func (p *Pipeline) dispatch(ctx context.Context, t *run, slot briarferry.Slot) (*briarferry.Answer, error) {
	ctx, span := tracer.Start(ctx, "attempt")
	defer span.End()
	ctx, cancel := p.tryContext(ctx, t)
	defer cancel()
	span.SetAttributes(attribute.String("backend", slot.Backend().Address.String()))
	start := time.Now()
	a, err := p.Upstream.Do(ctx, slot.Backend(), t.request)
	p.report(ctx, t, slot, time.Since(start), a, err)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return a, err
}

// report gives the slot back and records what the try showed.
func (p *Pipeline) report(ctx context.Context, t *run, slot briarferry.Slot, took time.Duration, a *briarferry.Answer, err error) {
	var tryErr *briarferry.TryError
	errors.As(err, &tryErr)
	shed := errors.Is(err, bfupstream.ErrShed)
	cancelled := err != nil && errors.Is(ctx.Err(), context.Canceled)
	full := errors.Is(err, bfupstream.ErrConnectionLimit)
	// Marked before the slot is free, so that no path reports "not run" afterwards.
	if err == nil || tryErr == nil || tryErr.Dispatched {
		t.dispatched.Store(true)
	}
	if full {
		took = 0
	}
	slot.Done(briarferry.TryReport{
		Latency: took, Failed: !shed && (err != nil || a.Status >= http.StatusInternalServerError),
		Shed: shed, Refused: tryErr != nil && tryErr.ServerGone, Cancelled: cancelled || full,
	})
	silent := tryErr != nil && tryErr.Silent
	if err == nil || silent {
		p.policy().Observe(time.Now(), t.service.Name, took, silent)
	}
	if err != nil {
		t.countFailure(err, tryErr, cancelled)
	}
}

// tryContext bounds a try. A request that can't be tried again waits until its
// deadline, and isn't cancelled with its caller: an answer that is recorded is
// worth more than an outcome that stays unknown.
func (p *Pipeline) tryContext(ctx context.Context, t *run) (context.Context, context.CancelFunc) {
	if t.request.Key != "" {
		return context.WithDeadline(context.WithoutCancel(ctx), t.request.Deadline)
	}
	return context.WithTimeout(ctx, p.policy().TryTimeout(time.Now(), t.service))
}

func (t *run) countFailure(err error, tryErr *briarferry.TryError, cancelled bool) {
	switch {
	case cancelled:
	case errors.Is(err, bfupstream.ErrShed):
		t.count(countShed)
	case errors.Is(err, bfupstream.ErrAnswerMismatch):
		t.count(countCrossed)
	case errors.Is(err, bfupstream.ErrTruncated):
		t.count(countTruncated)
	case tryErr != nil && tryErr.Silent:
		t.count(countSilent)
	case tryErr != nil && !tryErr.Dispatched:
		t.count(countNotSent)
	default:
		t.count(countDied)
	}
}
