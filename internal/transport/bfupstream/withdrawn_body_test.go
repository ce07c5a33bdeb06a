package bfupstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
)

// TestWithdrawnBody guards against sending the rest of a body to a server that may not get the
// request any more, and against blaming the server for the end of its connection.
func TestWithdrawnBody(t *testing.T) {
	held := strings.Repeat("b", 64<<10)
	cases := []struct {
		name    string
		request briarferry.Request
		// most is the largest part of the body that may arrive.
		most int
	}{
		{"sent while it arrives", briarferry.Request{Stream: &partStream{parts: []string{"one", "two"}, length: 6, err: io.EOF}}, len("one")},
		{"held", briarferry.Request{Body: []byte(held)}, len(held) / 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				arrived, withdrawn, opened := make(chan int, 1), make(chan struct{}), 0
				dial := func(context.Context, netip.AddrPort) (net.Conn, error) {
					if opened++; opened > 1 {
						return nil, net.ErrClosed
					}
					near, far := net.Pipe()
					go func() {
						defer far.Close()
						r, err := http.ReadRequest(bufio.NewReader(far))
						if err != nil {
							return
						}
						_, _ = r.Body.Read(make([]byte, 1))
						close(withdrawn)
						rest, _ := io.ReadAll(r.Body)
						arrived <- 1 + len(rest)
					}()
					return near, nil
				}
				r := tc.request
				r.ID, r.Method, r.Target, r.Deadline = "a", "POST", "/x", time.Now().Add(time.Minute)
				r.MaySend = func() bool {
					select {
					case <-withdrawn:
						return false
					default:
						return true
					}
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				_, err := (&Client{Dial: dial, Dialect: testDialect}).Do(ctx, testBackend, &r)
				var got *briarferry.TryError
				if !errors.As(err, &got) || !errors.Is(err, ErrWithdrawn) || !got.Dispatched || got.ConnectionLost {
					t.Errorf("error %v (%+v), want ErrWithdrawn after dispatch", err, got)
				}
				if n := <-arrived; n > tc.most {
					t.Errorf("%d bytes of the body arrived, want at most %d", n, tc.most)
				}
				if opened != 1 {
					t.Errorf("%d connections, want 1", opened)
				}
			})
		})
	}
}

// countedConn counts the bytes that were written to the operating system.
type countedConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countedConn) NetConn() net.Conn { return c.Conn }

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// TestUnacknowledgedRequestIsWithdrawn guards against a request that the operating system goes on
// sending, as after a partition, to a server that may not get it any more. The server doesn't read.
func TestUnacknowledgedRequestIsWithdrawn(t *testing.T) {
	// size is more than the server's socket takes, and less than the client's.
	const size = 200 << 10
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	// asked counts the questions after all was written. The first one precedes the read of the
	// body's end.
	var written, asked atomic.Int64
	c := &Client{Dialect: testDialect, Dial: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", to.String())
		if err != nil {
			return nil, err
		}
		return countedConn{conn, &written}, conn.(*net.TCPConn).SetWriteBuffer(2 * size)
	}}
	b := testBackend
	b.Address = netip.MustParseAddrPort(ln.Addr().String())
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err = c.Do(ctx, b, &briarferry.Request{
		ID: "a", Method: "POST", Target: "/x", Body: make([]byte, size), Deadline: time.Now().Add(time.Minute),
		MaySend: func() bool { return written.Load() <= size || asked.Add(1) == 1 },
	})
	var got *briarferry.TryError
	if !errors.As(err, &got) || !errors.Is(err, ErrWithdrawn) || !got.Dispatched || got.ConnectionLost {
		t.Errorf("error %v, want ErrWithdrawn after dispatch", err)
	}
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	_ = server.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := io.Copy(io.Discard, server); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the server read %d bytes, then %v; want a reset", n, err)
	}
}
