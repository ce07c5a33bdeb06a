// Package bfupstream sends requests to backend servers.
package bfupstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
)

const (
	// dialTimeout covers the round trip between the most distant regions twice.
	dialTimeout = 250 * time.Millisecond
	idleTimeout = 5 * time.Second
	// keepMargin covers the way of a request to the server and late timers.
	keepMargin = time.Second
	// maxStrays bounds the answers to other requests that are passed over.
	maxStrays = 4
	// maxAnswerBytes bounds the head and the body of one answer.
	maxAnswerBytes = 16 << 20
)

var (
	// ErrAnswerMismatch marks an answer that lacks the id of its request.
	ErrAnswerMismatch = errors.New("answer does not carry the request's id")
	// ErrTruncated marks an answer that ended before its announced end, or whose
	// end is not announced.
	ErrTruncated = errors.New("answer is not complete")
	// ErrShed marks a request that the server refused for its own load.
	ErrShed = errors.New("server shed the request")
	// ErrMisdirected marks a request that met another instance than the one meant,
	// which did not run it.
	ErrMisdirected = errors.New("another instance has the server's address")
	// ErrNoReceipt marks an answer without the server's receipt.
	ErrNoReceipt = errors.New("answer does not carry the server's receipt")
	// ErrConnectionLimit marks a try for which the server has no connection left.
	ErrConnectionLimit = errors.New("connection limit of the server is reached")
)

type (
	// Client sends tries to backend servers over its own connections. Its fields
	// are set before use.
	Client struct {
		// Dial opens a connection; nil means TCP.
		Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
		// Dialect names the headers; nil means the project's own.
		Dialect *bfapi.Dialect
		// EntryCount returns the number of entries that share a server's connection
		// limit; nil means one.
		EntryCount func() int
		// SuspectAfter returns the time without an answer after which connections
		// opened before a try's own are no longer used, where the try itself goes on
		// for longer; nil or 0 leaves this to the end of the try.
		SuspectAfter func(service string) time.Duration

		mu    sync.Mutex
		pools map[netip.AddrPort]*pool
	}

	// attempt is one try with its request as it is written.
	attempt struct {
		client  *Client
		request *http.Request
		id      string
		backend briarferry.BackendID
	}
)

// New returns a client that connects over TCP.
func New() *Client { return &Client{} }

// Do sends the request once and reads the whole answer, or returns a
// *briarferry.TryError. The error of a server that says that it did not run the request
// comes with the server's answer.
func (c *Client) Do(ctx context.Context, b briarferry.Backend, r *briarferry.Request) (*briarferry.Answer, error) {
	out, err := c.newRequest(ctx, b, r)
	if err != nil {
		return nil, &briarferry.TryError{Backend: b.ID(), Err: err}
	}
	p := c.pool(b.Address)
	defer c.release(p)
	conn, err := p.take(ctx, c.limit(b))
	if err != nil {
		return nil, &briarferry.TryError{
			Backend: b.ID(), ServerGone: isRefused(err), Silent: isTimeout(ctx, err), Err: err,
		}
	}
	a, err := c.exchange(ctx, conn, attempt{client: c, request: out, id: r.ID, backend: b.ID()})
	if err != nil {
		c.inspect(ctx, p, b, err)
		return a, err
	}
	return a, nil
}

// Probe opens a connection to the server and keeps it for the next request.
func (c *Client) Probe(ctx context.Context, b briarferry.Backend) error {
	p := c.pool(b.Address)
	defer c.release(p)
	conn, err := p.open(ctx, c.limit(b))
	if err != nil {
		return err
	}
	conn.keep(false)
	return nil
}

// exchange writes the request and waits for its answer.
func (c *Client) exchange(ctx context.Context, conn *conn, t attempt) (*briarferry.Answer, error) {
	stop := context.AfterFunc(ctx, conn.close)
	results, err := conn.send(t.request, t.id)
	if err != nil {
		stop()
		conn.discard(ctx)
		return t.early(ctx, conn, results, err)
	}
	defer c.suspect(conn, t.backend.Service)()
	got := <-results
	if !stop() && got.err == nil {
		// The answer came in with the end of the try; it counts as late.
		got.err = context.Cause(ctx)
	}
	if got.err != nil {
		conn.discard(ctx)
		return nil, t.failure(ctx, conn, got.err)
	}
	return t.check(conn, got)
}

