package bfgateway

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"briarferry"
)

// TestColdServerWithoutControl guards against requests beyond the rate of a cold server to one
// whose health answers say that it is cold, while no control VM is heard. The rate allows one
// request in 10 s.
func TestColdServerWithoutControl(t *testing.T) {
	cases := []struct {
		name     string
		status   int
		cold     string
		instance string
		limited  bool
	}{
		{"cold", http.StatusOK, "3000", "i-0", true},
		{"cold, refused", http.StatusServiceUnavailable, "3000", "i-0", true},
		{"warm", http.StatusOK, "0", "i-0", false},
		{"nothing stated", http.StatusOK, "", "i-0", false},
		{"another instance", http.StatusOK, "3000", "i-9", false},
		{"invalid", http.StatusOK, "soon", "i-0", false},
	}
	for _, c := range cases {
		health := func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodGet || r.URL.Path != "/health" {
				answer(http.StatusOK, "X-Signature")(w, r)
				return
			}
			w.Header().Set("X-Instance", c.instance)
			if c.cold != "" {
				w.Header().Set("X-Cold", c.cold)
			}
			w.WriteHeader(c.status)
		}
		e := newTestEntry(t, health)
		only := *e.state
		routes := *e.state.Routes
		routes.Version, routes.Services = 2, []briarferry.RouteService{{Name: "s", ConnectionLimit: 100, HealthPath: "/health", ColdRate: 0.1}}
		only.Revision, only.Routes, only.Servers = 2, &routes, e.state.Servers[:1]
		e.node.update(&only)
		heard := &controlState{lastHeartbeat: time.Now()}
		e.node.fleet.controls[netip.MustParseAddrPort("127.0.0.1:1")] = heard
		if got, err := e.send(t.Context(), "/order/1", ""); err != nil || got.status != http.StatusOK {
			t.Fatalf("%s: first request: status %d, %v", c.name, got.status, err)
		}
		if due := e.node.steering.HealthChecks(time.Now()); len(due) != 0 {
			t.Fatalf("%s: %d health checks while a control VM is heard, want 0", c.name, len(due))
		}
		heard.lastHeartbeat = time.Now().Add(-time.Second)
		due := e.node.steering.HealthChecks(time.Now())
		if len(due) != 1 {
			t.Fatalf("%s: %d health checks due, want 1", c.name, len(due))
		}
		e.node.askHealth(t.Context(), due[0])
		got, err := e.send(t.Context(), "/order/2", "")
		if err != nil || (got.status == http.StatusServiceUnavailable) != c.limited {
			t.Errorf("%s: second request: status %d (%s), %v; want limited %v", c.name, got.status, got.problem.Detail, err, c.limited)
		}
	}
}
