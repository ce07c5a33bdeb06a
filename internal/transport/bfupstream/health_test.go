package bfupstream

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
)

// TestHealthCheckConnection guards against taking a second copy of the answer to a health check,
// which has no id, for the answer to a request, and against a new connection for each check.
func TestHealthCheckConnection(t *testing.T) {
	const healthy = "HTTP/1.1 200 OK\r\nX-Cold: 7\r\nContent-Length: 0\r\n\r\n"
	for _, timing := range []copyingServer{{}, {after: time.Millisecond}, {inNext: true}} {
		synctest.Test(t, func(t *testing.T) {
			dials := 0
			health := &copyingServer{copied: healthy, after: timing.after, inNext: timing.inNext, answer: func(string) string { return healthy }}
			requests := &copyingServer{after: idleTimeout, answer: func(string) string {
				return "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 7\r\n\r\nbody ok"
			}}
			c := &Client{Dialect: testDialect, Dial: func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
				if dials++; dials == 1 {
					return health.dial(ctx, a)
				}
				return requests.dial(ctx, a)
			}}
			a, err := c.CheckHealth(t.Context(), testBackend, "/health")
			if err != nil || a.Status != http.StatusOK || a.Header.Get("X-Cold") != "7" {
				t.Fatalf("health check: %v, %v", a, err)
			}
			for range 3 {
				time.Sleep(time.Millisecond / 2)
				a, err := c.Do(t.Context(), testBackend, &briarferry.Request{ID: "q", Method: http.MethodPost, Target: "/", Deadline: time.Now().Add(time.Second)})
				if err != nil || string(a.Body) != "body ok" {
					t.Errorf("copy after %v, with the next answer %v: request: %v", timing.after, timing.inNext, err)
				}
				a.Release()
			}
			time.Sleep(2 * idleTimeout)
		})
	}
}

// TestHealthChecksReuseConnection guards against a new connection for each health check, and
// against one that stays open without any.
func TestHealthChecksReuseConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &copyingServer{after: 2 * idleTimeout, answer: func(string) string {
			// The entry must have recorded that the whole request was sent.
			time.Sleep(time.Millisecond)
			return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		}}
		dials := 0
		c := &Client{Dialect: testDialect, Dial: func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
			dials++
			return s.dial(ctx, a)
		}}
		for range 5 {
			if _, err := c.CheckHealth(t.Context(), testBackend, "/health"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(healthIdleTimeout / 2)
		}
		if dials != 1 {
			t.Errorf("%d connections for 5 health checks, want 1", dials)
		}
		time.Sleep(healthIdleTimeout)
		synctest.Wait()
		if len(c.pools) != 0 {
			t.Errorf("%d pools after the last health check, want 0", len(c.pools))
		}
		time.Sleep(2 * idleTimeout)
	})
}

// TestSilentHealthCheck guards against a health check that waits longer than its time limit, and
// against the use of its connection afterwards.
func TestSilentHealthCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &Client{Dialect: testDialect, Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				for buffer := make([]byte, 1024); ; {
					if _, err := far.Read(buffer); err != nil {
						return
					}
				}
			}()
			return near, nil
		}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		started := time.Now()
		if _, err := c.CheckHealth(ctx, testBackend, "/health"); err == nil || time.Since(started) != time.Second {
			t.Errorf("health check of a silent server: %v after %v, want an error after 1s", err, time.Since(started))
		}
		synctest.Wait()
		if len(c.pools) != 0 {
			t.Errorf("%d pools after a failed health check, want 0", len(c.pools))
		}
	})
}
