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
	// maxUnsent limits how many tries of one request may end before they are sent, for
	// example because the server refuses the connection.
	maxUnsent = 6
	// hedgeFactor and hedgeMargin determine when an idempotent request is hedged, that is
	// sent to a second server as well: an answer that takes this much longer than expected
	// is likely lost.
	hedgeFactor = 1.8
	hedgeMargin = 200 * time.Millisecond
	// maxHedgeDelay is the longest delay before a request is hedged.
	maxHedgeDelay = 5 * time.Second
	// shedRetryAfter is the Retry-After of requests refused because the servers shed load.
	shedRetryAfter = 250 * time.Millisecond
)

// errStopping is the cause of the end of requests that are open at the end of a stop.
var errStopping = errors.New("bfgateway: entry stops")

type (
	// forwarder sends one request to backend servers, with retries and hedging, until a
	// try returns the answer.
	forwarder struct {
		node    *Node
		call    *call
		ctx     context.Context
		results chan tryResult
		pending int
		avoid   []string
		// plannedRegion is the region in which the plan wants the request to run, or empty.
		plannedRegion string
		// sent counts the tries that were started, without those that ended before they
		// were sent, which unsent counts. A denied hedge raises sent to the route's
		// MaxAttempts.
		sent, unsent int
		// mayHaveRun is true if a server may have run the request but returned no answer.
		mayHaveRun bool
		// serverError is the last 5xx answer of a server that ran the request.
		serverError *briarferry.Answer
		tries       []*bfsteering.Try
		attempts    []*attempt
		// streaming is the attempt whose answer is streamed to the caller, or nil.
		streaming *attempt
	}

	// attempt is a try that was started.
	attempt struct {
		cancel context.CancelFunc
		// ended is closed at the end of the try.
		ended chan struct{}
	}

	// tryResult is the end of one try, or the start of its streamed answer.
	tryResult struct {
		outcome bfsteering.Outcome
		answer  *briarferry.Answer
		err     error
		// dispatched is true if the server may have got part of the request.
		dispatched bool
		// streaming is the attempt if its answer is streamed, or nil.
		streaming *attempt
	}

	// tryRecord describes a try in the request's log line.
	tryRecord struct {
		instance, region string
		outcome          bfsteering.Outcome
		// after is the time from the arrival of the request to the start of the try.
		after    time.Duration
		took     time.Duration
		expected time.Duration
		load     float64
		loadAge  time.Duration
		warm     bool
		// left says why the try ran outside the entry's region, or is empty if it didn't.
		left bfsteering.LeaveReason
	}
)

// forward returns a server's answer, or an error with the reason why there is none.
func (n *Node) forward(ctx context.Context, c *call) (*briarferry.Answer, error) {
	if err := n.quarantine.Check(c.request.Fingerprint); err != nil {
		return nil, err
	}
	// A try has two results if its answer is streamed.
	f := &forwarder{node: n, call: c, ctx: ctx, results: make(chan tryResult, 2*(maxUnsent+c.route.MaxAttempts))}
	defer f.cancelAttempts()
	for {
		if f.pending == 0 {
			if ctx.Err() != nil {
				return f.timeout()
			}
			if err := f.startTry(false); err != nil {
				return f.fail(err)
			}
		}
		hedge := time.NewTimer(f.hedgeDelay())
		select {
		case result := <-f.results:
			hedge.Stop()
			f.pending--
			if a := result.streaming; a != nil {
				f.streaming, f.call.tryEnded = a, a.ended
			}
			if answer, err, done := f.handleResult(result); done {
				return answer, err
			}
		case <-hedge.C:
			f.startHedge()
		case <-ctx.Done():
			hedge.Stop()
			return f.timeout()
		}
	}
}

// startTry sends the request to a server that has not been chosen for it before.
func (f *forwarder) startTry(hedge bool) error {
	if err := f.rewindUpload(); err != nil {
		return err
	}
	r := f.steeringRequest(hedge)
	if err := f.node.checkHomes(&r); err != nil {
		return err
	}
	try, err := f.node.steering.Choose(time.Now(), r)
	if err != nil {
		return err
	}
	f.avoid = append(f.avoid, try.Backend.InstanceID)
	f.plannedRegion = try.PlannedRegion
	f.tries = append(f.tries, try)
	f.pending++
	f.sent++
	ctx, cancel := context.WithCancel(f.ctx)
	a := &attempt{cancel: cancel, ended: make(chan struct{})}
	f.attempts = append(f.attempts, a)
	request := *f.call.request
	request.MaySend = func() bool { return f.node.mayRunIn(f.call, try.Region) }
	// An incomplete answer can't be replaced by that of another server once it is streamed,
	// so only answers of reliable servers are.
	if f.call.route.LargeAnswers && try.Reliable && request.Stream == nil {
		request.OnHead = func(answer *briarferry.Answer) {
			try.Note(time.Now(), f.node.parseNotice(answer.Status, answer.Header))
			f.results <- tryResult{outcome: bfsteering.Answered, answer: answer, streaming: a}
		}
	}
	go func() {
		defer close(a.ended)
		f.results <- f.node.sendTry(ctx, f.call, &request, try)
	}()
	return nil
}

