// Package bfupstream implements the HTTP/1.1 client for backend servers.
package bfupstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
)

const (
	// dialTimeout covers two round trips between the most distant regions.
	dialTimeout = 250 * time.Millisecond
	idleTimeout = 5 * time.Second
	// keepAliveMargin covers the transmission of a request and delayed timers.
	keepAliveMargin = time.Second
)

var (
	// ErrAnswerMismatch is returned for an answer without the id of its request.
	ErrAnswerMismatch = errors.New("answer does not carry the request's id")
	// ErrTruncated is returned if an answer began to arrive but no complete one could be read:
	// it ended early, was not valid HTTP, announced neither a length nor chunks although the
	// dialect requires one of them, or the connection ended after an answer to another request.
	ErrTruncated = errors.New("answer is not complete")
	// ErrInvalidStatus is returned for an answer whose status is outside 100 to 599, or 101. It
	// proves nothing about the request, whatever its headers say.
	ErrInvalidStatus = errors.New("answer has an invalid status")
	// ErrTooLarge is returned for an answer whose head or body exceeds its limit, or that was
	// the largest one when the memory for answers was used up.
	ErrTooLarge = errors.New("answer is too large")
	// ErrShed is returned if the server rejected the request because of its own load.
	ErrShed = errors.New("server shed the request")
	// ErrMisdirected is returned if the request reached another instance than the intended
	// one. That instance did not run it.
	ErrMisdirected = errors.New("another instance has the server's address")
	// ErrNoSignature is returned for an answer without the server's signature or with a
	// Content-Encoding header.
	ErrNoSignature = errors.New("answer does not carry the server's receipt")
	// ErrWithdrawn is returned if the server must not get requests any more. Nothing was
	// sent.
	ErrWithdrawn = errors.New("server was withdrawn before the request was sent")
	// ErrCallerLeft is returned if the caller no longer waits for the answer. Nothing was
	// sent.
	ErrCallerLeft = errors.New("caller left before the request was sent")
	// ErrConnectionLimit is returned if a try needs a new connection but the server's
	// limit is reached.
	ErrConnectionLimit = errors.New("connection limit of the server is reached")
)

type (
	// Client sends requests to backend servers over pooled connections. Its fields must be
	// set before use.
	Client struct {
		// Dial opens a connection; nil means TCP.
		Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
		// Dialect defines the headers; nil means bfapi.DefaultDialect.
		Dialect *bfapi.Dialect
		// MayUse reports whether the server may still get requests; nil means that it may. It
		// is asked right before a request is written, as the choice of the server may be
		// older: it precedes the wait for a connection.
		MayUse func(b briarferry.Backend) bool
		// EntryCount returns the number of entries that share a server's connection
		// limit; nil means one.
		EntryCount func() int
		// SuspectAfter returns the time without an answer after which a try's
		// connection and all earlier ones are no longer used for other tries. The
		// try itself continues. With nil or 0 this happens only when the try times
		// out.
		SuspectAfter func(service string) time.Duration
		// AnswerMemory limits the total size of the answers that are held at the same
		// time, from their first byte to Answer.Release; zero means 64 MiB.
		AnswerMemory int64

		memoryOnce sync.Once
		memory     answerMemory

		mu    sync.Mutex
		pools map[netip.AddrPort]*pool
	}

	// try is one dispatch of a request to a server.
	try struct {
		client  *Client
		request *http.Request
		id      string
		backend briarferry.BackendID
		// streamer is nil if the answer must not be streamed.
		streamer *streamer
	}
)

// New returns a client that connects over TCP.
func New() *Client { return &Client{} }

// Do sends the request once and returns the whole answer. Its errors are
// *briarferry.TryError. If the server says that it did not run the request, Do returns its
// answer and an error.
func (c *Client) Do(ctx context.Context, b briarferry.Backend, r *briarferry.Request) (*briarferry.Answer, error) {
	out, err := c.newRequest(ctx, b, r)
	if err != nil {
		return nil, &briarferry.TryError{Backend: b.ID(), Err: err}
	}
	p := c.acquirePool(b.Address)
	defer c.releasePool(p)
	conn, err := p.get(ctx, c.connectionLimit(b))
	if err != nil {
		return nil, &briarferry.TryError{
			Backend: b.ID(), ServerRefusedConnection: isRefused(err), TimedOut: isTimeout(ctx, err), Err: err,
		}
	}
	if err := c.checkChoice(ctx, b, r); err != nil {
		conn.release(false)
		return nil, &briarferry.TryError{Backend: b.ID(), TimedOut: isTimeout(ctx, nil), Err: err}
	}
	s := newStreamer(r.OnHead)
	t := try{client: c, request: out, id: r.ID, backend: b.ID(), streamer: s}
	var a *briarferry.Answer
	if r.Stream != nil {
		a, err = c.exchangeStream(ctx, conn, t, r)
	} else {
		a, err = c.exchange(ctx, conn, t)
	}
	s.end(err)
	if err != nil {
		c.checkServer(ctx, p, b, err)
		return a, err
	}
	return a, nil
}

// checkChoice returns an error if the request must not be sent any more.
func (c *Client) checkChoice(ctx context.Context, b briarferry.Backend, r *briarferry.Request) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if r.CallerLeft != nil && r.CallerLeft() {
		return ErrCallerLeft
	}
	if c.MayUse != nil && !c.MayUse(b) {
		return ErrWithdrawn
	}
	return nil
}

