package bfupstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
)

// endlessServer is a backend server on TCP that answers each request with the text and then
// repeats the rest until the connection is closed.
type endlessServer struct {
	address netip.AddrPort
	// requests counts the requests, ended the connections that ended after a request.
	requests, ended atomic.Int64
	sent            atomic.Int64
}

func newEndlessServer(t *testing.T, text, rest string, pause time.Duration) *endlessServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &endlessServer{address: netip.MustParseAddrPort(ln.Addr().String())}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c, text, rest, pause)
		}
	}()
	return s
}

func (s *endlessServer) serve(c net.Conn, text, rest string, pause time.Duration) {
	defer c.Close()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			s.ended.Add(int64(min(n, 1)))
			return
		}
		s.requests.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		if _, err := io.WriteString(c, text); err != nil {
			s.ended.Add(1)
			return
		}
		for rest != "" {
			n, err := io.WriteString(c, rest)
			s.sent.Add(int64(n))
			if err != nil {
				s.ended.Add(1)
				return
			}
			time.Sleep(pause)
		}
	}
}

func (s *endlessServer) do(c *Client, timeout time.Duration) (*briarferry.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	b := testBackend
	b.Address, b.ConnectionLimit = s.address, 100
	return c.Do(ctx, b, &briarferry.Request{ID: "a", Method: "GET", Target: "/", Deadline: time.Now().Add(timeout)})
}

// dialWithoutTimeout ignores the client's connection timeout, which may be exceeded while the
// servers of these tests use all processors.
func dialWithoutTimeout(_ context.Context, address netip.AddrPort) (net.Conn, error) {
	return net.Dial("tcp", address.String())
}

func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("%s after 5 s", what)
			return
		}
	}
}

// TestEndlessAnswers guards against reading without limit from a server that sends bytes
// without end, and against using its connection again.
func TestEndlessAnswers(t *testing.T) {
	const (
		head = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\n"
		// fastTimeout leaves time to receive a body of the largest size on a busy machine. A
		// server that sends slowly is only stopped by the timeout.
		fastTimeout = 5 * time.Second
		slowTimeout = time.Second
		// socketBytes is what the sockets of both ends may take from the server after the
		// client has stopped reading.
		socketBytes = 16 << 20
	)
	line := strings.Repeat("x", 1000)
	block := strings.Repeat(line, 32)
	cases := []struct {
		name, text, rest string
		pause            time.Duration
		err              error
		// maxBytes is how many bytes the client may take.
		maxBytes int64
	}{
		{"head", "HTTP/1.1 200 OK\r\n", "X-Header: " + line + "\r\n", 0, ErrTooLarge, maxHeadBytes},
		{"header line", "HTTP/1.1 200 OK\r\nX-Header: ", block, 0, ErrTooLarge, maxHeadBytes},
		{"status line", "HTTP/1.1 200 ", block, 0, ErrTooLarge, maxHeadBytes},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\nLink: " + line + "\r\n\r\n", 0, ErrTooLarge, maxHeadBytes},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "7d00\r\n" + block + "\r\n", 0, ErrTooLarge, maxBodyBytes},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;x=", block, 0, ErrTruncated, maxBodyBytes},
		{"chunks with extensions", head + "Transfer-Encoding: chunked\r\n\r\n", "1;x=" + line + "\r\ny\r\n", 0, ErrTruncated, maxBodyBytes},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: " + line + "\r\n", 0, ErrTruncated, maxBodyBytes},
		{"body until the connection closes", head + "\r\n", block, 0, ErrTooLarge, maxBodyBytes},
		{"body past its length", head + "Content-Length: 2\r\n\r\nok", block, 0, nil, maxHeadBytes},
		{"answers to another request", "", "HTTP/1.1 200 OK\r\nX-Id: z\r\nContent-Length: 32000\r\n\r\n" + block, 0, ErrAnswerMismatch, maxBodyBytes},
		{"one byte at a time", head + "Content-Length: 99999\r\n\r\n", "x", 100 * time.Millisecond, context.DeadlineExceeded, 100},
		{"not HTTP", "", block, 0, ErrTooLarge, maxHeadBytes},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newEndlessServer(t, tc.text, tc.rest, tc.pause)
			c := &Client{Dialect: testDialect, Dial: dialWithoutTimeout}
			timeout := fastTimeout
			if tc.pause > 0 {
				timeout = slowTimeout
			}
			started := time.Now()
			a, err := s.do(c, timeout)
			if !errors.Is(err, tc.err) || (err == nil) != (tc.err == nil) {
				t.Errorf("got %v, want %v", err, tc.err)
			}
			if tc.err == nil && string(a.Body) != "ok" {
				t.Errorf("body of %d bytes", len(a.Body))
			}
			a.Release()
			if took := time.Since(started); took > timeout+500*time.Millisecond {
				t.Errorf("the try took %v", took)
			}
			waitUntil(t, "the connection is still open", func() bool { return s.ended.Load() == 1 })
			if n := s.requests.Load(); n != 1 {
				t.Errorf("%d requests reached the server", n)
			}
			if n := s.sent.Load(); n > tc.maxBytes+socketBytes {
				t.Errorf("the client took %d bytes, want at most %d besides the sockets' buffers", n, tc.maxBytes)
			}
			if used, _ := c.HeldAnswers(); used != 0 {
				t.Errorf("%d bytes are still held", used)
			}
		})
	}
}