// early returns the answer of a server that answered and hung up before it had read the
// whole request, or the failure to send.
func (t attempt) early(ctx context.Context, conn *conn, results <-chan result, err error) (*briarferry.Answer, error) {
	select {
	case got := <-results:
		if got.err == nil {
			return t.check(conn, got)
		}
	default:
	}
	return nil, t.failure(ctx, conn, err)
}

// suspect takes the connection and older ones out of use if no answer comes before
// the returned function is called.
func (c *Client) suspect(conn *conn, service string) (stop func()) {
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

// check accepts the answer only if it belongs to the request.
func (t attempt) check(conn *conn, got result) (*briarferry.Answer, error) {
	d := t.client.dialect()
	h, status := got.response.Header, got.response.StatusCode
	notRun := d.IsNotRun(status, h)
	// Where strays are told by their id, a server that didn't run the request may leave it out.
	anonymous := d.SkipStrays && notRun && h.Get(d.RequestID) == ""
	if t.id != "" && h.Get(d.RequestID) != t.id && !anonymous {
		// The rest of what this connection delivers can't be trusted either.
		conn.close()
		return nil, &briarferry.TryError{Backend: t.backend, Dispatched: true, Err: ErrAnswerMismatch}
	}
	if notRun {
		conn.keep(got.response.Close || t.request.Close)
		err := ErrShed
		if status == http.StatusMisdirectedRequest {
			err = ErrMisdirected
		}
		return &briarferry.Answer{Status: status, Header: bfapi.ForwardHeader(h)}, &briarferry.TryError{Backend: t.backend, Err: err}
	}
	if d.Receipt != "" && (h.Get(d.Receipt) == "" || h.Get("Content-Encoding") != "") {
		conn.close()
		return nil, &briarferry.TryError{Backend: t.backend, Dispatched: true, Err: ErrNoReceipt}
	}
	conn.keep(got.response.Close || t.request.Close)
	return &briarferry.Answer{Status: status, Header: bfapi.ForwardHeader(h), Body: got.body}, nil
}

// failure describes a try that ended without a whole answer.
func (t attempt) failure(ctx context.Context, conn *conn, err error) *briarferry.TryError {
	ended := ctx.Err()
	e := &briarferry.TryError{
		Backend:        t.backend,
		Dispatched:     conn.written.Load() > 0,
		ConnectionDied: ended == nil && !errors.Is(err, errTooLarge),
		Silent:         errors.Is(ended, context.DeadlineExceeded),
		Err:            err,
	}
	if ended != nil {
		e.Err = context.Cause(ctx)
	}
	return e
}

// inspect finds out whether a server whose connection died still takes new ones.
func (c *Client) inspect(ctx context.Context, p *pool, b briarferry.Backend, err error) {
	var tryErr *briarferry.TryError
	if !errors.As(err, &tryErr) || !tryErr.ConnectionDied {
		return
	}
	conn, err := p.open(ctx, c.limit(b))
	if err != nil {
		tryErr.ServerGone = isRefused(err)
		return
	}
	conn.keep(false)
}

// limit returns this entry's part of the server's connections.
func (c *Client) limit(b briarferry.Backend) int {
	entries := 1
	if c.EntryCount != nil {
		entries = max(1, c.EntryCount())
	}
	return max(1, b.ConnectionLimit/entries)
}

func (c *Client) pool(address netip.AddrPort) *pool {
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
	p.users++
	return p
}

// release drops a pool that nobody uses, so that the table follows the servers.
func (c *Client) release(p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.users--
	if p.users == 0 {
		delete(c.pools, p.address)
	}
}

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
	return &bfapi.OwnDialect
}

func (c *Client) newRequest(ctx context.Context, b briarferry.Backend, r *briarferry.Request) (*http.Request, error) {
	dialect := c.dialect()
	url := "http://" + b.Address.String() + r.Target
	out, err := http.NewRequest(r.Method, url, bytes.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("bfupstream: build request: %w", err)
	}
	if r.Header != nil {
		out.Header = r.Header.Clone()
	}
	// The body is sent at once; a server that answers 100 first only adds a wait.
	out.Header.Del("Expect")
	if r.Host != "" {
		out.Host = r.Host
	}
	if r.ID != "" {
		out.Header.Set(dialect.RequestID, r.ID)
	}
	if dialect.Expected != "" && b.InstanceID != "" {
		out.Header.Set(dialect.Expected, b.InstanceID)
	}
	deadline := r.Deadline
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	out.Header.Set(dialect.Remaining, dialect.FormatRemaining(time.Until(deadline)))
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(out.Header))
	return out, nil
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func isTimeout(ctx context.Context, err error) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
