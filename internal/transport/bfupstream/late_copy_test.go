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
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
)

// copyingServer answers each request and sends the answer to the first one a second time.
type copyingServer struct {
	// answer and copied are the answer to a request and the text of the second copy. In
	// both, ID stands for the id of the request at hand.
	answer func(method string) string
	copied string
	// after is the delay of the copy after the first answer. With inNext, the copy is sent
	// when the next request arrives.
	after  time.Duration
	inNext bool
}

func (s *copyingServer) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	near, far := net.Pipe()
	go s.serve(far)
	return near, nil
}

func (s *copyingServer) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	first := true
	send := func(text, id string) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(text, "ID", id))
		return err == nil
	}
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Id")
		text := s.answer(r.Method)
		if !first && s.inNext && !send(s.copied, "first") {
			return
		}
		if !send(text, id) || strings.Contains(text, "Connection: close") {
			return
		}
		if first && !s.inNext {
			go func() {
				time.Sleep(s.after)
				send(s.copied, "first")
			}()
		}
		first = false
	}
}

// TestLateCopies guards against giving a caller the answer to another request after a server
// sent an answer twice on a connection that is used again. It has no copies within the head
// or body of the next answer: there they are part of that answer.
func TestLateCopies(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\n"
	answers := map[string]string{
		"length":          head + "Content-Length: 7\r\n\r\nbody ok",
		"chunked":         head + "Transfer-Encoding: chunked\r\n\r\n7\r\nbody ok\r\n0\r\n\r\n",
		"no content":      "HTTP/1.1 204 No Content\r\nX-Id: ID\r\nX-Signature: s\r\n\r\n",
		"not modified":    "HTTP/1.1 304 Not Modified\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 7\r\n\r\n",
		"close delimited": head + "Connection: close\r\n\r\nbody ok",
	}
	copies := map[string]string{
		"same id":   head + "Content-Length: 9\r\n\r\nstale one",
		"no id":     "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 9\r\n\r\nstale one",
		"not found": "HTTP/1.1 404 Not Found\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 9\r\n\r\nstale one",
		"chunked":   head + "Transfer-Encoding: chunked\r\n\r\n9\r\nstale one\r\n0\r\n\r\n",
		"head only": head + "Content-Length: 9\r\n\r\n",
		"not HTTP":  "stale one\r\n",
	}
	timings := map[string]copyingServer{
		"at once":                   {},
		"1 ms later":                {after: time.Millisecond},
		"when the next one arrives": {inNext: true},
	}
	methods := []string{http.MethodGet, http.MethodHead, http.MethodPost}
	for answerName, answer := range answers {
		for copyName, copied := range copies {
			for timingName, timing := range timings {
				for _, method := range methods {
					name := fmt.Sprintf("%s, copy with %s %s, %s", answerName, copyName, timingName, method)
					synctest.Test(t, func(t *testing.T) {
						s := &copyingServer{copied: copied, after: timing.after, inNext: timing.inNext}
						s.answer = func(method string) string {
							if h, _, ok := strings.Cut(answer, "\r\n\r\n"); ok && method == http.MethodHead {
								return h + "\r\n\r\n"
							}
							return answer
						}
						checkLateCopy(t, name, s, method)
					})
				}
			}
		}
	}
}

// TestLateRefusalCopy guards against taking the second copy of a refusal without an id for the
// answer to the next request: the caller is told that its request did not run, or it runs at
// another server too.
func TestLateRefusalCopy(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, timing := range []copyingServer{{}, {after: time.Millisecond}, {inNext: true}} {
		synctest.Test(t, func(t *testing.T) {
			s := &copyingServer{copied: refusal, after: timing.after, inNext: timing.inNext}
			answers := 0
			s.answer = func(string) string {
				if answers++; answers == 1 {
					return refusal
				}
				return "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 7\r\n\r\nbody ok"
			}
			c := &Client{Dial: s.dial, Dialect: testDialect}
			for _, id := range []string{"first", "second"} {
				time.Sleep(time.Millisecond / 2)
				a, err := c.Do(t.Context(), testBackend, &briarferry.Request{ID: id, Method: http.MethodPost, Target: "/", Deadline: time.Now().Add(time.Second)})
				if errors.Is(err, ErrShed) != (id == "first") {
					t.Errorf("copy after %v, with the next answer %v: request %s: %v", timing.after, timing.inNext, id, err)
				}
				a.Release()
			}
			time.Sleep(2 * idleTimeout)
		})
	}
}

// checkLateCopy sends three requests one after the other. Each must get its own answer or an
// error, and at least one its answer.
func checkLateCopy(t *testing.T, name string, s *copyingServer, method string) {
	c := &Client{Dial: s.dial, Dialect: testDialect}
	answered := 0
	for i, id := range []string{"first", "second", "third"} {
		if i > 0 {
			time.Sleep(time.Millisecond / 2)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		a, err := c.Do(ctx, testBackend, &briarferry.Request{ID: id, Method: method, Target: "/", Deadline: time.Now().Add(100 * time.Millisecond)})
		cancel()
		if err != nil {
			continue
		}
		answered++
		if got := a.Header.Get("X-Id"); got != id || strings.Contains(string(a.Body), "stale") || a.Status == http.StatusNotFound {
			t.Errorf("%s: request %s got status %d, id %q, body %q", name, id, a.Status, got, a.Body)
		}
		a.Release()
	}
	if answered == 0 {
		t.Errorf("%s: no request was answered", name)
	}
	time.Sleep(2 * idleTimeout)
}
