package bfgateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
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

const uploadTimeout = 4 * time.Second

// uploadBody is a body of which no two parts of some length are the same.
var uploadBody = func() string {
	var b strings.Builder
	for i := 0; b.Len() < 360<<10; i++ {
		fmt.Fprintf(&b, "%07d ", i)
	}
	return b.String()
}()

type (
	// uploadEntry is an entry with backend servers that play an order of events.
	uploadEntry struct {
		*testEntry
		servers []*uploadServer
	}

	// uploadServer handles its first connection with its first script and so on, and further
	// ones with the last.
	uploadServer struct {
		listener net.Listener
		scripts  []uploadScript
		opened   atomic.Int64
		// bytes counts the bytes of requests that arrived.
		bytes atomic.Int64
	}

	// uploadScript handles a connection of a backend server.
	uploadScript func(s *serverConn)

	// serverConn is a connection at a backend server.
	serverConn struct {
		net.Conn
		br *bufio.Reader
		t  *testing.T
	}

	// uploadCaller is a caller's connection.
	uploadCaller struct {
		net.Conn
		br *bufio.Reader
		t  *testing.T
	}

	countingConn struct {
		net.Conn
		bytes *atomic.Int64
	}
)

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// newUploadEntry starts an entry with one backend server for each list of scripts. Requests to
// /order/ may have bodies of 360 KiB.
func newUploadEntry(t *testing.T, scripts ...[]uploadScript) *uploadEntry {
	u := &uploadEntry{testEntry: newTestEntry(t, answer(200, "X-Signature"))}
	next, table := *u.state, *u.state.Routes
	table.Version, table.Routes, table.Limits.MaxBodyBytes = 2, slices.Clone(table.Routes), 400<<10
	table.Routes[1].LargeBodies, table.Routes[1].Timeout = true, briarferry.Duration(uploadTimeout)
	table.Routes[1].Target = briarferry.Duration(uploadTimeout / 2)
	next.Revision, next.Routes, next.Servers = 2, &table, nil
	for i, list := range scripts {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &uploadServer{listener: ln, scripts: list}
		t.Cleanup(func() { _ = ln.Close() })
		go s.serve(t)
		u.servers = append(u.servers, s)
		next.Servers = append(next.Servers, bffleet.Server{Instance: briarferry.Instance{
			ID: fmt.Sprint("u-", i), Service: "s", FailureDomain: "a", Slots: 4, Address: netip.MustParseAddrPort(ln.Addr().String()),
		}})
	}
	u.state = &next
	u.node.update(u.state)
	go func() { _ = u.node.server.serve(u.node.listener) }()
	return u
}

func (s *uploadServer) serve(t *testing.T) {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		script := s.scripts[min(int(s.opened.Add(1))-1, len(s.scripts)-1)]
		go func() {
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			counted := countingConn{c, &s.bytes}
			script(&serverConn{Conn: c, br: bufio.NewReaderSize(counted, 16), t: t})
		}()
	}
}

// head reads the head of a request. It returns nil at the end of the connection.
func (s *serverConn) head() *http.Request {
	r, err := http.ReadRequest(s.br)
	if err != nil {
		return nil
	}
	return r
}

func (s *serverConn) answer(r *http.Request, status int, header string) {
	_, _ = fmt.Fprintf(s, "HTTP/1.1 %d Status\r\nX-Id: %s\r\n%s: 1\r\nContent-Length: 6\r\n\r\nanswer", status, r.Header.Get("X-Id"), header)
}

// storeBodies answers each request when it has its whole body, and sends the bodies to the
// channel.
func storeBodies(bodies chan<- string) uploadScript {
	return func(s *serverConn) {
		for r := s.head(); r != nil; r = s.head() {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			bodies <- string(body)
			s.answer(r, 200, "X-Signature")
		}
	}
}

func (u *uploadEntry) dial() *uploadCaller {
	c := u.connect()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &uploadCaller{Conn: c, br: bufio.NewReader(c), t: u.t.(*testing.T)}
}

func uploadHead(id string, length int, headers ...string) string {
	head := "POST /order/1?a=%7C|b HTTP/1.1\r\nHost: shop.example\r\nX-Id: " + id + "\r\nContent-Length: " + strconv.Itoa(length) + "\r\n"
	for _, h := range headers {
		head += h + "\r\n"
	}
	return head + "\r\n"
}

func (c *uploadCaller) send(text string) {
	c.t.Helper()
	write(c.t, c.Conn, text)
}

// receive reads an answer. It fails the test if the connection ends before.
func (c *uploadCaller) receive() reply {
	c.t.Helper()
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatalf("answer is not complete: %v", err)
	}
	out := reply{status: resp.StatusCode, header: resp.Header, body: string(body)}
	_ = json.Unmarshal(body, &out.problem)
	return out
}

