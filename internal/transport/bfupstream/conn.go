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
	errNoAnswer = errors.New("connection ended before its answer")
)

type (
	// conn is a connection to a backend server. A goroutine reads its answers.
	conn struct {
		pool *pool
		raw  net.Conn
		// sequence orders the connections of a pool by the time of their opening.
		sequence uint64
		writer   *bufio.Writer
		// written counts the bytes of the current request that were written.
		written atomic.Int64

		mu      sync.Mutex
		pending *pendingRequest
		// unusable is true if the connection must not be used for further requests.
		unusable bool

		// idleTimer and stale are guarded by the pool's mu. A stale connection is not used
		// again.
		idleTimer *time.Timer
		stale     bool
		// keepAlive is the idle timeout that the server announced, or 0.
		keepAlive time.Duration
	}

	// pendingRequest is a request that waits for its answer.
	pendingRequest struct {
		request *http.Request
		id      string
		results chan result
		// sent is true once the whole request was written.
		sent atomic.Bool
	}

	// result is a whole answer or the error of receiving it.
	result struct {
		response *http.Response
		body     []byte
		err      error
	}
)

// Write writes to the connection and counts the bytes.
func (c *conn) Write(data []byte) (int, error) {
	n, err := c.raw.Write(data)
	c.written.Add(int64(n))
	return n, err
}

// send writes the request. The answer arrives on the returned channel, possibly before the
// whole request is written.
func (c *conn) send(r *http.Request, id string) (<-chan result, error) {
	p := &pendingRequest{request: r, id: id, results: make(chan result, 1)}
	c.written.Store(0)
	c.mu.Lock()
	if c.unusable {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	c.pending = p
	c.mu.Unlock()
	err := r.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	p.sent.Store(err == nil)
	if err != nil {
		return p.results, fmt.Errorf("bfupstream: send: %w", err)
	}
	return p.results, nil
}

// read delivers answers until the connection ends. Bytes that arrive while no request is
// pending belong to the answer to an abandoned request, so the connection is closed.
func (c *conn) read() {
	defer c.close()
	limited := &io.LimitedReader{R: c.raw}
	br := bufio.NewReader(limited)
	for {
		limited.N = maxAnswerBytes
		_, err := br.Peek(1)
		p := c.takePending()
		if p == nil {
			return
		}
		if err != nil {
			p.results <- result{err: fmt.Errorf("%w: %w", errNoAnswer, err)}
			return
		}
		got := c.pool.client.readAnswer(br, p)
		if got.err != nil && limited.N <= 0 {
			got.err = errTooLarge
		}
		// If the answer arrived before the whole request was sent, the server may take a
		// later request for the rest of this one, so the connection isn't used again.
		last := got.err != nil || got.response.Close || !p.sent.Load()
		if last || br.Buffered() > 0 {
			c.markUnusable()
		}
		if got.err == nil {
			c.keepAlive = keepAliveTimeout(got.response.Header)
		}
		p.results <- got
		if last {
			return
		}
	}
}

// keepAliveTimeout returns the idle timeout in the Keep-Alive header, or 0.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(text); err == nil && n > 0 {
				return time.Duration(n) * time.Second
			}
		}
	}
	return 0
}

// readAnswer reads the whole answer to the request. With DiscardMismatched, it skips
// answers to other requests.
func (c *Client) readAnswer(br *bufio.Reader, p *pendingRequest) result {
	for range maxAnswersRead {
		got := readNext(br, p.request, c.dialect().AllowCloseDelimited)
		if got.err != nil || !c.shouldSkip(got, p.id) {
			return got
		}
		if got.response.Close {
			return result{err: fmt.Errorf("%w: only an answer to another request", ErrTruncated)}
		}
	}
	return result{err: ErrAnswerMismatch}
}

// shouldSkip reports whether the answer belongs to another request and is to be skipped.
func (c *Client) shouldSkip(got result, id string) bool {
	d := c.dialect()
	if !d.DiscardMismatched {
		return false
	}
	other := got.response.Header.Get(d.RequestIDHeader)
	return other != "" && other != id
}

// readNext reads one answer and skips informational ones. Unless allowCloseDelimited is set, an
// answer whose end is only marked by the end of the connection counts as truncated.
func readNext(br *bufio.Reader, r *http.Request, allowCloseDelimited bool) result {
	for {
		resp, err := http.ReadResponse(br, r)
		if err != nil {
			return result{err: fmt.Errorf("%w: %w", ErrTruncated, err)}
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if !allowCloseDelimited && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && r.Method != http.MethodHead {
			return result{err: fmt.Errorf("%w: neither length nor chunks", ErrTruncated)}
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return result{err: fmt.Errorf("%w: %w", ErrTruncated, err)}
		}
		return result{response: resp, body: body}
	}
}

// takePending returns and clears the pending request.
func (c *conn) takePending() *pendingRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pending
	c.pending = nil
	return p
}

// markUnusable excludes the connection from use for further requests.
func (c *conn) markUnusable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unusable = true
}

// close closes the connection. A pending request fails.
func (c *conn) close() {
	c.markUnusable()
	_ = c.raw.Close()
	c.pool.remove(c)
	// The reader may have ended before it took the request.
	if p := c.takePending(); p != nil {
		p.results <- result{err: errNoAnswer}
	}
}

func (c *conn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.unusable
}

// release returns the connection to the pool after a whole answer, or closes it if it can't
// be used again.
func (c *conn) release(last bool) {
	if last || !c.usable() || !c.pool.put(c) {
		c.close()
	}
}

// discard closes the connection after a failed try. After a timeout, it also discards
// the connections opened earlier, as the server may no longer be reachable over them
// either.
func (c *conn) discard(ctx context.Context) {
	c.close()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.pool.discardBefore(c.sequence)
	}
}
