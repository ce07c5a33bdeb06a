package bfgateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/state/bffleet"
)

func TestUploadRefusedEarly(t *testing.T) {
	refuseAfter := func(n int64) uploadScript {
		return func(s *serverConn) {
			r := s.head()
			if r == nil {
				return
			}
			_, _ = io.CopyN(io.Discard, r.Body, n)
			s.answer(r, 503, "X-Not-Run")
			_, _ = io.Copy(io.Discard, s.br)
		}
	}
	cases := []struct {
		name     string
		consumed int64
		status   int
	}{
		{"nothing consumed", 0, 200},
		{"a part of the first chunk consumed", 10 << 10, 200},
		{"more than a chunk consumed", 100 << 10, 503},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			bodies := make(chan string, 4)
			refused := make(chan string, 4)
			// Whichever server is chosen first refuses.
			var first atomic.Bool
			script := func(s *serverConn) {
				if first.CompareAndSwap(false, true) {
					refuseAfter(tc.consumed)(s)
					refused <- ""
					return
				}
				storeBodies(bodies)(s)
			}
			u := newUploadEntry(t, []uploadScript{script}, []uploadScript{script})
			c := u.dial()
			sent := int(tc.consumed) + 1000
			c.send(uploadHead("q1", len(uploadBody)) + uploadBody[:sent])
			if tc.status == 200 {
				receiveString(t, refused)
				c.send(uploadBody[sent:])
				c.want(200)
				if got := receiveString(t, bodies); got != uploadBody {
					t.Errorf("the second server got %d other bytes", len(got))
				}
			} else {
				got := c.want(503)
				if got.problem.Outcome != briarferry.OutcomeNotRun || got.header.Get("Retry-After") == "" {
					t.Errorf("outcome %q, Retry-After %q", got.problem.Outcome, got.header.Get("Retry-After"))
				}
				c.send(uploadBody[sent:])
				if len(bodies) > 0 {
					t.Error("a second server got the body")
				}
			}
			// The caller's connection is in order for the next upload.
			c.send(uploadHead("q2", len(uploadBody)) + uploadBody)
			c.want(200)
			if got := receiveString(t, bodies); got != uploadBody {
				t.Errorf("the next upload has %d other bytes", len(got))
			}
			u.wantIdle()
		})
	}
}

func TestUploadAnsweredEarly(t *testing.T) {
	for _, status := range []int{200, 500} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			rests := make(chan string, 4)
			u := newUploadEntry(t, []uploadScript{func(s *serverConn) {
				r := s.head()
				if r == nil {
					return
				}
				_, _ = io.CopyN(io.Discard, r.Body, 10<<10)
				s.answer(r, status, "X-Signature")
				rest, err := io.ReadAll(r.Body)
				rests <- fmt.Sprint(err)
				if !strings.HasPrefix(uploadBody[10<<10:], string(rest)) {
					t.Errorf("the server got other bytes where the rest of the body was due: %.200q", rest)
				}
			}})
			c := u.dial()
			for _, id := range []string{"q1", "q2"} {
				c.send(uploadHead(id, len(uploadBody)) + uploadBody[:20<<10])
				if got := c.want(status); got.header.Get("X-Id") != id {
					t.Errorf("answer to %q, want to %q", got.header.Get("X-Id"), id)
				}
				if err := receiveString(t, rests); err == "<nil>" {
					t.Error("the server got a complete-looking body")
				}
				c.send(uploadBody[20<<10:])
			}
			if n := u.servers[0].opened.Load(); n != 2 {
				t.Errorf("%d connections to the server for two uploads that it answered early, want 2", n)
			}
			u.wantIdle()
		})
	}
}

func TestUploadAnsweredEarlyCallerStops(t *testing.T) {
	u := newUploadEntry(t, []uploadScript{func(s *serverConn) {
		r := s.head()
		s.answer(r, 200, "X-Signature")
		_, _ = io.Copy(io.Discard, s.br)
	}})
	c := u.dial()
	c.send(uploadHead("q1", len(uploadBody)) + uploadBody[:20<<10])
	c.want(200)
	started := time.Now()
	c.wantEnd()
	if took := time.Since(started); took > drainTime+500*time.Millisecond {
		t.Errorf("the connection ended after %v", took)
	}
	u.wantIdle()
}