// want reads an answer and checks its status.
func (c *uploadCaller) want(status int) reply {
	c.t.Helper()
	got := c.receive()
	if got.status != status || got.header.Get("X-Id") == "" {
		c.t.Fatalf("status %d, header %v, body %q; want %d", got.status, got.header, got.body, status)
	}
	return got
}

// wantEnd checks that the connection ends without an answer.
func (c *uploadCaller) wantEnd() {
	c.t.Helper()
	if data, err := io.ReadAll(c.br); err == nil && len(data) > 0 || err != nil && isTimeoutError(err) {
		c.t.Errorf("the connection did not end without an answer: %q, %v", data, err)
	}
}

func isTimeoutError(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

func receiveString(t *testing.T, c <-chan string) string {
	t.Helper()
	select {
	case s := <-c:
		return s
	case <-time.After(10 * time.Second):
		t.Fatal("nothing within 10 s")
		return ""
	}
}

// wantIdle checks that nothing of the requests is held any more.
func (u *uploadEntry) wantIdle() {
	u.t.Helper()
	waitFor(u.t.(*testing.T), func() bool { return u.node.bodyMemory.used.Load() == 0 && u.node.active.Load() == 0 })
}

// TestUploadIsPassedOn guards against holding a body until it is complete, against changing
// it, and against connections that can't be used again after a complete upload.
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

// TestUploadCallerFails guards against complete-looking bodies of callers that stop, end their
// body early or leave, and against tries that go on afterwards.
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
				c.send(uploadBody[:90<<10])
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
			}
			u.wantIdle()
		})
	}
}

// TestUploadRefusedEarly guards against losing an upload that a server did not run while
// another server could, against sending a part of a body as a whole one, and against telling
// the caller anything else than what the server said.
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

// TestUploadAnsweredEarly guards against holding back an answer until the caller has sent its
// whole body, and against sending other bytes to a server where the rest of a body is due.
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

// TestUploadAnsweredEarlyCallerStops guards against keeping the connection of a caller that
// doesn't send the rest of its body after the answer.
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

// TestUploadServerFails guards against repeating an upload that a server may have run, and
// against telling its caller that it has not run.
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

// TestUploadUnsent guards against sending a byte of an upload to a server that is withdrawn
// while the try waits for a connection, against giving up where a server refuses connections
// before anything was sent, and against telling a server more time than is left.
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

// errRefusedForTest returns the error of a refused connection.
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

// TestUploadExpectContinue guards against callers that wait for status 100 in vain, and
// against asking for a body that no server will get.
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

// TestUploadNoRoom guards against reading a body for which there is no memory, against servers
// that get a part of it, and against memory that stays reserved.
func TestUploadNoRoom(t *testing.T) {
	bodies, got := make(chan string, 4), make(chan string, 4)
	u := newUploadEntry(t, []uploadScript{func(s *serverConn) {
		for r := s.head(); r != nil; r = s.head() {
			got <- ""
			body, _ := io.ReadAll(r.Body)
			bodies <- string(body)
			s.answer(r, 200, "X-Signature")
		}
	}})
	u.node.bodyMemory.limit = streamChunkBytes + streamOverheadBytes
	first := u.dial()
	first.send(uploadHead("q1", len(uploadBody)) + uploadBody[:100])
	receiveString(t, got)
	heads := map[string]string{
		"with length": uploadHead("q2", len(uploadBody)),
		"small":       uploadHead("q2", 100),
		"chunked":     "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: q2\r\nTransfer-Encoding: chunked\r\n\r\n",
		"too large":   uploadHead("q2", 500<<10),
	}
	for name, head := range heads {
		c := u.dial()
		c.send(head)
		if strings.HasPrefix(name, "small") || name == "chunked" {
			// net/http reads the rest of a short body before it answers.
			c.send(map[string]string{"small": uploadBody[:100], "chunked": "4\r\nbody\r\n0\r\n\r\n"}[name])
		}
		status := map[bool]int{false: 503, true: 413}[name == "too large"]
		answer := c.want(status)
		if answer.problem.Outcome != briarferry.OutcomeNotRun || status == 503 && answer.header.Get("Retry-After") == "" {
			t.Errorf("%s: outcome %q, Retry-After %q", name, answer.problem.Outcome, answer.header.Get("Retry-After"))
		}
	}
	first.send(uploadBody[100:])
	first.want(200)
	if body := receiveString(t, bodies); body != uploadBody || len(got)+len(bodies) > 0 {
		t.Errorf("the server got %d bytes, and %d other requests", len(body), len(got))
	}
	u.wantIdle()
}

