package bfupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
)

type (
	// fakeServer is a backend server on in-memory connections.
	fakeServer struct {
		mu      sync.Mutex
		opened  int
		open    int
		refuse  bool
		answers func(connection int, r *http.Request) reply
	}

	// reply is how the server handles one request: it writes the text after a delay.
	reply struct {
		text  string
		after time.Duration
		// closes makes the server close the connection afterwards, and refuses makes it
		// refuse new connections from then on.
		closes  bool
		refuses bool
	}
)

var (
	testBackend = briarferry.Backend{Announcement: briarferry.Announcement{
		Service: "orders", Address: netip.MustParseAddrPort("127.0.0.1:80"), ConnectionLimit: 4,
	}}
	errRefused = &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
)

func (f *fakeServer) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse {
		return nil, errRefused
	}
	near, far := net.Pipe()
	f.opened++
	f.open++
	go f.serve(f.opened, far)
	return near, nil
}

func (f *fakeServer) serve(n int, c net.Conn) {
	defer func() {
		_ = c.Close()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.open--
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		p := f.answers(n, r)
		time.Sleep(p.after)
		if p.refuses {
			f.mu.Lock()
			f.refuse = true
			f.mu.Unlock()
		}
		if _, err := io.WriteString(c, p.text); err != nil || p.closes {
			return
		}
	}
}

// connected returns the number of open connections.
func (f *fakeServer) connected() int {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
}

func completeAnswer(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Request-Id"))
}

func do(c *Client, id string, timeout time.Duration) (*briarferry.Answer, *briarferry.TryError) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	a, err := c.Do(ctx, testBackend, &briarferry.Request{
		ID: id, Method: "POST", Target: "/x", Body: []byte("body"), Deadline: time.Now().Add(time.Second),
	})
	var tryErr *briarferry.TryError
	errors.As(err, &tryErr)
	return a, tryErr
}

// TestAnswers guards against accepting truncated answers or those to other requests, and
// against reporting wrongly whether a request was dispatched.
func TestAnswers(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
	cases := []struct {
		name  string
		reply reply
		want  briarferry.TryError
		err   error
	}{
		{"whole", reply{text: head + "Content-Length: 2\r\n\r\nok"}, briarferry.TryError{}, nil},
		{"chunked", reply{text: head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}, briarferry.TryError{}, nil},
		{"after 103", reply{text: "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok"}, briarferry.TryError{}, nil},
		{"truncated", reply{text: head + "Content-Length: 9\r\n\r\nok", closes: true}, briarferry.TryError{Dispatched: true, ConnectionLost: true}, ErrTruncated},
		{"no final chunk", reply{text: head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", closes: true}, briarferry.TryError{Dispatched: true, ConnectionLost: true}, ErrTruncated},
		{"no announced length", reply{text: head + "\r\nok", closes: true}, briarferry.TryError{Dispatched: true, ConnectionLost: true}, ErrTruncated},
		{"answer to another request", reply{text: "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 2\r\n\r\nok"}, briarferry.TryError{Dispatched: true}, ErrAnswerMismatch},
		{"without id", reply{text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}, briarferry.TryError{Dispatched: true}, ErrAnswerMismatch},
		{"shed", reply{text: "HTTP/1.1 503 Busy\r\nRequest-Id: a\r\nRequest-Shed: 1\r\nContent-Length: 0\r\n\r\n"}, briarferry.TryError{}, ErrShed},
		{"shed answer to another request", reply{text: "HTTP/1.1 503 Busy\r\nRequest-Id: b\r\nRequest-Shed: 1\r\nContent-Length: 0\r\n\r\n"}, briarferry.TryError{Dispatched: true}, ErrAnswerMismatch},
		{"late", reply{text: head + "Content-Length: 2\r\n\r\nok", after: time.Second}, briarferry.TryError{Dispatched: true, TimedOut: true}, context.DeadlineExceeded},
		{"crashed", reply{closes: true, refuses: true}, briarferry.TryError{Dispatched: true, ConnectionLost: true, ServerRefusedConnection: true}, errNoAnswer},
		{"connection closed", reply{closes: true}, briarferry.TryError{Dispatched: true, ConnectionLost: true}, errNoAnswer},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeServer{answers: func(int, *http.Request) reply { return tc.reply }}
				a, err := do(&Client{Dial: f.dial}, "a", 100*time.Millisecond)
				switch {
				case tc.err == nil && (err != nil || string(a.Body) != "ok"):
					t.Errorf("answer %v, error %v", a, err)
				case tc.err != nil && err == nil:
					t.Errorf("accepted answer %v", a)
				case tc.err != nil:
					got := briarferry.TryError{Dispatched: err.Dispatched, ConnectionLost: err.ConnectionLost, ServerRefusedConnection: err.ServerRefusedConnection, TimedOut: err.TimedOut}
					if got != tc.want || !errors.Is(err, tc.err) {
						t.Errorf("got %+v, want %+v; error %v", got, tc.want, err.Err)
					}
				}
				time.Sleep(10 * time.Second)
				synctest.Wait()
				if f.connected() != 0 {
					t.Errorf("%d connections are still open", f.connected())
				}
			})
		})
	}
}

// TestSilentConnections guards against losing one try after another on open connections
// over which the server no longer answers.
func TestSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := false
		f := &fakeServer{answers: func(n int, r *http.Request) reply {
			if silent && n <= 3 {
				return reply{after: time.Hour, closes: true}
			}
			return reply{text: completeAnswer(r), after: 10 * time.Millisecond}
		}}
		c := &Client{Dial: f.dial}
		var wg sync.WaitGroup
		for i := range 3 {
			wg.Go(func() {
				if _, err := do(c, fmt.Sprint(i), time.Second); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		silent = true
		failed := 0
		for i := range 10 {
			if _, err := do(c, fmt.Sprint(i), 100*time.Millisecond); err != nil {
				failed++
			}
		}
		// The newest connection is used first. When it times out, the older ones are closed.
		if failed > 3 {
			t.Errorf("%d tries were lost on 3 silent connections", failed)
		}
		t.Logf("%d of 10 tries were lost on 3 silent connections", failed)
		time.Sleep(2 * time.Hour)
	})
}

