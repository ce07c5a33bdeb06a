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

	"golang.org/x/sys/unix"
)

// writeSettleTime is how long the end of an answer without a length waits for a write that is
// under way. A reset ends a blocked write at once.
const writeSettleTime = 100 * time.Millisecond

var errNoAnswer = errors.New("connection ended before its answer")

type (
	// conn is a connection to a backend server. A goroutine reads its answers.
	conn struct {
		pool *pool
		raw  net.Conn
		// sequence orders the connections of a pool by the time of their opening.
		sequence uint64
		writer   *bufio.Writer
		// writing holds a value while a write is under way. It guards writeFailed.
		writing     chan struct{}
		writeFailed bool
		// written counts the bytes of the current request that were written.
		written atomic.Int64

		mu      sync.Mutex
		pending *pendingRequest
		// unusable is true if the connection must not be used for further requests.
		unusable bool
		// answered is true unless a request was sent whose whole answer has not arrived.
		answered bool

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
		// streamer is nil if the answer must not be streamed.
		streamer *streamer
		results  chan result
		// sent is true once the whole request was written.
		sent atomic.Bool
	}
)

// Write writes to the connection and counts the bytes.
func (c *conn) Write(data []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.raw.Write(data)
	c.written.Add(int64(n))
	c.writeFailed = c.writeFailed || err != nil
	return n, err
}

// endedInOrder reports whether the end of the connection, which the reader has seen, may be
// the end of an answer without a length. The operating system reports a reset once: if a
// write fails with it, the next read returns the same as after an ordinary end.
func (c *conn) endedInOrder() bool {
	select {
	case c.writing <- struct{}{}:
		defer func() { <-c.writing }()
		return !c.writeFailed
	case <-time.After(writeSettleTime):
		return false
	}
}

// send writes the request. The answer arrives on the returned channel, possibly before the
// whole request is written.
func (c *conn) send(t try) (<-chan result, error) {
	p := c.expect(t)
	if p == nil {
		return nil, net.ErrClosed
	}
	return p.results, c.write(p, c.writer)
}

// expect makes the reader expect the answer to the try's request. It returns nil if the
// connection can't be used any more.
func (c *conn) expect(t try) *pendingRequest {
	p := &pendingRequest{request: t.request, id: t.id, streamer: t.streamer, results: make(chan result, 1)}
	c.written.Store(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unusable {
		return nil
	}
	c.pending, c.answered = p, false
	return p
}

// write writes the whole request to w, which is the connection's writer or is based on it.
func (c *conn) write(p *pendingRequest, w io.Writer) error {
	err := p.request.Write(w)
	if err == nil {
		err = c.writer.Flush()
	}
	p.sent.Store(err == nil)
	if err != nil {
		return fmt.Errorf("bfupstream: send: %w", err)
	}
	return nil
}

// read delivers answers until the connection ends. Bytes that arrive while no request is
// pending belong to the answer to an abandoned request, so the connection is closed.
func (c *conn) read() {
	defer c.close()
	answers := newAnswerReader(c)
	for {
		err := answers.wait()
		p := c.takePending()
		if p == nil {
			return
		}
		if err != nil {
			p.results <- result{err: fmt.Errorf("%w: %w", errNoAnswer, err)}
			return
		}
		got := answers.read(p)
		// If the answer arrived before the whole request was sent, the server may take a
		// later request for the rest of this one, so the connection isn't used again.
		last := got.err != nil || got.response.Close || !p.sent.Load()
		if last || answers.br.Buffered() > 0 {
			c.markUnusable()
		}
		if got.err == nil {
			c.markAnswered()
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

// markAnswered records that the whole answer has arrived, also one that the server wrote
// before it had read the whole request.
func (c *conn) markAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
}

// close closes the connection. A pending request fails.
func (c *conn) close() {
	c.mu.Lock()
	c.unusable = true
	abandoned := !c.answered
	c.mu.Unlock()
	if abandoned {
		discardUnacknowledged(c.raw)
	}
	_ = c.raw.Close()
	c.pool.remove(c)
	// The reader may have ended before it took the request.
	if p := c.takePending(); p != nil {
		p.results <- result{err: errNoAnswer}
	}
}

// discardUnacknowledged makes the next Close reset a TCP connection if the server has not
// acknowledged everything. Otherwise the operating system goes on sending the rest, so that an
// abandoned request would reach the server after a partition has ended. A connection on which
// all is acknowledged is closed in the ordinary way: the end of a connection is sent again
// until it arrives, while a reset that is lost leaves the server at work.
func discardUnacknowledged(c net.Conn) {
	if tcp := tcpConn(c); tcp != nil && !isAcknowledged(tcp) {
		_ = tcp.SetLinger(0)
	}
}

// isAcknowledged reports whether the other end has acknowledged all bytes that were written. It
// returns false where the operating system doesn't tell.
func isAcknowledged(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	acknowledged := false
	err = raw.Control(func(fd uintptr) {
		unacknowledged, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		acknowledged = err == nil && unacknowledged == 0
	})
	return err == nil && acknowledged
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
