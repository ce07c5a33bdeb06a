package bfgateway

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bfroute"
)

func TestUploadIsPassedOn(t *testing.T) {
	parts, bodies := make(chan string, 2), make(chan string, 2)
	u := newUploadEntry(t, []uploadScript{func(s *serverConn) {
		for r := s.head(); r != nil; r = s.head() {
			if r.RequestURI != "/order/1?a=%7C|b" || r.ContentLength != int64(len(uploadBody)) || r.Header.Get("X-Left") == "" {
				t.Errorf("head of %q, %d bytes, header %v", r.RequestURI, r.ContentLength, r.Header)
			}
			part := make([]byte, 10<<10)
			_, _ = io.ReadFull(r.Body, part)
			parts <- string(part)
			rest, _ := io.ReadAll(r.Body)
			bodies <- string(part) + string(rest)
			s.answer(r, 200, "X-Signature")
		}
	}})
	c := u.dial()
	const half = 100 << 10
	for _, id := range []string{"q1", "q2"} {
		c.send(uploadHead(id, len(uploadBody)) + uploadBody[:half])
		receiveString(t, parts)
		c.send(uploadBody[half:])
		if got := receiveString(t, bodies); got != uploadBody {
			t.Errorf("the server got %d other bytes", len(got))
		}
		if got := c.want(200); got.header.Get("X-Id") != id || got.body != "answer" {
			t.Errorf("answer %q to %q, want to %q", got.body, got.header.Get("X-Id"), id)
		}
	}
	if n := u.servers[0].opened.Load(); n != 1 {
		t.Errorf("%d connections to the server for two uploads in turn, want 1", n)
	}
	u.wantIdle()
}

func TestUploadCallerFails(t *testing.T) {
	cases := []struct {
		name string
		fail func(c *uploadCaller)
		// within is the longest time until the server's connection ends.
		within time.Duration
		// readsNothing is true for a server that reads the head only. The caller then sends no
		// more than fits between it and the entry, as the end of its connection can't arrive
		// otherwise.
		readsNothing bool
	}{
		{"stops", func(*uploadCaller) {}, bodyStall + 500*time.Millisecond, false},
		{"leaves", func(c *uploadCaller) { _ = c.Close() }, 500 * time.Millisecond, false},
		{"resets", func(c *uploadCaller) { _ = c.Conn.(*net.TCPConn).SetLinger(0); _ = c.Close() }, 500 * time.Millisecond, false},
		{"ends the body early", func(c *uploadCaller) { _ = c.Conn.(*net.TCPConn).CloseWrite() }, 500 * time.Millisecond, false},
		{"leaves while the server reads nothing", func(c *uploadCaller) { _ = c.Close() }, 500 * time.Millisecond, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			got, ended := make(chan string, 1), make(chan string, 1)
			u := newUploadEntry(t, []uploadScript{func(s *serverConn) {
				r := s.head()
				got <- "head"
				if tc.readsNothing {
					_ = s.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
					// The end of the connection is behind bytes of the body.
					for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
						if _, err := s.Write([]byte("HTTP/1.1 102 Processing\r\n\r\n")); err != nil {
							break
						}
					}
					ended <- "ended"
					return
				}
				body, err := io.ReadAll(r.Body)
				ended <- fmt.Sprint(len(body), " ", err)
			}})
			u.node.upstream.Dial = func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
				c, err := u.node.dial(ctx, a)
				if err == nil && tc.readsNothing {
					_ = c.(*meteredConn).Conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
				}
				return c, err
			}
			c := u.dial()
			c.send(uploadHead("q1", len(uploadBody)))
			receiveString(t, got)
			if tc.readsNothing {
				c.send(uploadBody[:130<<10])
			} else {
				c.send(uploadBody[:len(uploadBody)-1])
			}
			time.Sleep(100 * time.Millisecond)
			started := time.Now()
			tc.fail(c)
			end := receiveString(t, ended)
			if took := time.Since(started); took > tc.within {
				t.Errorf("the server's connection ended after %v, want %v", took, tc.within)
			}
			if !tc.readsNothing && !strings.HasSuffix(end, "EOF") && !strings.Contains(end, "reset") {
				t.Errorf("the server saw %q, want an end of the connection", end)
			}
			if tc.name == "stops" {
				c.wantEnd()
				waitFor(t, func() bool { return abortedUploads("caller_stalled") > 0 })
			}
			u.wantIdle()
		})
	}
}

func TestUploadExpectContinue(t *testing.T) {
	bodies := make(chan string, 1)
	u := newUploadEntry(t, []uploadScript{storeBodies(bodies)})
	c := u.dial()
	c.send(uploadHead("q1", len(uploadBody), "Expect: 100-continue"))
	if line, err := c.br.ReadString('\n'); err != nil || !strings.Contains(line, " 100 ") {
		t.Fatalf("%q, %v; want status 100", line, err)
	}
	_, _ = c.br.ReadString('\n')
	c.send(uploadBody)
	if got := receiveString(t, bodies); got != uploadBody {
		t.Errorf("the server got %d other bytes", len(got))
	}
	c.want(200)
	u.wantIdle()

	next := *u.state
	next.Revision, next.Servers = 3, nil
	u.node.update(&next)
	c = u.dial()
	c.send(uploadHead("q1", len(uploadBody), "Expect: 100-continue"))
	started := time.Now()
	if got := c.want(503); got.problem.Outcome != briarferry.OutcomeNotRun || got.header.Get("Retry-After") == "" {
		t.Errorf("outcome %q, Retry-After %q", got.problem.Outcome, got.header.Get("Retry-After"))
	}
	c.wantEnd()
	if took := time.Since(started); took > 500*time.Millisecond {
		t.Errorf("the connection of a caller that waits for status 100 ended after %v", took)
	}
}

func TestStreamFingerprint(t *testing.T) {
	make := func(change func(c *call)) uint64 {
		c := &call{
			request: &briarferry.Request{Host: "h", Method: "POST", Target: "/a", Header: http.Header{}}, upload: newCallerBody(nil, 100, nil),
			route: &bfroute.Route{Route: &briarferry.Route{Name: "upload"}},
		}
		change(c)
		return streamFingerprint(c)
	}
	base := make(func(*call) {})
	if got := make(func(c *call) { c.request.ID = "other"; c.request.Header.Set("X-Left", "100") }); got != base {
		t.Error("the repetition of an upload has another fingerprint")
	}
	for name, change := range map[string]func(c *call){
		"target": func(c *call) { c.request.Target = "/b" }, "length": func(c *call) { c.upload.length = 101 },
		"key": func(c *call) { c.affinityKey = "k" }, "address": func(c *call) { c.request.Caller = netip.MustParseAddr("198.51.100.1") },
		"organisation": func(c *call) { c.request.Organisation = "north" }, "type": func(c *call) { c.request.Header.Set("Content-Type", "t") },
	} {
		if make(change) == base {
			t.Errorf("an upload with another %s has the same fingerprint", name)
		}
	}
}

func abortedUploads(cause string) int64 {
	n, ok := counters.uploadsAborted.Get(cause).(*expvar.Int)
	if !ok {
		return 0
	}
	return n.Value()
}
