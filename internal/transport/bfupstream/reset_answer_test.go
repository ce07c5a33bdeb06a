package bfupstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
)

// resetConn is a connection to a server that answers once it has the head of the request, and
// ends the connection then. A reset is reported as Linux does it: to the write that comes
// first, while reads return io.EOF from then on.
type resetConn struct {
	net.Conn
	answer string
	// resets makes the server reset the connection. Otherwise it closes its side only and goes
	// on reading the request.
	resets bool

	once     sync.Once
	closing  sync.Once
	closed   chan struct{}
	hasHead  chan struct{}
	answered chan struct{}
	reported chan struct{}
}

func newResetConn(answer string, resets bool) *resetConn {
	near, _ := net.Pipe()
	return &resetConn{Conn: near, answer: answer, resets: resets, closed: make(chan struct{}),
		hasHead: make(chan struct{}), answered: make(chan struct{}), reported: make(chan struct{})}
}

func (c *resetConn) Write(data []byte) (int, error) {
	first := false
	c.once.Do(func() { first = true; close(c.hasHead) })
	if first || !c.resets {
		return len(data), nil
	}
	<-c.answered
	close(c.reported)
	// The reader sees the end before this write returns.
	time.Sleep(time.Millisecond)
	return 0, &net.OpError{Op: "write", Err: syscall.ECONNRESET}
}

func (c *resetConn) Read(data []byte) (int, error) {
	select {
	case <-c.hasHead:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	if c.answer != "" {
		n := copy(data, c.answer)
		c.answer = c.answer[n:]
		return n, nil
	}
	close(c.answered)
	if c.resets {
		<-c.reported
	}
	return 0, io.EOF
}

func (c *resetConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestAnswerResetDuringUpload guards against taking the part of an answer without a length for
// the whole one after its server has reset the connection, as the write of the request hides
// the reset from the reader.
func TestAnswerResetDuringUpload(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\n\r\npart"
	for _, tc := range []struct {
		name     string
		streamed bool
		resets   bool
		complete bool
	}{
		{name: "body in memory", resets: true},
		{name: "streamed body", streamed: true, resets: true},
		{name: "streamed body, closed in order", streamed: true, complete: true},
		{name: "body in memory, closed in order", complete: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := &Client{Dialect: testDialect, Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
				return newResetConn(answer, tc.resets), nil
			}}
			r := &briarferry.Request{ID: "a", Method: http.MethodPost, Target: "/", Deadline: time.Now().Add(time.Minute)}
			if tc.streamed {
				r.Stream = &partStream{parts: []string{"one", "two"}, length: 6, err: io.EOF}
			} else {
				r.Body = make([]byte, 1<<20)
			}
			a, err := c.Do(t.Context(), testBackend, r)
			var tryErr *briarferry.TryError
			switch {
			case tc.complete && (err != nil || string(a.Body) != "part"):
				t.Errorf("%s: answer %v, %v; want the whole body", tc.name, a, err)
			case !tc.complete && (err == nil || !errors.As(err, &tryErr) || !tryErr.Dispatched || !tryErr.ConnectionLost):
				t.Errorf("%s: answer %v, %v; want the error of a lost connection", tc.name, a, err)
			}
			a.Release()
			time.Sleep(2 * idleTimeout)
		})
	}
}
