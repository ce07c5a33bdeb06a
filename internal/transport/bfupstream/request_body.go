package bfupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"briarferry"
)

// earlyAnswerWait is how long the answer of a server may still arrive after writing to its
// connection has failed. The answer precedes the end of the connection, so it has usually
// arrived already.
const earlyAnswerWait = 100 * time.Millisecond

var (
	// ErrRequestBody is returned if the caller's body did not become complete. The server may
	// have got a part of the request.
	ErrRequestBody = errors.New("body of the request is not complete")

	errTooLong  = errors.New("bfupstream: body of the request is longer than announced")
	errAnswered = errors.New("server answered before it had the whole request")
)

type (
	// heldReader reads a body that is held whole, as long as the request may be sent.
	heldReader struct {
		io.Reader
		maySend func() bool
		// withdrawn is true if the request may not be sent any more.
		withdrawn bool
	}

	// streamReader reads a BodyStream, as long as the request may be sent. Reads end with its
	// context.
	streamReader struct {
		ctx    context.Context
		stream briarferry.BodyStream
		// maySend is Request.MaySend, which may be nil.
		maySend func() bool
		rest    []byte
		// err is the error with which the stream ended, or nil.
		err error
	}

	// streamWriter writes a request whose body arrives slowly: each part of the body is sent
	// at once, and without a copy in the writer's buffer.
	streamWriter struct {
		*bufio.Writer
		conn    *conn
		body    *streamReader
		pending *pendingRequest
	}
)

// Read returns further bytes of the body.
func (s *streamReader) Read(b []byte) (int, error) {
	if len(s.rest) == 0 {
		if err := s.next(); err != nil {
			return 0, err
		}
	}
	n := copy(b, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

func (s *streamReader) next() error {
	s.rest, s.err = s.stream.Next(s.ctx)
	// The caller may have taken long to send the bytes.
	if s.err == nil && s.maySend != nil && !s.maySend() {
		s.rest, s.err = nil, ErrWithdrawn
	}
	return s.err
}

// Read returns further bytes of the body.
func (h *heldReader) Read(b []byte) (int, error) {
	if !h.maySend() {
		h.withdrawn = true
		return 0, ErrWithdrawn
	}
	return h.Reader.Read(b)
}

// failure returns the error of a try, which isn't the server's fault if the sending of the body
// was ended.
func (h *heldReader) failure(err error) error {
	var failure *briarferry.TryError
	if h != nil && h.withdrawn && errors.As(err, &failure) && failure.ConnectionLost {
		failure.ConnectionLost, failure.Err = false, ErrWithdrawn
	}
	return err
}

// holdBody makes the sending of the request's body end once the request may not be sent any
// more. It returns nil if it always may.
func holdBody(out *http.Request, r *briarferry.Request) *heldReader {
	if r.MaySend == nil || len(r.Body) == 0 {
		return nil
	}
	h := &heldReader{Reader: out.Body, maySend: r.MaySend}
	out.Body = io.NopCloser(h)
	return h
}

// ReadFrom sends the body. net/http calls it when it has written the head, with a reader of
// the same body.
func (w streamWriter) ReadFrom(io.Reader) (int64, error) {
	if err := w.Flush(); err != nil {
		return 0, err
	}
	sent, length := int64(0), w.pending.request.ContentLength
	for {
		err := w.body.next()
		if err == io.EOF {
			return sent, nil
		}
		if err != nil {
			return sent, err
		}
		if sent+int64(len(w.body.rest)) > length {
			return sent, errTooLong
		}
		n, err := w.conn.Write(w.body.rest)
		sent += int64(n)
		if err != nil {
			return sent, err
		}
		// The answer may arrive before the stream returns io.EOF.
		w.pending.sent.Store(sent == length)
	}
}

// exchangeStream is exchange for a request whose body is sent while it arrives. It returns
// when nothing reads the body any more.
func (c *Client) exchangeStream(ctx context.Context, conn *conn, t try, r *briarferry.Request) (*briarferry.Answer, error) {
	sending, stopSending := context.WithCancelCause(ctx)
	defer stopSending(nil)
	body := &streamReader{ctx: sending, stream: r.Stream, maySend: r.MaySend}
	t.request.Body, t.request.ContentLength = io.NopCloser(body), r.Stream.Length()
	p := conn.expect(t)
	if p == nil {
		conn.discard(ctx)
		return nil, t.failure(ctx, conn, net.ErrClosed)
	}
	stop, checks := context.AfterFunc(ctx, conn.close), watch(conn, r)
	defer checks.stop()
	// The time left is that at the start of the request, after the wait for a connection.
	c.setRemainingTime(ctx, t.request, r)
	sent := make(chan error, 1)
	go func() { sent <- conn.write(p, streamWriter{Writer: conn.writer, conn: conn, body: body, pending: p}) }()
	var got result
	select {
	case err := <-sent:
		got = t.awaitAnswer(conn, p, body, err)
	case got = <-p.results:
		if !p.sent.Load() {
			// The server must get nothing else where the rest of the body is due.
			conn.close()
		}
		stopSending(errAnswered)
		if err := <-sent; err != nil && got.err != nil && isBodyFailure(ctx, body) {
			got.err = bodyFailure(body)
		}
	}
	checks.stop()
	if !stop() && got.err == nil {
		// The answer arrived when the context ended. It counts as late.
		got.memory.release()
		got.err = context.Cause(ctx)
	}
	if got.err == nil {
		return t.accept(conn, got)
	}
	conn.discard(ctx)
	failure := t.failure(ctx, conn, got.err)
	if errors.Is(got.err, ErrRequestBody) {
		failure.ConnectionLost = false
	}
	return nil, checks.failure(failure)
}

// awaitAnswer waits for the answer after sending has ended with the given error.
func (t try) awaitAnswer(conn *conn, p *pendingRequest, body *streamReader, err error) result {
	if err == nil {
		// The server is silent only since it has the whole body.
		defer t.client.suspectIfSilent(conn, t.backend.Service)()
		return <-p.results
	}
	if body.err != nil && !errors.Is(body.err, io.EOF) {
		// Closing the connection shows the server that the body is not complete.
		conn.close()
		releaseLater(p.results)
		return result{err: bodyFailure(body)}
	}
	timer := time.AfterFunc(earlyAnswerWait, conn.close)
	defer timer.Stop()
	got := <-p.results
	if got.err != nil {
		got.err = err
	}
	return got
}

// isBodyFailure reports whether sending ended because of the caller's body.
func isBodyFailure(ctx context.Context, body *streamReader) bool {
	return ctx.Err() == nil && body.err != nil && !errors.Is(body.err, io.EOF) && !errors.Is(body.err, errAnswered)
}

func bodyFailure(body *streamReader) error { return fmt.Errorf("%w: %w", ErrRequestBody, body.err) }
