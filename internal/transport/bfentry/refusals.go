package bfentry

import (
	"net/http"
	"time"

	"briarferry"
)

const retrySoon = time.Second

func refuseNoLease() error {
	return &briarferry.Refusal{
		Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeUnknown,
		Reason: "this entry holds no valid configuration lease", RetryAfter: retrySoon,
	}
}

func refuseUnready(reason string) error {
	return &briarferry.Refusal{
		Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeUnknown,
		Reason: reason, RetryAfter: retrySoon,
	}
}

func refuseUnknownService(name string) error {
	return &briarferry.Refusal{
		Status: http.StatusNotFound, Outcome: briarferry.OutcomeNotRun,
		Reason: "no service " + name + " in the configuration",
	}
}

func refuseUnknown(reason string) error {
	return &briarferry.Refusal{
		Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeUnknown,
		Reason: reason, RetryAfter: retrySoon,
	}
}

func refuseNotRun(reason string) error {
	return &briarferry.Refusal{
		Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun,
		Reason: reason, RetryAfter: retrySoon,
	}
}

// refuseMismatch leaves the outcome unknown: the key's first request may have run,
// and a caller that reads "not run" could send the same order under a new key.
func refuseMismatch() error {
	return &briarferry.Refusal{
		Status: http.StatusUnprocessableEntity, Outcome: briarferry.OutcomeUnknown,
		Reason: "the idempotency key was used with another request",
	}
}
