package bfentry

import (
	"net/http"
	"time"

	"briarferry"
)

const defaultRetryAfter = time.Second

func refuseNoLease() error { return refuseUnknown("this entry holds no valid configuration lease") }

func refuseUnknownService(name string) error {
	return &briarferry.Refusal{
		Status: http.StatusNotFound, Outcome: briarferry.OutcomeNotRun,
		Reason: "no service " + name + " in the configuration",
	}
}

// refuseUnknown returns a refusal of a request that may have run.
func refuseUnknown(reason string) error { return refuseTemporarily(briarferry.OutcomeUnknown, reason) }

// refuseNotRun returns a refusal of a request that certainly did not run.
func refuseNotRun(reason string) error { return refuseTemporarily(briarferry.OutcomeNotRun, reason) }

func refuseTemporarily(outcome briarferry.Outcome, reason string) error {
	return &briarferry.Refusal{
		Status: http.StatusServiceUnavailable, Outcome: outcome, Reason: reason, RetryAfter: defaultRetryAfter,
	}
}

// refuseKeyMismatch returns the refusal of a key that was used with another request. Its
// outcome is unknown: the first request with the key may have run, and a caller that is told
// "not run" could send the same order again with a new key.
func refuseKeyMismatch() error {
	return &briarferry.Refusal{
		Status: http.StatusUnprocessableEntity, Outcome: briarferry.OutcomeUnknown,
		Reason: "the idempotency key was used with another request",
	}
}
