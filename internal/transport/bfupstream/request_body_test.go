package bfupstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
)

var errTestCaller = errors.New("caller failed")

// partStream is a body of parts that arrive at intervals of one second. It ends with err.
type partStream struct {
	parts  []string
	length int
	err    error
	next   int
}

func (p *partStream) Length() int64 { return int64(p.length) }
func (p *partStream) Rewind() bool  { p.next = 0; return true }

func (p *partStream) Next(ctx context.Context) ([]byte, error) {
	if p.next == len(p.parts) && p.err == io.EOF {
		return nil, io.EOF
	}
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	if p.next == len(p.parts) {
		return nil, p.err
	}
	p.next++
	return []byte(p.parts[p.next-1]), nil
}

// TestStreamedRequestBody guards against wrong statements on how a try with a streamed body
// ended, against using its connection again unless the server got all of it, and against
// reading the body after the try.
func TestStreamedRequestBody(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok"
	cases := []struct {
		name   string
		stream partStream
		// early is what the server sends when it has read the head.
		early string
		// closes makes the server close the connection after that.
		closes bool
		status int
		err    error
		want   briarferry.TryError
		body   string
		reused bool
	}{
		{name: "complete", stream: partStream{parts: []string{"one", "two"}, length: 6, err: io.EOF}, status: 200, body: "onetwo", reused: true},
		{name: "caller fails", stream: partStream{parts: []string{"one"}, length: 6, err: errTestCaller}, err: ErrRequestBody, want: briarferry.TryError{Dispatched: true}, body: "one"},
		{name: "body too short", stream: partStream{parts: []string{"one"}, length: 6, err: io.EOF}, err: http.ErrBodyReadAfterClose, want: briarferry.TryError{Dispatched: true, ConnectionLost: true}, body: "one"},
		{name: "answered early", stream: partStream{parts: []string{"one", "two"}, length: 6, err: io.EOF}, early: ok, status: 200},
		{name: "refused early", stream: partStream{parts: []string{"one", "two"}, length: 6, err: io.EOF}, early: "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", status: 503, err: ErrShed},
		{name: "server closes", stream: partStream{parts: []string{"one", "two"}, length: 6, err: io.EOF}, closes: true, err: errNoAnswer, want: briarferry.TryError{Dispatched: true, ConnectionLost: true}},
		{name: "deadline", stream: partStream{parts: []string{"1", "2", "3", "4", "5", "6"}, length: 6, err: io.EOF}, err: context.DeadlineExceeded, want: briarferry.TryError{Dispatched: true, TimedOut: true}, body: "123"},
	}
	for _, tc := range cases {
		synctest.Test(t, func(t *testing.T) {
			got := make(chan string, 1)
			dial := func(context.Context, netip.AddrPort) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					defer far.Close()
					br := bufio.NewReader(far)
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if tc.early != "" {
						_, _ = io.WriteString(far, tc.early)
					}
					if tc.closes {
						got <- ""
						return
					}
					body, err := io.ReadAll(r.Body)
					got <- string(body)
					if err == nil {
						time.Sleep(time.Millisecond)
						_, _ = io.WriteString(far, ok)
						_, _ = io.Copy(io.Discard, br)
					}
				}()
				return near, nil
			}
			c := &Client{Dial: dial, Dialect: testDialect}
			ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
			defer cancel()
			stream := tc.stream
			a, err := c.Do(ctx, testBackend, &briarferry.Request{ID: "a", Method: "POST", Target: "/x", Stream: &stream, Deadline: time.Now().Add(time.Minute)})
			status := 0
			if a != nil {
				status = a.Status
			}
			var tryErr *briarferry.TryError
			if status != tc.status || (err == nil) != (tc.err == nil) || tc.err != nil && tc.err != http.ErrBodyReadAfterClose && !errors.Is(err, tc.err) {
				t.Errorf("%s: status %d, %v; want %d, %v", tc.name, status, err, tc.status, tc.err)
			}
			if errors.As(err, &tryErr) && (tryErr.Dispatched != tc.want.Dispatched || tryErr.ConnectionLost != tc.want.ConnectionLost || tryErr.TimedOut != tc.want.TimedOut) {
				t.Errorf("%s: %+v, want %+v", tc.name, tryErr, tc.want)
			}
			if body := <-got; body != tc.body {
				t.Errorf("%s: the server got %q, want %q", tc.name, body, tc.body)
			}
			synctest.Wait()
			read := stream.next
			time.Sleep(2 * time.Second)
			if stream.next != read {
				t.Errorf("%s: the body was read after the try", tc.name)
			}
			// A lost connection is replaced by one that checks the server.
			if !tc.want.ConnectionLost && c.HasIdle(testBackend.Address) != tc.reused {
				t.Errorf("%s: the connection may be used again: %v, want %v", tc.name, !tc.reused, tc.reused)
			}
			a.Release()
			time.Sleep(2 * idleTimeout)
		})
	}
}