// Probe opens a connection to the server and adds it to the pool.
func (c *Client) Probe(ctx context.Context, b briarferry.Backend) error {
	p := c.acquirePool(b.Address)
	defer c.releasePool(p)
	conn, err := p.open(ctx, c.connectionLimit(b))
	if err != nil {
		return err
	}
	conn.release(false)
	return nil
}

// exchange sends the request over the connection and waits for its answer.
func (c *Client) exchange(ctx context.Context, conn *conn, t try) (*briarferry.Answer, error) {
	stop := context.AfterFunc(ctx, conn.close)
	results, err := conn.send(t)
	if err != nil {
		stop()
		conn.discard(ctx)
		return t.earlyAnswer(ctx, conn, results, err)
	}
	defer c.suspectIfSilent(conn, t.backend.Service)()
	got := <-results
	if !stop() && got.err == nil {
		// The answer arrived when the context ended. It counts as late.
		got.memory.release()
		got.err = context.Cause(ctx)
	}
	if got.err != nil {
		conn.discard(ctx)
		return nil, t.failure(ctx, conn, got.err)
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

// HasIdle reports whether a request to the server needs no new connection.
func (c *Client) HasIdle(address netip.AddrPort) bool {
	c.mu.Lock()
	p := c.pools[address]
	c.mu.Unlock()
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// connectionLimit returns this entry's share of the server's connection limit.
func (c *Client) connectionLimit(b briarferry.Backend) int {
	entries := 1
	if c.EntryCount != nil {
		entries = max(1, c.EntryCount())
	}
	return max(1, b.ConnectionLimit/entries)
}

// acquirePool returns the pool for the address. Each call needs a call of releasePool, which
// deletes the pool after the last use.
func (c *Client) acquirePool(address netip.AddrPort) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		if c.pools == nil {
			c.pools = map[netip.AddrPort]*pool{}
		}
		p = &pool{client: c, address: address}
		c.pools[address] = p
	}
	p.refs++
	return p
}

// releasePool deletes the pool after its last use, so that pools of removed servers don't
// accumulate.
func (c *Client) releasePool(p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.refs--
	if p.refs == 0 {
		delete(c.pools, p.address)
	}
}

// answers returns the memory for answers.
func (c *Client) answers() *answerMemory {
	c.memoryOnce.Do(func() {
		c.memory.limit = c.AnswerMemory
		if c.memory.limit <= 0 {
			c.memory.limit = defaultAnswerMemory
		}
	})
	return &c.memory
}

// HeldAnswers returns the memory that answers use now, and the number of answers that were
// dropped because it was used up.
func (c *Client) HeldAnswers() (bytes int64, dropped uint64) { return c.answers().usage() }

func (c *Client) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if c.Dial != nil {
		return c.Dial(ctx, address)
	}
	d := net.Dialer{}
	return d.DialContext(ctx, "tcp", address.String())
}

func (c *Client) dialect() *bfapi.Dialect {
	if c.Dialect != nil {
		return c.Dialect
	}
	return &bfapi.DefaultDialect
}

func (c *Client) newRequest(ctx context.Context, b briarferry.Backend, r *briarferry.Request) (*http.Request, error) {
	dialect := c.dialect()
	out, err := http.NewRequest(r.Method, "http://"+b.Address.String(), bytes.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("bfupstream: build request: %w", err)
	}
	if err := setTarget(out.URL, r.Target); err != nil {
		return nil, fmt.Errorf("bfupstream: build request: %w", err)
	}
	if r.Header != nil {
		out.Header = r.Header.Clone()
	}
	// The body is sent at once, so a server that answers 100 first would only add a delay.
	out.Header.Del("Expect")
	if r.Host != "" {
		out.Host = r.Host
	}
	if r.ID != "" {
		out.Header.Set(dialect.RequestIDHeader, r.ID)
	}
	if dialect.ExpectedInstanceHeader != "" && b.InstanceID != "" {
		out.Header.Set(dialect.ExpectedInstanceHeader, b.InstanceID)
	}
	c.setRemainingTime(ctx, out, r)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(out.Header))
	return out, nil
}

// setRemainingTime tells the server how much time is left for the request.
func (c *Client) setRemainingTime(ctx context.Context, out *http.Request, r *briarferry.Request) {
	deadline := r.Deadline
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	d := c.dialect()
	out.Header.Set(d.RemainingTimeHeader, d.FormatRemainingTime(time.Until(deadline)))
}

// setTarget sets the path and query of a request so that they are written as the caller sent
// them: net/url would escape characters such as "|". A path that begins with two slashes
// can't be written from an opaque URL, and is parsed.
func setTarget(u *url.URL, target string) error {
	if strings.HasPrefix(target, "//") {
		parsed, err := url.Parse(u.String() + target)
		if err != nil {
			return err
		}
		*u = *parsed
		return nil
	}
	path, query, hasQuery := strings.Cut(target, "?")
	u.Opaque, u.RawQuery, u.ForceQuery = path, query, hasQuery && query == ""
	return nil
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func isTimeout(ctx context.Context, err error) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
