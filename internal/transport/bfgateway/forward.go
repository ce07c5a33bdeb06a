package bfgateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"

	"briarferry"
	"briarferry/internal/coordination/bfsteering"
	"briarferry/internal/transport/bfupstream"
)

const (
	// maxDials bounds the servers that a request is offered to where connections to
	// them can't be made.
	maxDials = 6
	// hedgeFactor and hedgeMargin tell when an idempotent request gets a second server:
	// an answer that takes this much longer than expected is likely lost.
	hedgeFactor = 1.8
	hedgeMargin = 200 * time.Millisecond
	// maxHedge is the longest wait for a second server.
	maxHedge = 5 * time.Second
	// shedRetryAfter is what callers are told where servers shed load.
	shedRetryAfter = 250 * time.Millisecond
)

type (
	// race runs the tries of one request until one gives the answer.
	race struct {
		node    *Node
		call    *call
		ctx     context.Context
		results chan tried
		pending int
		avoid   []string
		// sent counts the tries that reached a server, and dials those that did not.
		sent, dials int
		// mayHaveRun tells that a server may have run the request without an answer.
		mayHaveRun bool
		// failure is a server's answer that reports its own failure.
		failure *briarferry.Answer
		tries   []*bfsteering.Try
	}

	// tried is how a try ended.
	tried struct {
		outcome bfsteering.Outcome
		answer  *briarferry.Answer
		err     error
	}

	// attemptRecord is what the log tells of a try.
	attemptRecord struct {
		instance string
		outcome  bfsteering.Outcome
		took     time.Duration
		expected time.Duration
		load     float64
		loadAge  time.Duration
		warm     bool
	}
)

// forward returns the answer of a server, or why there is none.
func (n *Node) forward(ctx context.Context, c *call) (*briarferry.Answer, error) {
	if err := n.quarantine.Check(c.request.Fingerprint); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &race{node: n, call: c, ctx: ctx, results: make(chan tried, maxDials+c.route.MaxAttempts)}
	for {
		if r.pending == 0 {
			if err := r.launch(false); err != nil {
				return r.giveUp(err)
			}
		}
		hedge := time.NewTimer(r.patience())
		select {
		case o := <-r.results:
			hedge.Stop()
			r.pending--
			if answer, err, done := r.settle(o); done {
				return answer, err
			}
		case <-hedge.C:
			r.hedge()
		case <-ctx.Done():
			hedge.Stop()
			return r.timeout()
		}
	}
}

// launch starts a try at another server.
func (r *race) launch(hedge bool) error {
	now := time.Now()
	try, err := r.node.steering.Choose(now, bfsteering.Request{
		Route: r.call.route.Route, Service: r.call.service, Key: r.call.key,
		Remaining: time.Until(r.call.request.Deadline), Avoid: r.avoid, Retry: r.sent > 0, OnTimeOnly: hedge,
	})
	if err != nil {
		return err
	}
	r.avoid = append(r.avoid, try.Backend.InstanceID)
	r.tries = append(r.tries, try)
	r.pending++
	r.sent++
	go func() { r.results <- r.node.try(r.ctx, r.call, try) }()
	return nil
}

// patience is the wait for an answer before a second server is asked.
func (r *race) patience() time.Duration {
	if !r.mayRepeat() || len(r.tries) == 0 {
		return time.Hour
	}
	last := r.tries[len(r.tries)-1]
	if !last.Known {
		return time.Hour
	}
	wait := max(time.Duration(hedgeFactor*float64(last.Expected)), last.Expected+hedgeMargin)
	return min(maxHedge, max(0, wait-time.Since(last.Started())))
}

// mayRepeat tells whether another server may get the request although this one may run it.
func (r *race) mayRepeat() bool {
	return r.call.route.Idempotent && r.sent < r.call.route.MaxAttempts && r.pending < 2
}

func (r *race) hedge() {
	r.tries[len(r.tries)-1].Overdue()
	if err := r.launch(true); err != nil {
		// There is no room for a second try; the first one goes on alone.
		r.sent = max(r.sent, r.call.route.MaxAttempts)
		counters.hedgesDenied.Add(1)
		return
	}
	counters.hedges.Add(1)
}

// settle decides what follows from the end of a try.
func (r *race) settle(o tried) (*briarferry.Answer, error, bool) {
	switch o.outcome {
	case bfsteering.Answered:
		return o.answer, nil, true
	case bfsteering.Failed:
		r.failure = o.answer
	case bfsteering.Refused, bfsteering.Unreachable, bfsteering.Cancelled:
		r.sent--
		r.dials++
	case bfsteering.Shed, bfsteering.Misdirected:
	default:
		r.mayHaveRun = true
	}
	if r.pending > 0 {
		return nil, nil, false
	}
	ran := r.mayHaveRun || r.failure != nil
	if r.sent >= r.call.route.MaxAttempts || r.dials >= maxDials || ran && !r.call.route.Idempotent {
		answer, err := r.giveUp(refusedBy(o))
		return answer, err, true
	}
	return nil, nil, false
}