// TestManyEndlessAnswers guards against using up the process's memory when many servers send
// without end at the same time, and against dropping the answers of other servers then.
func TestManyEndlessAnswers(t *testing.T) {
	const (
		servers = 60
		body    = 200 << 10
		// processLimit is that of the smallest entries. The shares are those that the entry
		// program uses.
		processLimit = 284 << 20
		limit        = processLimit / 4
		runtimeLimit = processLimit * 7 / 10
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(runtimeLimit))
	c := &Client{Dialect: testDialect, AnswerMemory: limit, Dial: dialWithoutTimeout}
	runtime.GC()
	before := processBytes()
	var group sync.WaitGroup
	for range servers {
		s := newEndlessServer(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\n\r\n", strings.Repeat("x", 64<<10), 0)
		group.Go(func() {
			a, err := s.do(c, 10*time.Second)
			a.Release()
			if !errors.Is(err, ErrTooLarge) {
				t.Errorf("endless answer: %v", err)
			}
		})
	}
	answer := "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\nContent-Length: " + strconv.Itoa(body) + "\r\n\r\n" + strings.Repeat("y", body)
	good := newEndlessServer(t, answer, "", 0)
	var peakHeld, peakProcess int64
	for i := range 40 {
		a, err := good.do(c, 5*time.Second)
		if err != nil || len(a.Body) != body {
			t.Errorf("answer %d of another server: %v", i, err)
		}
		held, _ := c.HeldAnswers()
		peakHeld, peakProcess = max(peakHeld, held), max(peakProcess, processBytes())
		a.Release()
	}
	group.Wait()
	used, dropped := c.HeldAnswers()
	t.Logf("held at most %.1f MB, memory of the process %.1f MB, %.1f MB before, %d answers dropped", float64(peakHeld)/1e6, float64(peakProcess)/1e6, float64(before)/1e6, dropped)
	if peakHeld > limit || used != 0 {
		t.Errorf("%d bytes held, limit %d; %d afterwards", peakHeld, limit, used)
	}
	if peakProcess > processLimit {
		t.Errorf("%d bytes of memory, want at most %d", peakProcess, processLimit)
	}
}

// processBytes returns the memory that the runtime has taken from the system. Unlike the
// resident memory, it does not include that of the race detector.
func processBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.Sys - m.HeapReleased)
}

// TestAnswerMemory guards against dropping a small answer instead of the largest one, and
// against losing track of memory.
func TestAnswerMemory(t *testing.T) {
	m := &answerMemory{limit: 100}
	dropped := make(chan string, 3)
	reserve := func(name string) *reservation { return m.reserve(func() { dropped <- name }) }
	small, large, complete := reserve("small"), reserve("large"), reserve("complete")
	for r, bytes := range map[*reservation]int64{small: 10, large: 30, complete: 50} {
		if err := r.grow(bytes); err != nil {
			t.Fatal(err)
		}
	}
	if !complete.finishReading() {
		t.Error("a complete answer counts as dropped")
	}
	if err := small.grow(25); err != nil || <-dropped != "large" {
		t.Errorf("small answer: %v", err)
	}
	if large.finishReading() || !errors.Is(large.grow(40), errAnswerMemory) {
		t.Error("a dropped answer may continue")
	}
	if err := small.grow(60); !errors.Is(err, errAnswerMemory) {
		t.Errorf("the largest answer that is being read: %v", err)
	}
	if used, n := m.usage(); used != 50 || n != 2 {
		t.Errorf("%d bytes used, %d answers dropped; want 50 and 2", used, n)
	}
	for range 2 {
		complete.release()
	}
	if used, _ := m.usage(); used != 0 || len(m.reading) != 0 {
		t.Errorf("%d bytes used by %d answers after their release", used, len(m.reading))
	}
}

// TestAbandonedAnswer guards against keeping the memory of an answer that arrives after its
// request could not be sent as a whole.
func TestAbandonedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		c := &Client{Dial: func(context.Context, netip.AddrPort) (net.Conn, error) { return near, nil }}
		p := c.acquirePool(testBackend.Address)
		defer c.releasePool(p)
		conn, err := p.open(t.Context(), 1)
		if err != nil {
			t.Fatal(err)
		}
		results := make(chan result, 1)
		if _, err := (try{client: c}).earlyAnswer(t.Context(), conn, results, io.ErrClosedPipe); err == nil {
			t.Error("a request that was not sent has an answer")
		}
		r := c.answers().reserve(conn.close)
		if err := r.grow(100); err != nil || !r.finishReading() {
			t.Fatal(err)
		}
		results <- result{memory: r}
		synctest.Wait()
		if used, _ := c.HeldAnswers(); used != 0 {
			t.Errorf("%d bytes are still held", used)
		}
		if _, err := (try{client: c}).earlyAnswer(t.Context(), conn, nil, io.ErrClosedPipe); err == nil {
			t.Error("a request that was not sent has an answer")
		}
		conn.close()
	})
}
