package bfupstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
)

// doStreamed sends a request whose answer may be streamed. It returns the streamed body and
// the error with which it ended, or false if the answer wasn't streamed.
func doStreamed(c *Client, timeout time.Duration) (streamed []byte, streamErr error, ok bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	done := make(chan struct{})
	var heads atomic.Int64
	r := &briarferry.Request{ID: "a", Method: "GET", Target: "/x", Deadline: time.Now().Add(timeout)}
	r.OnHead = func(a *briarferry.Answer) {
		heads.Add(1)
		go func() {
			defer close(done)
			var out bytes.Buffer
			_, streamErr = a.Stream.WriteTo(&out)
			streamed = out.Bytes()
		}()
	}
	a, err := c.Do(ctx, testBackend, r)
	a.Release()
	if heads.Load() == 0 {
		return nil, nil, false, err
	}
	<-done
	return streamed, streamErr, true, err
}

// TestStreamedBodies guards against streaming an answer that isn't a success of the server for
// this request, and against one that ends early and looks complete.
func TestStreamedBodies(t *testing.T) {
	body := strings.Repeat("b", 100<<10)
	head := "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	change := func(old, text string) string { return strings.Replace(head, old, text, 1) + body }
	cases := []struct {
		name     string
		reply    reply
		streamed bool
		err      error
	}{
		{"complete", reply{text: head + body}, true, nil},
		{"after an answer to another request", reply{text: "HTTP/1.1 200 OK\r\nX-Id: z\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nno" + head + body}, true, nil},
		{"truncated", reply{text: head + body[1:], closes: true}, true, ErrTruncated},
		{"stalled", reply{text: head + body[1:]}, true, context.DeadlineExceeded},
		{"failure of the server", reply{text: change("200 OK", "500 Oops")}, false, nil},
		{"no signature", reply{text: change("X-Signature: s\r\n", "")}, false, ErrNoSignature},
		{"encoded", reply{text: change("X-Signature", "Content-Encoding: gzip\r\nX-Signature")}, false, ErrNoSignature},
		{"no id", reply{text: change("X-Id: a\r\n", "")}, false, ErrAnswerMismatch},
		{"answer to another request only", reply{text: change("X-Id: a", "X-Id: z"), closes: true}, false, ErrTruncated},
		{"not run", reply{text: change("X-Signature", "X-Not-Run: 1\r\nX-Signature")}, false, ErrShed},
		{"no length", reply{text: change("Content-Length", "X-Length"), closes: true}, false, nil},
		{"small", reply{text: "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok"}, false, nil},
	}
	for _, tc := range cases {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeServer{answers: func(int, *http.Request) reply { return tc.reply }}
			c := &Client{Dial: f.dial, Dialect: testDialect}
			streamed, streamErr, ok, err := doStreamed(c, time.Second)
			if ok != tc.streamed || !errors.Is(err, tc.err) || (err == nil) != (tc.err == nil) {
				t.Errorf("%s: streamed %v, %v; want %v, %v", tc.name, ok, err, tc.streamed, tc.err)
			}
			if ok && (streamErr == nil) != (tc.err == nil) {
				t.Errorf("%s: the body ended with %v although the try ended with %v", tc.name, streamErr, err)
			}
			if ok && tc.err == nil && string(streamed) != body {
				t.Errorf("%s: %d bytes streamed, want %d", tc.name, len(streamed), len(body))
			}
			if used, _ := c.HeldAnswers(); used != 0 {
				t.Errorf("%s: %d bytes are still held", tc.name, used)
			}
			time.Sleep(2 * idleTimeout)
		})
	}
}

// TestStreamedBodyIsPrompt guards against streaming a body only after it has arrived.
func TestStreamedBodyIsPrompt(t *testing.T) {
	b := newStreamedBody()
	r, w := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		_, err := b.WriteTo(w)
		ended <- err
	}()
	for _, part := range []string{"one", "onetwo"} {
		b.publish([]byte(part))
		got := make([]byte, 3)
		if _, err := io.ReadFull(r, got); err != nil || string(got) != part[len(part)-3:] {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	b.end(ErrTruncated)
	if err := <-ended; !errors.Is(err, ErrTruncated) {
		t.Errorf("an incomplete body ended with %v", err)
	}
}
