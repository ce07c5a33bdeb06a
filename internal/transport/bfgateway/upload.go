package bfgateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bfroute"
	"briarferry/internal/coordination/bfsteering"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bfcaller"
)

const (
	// minStreamedBodyBytes is the length of the smallest body that is sent on while it
	// arrives. A shorter one gains little from it.
	minStreamedBodyBytes = 8 << 10
	// streamOverheadBytes is the memory of a streamed body besides its chunk: 32 KiB for the
	// copy buffer that net/http allocates while it writes a body, and the buffers of the
	// caller's and the server's connection.
	streamOverheadBytes = 40 << 10
)

// streamsBody reports whether the body is sent to a server while it arrives. A request that
// may run more than once is held whole, as several tries may need its body.
func streamsBody(r *http.Request, route *bfroute.Route) bool {
	return route.LargeBodies && !route.Idempotent && r.ContentLength >= minStreamedBodyBytes
}

// startUpload prepares the request for sending its body while it arrives. It reads nothing
// from the caller.
func (n *Node) startUpload(w http.ResponseWriter, r *http.Request, c *call, limit int64) *briarferry.Refusal {
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	c.upload = newCallerBody(r.Body, r.ContentLength, control.SetReadDeadline)
	c.upload.ctx, c.upload.expectsContinue = r.Context(), r.Header.Get("Expect") != ""
	if r.ContentLength > limit {
		return bodyRefusal(&http.MaxBytesError{Limit: limit})
	}
	reserved := min(r.ContentLength, streamChunkBytes) + streamOverheadBytes
	if !n.bodyMemory.reserve(reserved) {
		counters.uploadsAborted.Add("no_memory", 1)
		return bodyRefusal(errBodyMemory)
	}
	c.releaseBody = func() { n.bodyMemory.release(reserved) }
	c.request.Stream = c.upload
	c.request.Fingerprint = streamFingerprint(c)
	counters.uploadsStreamed.Add(1)
	return nil
}

// streamFingerprint is the fingerprint of a request whose body isn't known yet. Its content is
// the head that stays the same when a caller repeats the request, and the length of the body.
func streamFingerprint(c *call) uint64 {
	r := c.request
	return bfapi.Fingerprint(c.identity(), nil, r.Host, r.Method, r.Target, r.Header.Get("Content-Type"), strconv.FormatInt(c.upload.length, 10))
}

// streamedBytes returns the length of a body that is sent while it arrives, or 0.
func (c *call) streamedBytes() int64 {
	if c.request.Stream == nil {
		return 0
	}
	return c.upload.length
}

// follow is bfcaller.Follow, also for a request whose body is still being read.
func (c *call) follow(ctx context.Context) (context.Context, func() bool, func()) {
	if c.request.Stream == nil {
		return bfcaller.Follow(ctx)
	}
	return bfcaller.FollowSending(ctx, c.upload.received)
}

// endUpload reads the rest of a streamed body after the request was answered, so that the
// caller gets the answer before its connection ends. It panics with http.ErrAbortHandler to
// close a connection on which the rest can't be read.
func (c *call) endUpload(w http.ResponseWriter) {
	if c.upload == nil || c.upload.isComplete() {
		return
	}
	_ = http.NewResponseController(w).Flush()
	if c.upload.canDrain() && c.upload.drain() {
		return
	}
	c.upload.close()
	panic(http.ErrAbortHandler)
}

// abortUpload ends the reading of a streamed body before the caller's connection is closed.
// It returns the result for the request's log line.
func (c *call) abortUpload() string {
	if c.upload == nil {
		return "caller_left"
	}
	if !c.upload.isComplete() {
		c.upload.close()
	}
	result := "caller_left"
	if c.upload.hasStalled() {
		result = "caller_stalled"
	}
	counters.uploadsAborted.Add(result, 1)
	return result
}

// reportUpload adds what steering needs to know about a try with a streamed body.
func (c *call) reportUpload(report *bfsteering.Report) {
	if c.request.Stream == nil {
		return
	}
	report.BodySentAt, report.AwaitedCaller = c.upload.sent()
	if report.Outcome == bfsteering.Answered && report.BodySentAt.IsZero() {
		report.AwaitedCaller = true
	}
	if report.Bytes > 0 {
		report.Bytes += int(c.upload.length)
	}
}

// rewindUpload prepares a streamed body for a further try. It returns a refusal if a part of
// the body is gone.
func (f *forwarder) rewindUpload() error {
	if stream := f.call.request.Stream; stream != nil && !stream.Rewind() {
		return notRunRefusal(tryResult{})
	}
	return nil
}

// countUpload counts an upload that was not answered by a server.
func (c *call) countUpload(r *briarferry.Refusal) {
	if c.request.Stream == nil {
		return
	}
	cause := "not_run"
	switch r.Status {
	case http.StatusGatewayTimeout:
		cause = "deadline"
	case http.StatusBadGateway:
		cause = "server_lost"
	}
	counters.uploadsAborted.Add(cause, 1)
}

// heldBody is a body that is held whole, with a limit on the time without a byte.
type heldBody struct {
	io.ReadCloser
	setDeadline func(time.Time) error
	err         error
}

// Read reads from the caller. After the end of the body the connection's deadline belongs to
// net/http, so it sets none.
func (b *heldBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	_ = b.setDeadline(time.Now().Add(bodyStall))
	n, err := b.ReadCloser.Read(p)
	b.err = err
	return n, err
}

// readHeldUpload is readBody for a route with large bodies: a caller that stops sending gets
// status 408, as no server got anything of its request.
func (n *Node) readHeldUpload(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, func(), *briarferry.Refusal) {
	if r.Body == http.NoBody {
		return n.readBody(w, r, limit)
	}
	body := &heldBody{ReadCloser: r.Body, setDeadline: http.NewResponseController(w).SetReadDeadline}
	held := *r
	held.Body = body
	data, release, refusal := n.readBody(w, &held, limit)
	if errors.Is(body.err, os.ErrDeadlineExceeded) {
		counters.uploadsAborted.Add("caller_stalled", 1)
		refusal = &briarferry.Refusal{Status: http.StatusRequestTimeout, Outcome: briarferry.OutcomeNotRun, Reason: "the caller stopped sending the body"}
	}
	return data, release, refusal
}
