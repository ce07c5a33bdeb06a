package briarferry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

const (
	// OutcomeNotRun means that the request certainly did not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"

	// RunAnswered means that the run ended with a complete answer.
	RunAnswered RunResult = "answered"
	// RunCrashed means that the connection was lost and the server refused a new one.
	RunCrashed RunResult = "crashed"
	// RunFailed means that the run ended in any other way, which allows no conclusion
	// about the request.
	RunFailed RunResult = "failed"
)

type (
	// Outcome tells the caller of a failed request whether it may have run.
	Outcome string

	// RunResult is the result of a request's run on a backend server.
	RunResult string

	// Request is a caller's request, including its body.
	Request struct {
		ID      string
		Service string
		Method  string
		// Host is the caller's Host header if it is to be forwarded unchanged.
		Host string
		// Target is the path and query for the backend server.
		Target string
		Header http.Header
		Body   []byte
		// Stream, if set, replaces Body while the body is being received.
		Stream BodyStream
		// Key is the idempotency key; it is empty for an idempotent request.
		Key string
		// Organisation is the name of the caller's organisation, or empty.
		Organisation string
		// Class is the priority class, after the caller's requested urgency was applied.
		Class    PriorityClass
		Caller   netip.Addr
		Deadline time.Time
		// Fingerprint identifies the request and its caller; see NewFingerprint.
		Fingerprint uint64
		// OnHead, if set, allows an answer to be streamed: it is called with an answer that
		// has a Stream, before the try has ended.
		OnHead func(*Answer)
		// CallerLeft, if set, reports whether the caller no longer waits for the answer.
		CallerLeft func() bool
		// MaySend, if set, reports whether the request may still be sent to the chosen server.
		// It is asked before the first byte and before each part of the body.
		MaySend func() bool
	}

	// BodyStream is a request's body that is sent to a server while it arrives from the
	// caller. Only one try at a time may read it.
	BodyStream interface {
		// Length returns the size of the whole body in bytes.
		Length() int64
		// Next waits for further bytes, which are valid until the next call. It returns
		// io.EOF after the last byte, and another error if the body can't become complete
		// or the context has ended.
		Next(ctx context.Context) ([]byte, error)
		// Rewind lets the next try read the body from its start. It returns false if the
		// first bytes are no longer held.
		Rewind() bool
	}

	// Answer is a backend server's complete answer.
	Answer struct {
		Status int         `json:"status"`
		Header http.Header `json:"header"`
		Body   []byte      `json:"body"`
		// Stream replaces Body while the body is being received, and Length is its length.
		// WriteTo writes the body as it arrives and fails if it does not become complete.
		Stream io.WriterTo `json:"-" cbor:"-"`
		Length int64       `json:"-" cbor:"-"`

		release func()
		deliver func(drop func())
	}

	// Refusal is the error for a request that gets no answer from a backend server.
	Refusal struct {
		Status     int
		Outcome    Outcome
		Reason     string
		RetryAfter time.Duration
	}

	// TryError is the error for a failed try at a backend server.
	TryError struct {
		Backend BackendID
		// Dispatched reports whether the server may have processed part of the request.
		Dispatched bool
		// ConnectionLost reports whether the connection ended without an answer.
		ConnectionLost bool
		// ServerRefusedConnection reports whether the server refused a connection, for the
		// try itself or after the connection of the try was lost.
		ServerRefusedConnection bool
		// TimedOut reports whether the try timed out without an answer.
		TimedOut bool
		Err      error
	}
)

// IsFinalStatus reports whether the status is one that a final HTTP answer can have.
func IsFinalStatus(status int) bool { return status >= 200 && status <= 599 }

// OnRelease sets the function that frees what is held for the answer.
func (a *Answer) OnRelease(f func()) { a.release = f }

// Release must be called when the answer is no longer needed. Further calls have no effect.
func (a *Answer) Release() {
	if a != nil && a.release != nil {
		a.release()
	}
}

// OnDeliver sets the function that Deliver calls.
func (a *Answer) OnDeliver(f func(drop func())) { a.deliver = f }

// Deliver must be called when the answer is sent to its caller. If the caller takes it slowly
// and its memory is needed, drop is called, which must end the sending.
func (a *Answer) Deliver(drop func()) {
	if a.deliver != nil {
		a.deliver(drop)
	}
}

// Error returns the outcome and the reason.
func (r *Refusal) Error() string {
	return fmt.Sprintf("briarferry: %s: %s", r.Outcome, r.Reason)
}

// Error returns the server's address and the cause.
func (e *TryError) Error() string {
	return fmt.Sprintf("briarferry: try at %s: %v", e.Backend.Address, e.Err)
}

// Unwrap returns the cause.
func (e *TryError) Unwrap() error { return e.Err }
