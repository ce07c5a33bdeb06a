package bfupstream

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
)

// TestTruncatedAnswers guards against taking an answer for complete whose server stopped
// anywhere in its head, or in a body with a length or chunks, and closed the connection.
func TestTruncatedAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signature: s\r\n"
	for name, text := range map[string]string{
		"length":          head + "Content-Length: 4\r\n\r\nbody",
		"length first":    "HTTP/1.1 200 OK\r\nContent-Length: 14\r\nX-Signature: s\r\nX-Id: q1\r\n\r\nbody continues",
		"chunked":         head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"informational":   "HTTP/1.1 103 Early Hints\r\nX-Id: q1\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody",
		"close delimited": head + "\r\n",
	} {
		for end := range len(text) {
			synctest.Test(t, func(t *testing.T) {
				c := &Client{Dialect: testDialect, Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
					near, far := net.Pipe()
					go func() {
						defer func() { _ = far.Close() }()
						_, _ = far.Read(make([]byte, 4096))
						_, _ = far.Write([]byte(text[:end]))
					}()
					return near, nil
				}}
				a, err := c.Do(t.Context(), testBackend, &briarferry.Request{ID: "q1", Method: http.MethodGet, Target: "/", Deadline: time.Now().Add(time.Second)})
				a.Release()
				time.Sleep(2 * idleTimeout)
				// The last line break of a chunked body carries nothing.
				if err == nil && !strings.HasSuffix(text[:end], "0\r\n") {
					t.Errorf("%s, cut after %d of %d bytes: status %d, body %q", name, end, len(text), a.Status, a.Body)
				}
			})
		}
	}
}
