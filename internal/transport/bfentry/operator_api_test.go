package bfentry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/state/bfmachine"
)

// machineControl is a ControlGroup that applies changes to a state machine without a control
// group.
type machineControl struct {
	m     *bfmachine.Machine
	index uint64
	down  bool
}

func (c *machineControl) Config(context.Context) (*bfmachine.ConfigState, error) {
	if c.down {
		return nil, errors.New("control group is unreachable")
	}
	return c.m.State(), nil
}

func (c *machineControl) Change(_ context.Context, op bfmachine.Op) (bfmachine.OpResult, error) {
	if c.down {
		return bfmachine.OpResult{}, errors.New("control group is unreachable")
	}
	c.index++
	cmd, err := bfmachine.Encode(1, op)
	if err != nil {
		return bfmachine.OpResult{}, err
	}
	r, err := bfmachine.DecodeResult(c.m.Apply(c.index, cmd), 1)
	return r.Ops[0], err
}

// operatorConfig returns a valid configuration in JSON.
func operatorConfig() string {
	data, _ := json.Marshal(briarferry.Config{
		Regions: []briarferry.Region{{Name: "koshi", FailureDomains: []string{"k1"}, CapacityShare: 0.8}},
		Classes: []briarferry.PriorityClass{{Name: "high", Target: 1}},
		Limits:  briarferry.DefaultLimits(),
	})
	return string(data)
}

// TestOperators guards against changes that are accepted without a key, a matching version or
// a token, and against failures that an operator can't distinguish. Each step depends on those
// before it.
func TestOperators(t *testing.T) {
	good := operatorConfig()
	bad := strings.Replace(good, `"capacity_share":0.8`, `"capacity_share":7`, 1)
	bad = strings.Replace(bad, `"retry_share":0.1`, `"retry_share":9`, 1)
	drain := `{"kind":"region","target":"koshi"}`
	tests := []struct {
		name, method, path, match, key, body string
		status                               int
		contains                             []string
		etag                                 string
	}{
		{"no configuration yet", "GET", "/v1/config", "", "", "", 200, []string{`"version":0`}, `"0"`},
		{"no If-Match", "PUT", "/v1/config", "", "k1", good, 428, nil, ""},
		{"no key", "PUT", "/v1/config", `"0"`, "", good, 400, []string{"Idempotency-Key"}, ""},
		{"all findings", "PUT", "/v1/config", `5`, "", bad, 400, []string{"Idempotency-Key", "If-Match", "regions[0].capacity_share", "limits.retry_share"}, ""},
		{"unknown field", "PUT", "/v1/config", `"0"`, "k1", `{"colour":1}`, 400, []string{"colour"}, ""},
		{"weak tag", "PUT", "/v1/config", `W/"0"`, "k1", good, 400, []string{"If-Match"}, ""},
		{"first version", "PUT", "/v1/config", `"0"`, "k1", good, 200, []string{`"version":1`}, `"1"`},
		{"resend", "PUT", "/v1/config", `"0"`, "k1", good, 200, []string{`"version":1`}, `"1"`},
		{"conflict", "PUT", "/v1/config", `"0"`, "k2", good, 412, []string{"version is 1"}, `"1"`},
		{"key of another change", "PUT", "/v1/config", `"1"`, "k1", good, 422, nil, ""},
		{"second version", "PUT", "/v1/config", `"1"`, "k3", good, 200, nil, `"2"`},
		{"drain without key", "POST", "/v1/drains", "", "", drain, 400, []string{"Idempotency-Key"}, ""},
		{"drain without a target", "POST", "/v1/drains", "", "d1", `{"kind":"rack","target":""}`, 400, []string{"kind"}, ""},
		{"drain with id", "POST", "/v1/drains", "", "d1", `{"id":"x","kind":"region","target":"koshi"}`, 400, []string{"id"}, ""},
		{"drain", "POST", "/v1/drains", "", "d1", drain, 201, []string{`"id":"drain-6-0"`}, ""},
		{"drain resent", "POST", "/v1/drains", "", "d1", drain, 201, []string{`"id":"drain-6-0"`}, ""},
		{"list", "GET", "/v1/drains", "", "", "", 200, []string{"drain-6-0"}, ""},
		{"remove drain", "DELETE", "/v1/drains/drain-6-0", "", "", "", 204, nil, ""},
		{"remove drain twice", "DELETE", "/v1/drains/drain-6-0", "", "", "", 404, nil, ""},
		{"wrong method", "PATCH", "/v1/config", "", "", "", 405, nil, ""},
	}
	control := &machineControl{m: bfmachine.New()}
	handler := (&OperatorAPI{Control: control, Token: "secret"}).Handler()
	send := func(method, path, match, key, body, token string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+token)
		r.Header.Set("If-Match", match)
		r.Header.Set("Idempotency-Key", key)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w
	}
	for _, tt := range tests {
		w := send(tt.method, tt.path, tt.match, tt.key, tt.body, "secret")
		if w.Code != tt.status || w.Header().Get("ETag") != tt.etag {
			t.Errorf("%s: got %d with ETag %s, want %d with %s: %s", tt.name, w.Code, w.Header().Get("ETag"), tt.status, tt.etag, w.Body)
		}
		for _, text := range tt.contains {
			if !strings.Contains(w.Body.String(), text) {
				t.Errorf("%s: answer lacks %s: %s", tt.name, text, w.Body)
			}
		}
	}
	if w := send("PUT", "/v1/config", `"2"`, "k9", good, "guess"); w.Code != http.StatusUnauthorized {
		t.Errorf("change with a wrong token: %d", w.Code)
	}
	control.down = true
	if w := send("PUT", "/v1/config", `"2"`, "k9", good, "secret"); w.Code != http.StatusServiceUnavailable || !strings.Contains(w.Body.String(), "unknown") {
		t.Errorf("change without a control group: %d %s", w.Code, w.Body)
	}
}

