package bfentry

import (
	"net/http"
	"time"

	"briarferry"
)

const retrySoon = time.Second

func refuseNoLease() error { return refuseUnknown("this entry holds no valid configuration lease") }

func refuseUnknownService(name string) error {
	return &briarferry.Refusal{
		Status: http.StatusNotFound, Outcome: briarferry.OutcomeNotRun,
		Reason: "no service " + name + " in the configuration",
	}
}

// refuseUnknown says that the request may have run.
func refuseUnknown(reason string) error { return refuseForNow(briarferry.OutcomeUnknown, reason) }

// refuseNotRun says that the request certainly did not run.
func refuseNotRun(reason string) error { return refuseForNow(briarferry.OutcomeNotRun, reason) }

func refuseForNow(outcome briarferry.Outcome, reason string) error {
	return &briarferry.Refusal{
		Status: http.StatusServiceUnavailable, Outcome: outcome, Reason: reason, RetryAfter: retrySoon,
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
