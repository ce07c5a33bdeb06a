package bfapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"briarferry"
)

// Problem is the body of the answer to a failed request (RFC 9457).
type Problem struct {
	Title     string              `json:"title"`
	Status    int                 `json:"status"`
	Detail    string              `json:"detail,omitempty"`
	Outcome   briarferry.Outcome  `json:"outcome,omitempty"`
	RequestID string              `json:"request_id,omitempty"`
	Findings  briarferry.Findings `json:"findings,omitempty"`
}

// WriteProblem writes an answer with a problem document. A positive retryAfter is
// rounded up to whole seconds and sent as Retry-After.
func WriteProblem(w http.ResponseWriter, p Problem, retryAfter time.Duration) {
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
	if retryAfter > 0 {
		seconds := int(math.Ceil(retryAfter.Seconds()))
		w.Header().Set(HeaderRetryAfter, strconv.Itoa(seconds))
	}
	if p.RequestID != "" {
		w.Header().Set(HeaderRequestID, p.RequestID)
	}
	var body bytes.Buffer
	_ = json.NewEncoder(&body).Encode(p)
	w.Header().Set("Content-Type", TypeProblem)
	// The length makes the document complete for a caller whose connection is closed after it.
	w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	w.WriteHeader(p.Status)
	_, _ = w.Write(body.Bytes())
}

// WriteError writes the problem that ProblemOf returns for an error.
func WriteError(w http.ResponseWriter, requestID string, err error) {
	p, retryAfter := ProblemOf(err)
	p.RequestID = requestID
	WriteProblem(w, p, retryAfter)
}

// ProblemOf returns the problem document for an error and the time to wait before a
// retry, 0 for none.
func ProblemOf(err error) (Problem, time.Duration) {
	var refusal *briarferry.Refusal
	if errors.As(err, &refusal) {
		return Problem{Status: refusal.Status, Detail: refusal.Reason, Outcome: refusal.Outcome}, refusal.RetryAfter
	}
	var findings briarferry.Findings
	if errors.As(err, &findings) {
		return Problem{Status: http.StatusBadRequest, Findings: findings, Outcome: briarferry.OutcomeNotRun}, 0
	}
	return Problem{
		Status: http.StatusInternalServerError, Detail: "internal error", Outcome: briarferry.OutcomeUnknown,
	}, 0
}

// WriteJSON writes an answer with a JSON document.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", TypeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
