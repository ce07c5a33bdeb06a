package bfgateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"briarferry"
)

type (
	// lateEndListener returns connections whose end is read late.
	lateEndListener struct {
		net.Listener
		delay time.Duration
	}

	// lateEndConn returns the end of the connection some time after it has arrived, as a
	// process does that lacks processor time.
	lateEndConn struct {
		net.Conn
		delay time.Duration
	}
)

func (l lateEndListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return lateEndConn{Conn: c, delay: l.delay}, nil
}

func (c lateEndConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		time.Sleep(c.delay)
	}
	return n, err
}

func (c lateEndConn) NetConn() net.Conn { return c.Conn }

// connectServers opens idle connections to all servers, so that a try needs no time to
// connect.
func (e *testEntry) connectServers() {
	for _, s := range e.state.Servers {
		b := briarferry.Backend{Announcement: briarferry.Announcement{Address: s.Address, ConnectionLimit: 100}}
		if err := e.node.upstream.Probe(e.t.Context(), b); err != nil {
			e.t.Fatal(err)
		}
	}
}

func (e *testEntry) connect() net.Conn {
	c, err := net.Dial("tcp", e.node.listener.Addr().String())
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { _ = c.Close() })
	return c
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func getRequest(id string) string {
	return fmt.Sprintf("GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: %s\r\n\r\n", id)
}

// TestCallerLeftBeforeRead guards against sending a request that the entry reads after its
// caller has closed the connection.
func TestCallerLeftBeforeRead(t *testing.T) {
	e := newTestEntry(t, hang)
	e.connectServers()
	for range 20 {
		c := e.connect()
		write(t, c, getRequest("q1"))
		_ = c.Close()
	}
	go func() { _ = e.node.server.serve(lateEndListener{e.node.listener, testTimeout}) }()
	time.Sleep(testTimeout / 2)
	if runs := e.runs.Load(); runs != 0 {
		t.Errorf("%d of 20 requests reached a server", runs)
	}
}

// TestCallerLeavesAfterSendingAhead guards against servers that keep running a request whose
// caller had sent bytes of its next request before it left.
func TestCallerLeavesAfterSendingAhead(t *testing.T) {
	const timeout = 5 * time.Second
	cases := []struct {
		name string
		// with is sent together with the request, later once a server has got it.
		with, later string
	}{
		{"nothing", "", ""},
		{"one byte in the same segment", "G", ""},
		{"a request in the same segment", getRequest("q2"), ""},
		{"more than one read in the same segment", strings.Repeat(getRequest("q2"), 100), ""},
		{"one byte", "", "G"},
		{"a request", "", getRequest("q2")},
		{"many requests", "", strings.Repeat(getRequest("q2"), 100)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var running, ended atomic.Int64
			e := newTestEntry(t, func(_ http.ResponseWriter, r *http.Request) {
				running.Add(1)
				<-r.Context().Done()
				ended.Add(1)
			})
			next := *e.state
			table := *e.state.Routes
			table.Version, table.Routes = 2, append([]briarferry.Route(nil), table.Routes...)
			table.Routes[0].Timeout = briarferry.Duration(2 * timeout)
			next.Revision, next.Routes = 2, &table
			e.node.update(&next)
			go func() { _ = e.node.server.serve(e.node.listener) }()
			c := e.connect()
			write(t, c, getRequest("q1")+tc.with)
			waitFor(t, func() bool { return running.Load() > 0 })
			write(t, c, tc.later)
			time.Sleep(20 * time.Millisecond)
			_ = c.Close()
			waitFor(t, func() bool { return ended.Load() > 0 })
			if runs := e.runs.Load(); runs != 1 {
				t.Errorf("%d requests reached a server, want 1", runs)
			}
		})
	}
}

// TestRequestsSentAhead guards against losing bytes that a caller sends before its earlier
// request is answered.
func TestRequestsSentAhead(t *testing.T) {
	const requests = 400
	e := newTestEntry(t, answerAfter(2*time.Millisecond, answer(200, "X-Signature")))
	go func() { _ = e.node.server.serve(e.node.listener) }()
	c := e.connect()
	go func() {
		for i := range requests {
			_, _ = io.WriteString(c, getRequest(fmt.Sprint("q", i)))
			if i%50 == 0 {
				time.Sleep(5 * time.Millisecond)
			}
		}
	}()
	br := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	for i := range requests {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if id := resp.Header.Get("X-Id"); resp.StatusCode != http.StatusOK || id != fmt.Sprint("q", i) {
			t.Fatalf("answer %d has status %d and belongs to %q", i, resp.StatusCode, id)
		}
	}
}

// waitFor waits until the condition holds, which takes far less than the time limit unless it
// never does.
func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not within 5 s")
		}
	}
}