// TestUploadHeld guards against passing on bodies that are small or have no length before they
// are complete, and against callers that hold memory without sending.
func TestUploadHeld(t *testing.T) {
	bodies := make(chan string, 4)
	u := newUploadEntry(t, []uploadScript{storeBodies(bodies)})
	requests := map[string][2]string{
		"small":   {uploadHead("q1", 10) + "12345", "67890"},
		"chunked": {"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n", "5\r\n67890\r\n0\r\n\r\n"},
	}
	for name, parts := range requests {
		t.Run(name, func(t *testing.T) {
			before := u.servers[0].bytes.Load()
			c := u.dial()
			c.send(parts[0])
			time.Sleep(100 * time.Millisecond)
			if n := u.servers[0].bytes.Load() - before; n != 0 {
				t.Errorf("the server got %d bytes before the body was complete", n)
			}
			c.send(parts[1])
			c.want(200)
			if got := receiveString(t, bodies); got != "1234567890" {
				t.Errorf("the server got %q", got)
			}
			// The deadline of the first body must not end the connection.
			time.Sleep(bodyStall + 200*time.Millisecond)
			c.send(parts[0] + parts[1])
			c.want(200)
			receiveString(t, bodies)
			c.send(parts[0])
			if got := c.want(408); got.problem.Outcome != briarferry.OutcomeNotRun {
				t.Errorf("outcome %q", got.problem.Outcome)
			}
			c.wantEnd()
			u.wantIdle()
		})
	}
}

// TestUploadWithoutBody guards against the deadline for a body on a request that has none.
func TestUploadWithoutBody(t *testing.T) {
	u := newUploadEntry(t, []uploadScript{func(s *serverConn) {
		r := s.head()
		time.Sleep(bodyStall + 300*time.Millisecond)
		s.answer(r, 200, "X-Signature")
	}})
	c := u.dial()
	c.send(uploadHead("q1", 0))
	c.want(200)
}

// TestUploadsPerServer guards against more uploads at a server than its slots, whose bodies
// could use up its memory, and against slots that stay occupied.
func TestUploadsPerServer(t *testing.T) {
	const slots = 4
	got, finish := make(chan string, 64), make(chan struct{})
	u := newUploadEntry(t, []uploadScript{func(s *serverConn) {
		for r := s.head(); r != nil; r = s.head() {
			got <- ""
			<-finish
			_, _ = io.Copy(io.Discard, r.Body)
			s.answer(r, 200, "X-Signature")
		}
	}})
	var callers []*uploadCaller
	for range slots {
		c := u.dial()
		c.send(uploadHead("q1", len(uploadBody)) + uploadBody[:100])
		callers = append(callers, c)
		receiveString(t, got)
	}
	c := u.dial()
	c.send(uploadHead("q2", len(uploadBody)) + uploadBody[:100])
	if answer := c.want(503); answer.problem.Outcome != briarferry.OutcomeNotRun {
		t.Errorf("outcome %q", answer.problem.Outcome)
	}
	close(finish)
	for _, c := range callers {
		c.send(uploadBody[100:])
		c.want(200)
	}
	c = u.dial()
	c.send(uploadHead("q3", len(uploadBody)) + uploadBody)
	c.want(200)
	u.wantIdle()
}

// TestUploadBytesAreMetered guards against a link's utilization that lacks the bytes of
// uploads in one of the directions.
func TestUploadBytesAreMetered(t *testing.T) {
	bodies := make(chan string, 1)
	u := newUploadEntry(t, []uploadScript{storeBodies(bodies)})
	c := u.dial()
	c.send(uploadHead("q1", len(uploadBody)) + uploadBody)
	c.want(200)
	if in, out := u.node.meter.in.Load(), u.node.meter.out.Load(); in < int64(len(uploadBody)) || out < int64(len(uploadBody)) {
		t.Errorf("%d bytes received and %d sent, want %d at least", in, out, len(uploadBody))
	}
}

// TestStreamFingerprint guards against one fingerprint for different uploads, and against
// different ones for repetitions of an upload.
func TestStreamFingerprint(t *testing.T) {
	make := func(change func(c *call)) uint64 {
		c := &call{request: &briarferry.Request{Host: "h", Method: "POST", Target: "/a", Header: http.Header{}}, upload: newCallerBody(nil, 100, nil)}
		change(c)
		return streamFingerprint(c)
	}
	base := make(func(*call) {})
	if got := make(func(c *call) { c.request.ID = "other"; c.request.Header.Set("X-Left", "100") }); got != base {
		t.Error("the repetition of an upload has another fingerprint")
	}
	for name, change := range map[string]func(c *call){
		"target": func(c *call) { c.request.Target = "/b" }, "length": func(c *call) { c.upload.length = 101 },
		"key": func(c *call) { c.affinityKey = "k" }, "type": func(c *call) { c.request.Header.Set("Content-Type", "t") },
	} {
		if make(change) == base {
			t.Errorf("an upload with another %s has the same fingerprint", name)
		}
	}
}
