package bfupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var (
	errTooLarge = errors.New("answer is too large")
	errUnasked  = errors.New("connection ended before its answer")
)

type (
	// conn is one connection to a backend server, with a goroutine that reads it.
	conn struct {
		pool *pool
		raw  net.Conn
		// sequence orders the connections of a pool by when they were opened.
		sequence uint64
		writer   *bufio.Writer
		written  atomic.Int64

		mu      sync.Mutex
		pending *exchange
		closed  bool

		// idle and stale belong to the pool's lock.
		idle  *time.Timer
		stale bool
		// keepFor is how long the server keeps the connection idle, 0 if it doesn't tell.
		keepFor time.Duration
	}

	// exchange is a request that waits for its answer.
	exchange struct {
		request *http.Request
		id      string
		results chan result
		// written tells that the whole request was sent.
		written atomic.Bool
	}

	// result is a whole answer or the reason why there is none.
	result struct {
		response *http.Response
		body     []byte
		err      error
	}
)

// Write counts the bytes that the connection took.
func (c *conn) Write(data []byte) (int, error) {
	n, err := c.raw.Write(data)
	c.written.Add(int64(n))
	return n, err
}

// send writes the request; its answer arrives on the returned channel, which may be
// before all was written.
func (c *conn) send(r *http.Request, id string) (<-chan result, error) {
	e := &exchange{request: r, id: id, results: make(chan result, 1)}
	c.written.Store(0)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	c.pending = e
	c.mu.Unlock()
	err := r.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	e.written.Store(err == nil)
	if err != nil {
		return e.results, fmt.Errorf("bfupstream: send: %w", err)
	}
	return e.results, nil
}

// read delivers answers until the connection ends. Bytes that arrive while no
// request waits belong to an answer that was given up; they end the connection.
func (c *conn) read() {
	defer c.close()
	limited := &io.LimitedReader{R: c.raw}
	br := bufio.NewReader(limited)
	for {
		limited.N = maxAnswerBytes
		_, err := br.Peek(1)
		e := c.take()
		if e == nil {
			return
		}
		if err != nil {
			e.results <- result{err: fmt.Errorf("%w: %w", errUnasked, err)}
			return
		}
		got := c.pool.client.readAnswer(br, e)
		if got.err != nil && limited.N <= 0 {
			got.err = errTooLarge
		}
		// A server that answers early may still take what it reads later for the rest
		// of this request, so its connection isn't used again.
		last := got.err != nil || got.response.Close || !e.written.Load()
		if last || br.Buffered() > 0 {
			c.shut()
		}
		if got.err == nil {
			c.keepFor = keepAlive(got.response.Header)
		}
		e.results <- got
		if last {
			return
		}
	}
}

// keepAlive returns the idle time that the server announces, or 0.
func keepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(text); err == nil && n > 0 {
				return time.Duration(n) * time.Second
			}
		}
	}
	return 0
}

// readAnswer reads the answer to the exchange with a whole body. Where the dialect asks
// for it, answers to other requests are passed over.
func (c *Client) readAnswer(br *bufio.Reader, e *exchange) result {
	for range maxStrays {
		got := readOne(br, e.request, c.dialect().OpenEnded)
		if got.err != nil || !c.isStray(got, e.id) {
			return got
		}
		if got.response.Close {
			return result{err: fmt.Errorf("%w: only an answer to another request", ErrTruncated)}
		}
	}
	return result{err: ErrAnswerMismatch}
}

func (c *Client) isStray(got result, id string) bool {
	d := c.dialect()
	if !d.SkipStrays {
		return false
	}
	other := got.response.Header.Get(d.RequestID)
	return other != "" && other != id
}

func readOne(br *bufio.Reader, r *http.Request, openEnded bool) result {
	for {
		resp, err := http.ReadResponse(br, r)
		if err != nil {
			return result{err: fmt.Errorf("%w: %w", ErrTruncated, err)}
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if !openEnded && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && r.Method != http.MethodHead {
			return result{err: fmt.Errorf("%w: neither length nor chunks", ErrTruncated)}
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return result{err: fmt.Errorf("%w: %w", ErrTruncated, err)}
		}
		return result{response: resp, body: body}
	}
}

// take returns the request that waits for an answer.
func (c *conn) take() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.pending
	c.pending = nil
	return e
}

// shut marks the connection as closed for new requests.
func (c *conn) shut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// close ends the connection; a request that waits on it fails.
func (c *conn) close() {
	c.shut()
	_ = c.raw.Close()
	c.pool.remove(c)
	// The reader may have ended before it saw the request.
	if e := c.take(); e != nil {
		e.results <- result{err: errUnasked}
	}
}

func (c *conn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed
}

// keep returns the connection to the pool after a whole answer.
func (c *conn) keep(last bool) {
	if last || !c.usable() || !c.pool.put(c) {
		c.close()
	}
}

// discard closes the connection after a failed try. Where the try's time ran out,
// connections that were opened earlier are suspected to be silent too.
func (c *conn) discard(ctx context.Context) {
	c.close()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.pool.discardBefore(c.sequence)
	}
}