// refusedBy describes a try that did not run the request.
func refusedBy(o tried) error {
	reason := "the backend servers refuse the request"
	if o.err != nil {
		reason = o.err.Error()
	}
	return &briarferry.Refusal{Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun, Reason: reason, RetryAfter: shedRetryAfter}
}

// giveUp ends a request without an answer of a server that ran it well. Only where no
// server may have run it is it said to be not run.
func (r *race) giveUp(err error) (*briarferry.Answer, error) {
	switch {
	case r.failure != nil:
		return r.failure, nil
	case r.mayHaveRun:
		return nil, &briarferry.Refusal{Status: http.StatusBadGateway, Outcome: briarferry.OutcomeUnknown, Reason: "a backend server got the request and gave no whole answer"}
	}
	return nil, err
}

// timeout ends a request whose time is over.
func (r *race) timeout() (*briarferry.Answer, error) {
	if r.failure != nil {
		return r.failure, nil
	}
	if r.pending > 0 || r.mayHaveRun {
		return nil, &briarferry.Refusal{Status: http.StatusGatewayTimeout, Outcome: briarferry.OutcomeUnknown, Reason: "no backend server answered in time"}
	}
	return nil, &briarferry.Refusal{Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun, Reason: "no backend server was free in time", RetryAfter: shedRetryAfter}
}

// try sends the request to one server.
func (n *Node) try(ctx context.Context, c *call, t *bfsteering.Try) tried {
	leave, err := n.quarantine.Enter(ctx, c.request.Fingerprint, t.Backend)
	if err != nil {
		t.Done(time.Now(), bfsteering.Report{Outcome: bfsteering.Cancelled})
		return tried{outcome: bfsteering.Cancelled, err: err}
	}
	ctx, span := otel.Tracer(tracerName).Start(ctx, "attempt")
	span.SetAttributes(attribute.String("backend", t.Backend.Address.String()), attribute.String("instance", t.Backend.InstanceID))
	defer span.End()
	answer, err := n.upstream.Do(ctx, t.Backend, c.request)
	report := n.report(ctx, answer, err)
	if answer != nil {
		report.Bytes = len(c.request.Body) + len(answer.Body)
	}
	t.Done(time.Now(), report)
	leave(runEnd(report))
	n.record(c, t, report.Outcome)
	return tried{outcome: report.Outcome, answer: answer, err: err}
}

// report classifies the end of a try.
func (n *Node) report(ctx context.Context, a *briarferry.Answer, err error) bfsteering.Report {
	var r bfsteering.Report
	if a != nil && n.Dialect.Load != "" {
		r.Running, r.Waiting, r.Slots, r.HasLoad = n.Dialect.ParseLoad(a.Header.Get(n.Dialect.Load))
	}
	var tryErr *briarferry.TryError
	switch {
	case err == nil && a.Status >= http.StatusInternalServerError:
		r.Outcome = bfsteering.Failed
	case err == nil:
		r.Outcome = bfsteering.Answered
	case errors.Is(err, bfupstream.ErrShed):
		r.Outcome = bfsteering.Shed
	case errors.Is(err, bfupstream.ErrMisdirected):
		r.Outcome = bfsteering.Misdirected
	case !errors.As(err, &tryErr), errors.Is(err, bfupstream.ErrConnectionLimit):
		r.Outcome = bfsteering.Cancelled
	case !tryErr.Dispatched:
		r.Outcome = bfsteering.Refused
		switch {
		case ctx.Err() != nil:
			r.Outcome = bfsteering.Cancelled
		case tryErr.Silent:
			r.Outcome = bfsteering.Unreachable
		}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.Outcome = bfsteering.Silent
	case ctx.Err() != nil:
		r.Outcome = bfsteering.Cancelled
	case errors.Is(err, bfupstream.ErrAnswerMismatch), errors.Is(err, bfupstream.ErrTruncated), errors.Is(err, bfupstream.ErrNoReceipt):
		r.Outcome, r.Gone = bfsteering.Garbled, tryErr.ServerGone
	default:
		r.Outcome, r.Gone = bfsteering.Died, tryErr.ServerGone
	}
	return r
}

func runEnd(r bfsteering.Report) briarferry.RunEnd {
	switch {
	case r.Outcome == bfsteering.Answered:
		return briarferry.RunAnswered
	case r.Gone:
		return briarferry.RunCrashed
	}
	return briarferry.RunFailed
}