// steeringRequest describes the request's next try.
func (f *forwarder) steeringRequest(hedge bool) bfsteering.Request {
	r := f.node.homesRequest(f.call)
	r.Service, r.Key, r.StreamedBytes = f.call.service, f.call.affinityKey, f.call.streamedBytes()
	r.Remaining = f.node.timeForTry(time.Until(f.call.request.Deadline))
	r.Avoid, r.Retry, r.OnTimeOnly, r.PlannedRegion = f.avoid, f.sent > 0, hedge, f.plannedRegion
	return r
}

// cancelAttempts cancels all attempts but the one whose answer is streamed, which ends with
// the caller's request.
func (f *forwarder) cancelAttempts() {
	for _, a := range f.attempts {
		if a != f.streaming {
			a.cancel()
		}
	}
}

// hedgeDelay returns how long to wait for an answer before the request is hedged. It is one
// hour, which is longer than any request takes, if the request must not be hedged now or if
// the expected time is not based on earlier answers.
func (f *forwarder) hedgeDelay() time.Duration {
	if !f.mayHedge() || len(f.tries) == 0 {
		return time.Hour
	}
	last := f.tries[len(f.tries)-1]
	if !last.Measured {
		return time.Hour
	}
	wait := max(time.Duration(hedgeFactor*float64(last.Expected)), last.Expected+hedgeMargin)
	return min(maxHedgeDelay, max(0, wait-time.Since(last.Started())))
}

// mayHedge reports whether the request may be sent to another server while a try is
// pending.
func (f *forwarder) mayHedge() bool {
	return f.call.route.Idempotent && f.sent < f.call.route.MaxAttempts && f.pending < 2
}

func (f *forwarder) startHedge() {
	f.tries[len(f.tries)-1].ReportOverdue()
	if err := f.startTry(true); err != nil {
		// No server can take a hedge. The pending try continues. Raising sent to the limit
		// prevents further hedges, and retries unless that try ends unsent.
		f.sent = max(f.sent, f.call.route.MaxAttempts)
		counters.hedgesDenied.Add(1)
		return
	}
	counters.hedges.Add(1)
}

// handleResult decides whether the end of a try ends the request.
func (f *forwarder) handleResult(result tryResult) (*briarferry.Answer, error, bool) {
	switch {
	case result.outcome == bfsteering.Answered:
		return result.answer, nil, true
	case result.outcome == bfsteering.Failed:
		f.serverError = result.answer
	case result.outcome == bfsteering.Shed, result.outcome == bfsteering.Misdirected:
	case result.dispatched:
		f.mayHaveRun = true
	default:
		f.sent--
		f.unsent++
	}
	if f.pending > 0 {
		return nil, nil, false
	}
	ran := f.mayHaveRun || f.serverError != nil
	if f.sent >= f.call.route.MaxAttempts || f.unsent >= maxUnsent || ran && !f.call.route.Idempotent {
		answer, err := f.fail(notRunRefusal(result))
		return answer, err, true
	}
	return nil, nil, false
}

// notRunRefusal returns the refusal of a request whose last try did not run it.
func notRunRefusal(result tryResult) error {
	reason := "the backend servers refuse the request"
	if result.err != nil {
		reason = result.err.Error()
	}
	return &briarferry.Refusal{Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun, Reason: reason, RetryAfter: shedRetryAfter}
}

// fail ends a request that no server ran successfully: with a server's 5xx answer if there
// is one, or else with an unknown outcome if a server may have run the request. If no
// server can have run it, fail returns the given error, which may be a refusal with the
// outcome "not run".
func (f *forwarder) fail(err error) (*briarferry.Answer, error) {
	switch {
	case f.serverError != nil:
		return f.serverError, nil
	case f.mayHaveRun:
		return nil, &briarferry.Refusal{Status: http.StatusBadGateway, Outcome: briarferry.OutcomeUnknown, Reason: "a backend server got the request and gave no whole answer"}
	}
	return nil, err
}

// timeout ends a request whose deadline has passed.
func (f *forwarder) timeout() (*briarferry.Answer, error) {
	if f.serverError != nil {
		return f.serverError, nil
	}
	if f.pending > 0 || f.mayHaveRun {
		if errors.Is(context.Cause(f.ctx), errStopping) {
			return nil, &briarferry.Refusal{Status: http.StatusBadGateway, Outcome: briarferry.OutcomeUnknown, Reason: "the entry stops before a backend server has answered"}
		}
		return nil, &briarferry.Refusal{Status: http.StatusGatewayTimeout, Outcome: briarferry.OutcomeUnknown, Reason: "no backend server answered in time"}
	}
	return nil, &briarferry.Refusal{Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun, Reason: "no backend server was free in time", RetryAfter: shedRetryAfter}
}

