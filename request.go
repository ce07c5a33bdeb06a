package briarferry

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

const (
	// OutcomeNotRun says that the request certainly did not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown says that the request may have run.
	OutcomeUnknown Outcome = "unknown"

	// RunAnswered ends a run with a whole answer.
	RunAnswered RunEnd = "answered"
	// RunCrashed ends a run with a connection that died and a server that is gone.
	RunCrashed RunEnd = "crashed"
	// RunFailed ends a run in any other way; it says nothing about the request.
	RunFailed RunEnd = "failed"
)

type (
	// Outcome is what a failed request's caller may rely on.
	Outcome string

	// RunEnd says how a request's run on a backend server ended.
	RunEnd string

	// Request is one request of a caller, read in full.
	Request struct {
		ID      string
		Service string
		Method  string
		// Host is the caller's Host header where backend servers get it unchanged.
		Host string
		// Target is the path and query for the backend server.
		Target string
		Header http.Header
		Body   []byte
		// Key is the idempotency key; it is empty for an idempotent request.
		Key string
		// Class is the priority class after the caller's wish was applied.
		Class    PriorityClass
		Caller   netip.Addr
		Deadline time.Time
		// Fingerprint identifies the request's content.
		Fingerprint uint64
	}

	// Answer is a backend server's whole answer.
	Answer struct {
		Status int         `json:"status"`
		Header http.Header `json:"header"`
		Body   []byte      `json:"body"`
	}

	// Refusal is the error that ends a request without a backend server's answer.
	Refusal struct {
		Status     int
		Outcome    Outcome
		Reason     string
		RetryAfter time.Duration
	}

	// TryError says how one try at a backend server failed.
	TryError struct {
		Backend BackendID
		// Dispatched tells whether a byte of the request may have been processed.
		Dispatched bool
		// ConnectionDied tells whether the connection ended without an answer.
		ConnectionDied bool
		// ServerGone tells whether the server refused a new connection afterwards.
		ServerGone bool
		// Silent tells whether the try's timeout ran out without an answer.
		Silent bool
		Err    error
	}
)

// Error returns the reason and the outcome.
func (r *Refusal) Error() string {
	return fmt.Sprintf("briarferry: %s: %s", r.Outcome, r.Reason)
}

// Error returns the failure with the server's address.
func (e *TryError) Error() string {
	return fmt.Sprintf("briarferry: try at %s: %v", e.Backend.Address, e.Err)
}

// Unwrap returns the cause.
func (e *TryError) Unwrap() error { return e.Err }
