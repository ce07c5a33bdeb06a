package bfgateway

import (
	"io"
	"strings"
	"testing"
	"time"

	"briarferry"
)

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
