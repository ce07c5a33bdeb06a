package bfgateway

import (
	"fmt"
	"io"
	"net"
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