// sendTry sends the request to the chosen server.
func (n *Node) sendTry(ctx context.Context, c *call, r *briarferry.Request, t *bfsteering.Try) tryResult {
	done, err := n.quarantine.StartRun(ctx, r.Fingerprint, t.Backend)
	if err != nil {
		t.Done(time.Now(), bfsteering.Report{Outcome: bfsteering.Cancelled})
		return tryResult{outcome: bfsteering.Cancelled, err: err}
	}
	ctx, span := otel.Tracer(tracerName).Start(ctx, "attempt")
	span.SetAttributes(attribute.String("backend", t.Backend.Address.String()), attribute.String("instance", t.Backend.InstanceID))
	defer span.End()
	answer, err := n.upstream.Do(ctx, t.Backend, r)
	n.recordWithdrawal(ctx, c, t)
	report := n.report(ctx, answer, err)
	if answer != nil {
		c.hold(answer)
		report.Bytes = len(c.request.Body) + len(answer.Body)
	}
	c.reportUpload(&report)
	t.Done(time.Now(), report)
	done(runResult(report))
	n.recordTry(c, t, report.Outcome)
	var tryErr *briarferry.TryError
	dispatched := errors.As(err, &tryErr) && tryErr.Dispatched
	return tryResult{outcome: report.Outcome, answer: answer, err: err, dispatched: dispatched}
}

// parseLoad returns the server's load report, if the answer has a valid one.
func (n *Node) parseLoad(h http.Header) (briarferry.ServerLoad, bool) {
	if n.Dialect.LoadHeader == "" {
		return briarferry.ServerLoad{}, false
	}
	text := h.Get(n.Dialect.LoadHeader)
	if text == "" {
		return briarferry.ServerLoad{}, false
	}
	load, ok := n.Dialect.ParseLoad(text)
	if !ok {
		counters.invalidLoads.Add(1)
		n.invalidLoads.report(text)
	}
	return load, ok
}

// parseNotice returns what the server said about further requests. An answer of another
// instance says nothing about the chosen one.
func (n *Node) parseNotice(status int, h http.Header) briarferry.ServerNotice {
	if n.Dialect.ParseNotice == nil || status == http.StatusMisdirectedRequest {
		return briarferry.ServerNotice{}
	}
	notice, err := n.Dialect.ParseNotice(status, h, time.Now())
	if err != nil {
		counters.invalidNotices.Add(1)
		n.invalidNotices.report(err.Error())
	}
	return notice
}

// report classifies the end of a try.
func (n *Node) report(ctx context.Context, a *briarferry.Answer, err error) bfsteering.Report {
	var r bfsteering.Report
	if a != nil {
		r.Load, r.HasLoad = n.parseLoad(a.Header)
		r.Notice = n.parseNotice(a.Status, a.Header)
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
	case !errors.As(err, &tryErr), errors.Is(err, bfupstream.ErrConnectionLimit), errors.Is(err, bfupstream.ErrWithdrawn), errors.Is(err, bfupstream.ErrCallerLeft), errors.Is(err, bfupstream.ErrRequestBody):
		r.Outcome = bfsteering.Cancelled
	case !tryErr.Dispatched:
		r.Outcome = bfsteering.Refused
		switch {
		case ctx.Err() != nil:
			r.Outcome = bfsteering.Cancelled
		case tryErr.TimedOut:
			r.Outcome = bfsteering.Unreachable
		}
	case errors.Is(err, bfupstream.ErrAnswerMismatch), errors.Is(err, bfupstream.ErrTruncated), errors.Is(err, bfupstream.ErrNoSignature), errors.Is(err, bfupstream.ErrTooLarge), errors.Is(err, bfupstream.ErrInvalidStatus):
		// These come before the state of the context: an incomplete streamed answer ends the
		// caller's request, and with it the context, before the try is recorded.
		r.Outcome, r.ServerRefusedConnection = bfsteering.InvalidAnswer, tryErr.ServerRefusedConnection
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.Outcome = bfsteering.TimedOut
	case ctx.Err() != nil:
		r.Outcome = bfsteering.Cancelled
	default:
		r.Outcome, r.ServerRefusedConnection = bfsteering.ConnectionLost, tryErr.ServerRefusedConnection
	}
	return r
}

func runResult(r bfsteering.Report) briarferry.RunResult {
	switch {
	case r.Outcome == bfsteering.Answered:
		return briarferry.RunAnswered
	case r.ServerRefusedConnection:
		return briarferry.RunCrashed
	}
	return briarferry.RunFailed
}
