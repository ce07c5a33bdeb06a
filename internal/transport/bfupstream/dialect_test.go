package bfupstream

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
)

var testDialect = &bfapi.Dialect{
	RequestIDHeader: "X-Id", RemainingTimeHeader: "X-Left", FormatRemainingTime: func(d time.Duration) string { return fmt.Sprint(d.Milliseconds()) },
	ExpectedInstanceHeader: "X-Expected", NotRunHeader: "X-Not-Run", ServerSignatureHeader: "X-Signature", AllowCloseDelimited: true, DiscardMismatched: true,
}

// doDialect sends a request with the dialect's headers to a fake server.
func doDialect(f *fakeServer, c *Client, body string) (*briarferry.Answer, *briarferry.TryError) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	b := testBackend
	b.InstanceID = "i-1"
	a, err := c.Do(ctx, b, &briarferry.Request{ID: "a", Method: "POST", Host: "shop.example", Target: "/x", Body: []byte(body), Deadline: time.Now().Add(time.Second)})
	var tryErr *briarferry.TryError
	errors.As(err, &tryErr)
	return a, tryErr
}

// TestDialectAnswers guards against accepting answers to other requests, and against
// reporting a request as not run that may have run.
func TestDialectAnswers(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: r\r\nContent-Length: 2\r\n\r\nok"
	cases := []struct {
		name       string
		reply      reply
		status     int
		dispatched bool
		err        error
	}{
		{"own answer", reply{text: ok}, 200, false, nil},
		{"answer to another request first", reply{text: strings.ReplaceAll(ok, "X-Id: a", "X-Id: z") + ok}, 200, false, nil},
		{"answer to another request only", reply{text: strings.ReplaceAll(ok, "X-Id: a", "X-Id: z"), closes: true}, 0, true, ErrTruncated},
		{"no id", reply{text: strings.ReplaceAll(ok, "X-Id: a\r\n", "")}, 0, true, ErrAnswerMismatch},
		{"no signature", reply{text: strings.ReplaceAll(ok, "X-Signature: r\r\n", "")}, 0, true, ErrNoSignature},
		{"encoded", reply{text: strings.ReplaceAll(ok, "X-Signature", "Content-Encoding: gzip\r\nX-Signature")}, 0, true, ErrNoSignature},
		{"failure with signature", reply{text: strings.ReplaceAll(ok, "200 OK", "500 Oops")}, 500, false, nil},
		{"shed without id", reply{text: "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"}, 503, false, ErrShed},
		{"shed for another request", reply{text: "HTTP/1.1 503 No\r\nX-Id: z\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", closes: true}, 0, true, ErrTruncated},
		{"misdirected", reply{text: "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"}, 421, false, ErrMisdirected},
		{"503 without signature or not-run header", reply{text: "HTTP/1.1 503 No\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n"}, 0, true, ErrNoSignature},
		{"truncated", reply{text: ok[:len(ok)-1], closes: true}, 0, true, ErrTruncated},
		{"end marked by closing the connection", reply{text: strings.ReplaceAll(ok, "Content-Length: 2\r\n", ""), closes: true}, 200, false, nil},
		{"not HTTP", reply{text: "garbage\r\n\r\n", closes: true}, 0, true, ErrTruncated},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeServer{answers: func(_ int, r *http.Request) reply {
				if r.Header.Get("X-Expected") != "i-1" || r.Host != "shop.example" || r.Header.Get("X-Left") == "" {
					t.Errorf("%s: request to %q with headers %v", c.name, r.Host, r.Header)
				}
				return c.reply
			}}
			a, err := doDialect(f, &Client{Dial: f.dial, Dialect: testDialect}, "body")
			status, dispatched := 0, false
			if a != nil {
				status = a.Status
			}
			var cause error
			if err != nil {
				dispatched, cause = err.Dispatched, err.Err
			}
			if status != c.status || dispatched != c.dispatched || !errors.Is(cause, c.err) || (c.err == nil) != (cause == nil) {
				t.Errorf("%s: status %d, dispatched %v, %v; want %d, %v, %v", c.name, status, dispatched, cause, c.status, c.dispatched, c.err)
			}
			time.Sleep(idleTimeout)
		})
	}
}

// TestKeepAlive guards against sending a request over a connection that the server is about
// to close.
func TestKeepAlive(t *testing.T) {
	for text, want := range map[string]time.Duration{"": 0, "timeout=10": 10 * time.Second, "max=5, timeout=3": 3 * time.Second, "timeout=x": 0, "timeout=-1": 0} {
		if got := keepAliveTimeout(http.Header{"Keep-Alive": {text}}); got != want {
			t.Errorf("header %q gives %v, want %v", text, got, want)
		}
	}
	for keep, want := range map[time.Duration]time.Duration{0: idleTimeout, 10 * time.Second: 7500 * time.Millisecond, 2 * time.Second: time.Second, time.Second: 250 * time.Millisecond} {
		c := &conn{keepAlive: keep}
		if got := c.maxIdle(); got != want {
			t.Errorf("with a keep-alive timeout of %v a connection stays idle for %v, want %v", keep, got, want)
		}
	}
}
