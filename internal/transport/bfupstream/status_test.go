package bfupstream

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
)

// TestStatusLines guards against taking an answer for one whose status no answer has, and
// against reporting that its request did not run. Some cases show what the parser refuses.
func TestStatusLines(t *testing.T) {
	const rest = "\r\nX-Id: a\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok"
	cases := []struct {
		name, text string
		status     int
		err        error
	}{
		{"000", "HTTP/1.1 000 None" + rest, 0, ErrInvalidStatus},
		{"099", "HTTP/1.1 099 None" + rest, 0, ErrInvalidStatus},
		{"600", "HTTP/1.1 600 None" + rest, 0, ErrInvalidStatus},
		{"999", "HTTP/1.1 999 None" + rest, 0, ErrInvalidStatus},
		{"sign and two digits", "HTTP/1.1 +20 OK" + rest, 0, ErrInvalidStatus},
		{"minus zero", "HTTP/1.1 -00 OK" + rest, 0, ErrInvalidStatus},
		{"not run with status 000", "HTTP/1.1 000 None\r\nX-Not-Run: 1" + rest, 0, ErrInvalidStatus},
		{"not run with status 600", "HTTP/1.1 600 None\r\nX-Not-Run: 1" + rest, 0, ErrInvalidStatus},
		{"000 without id", "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", 0, ErrInvalidStatus},
		{"000 without length", "HTTP/1.1 000 None\r\nX-Id: a\r\nX-Signature: s\r\n\r\nok", 0, ErrInvalidStatus},
		{"000 after an informational answer", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None" + rest, 0, ErrInvalidStatus},
		{"000 after an answer to another request", "HTTP/1.1 200 OK" + strings.Replace(rest, "a", "z", 1) + "HTTP/1.1 000 None" + rest, 0, ErrInvalidStatus},
		{"000 before the answer", "HTTP/1.1 000 None" + rest + "HTTP/1.1 200 OK" + rest, 0, ErrInvalidStatus},
		{"another protocol", "HTTP/1.1 101 Switching Protocols\r\nX-Id: a\r\nX-Signature: s\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", 0, ErrInvalidStatus},
		{"another protocol before the answer", "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK" + rest, 0, ErrInvalidStatus},
		{"four digits", "HTTP/1.1 0200 OK" + rest, 0, ErrTruncated},
		{"1000", "HTTP/1.1 1000 OK" + rest, 0, ErrTruncated},
		{"two digits", "HTTP/1.1 20 OK" + rest, 0, ErrTruncated},
		{"sign and three digits", "HTTP/1.1 +200 OK" + rest, 0, ErrTruncated},
		{"negative", "HTTP/1.1 -01 OK" + rest, 0, ErrTruncated},
		{"hexadecimal", "HTTP/1.1 0xC OK" + rest, 0, ErrTruncated},
		{"no status", "HTTP/1.1" + rest, 0, ErrTruncated},
		{"100", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK" + rest, 200, nil},
		{"199", "HTTP/1.1 199 None\r\n\r\nHTTP/1.1 200 OK" + rest, 200, nil},
		{"599", "HTTP/1.1 599 None" + rest, 599, nil},
		{"no reason", "HTTP/1.1 200" + rest, 200, nil},
		{"no reason after a space", "HTTP/1.1 200 " + rest, 200, nil},
		{"204 with a body", "HTTP/1.1 204 No Content" + rest, 204, nil},
		{"304 with a body", "HTTP/1.1 304 Not Modified" + rest, 304, nil},
		{"only informational answers", "HTTP/1.1 103 Early Hints\r\n\r\n", 0, context.DeadlineExceeded},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var used []int
				f := &fakeServer{answers: func(n int, _ *http.Request) reply {
					used = append(used, n)
					// An answer that comes before the whole request counts as sent costs the
					// connection, so it waits for that.
					synctest.Wait()
					return reply{text: tc.text}
				}}
				c := &Client{Dial: f.dial, Dialect: testDialect}
				a, err := doDialect(f, c, "body")
				switch {
				case tc.err == nil && (err != nil || a.Status != tc.status):
					t.Errorf("got %v, %v; want status %d", a, err, tc.status)
				case tc.err != nil && (err == nil || !err.Dispatched || err.ServerRefusedConnection || !errors.Is(err, tc.err)):
					t.Errorf("got %v, %+v; want %v after the request was dispatched", a, err, tc.err)
				}
				if errors.Is(tc.err, ErrInvalidStatus) && err != nil && err.ConnectionLost {
					t.Error("the try counts as one whose connection the server closed")
				}
				a.Release()
				if held, _ := c.HeldAnswers(); held != 0 {
					t.Errorf("%d bytes are still held", held)
				}
				next, _ := doDialect(f, c, "body")
				next.Release()
				if whole := tc.status == 200 || tc.status == 599; !slices.Equal(used, []int{1, 1}) == whole {
					t.Errorf("the requests used the connections %v", used)
				}
				time.Sleep(2 * idleTimeout)
			})
		})
	}
}

// TestInvalidStatusIsNotStreamed guards against passing on the head of a large answer whose
// status no answer has.
func TestInvalidStatusIsNotStreamed(t *testing.T) {
	body := strings.Repeat("b", 100<<10)
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeServer{answers: func(int, *http.Request) reply {
				return reply{text: "HTTP/1.1 " + status + " None\r\nX-Id: a\r\nX-Signature: s\r\nContent-Length: 102400\r\n\r\n" + body}
			}}
			_, _, streamed, err := doStreamed(&Client{Dial: f.dial, Dialect: testDialect}, time.Second)
			var tryErr *briarferry.TryError
			if streamed || !errors.Is(err, ErrInvalidStatus) || !errors.As(err, &tryErr) || !tryErr.Dispatched {
				t.Errorf("status %s: streamed %v, %v", status, streamed, err)
			}
			time.Sleep(2 * idleTimeout)
		})
	}
}
