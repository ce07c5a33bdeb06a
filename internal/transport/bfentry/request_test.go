package bfentry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
)

// TestEarlyRefusals guards against input that is refused with a wrong status, and against the
// outcome "not run" for a key with which an earlier attempt may have run.
func TestEarlyRefusals(t *testing.T) {
	cfg := &briarferry.Config{
		Classes:  []briarferry.PriorityClass{{Name: "urgent", Urgency: 1, Target: 1}},
		Services: []briarferry.Service{{Name: "orders", Class: "urgent", Slots: 1, ExpectedLatency: briarferry.Duration(time.Millisecond)}},
		Limits:   briarferry.DefaultLimits(),
	}
	cfg.Limits.MaxBodyBytes = 8
	e := &Entry{Config: FixedConfig{Config: cfg}, Members: fixedMembers{}, Announcements: syncedTable{}, Pipeline: &Pipeline{}}
	tests := []struct {
		name, path, body string
		header           map[string]string
		status           int
		outcome          briarferry.Outcome
		place            string
	}{
		{"no key", "/s/orders/x", "", nil, 400, briarferry.OutcomeNotRun, bfapi.HeaderIdempotencyKey},
		{"bad timeout", "/s/orders/x", "", map[string]string{bfapi.HeaderIdempotencyKey: "k", bfapi.HeaderRequestTimeout: "-1"}, 400, briarferry.OutcomeUnknown, bfapi.HeaderRequestTimeout},
		{"bad priority", "/s/orders/x", "", map[string]string{bfapi.HeaderPriority: "u=9"}, 400, briarferry.OutcomeNotRun, bfapi.HeaderPriority},
		{"large body", "/s/orders/x", "123456789", nil, 400, briarferry.OutcomeNotRun, "body"},
		{"no service", "/s/nowhere/x", "", nil, 404, briarferry.OutcomeNotRun, ""},
		{"no service with a key", "/s/nowhere/x", "", map[string]string{bfapi.HeaderIdempotencyKey: "k"}, 404, briarferry.OutcomeUnknown, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, test.path, strings.NewReader(test.body))
			for name, value := range test.header {
				r.Header.Set(name, value)
			}
			w := httptest.NewRecorder()
			e.Handler().ServeHTTP(w, r)
			var p bfapi.Problem
			if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
				t.Fatal(err)
			}
			if w.Code != test.status || p.Outcome != test.outcome {
				t.Errorf("got %d %s, want %d %s", w.Code, p.Outcome, test.status, test.outcome)
			}
			if test.place != "" && !strings.Contains(p.Findings.Error(), test.place+": ") {
				t.Errorf("no finding for %s: %v", test.place, p.Findings)
			}
		})
	}
}

// syncedTable is a table of backend servers that is always complete and drops announcements.
type syncedTable struct{}

func (syncedTable) Announce(briarferry.Announcement) error { return nil }
func (syncedTable) Synced() bool                           { return true }

// TestMemoryClaimsForeignRelease guards against an attempt that releases the claim of another
// attempt, so that the request could run twice.
func TestMemoryClaimsForeignRelease(t *testing.T) {
	m := &MemoryClaims{}
	first := briarferry.Claim{Service: "orders", Key: "k", Token: "a"}
	second := first
	second.Token = "b"
	if r, _ := m.Claim(t.Context(), first); r.Result != briarferry.ClaimGranted {
		t.Fatal(r)
	}
	if r, _ := m.Release(t.Context(), second); r.Result != briarferry.ClaimHeld {
		t.Errorf("release by the second attempt: %s", r.Result)
	}
	if r, _ := m.Claim(t.Context(), second); r.Result != briarferry.ClaimHeld {
		t.Errorf("claim by the second attempt: %s", r.Result)
	}
	if r, _ := m.Release(t.Context(), first); r.Result != briarferry.ClaimReleased {
		t.Errorf("release by the holder: %s", r.Result)
	}
}
