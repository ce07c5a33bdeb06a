package bfgateway

import (
	"net/http"
	"testing"

	"briarferry"
)

// saying returns a behaviour that sets the headers before the answer. An id replaces that of
// the request.
func saying(b behaviour, id string, headers ...string) behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		for i := 0; i < len(headers); i += 2 {
			w.Header().Set(headers[i], headers[i+1])
		}
		if id != "" {
			r.Header.Set("X-Id", id)
		}
		b(w, r)
	}
}

// TestServerNotices guards against requests to a server after its answer said that it leaves
// or wants a pause, and against taking out a sound server on account of an answer that
// belongs to another request or another instance.
func TestServerNotices(t *testing.T) {
	ok := answer(200, "X-Signature")
	cases := []struct {
		name   string
		answer behaviour
		closed bool
	}{
		{"success", ok, false},
		{"leaving", saying(ok, "", "X-Leaving", "1"), true},
		{"leaving, not found", saying(answer(404, "X-Signature"), "", "X-Leaving", "1"), true},
		{"leaving, error", saying(answer(500, "X-Signature"), "", "X-Leaving", "1"), true},
		{"leaving, shed", saying(answer(503, "X-Not-Run"), "", "X-Leaving", "1"), true},
		{"leaving, last on its connection", saying(ok, "", "X-Leaving", "1", "Connection", "close"), true},
		{"leaving, no signature", saying(answer(200, "X-None"), "", "X-Leaving", "1"), false},
		{"leaving, answer to another request", saying(ok, "other", "X-Leaving", "1"), false},
		{"leaving, another instance", saying(answer(421, "X-Not-Run"), "", "X-Leaving", "1"), false},
		{"pause", saying(answer(503, "X-Not-Run"), "", "Retry-After", "3"), true},
		{"pause, invalid", saying(answer(503, "X-Not-Run"), "", "Retry-After", "soon"), false},
		{"pause, not a refusal", saying(ok, "", "Retry-After", "3"), false},
	}
	for _, c := range cases {
		e := newTestEntry(t, c.answer, ok)
		// The first server that gets the request is the only one, so that it alone can
		// answer the next one.
		first := e.state.Servers[0]
		only := *e.state
		only.Revision, only.Servers = 2, e.state.Servers[:1]
		e.node.update(&only)
		_, _ = e.send(t.Context(), "/order/1", "")
		runs := e.runs.Load()
		got, err := e.send(t.Context(), "/order/2", "")
		if err != nil {
			t.Fatal(err)
		}
		closed := e.runs.Load() == runs
		if closed != c.closed {
			t.Errorf("%s: the next request reached %s: %v", c.name, first.ID, !closed)
		}
		if closed && (got.status != 503 || got.problem.Outcome != briarferry.OutcomeNotRun || got.header.Get("Retry-After") == "") {
			t.Errorf("%s: the next request got status %d, outcome %q, Retry-After %q", c.name, got.status, got.problem.Outcome, got.header.Get("Retry-After"))
		}
		e.node.update(e.state)
	}
}
