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
		a, err = c.exchange(ctx, conn, t, r)
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
	if c.MayUse != nil && !c.MayUse(b) || r.MaySend != nil && !r.MaySend() {
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
