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