// FuzzOperators guards against bodies and headers that make the handlers panic or that change
// the configuration although they are refused.
func FuzzOperators(f *testing.F) {
	f.Add(operatorConfig(), `"0"`)
	f.Add(`{"regions":[{"name":"`, `W/"0"`)
	f.Fuzz(func(t *testing.T, body, match string) {
		control := &machineControl{m: bfmachine.New()}
		r := httptest.NewRequest("PUT", "/v1/config", strings.NewReader(body))
		r.Header.Set("If-Match", match)
		r.Header.Set("Idempotency-Key", "k")
		w := httptest.NewRecorder()
		(&OperatorAPI{Control: control}).Handler().ServeHTTP(w, r)
		if (w.Code == http.StatusOK) != (control.m.State().Version() == 1) {
			t.Errorf("status %d, but the version is %d", w.Code, control.m.State().Version())
		}
	})
}

// TestTokens guards against changes without a valid token, and against a refusal of the old or
// the new token during a rotation.
func TestTokens(t *testing.T) {
	two := func() []string { return []string{"new", "old"} }
	tests := []struct {
		operators OperatorAPI
		token     string
		given     bool
		want      bool
	}{
		{OperatorAPI{}, "", false, true},
		{OperatorAPI{Token: "one"}, "one", true, true},
		{OperatorAPI{Token: "one"}, "", false, false},
		{OperatorAPI{Token: "one"}, "", true, false},
		{OperatorAPI{Tokens: two}, "new", true, true},
		{OperatorAPI{Tokens: two}, "old", true, true},
		{OperatorAPI{Tokens: two}, "older", true, false},
		{OperatorAPI{Tokens: two}, "", false, false},
		{OperatorAPI{Tokens: func() []string { return nil }}, "", false, true},
	}
	for _, tt := range tests {
		if got := tt.operators.acceptsToken(tt.token, tt.given); got != tt.want {
			t.Errorf("token %q, given %t: accepted %t", tt.token, tt.given, got)
		}
	}
}

// TestVarsHideCommandLine guards against publishing the command line, which may contain the
// operators' token, on the path for variables, which needs no token.
func TestVarsHideCommandLine(t *testing.T) {
	w := httptest.NewRecorder()
	(&Entry{}).Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, bfapi.PathVars, nil))
	body := w.Body.String()
	if w.Code != http.StatusOK || !strings.Contains(body, `"memstats"`) || strings.Contains(body, "cmdline") {
		t.Errorf("status %d: %.200s", w.Code, body)
	}
}
