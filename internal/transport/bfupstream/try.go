package bfupstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
)

// try is one dispatch of a request to a server.
type try struct {
	client  *Client
	request *http.Request
	id      string
	backend briarferry.BackendID
	// streamer is nil if the answer must not be streamed.
	streamer *streamer
}

// exchange sends the request over the connection and waits for its answer.
func (c *Client) exchange(ctx context.Context, conn *conn, t try, r *briarferry.Request) (*briarferry.Answer, error) {
	body, checks := holdBody(t.request, r), watch(conn, r)
	defer checks.stop()
	stop := context.AfterFunc(ctx, conn.close)
	results, err := conn.send(t)
	if err != nil {
		stop()
		checks.stop()
		conn.discard(ctx)
		a, err := t.earlyAnswer(ctx, conn, results, err)
		return a, checks.failure(body.failure(err))
	}
	defer c.suspectIfSilent(conn, t.backend.Service)()
	got := <-results
	checks.stop()
	if !stop() && got.err == nil {
		// The answer arrived when the context ended. It counts as late.
		got.memory.release()
		got.err = context.Cause(ctx)
	}
	if got.err != nil {
		conn.discard(ctx)
		return nil, checks.failure(t.failure(ctx, conn, got.err))
	}
	return t.accept(conn, got)
}

// earlyAnswer returns the answer of a server that answered and closed the connection before
// it had read the whole request, or else the error of sending the request.
func (t try) earlyAnswer(ctx context.Context, conn *conn, results <-chan result, err error) (*briarferry.Answer, error) {
	select {
	case got := <-results:
		if got.err == nil {
			return t.accept(conn, got)
		}
	default:
		releaseLater(results)
	}
	return nil, t.failure(ctx, conn, err)
}

// releaseLater releases the memory of an answer that nobody waits for. A nil channel means
// that there will be none.
func releaseLater(results <-chan result) {
	if results != nil {
		go func() { (<-results).memory.release() }()
	}
}

// suspectIfSilent excludes the connection and earlier ones from further use, unless the
// returned function is called within the time given by SuspectAfter.
func (c *Client) suspectIfSilent(conn *conn, service string) (stop func()) {
	if c.SuspectAfter == nil {
		return func() {}
	}
	after := c.SuspectAfter(service)
	if after <= 0 {
		return func() {}
	}
	timer := time.AfterFunc(after, func() { conn.pool.discardBefore(conn.sequence + 1) })
	return func() { timer.Stop() }
}

// accept checks the answer. A valid one keeps its memory until Answer.Release.
func (t try) accept(conn *conn, got result) (*briarferry.Answer, error) {
	a, err := t.checkAnswer(conn, got)
	if err != nil {
		got.memory.release()
		return a, err
	}
	a.OnRelease(got.memory.release)
	a.OnDeliver(got.memory.deliver)
	return a, nil
}

// checkAnswer returns the answer if it belongs to the request and the server ran it, and an
// error otherwise. The answer of a server that did not run the request comes with an error.
func (t try) checkAnswer(conn *conn, got result) (*briarferry.Answer, error) {
	d := t.client.dialect()
	h, status := got.response.Header, got.response.StatusCode
	notRun := d.IsNotRun(status, h)
	// With DiscardMismatched, a server that did not run the request may omit the id, as
	// answers to other requests are recognized by theirs.
	idOmitted := d.DiscardMismatched && notRun && h.Get(d.RequestIDHeader) == ""
	if t.id != "" && h.Get(d.RequestIDHeader) != t.id && !idOmitted {
		// Further answers on this connection may not belong to their requests either.
		conn.close()
		return nil, &briarferry.TryError{Backend: t.backend, Dispatched: true, Err: ErrAnswerMismatch}
	}
	if notRun {
		// A second copy of an answer without an id can't be told from the answer to the next
		// request, so the connection isn't used again.
		conn.release(got.response.Close || t.request.Close || idOmitted)
		err := ErrShed
		if status == http.StatusMisdirectedRequest {
			err = ErrMisdirected
		}
		return &briarferry.Answer{Status: status, Header: bfapi.ForwardHeader(h)}, &briarferry.TryError{Backend: t.backend, Err: err}
	}
	if d.ServerSignatureHeader != "" && (h.Get(d.ServerSignatureHeader) == "" || h.Get("Content-Encoding") != "") {
		conn.close()
		return nil, &briarferry.TryError{Backend: t.backend, Dispatched: true, Err: ErrNoSignature}
	}
	conn.release(got.response.Close || t.request.Close)
	return &briarferry.Answer{Status: status, Header: bfapi.ForwardHeader(h), Body: got.body}, nil
}

// failure returns the error of a try that ended without a whole answer.
func (t try) failure(ctx context.Context, conn *conn, err error) *briarferry.TryError {
	ctxErr := ctx.Err()
	e := &briarferry.TryError{
		Backend:        t.backend,
		Dispatched:     conn.written.Load() > 0,
		ConnectionLost: ctxErr == nil && !errors.Is(err, ErrTooLarge) && !errors.Is(err, ErrInvalidStatus),
		TimedOut:       errors.Is(ctxErr, context.DeadlineExceeded),
		Err:            err,
	}
	if ctxErr != nil {
		e.Err = context.Cause(ctx)
	}
	return e
}

// checkServer sets ServerRefusedConnection in the error of a try whose connection was
// lost if the server refuses a new one.
func (c *Client) checkServer(ctx context.Context, p *pool, b briarferry.Backend, err error) {
	var tryErr *briarferry.TryError
	if !errors.As(err, &tryErr) || !tryErr.ConnectionLost {
		return
	}
	conn, err := p.open(ctx, c.connectionLimit(b))
	if err != nil {
		tryErr.ServerRefusedConnection = isRefused(err)
		return
	}
	conn.release(false)
}