func TestUploadServerFails(t *testing.T) {
	closes := func(n int64) uploadScript {
		return func(s *serverConn) {
			if r := s.head(); r != nil {
				_, _ = io.CopyN(io.Discard, r.Body, n)
			}
		}
	}
	hangs := func(s *serverConn) { _, _ = io.Copy(io.Discard, s.br) }
	cases := []struct {
		name   string
		script uploadScript
		// left is the time that the caller waits in ms, and sent the part of the body that
		// it sends before it gets the answer.
		left, sent, status int
	}{
		{"closes after the head", closes(0), 3000, 40 << 10, 502},
		{"closes midway", closes(100 << 10), 3000, 120 << 10, 502},
		{"closes after the body", closes(int64(len(uploadBody))), 3000, len(uploadBody), 502},
		{"deadline midway", hangs, 300, 100 << 10, 504},
		{"deadline after the body", hangs, 300, len(uploadBody), 504},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			u := newUploadEntry(t, []uploadScript{tc.script}, []uploadScript{tc.script})
			c := u.dial()
			started := time.Now()
			c.send(uploadHead("q1", len(uploadBody), "X-Left: "+strconv.Itoa(tc.left)) + uploadBody[:tc.sent])
			got := c.want(tc.status)
			if got.problem.Outcome != briarferry.OutcomeUnknown {
				t.Errorf("outcome %q", got.problem.Outcome)
			}
			if took := time.Since(started); took > time.Second {
				t.Errorf("the answer took %v", took)
			}
			with := 0
			for _, s := range u.servers {
				if s.bytes.Load() > 0 {
					with++
				}
			}
			if with != 1 {
				t.Errorf("%d servers got a part of the upload, want 1", with)
			}
			c.send(uploadBody[tc.sent:])
			u.wantIdle()
		})
	}
}

func TestUploadUnsent(t *testing.T) {
	const wait = 300 * time.Millisecond
	for _, withdraw := range []bool{true, false} {
		bodies, left := make(chan string, 1), make(chan string, 1)
		script := func(s *serverConn) {
			r := s.head()
			if r == nil {
				return
			}
			left <- r.Header.Get("X-Left")
			body, _ := io.ReadAll(r.Body)
			bodies <- string(body)
			s.answer(r, 200, "X-Signature")
		}
		u := newUploadEntry(t, []uploadScript{script}, []uploadScript{script})
		chosen := -1
		var mu sync.Mutex
		u.node.upstream.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			mu.Lock()
			defer mu.Unlock()
			if chosen >= 0 {
				time.Sleep(wait)
				return u.node.dial(context.Background(), address)
			}
			chosen = slices.IndexFunc(u.state.Servers, func(s bffleet.Server) bool { return s.Address == address })
			if !withdraw {
				return nil, errRefusedForTest(address)
			}
			next := *u.state
			next.Revision, next.Servers = 3, slices.Clone(u.state.Servers)
			next.Servers[chosen].Draining = true
			u.node.update(&next)
			return u.node.dial(ctx, address)
		}
		c := u.dial()
		c.send(uploadHead("q1", len(uploadBody), "X-Left: 2000") + uploadBody)
		c.want(200)
		if got := receiveString(t, bodies); got != uploadBody {
			t.Errorf("the server got %d other bytes", len(got))
		}
		if ms, err := strconv.Atoi(receiveString(t, left)); err != nil || ms > 2000-int(wait.Milliseconds()) {
			t.Errorf("the server was told that %d ms are left, %v", ms, err)
		}
		if n := u.servers[chosen].bytes.Load(); n != 0 {
			t.Errorf("the first server got %d bytes", n)
		}
		u.wantIdle()
	}
}

func errRefusedForTest(address netip.AddrPort) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	refused := ln.Addr().String()
	_ = ln.Close()
	_, err = net.Dial("tcp", refused)
	return err
}
