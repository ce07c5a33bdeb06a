package bfgateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"briarferry"
	"briarferry/internal/coordination/bfsteering"
)

// TestInvalidStatus guards against an answer whose status no answer has: it must neither reach
// the caller nor end its connection without an answer, and proves nothing about the run.
func TestInvalidStatus(t *testing.T) {
	ok := answer(200, "X-Signature")
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		text := "HTTP/1.1 " + status + " None\r\nX-Id: ID\r\nX-Signature: 1\r\n"
		invalid := raw(text+"Content-Length: 2\r\n\r\nok", false)
		notRun := raw(text+"X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false)
		large := raw(text+"Content-Length: "+strconv.Itoa(downloadBytes)+"\r\n\r\n"+strings.Repeat("d", downloadBytes), false)
		cases := []struct {
			name, path string
			behaviours []behaviour
			status     int
			outcome    briarferry.Outcome
			runs       int64
			invalid    int64
		}{
			{"order", "/order/1", []behaviour{invalid, ok}, http.StatusBadGateway, briarferry.OutcomeUnknown, 1, 1},
			{"order that claims not to have run", "/order/1", []behaviour{notRun, ok}, http.StatusBadGateway, briarferry.OutcomeUnknown, 1, 1},
			{"idempotent", "/read/1", []behaviour{invalid, ok}, http.StatusOK, "", 2, 1},
			{"idempotent, all servers", "/read/1", []behaviour{invalid}, http.StatusBadGateway, briarferry.OutcomeUnknown, 2, 2},
			{"idempotent, then shed", "/read/1", []behaviour{invalid, answer(503, "X-Not-Run")}, http.StatusBadGateway, briarferry.OutcomeUnknown, 2, 1},
			{"large", "/chart/1", []behaviour{large, ok}, http.StatusOK, "", 2, 1},
		}
		for _, c := range cases {
			t.Run(status+" "+c.name, func(t *testing.T) {
				e := newTestEntry(t, c.behaviours...)
				before := tryCount(bfsteering.InvalidAnswer)
				got, err := e.send(t.Context(), c.path, "body")
				if err != nil || got.status != c.status || got.problem.Outcome != c.outcome || e.runs.Load() != c.runs {
					t.Errorf("status %d, outcome %q, %d runs, %v; want %d, %q, %d", got.status, got.problem.Outcome, e.runs.Load(), err, c.status, c.outcome, c.runs)
				}
				if n := tryCount(bfsteering.InvalidAnswer) - before; n != c.invalid {
					t.Errorf("%d tries count as invalid answers, want %d", n, c.invalid)
				}
			})
		}
	}
}
