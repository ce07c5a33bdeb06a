package bfgateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"briarferry"
)

// connPair returns the two ends of a TCP connection with small buffers.
func connPair(t *testing.T) (near, far *net.TCPConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialled, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	near, far = accepted.(*net.TCPConn), dialled.(*net.TCPConn)
	_ = near.SetWriteBuffer(32 << 10)
	_ = far.SetReadBuffer(16 << 10)
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	return near, far
}

// TestSlowReaders guards against cutting off a caller that reads its answer slowly, and
// against holding the answer of one that has stopped.
func TestSlowReaders(t *testing.T) {
	const stall, size = 300 * time.Millisecond, 400 << 10
	cases := []struct {
		name  string
		pause time.Duration
		// limit is how many bytes the caller reads before it stops.
		limit int
		err   error
	}{
		{"slow", 30 * time.Millisecond, size, nil},
		{"stops at once", 0, 0, os.ErrDeadlineExceeded},
		{"stops midway", time.Millisecond, size / 4, os.ErrDeadlineExceeded},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			near, far := connPair(t)
			c := &progressConn{Conn: near, stall: stall}
			go func() {
				buf := make([]byte, 4<<10)
				for read := 0; read < tc.limit; time.Sleep(tc.pause) {
					n, err := far.Read(buf)
					if err != nil {
						return
					}
					read += n
				}
			}()
			started := time.Now()
			n, err := c.Write(make([]byte, size))
			took := time.Since(started)
			if !errors.Is(err, tc.err) || (err == nil) != (tc.err == nil) || err == nil && n != size {
				t.Errorf("%d bytes written after %v, %v; want %v", n, took, err, tc.err)
			}
			if err == nil && took < 2*stall {
				t.Errorf("the caller took the answer in %v, want more than %v", took, 2*stall)
			}
			if err != nil && took > 10*stall {
				t.Errorf("the caller was given up after %v", took)
			}
		})
	}
}

// largeAnswer answers with the given number of bytes.
func largeAnswer(size int) behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signature", "1")
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	}
}

// TestSlowReadersMemory guards against dropping the answers of other callers when those of
// callers that don't read use up the memory.
func TestSlowReadersMemory(t *testing.T) {
	const size = 8 << 20
	for _, path := range []string{"read", "chart"} {
		t.Run(path, func(t *testing.T) {
			e := newTestEntry(t, largeAnswer(size))
			e.node.upstream.AnswerMemory = 3 * size / 2
			next, table := *e.state, *e.state.Routes
			table.Version, table.Routes = 2, append([]briarferry.Route(nil), table.Routes...)
			for i := range table.Routes {
				table.Routes[i].Timeout, table.Routes[i].Target = briarferry.Duration(5*time.Second), briarferry.Duration(4*time.Second)
			}
			next.Revision, next.Routes = 2, &table
			e.node.update(&next)
			go func() { _ = e.node.server.serve(e.node.listener) }()
			request := strings.Replace(getRequest("q1"), "/read/", "/"+path+"/", 1)
			slow := e.connect()
			// The rest of the answer must not fit into the socket.
			_ = slow.(*net.TCPConn).SetReadBuffer(16 << 10)
			write(t, slow, request)
			waitFor(t, func() bool { held, _ := e.node.upstream.HeldAnswers(); return held >= size })
			time.Sleep(1300 * time.Millisecond)
			for range 3 {
				c := e.connect()
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				write(t, c, strings.Replace(request, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
				data, err := io.ReadAll(c)
				if err != nil || len(data) < size {
					t.Errorf("%d bytes of an answer beside one that isn't read, %v", len(data), err)
				}
			}
			_ = slow.(*net.TCPConn).SetReadBuffer(4 << 20)
			_ = slow.SetDeadline(time.Now().Add(10 * time.Second))
			if data, _ := io.ReadAll(slow); len(data) >= size {
				t.Error("the answer that wasn't read is complete, and didn't make room")
			}
			waitFor(t, func() bool { held, _ := e.node.upstream.HeldAnswers(); return held == 0 })
		})
	}
}

// TestBodyCutAtMemoryLimit guards against a server that gets the part of a body for which
// there was room, and against memory that stays reserved.
func TestBodyCutAtMemoryLimit(t *testing.T) {
	e := newTestEntry(t, answer(200, "X-Signature"))
	next, table := *e.state, *e.state.Routes
	table.Version, table.Limits.MaxBodyBytes = 2, 1<<20
	next.Revision, next.Routes = 2, &table
	e.node.update(&next)
	e.node.bodyMemory.limit = 3 * bodyChunkBytes / 2
	for _, path := range []string{"/read/1", "/order/1"} {
		req, _ := http.NewRequest(http.MethodPost, e.server.URL+path, io.MultiReader(strings.NewReader(strings.Repeat("x", 3*bodyChunkBytes))))
		req.Host = "shop.example"
		req.Header.Set("X-Id", "q1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || e.runs.Load() != 0 {
			t.Errorf("%s: status %d, Retry-After %q, %d runs", path, resp.StatusCode, resp.Header.Get("Retry-After"), e.runs.Load())
		}
		waitFor(t, func() bool { return e.node.bodyMemory.used.Load() == 0 })
	}
}

// TestAnswerCutAtMemoryLimit guards against an answer that is cut at the memory limit and
// looks complete to its caller.
func TestAnswerCutAtMemoryLimit(t *testing.T) {
	const size = 300 << 10
	for path, held := range map[string]bool{"/order/1": true, "/chart/1": false} {
		e := newTestEntry(t, largeAnswer(size))
		e.node.upstream.AnswerMemory = size / 2
		got, err := e.send(t.Context(), path, "")
		if held && (err != nil || got.status != http.StatusBadGateway || got.problem.Outcome != briarferry.OutcomeUnknown) {
			t.Errorf("%s: status %d, outcome %q, %v", path, got.status, got.problem.Outcome, err)
		}
		if !held && err == nil && got.status == http.StatusOK {
			t.Errorf("%s: an answer of %d bytes looks complete", path, len(got.body))
		}
		waitFor(t, func() bool { used, dropped := e.node.upstream.HeldAnswers(); return used == 0 && dropped > 0 })
	}
}