// TestSuspectAfter guards against using silent connections for further tries while a
// request that can't be retried waits for its deadline.
func TestSuspectAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{answers: func(n int, r *http.Request) reply {
			if n == 1 && r.Header.Get("Request-Id") != "first" {
				return reply{after: time.Hour, closes: true}
			}
			return reply{text: completeAnswer(r)}
		}}
		c := &Client{Dial: f.dial, SuspectAfter: func(string) time.Duration { return 100 * time.Millisecond }}
		if _, err := do(c, "first", time.Second); err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = do(c, "silent", 10*time.Second) }()
		time.Sleep(200 * time.Millisecond)
		for range 3 {
			if _, err := do(c, "other", 50*time.Millisecond); err != nil {
				t.Errorf("a later try was lost: %v", err)
			}
		}
		time.Sleep(2 * time.Hour)
	})
}

// TestConnections guards against exceeding the server's connection limit, keeping idle
// connections open, and not reporting that the server refuses connections.
func TestConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{answers: func(_ int, r *http.Request) reply {
			return reply{text: completeAnswer(r), after: 50 * time.Millisecond}
		}}
		c := &Client{Dial: f.dial, EntryCount: func() int { return 2 }}
		var wg sync.WaitGroup
		var mu sync.Mutex
		limited := 0
		for i := range 5 {
			wg.Go(func() {
				_, err := do(c, fmt.Sprint(i), time.Second)
				mu.Lock()
				defer mu.Unlock()
				if err != nil && errors.Is(err, ErrConnectionLimit) && !err.Dispatched {
					limited++
				}
			})
		}
		wg.Wait()
		if f.opened != 2 || limited != 3 {
			t.Errorf("%d connections, %d tries over the limit; want 2 and 3", f.opened, limited)
		}
		time.Sleep(idleTimeout - time.Millisecond)
		if f.connected() != 2 {
			t.Errorf("%d connections are open before the idle timeout, want 2", f.connected())
		}
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		if f.connected() != 0 || len(c.pools) != 0 {
			t.Errorf("%d connections and %d pools are left after the idle timeout", f.connected(), len(c.pools))
		}
		f.refuse = true
		if _, err := do(c, "x", time.Second); err == nil || err.Dispatched || !err.ServerRefusedConnection {
			t.Errorf("refused connection: %+v", err)
		}
	})
}

// TestCrashOverTCP guards against confusing a crashed server with one that only closed a
// connection. It uses TCP to get the operating system's errors.
func TestCrashOverTCP(t *testing.T) {
	for _, gone := range []bool{true, false} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil && gone {
					_ = ln.Close()
				}
				_ = c.Close()
			}
		}()
		b := testBackend
		b.Address = netip.MustParseAddrPort(ln.Addr().String())
		_, err = New().Do(t.Context(), b, &briarferry.Request{ID: "a", Method: "GET", Target: "/", Deadline: time.Now().Add(time.Minute)})
		var tryErr *briarferry.TryError
		if !errors.As(err, &tryErr) || !tryErr.Dispatched || !tryErr.ConnectionLost || tryErr.ServerRefusedConnection != gone {
			t.Errorf("server gone %v: %+v", gone, tryErr)
		}
	}
}

// TestCancellation guards against keeping the connection of a cancelled request open, so
// that the server continues to run it, and against reporting a cancellation as a timeout or
// as a lost connection.
func TestCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{answers: func(int, *http.Request) reply { return reply{after: time.Second} }}
		c := &Client{Dial: f.dial}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(100*time.Millisecond, cancel)
		start := time.Now()
		_, err := c.Do(ctx, testBackend, &briarferry.Request{
			ID: "a", Method: "GET", Target: "/" + strings.Repeat("x", 10), Deadline: start.Add(time.Minute),
		})
		var tryErr *briarferry.TryError
		if !errors.As(err, &tryErr) || tryErr.TimedOut || tryErr.ConnectionLost || time.Since(start) != 100*time.Millisecond {
			t.Errorf("after %v: %+v", time.Since(start), tryErr)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if f.connected() != 0 {
			t.Error("the connection of a cancelled try is still open")
		}
	})
}

// TestTargetIsUnchanged guards against a path or query that reaches the server escaped or
// cleaned.
func TestTargetIsUnchanged(t *testing.T) {
	for _, target := range []string{"/", "/a|b", "/a%7Cb", "/a{b}^`c", "/a%2fb/../c", "/a//b", "//a/b", "/a?x=1|2&y", "/a?", "/?", "/a;b=c", "/caf\u00e9", "/a:b", "/a?b?c"} {
		synctest.Test(t, func(t *testing.T) {
			got := ""
			f := &fakeServer{answers: func(_ int, r *http.Request) reply {
				got = r.RequestURI
				return reply{text: "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n"}
			}}
			c := &Client{Dial: f.dial, Dialect: testDialect}
			a, err := c.Do(t.Context(), testBackend, &briarferry.Request{ID: "q1", Method: http.MethodGet, Target: target, Deadline: time.Now().Add(time.Second)})
			a.Release()
			if err != nil || got != target {
				t.Errorf("the server got %q, %v; want %q", got, err, target)
			}
			time.Sleep(2 * idleTimeout)
		})
	}
}
