package bfsteering

import (
	"testing"
	"time"

	"briarferry"
)

// TestServerReturnsCold guards against the full rate of requests to a server that was down for
// a while: where only a check found that, and where the entry couldn't reach the server and
// hears no control VM, which would tell that the server is cold.
func TestServerReturnsCold(t *testing.T) {
	cases := []struct {
		name      string
		inContact bool
		check     Outcome
		cold      bool
	}{
		{"check refused", true, Refused, true},
		{"unreachable, in contact", true, Unreachable, false},
		{"unreachable, no contact", false, Unreachable, true},
	}
	for _, c := range cases {
		f := newFleet(t, 1, map[string]int{"r1-a": 1, "r1-b": 1, "r2-a": 1}, 50)
		s := f.steering[0]
		s.InContact = func() bool { return c.inContact }
		service := &f.state.Routes.Services[0]
		service.ColdRate, service.ColdStart = 5, briarferry.Duration(3*time.Second)
		f.updateEntries()
		b := s.services[service.Name].servers[0].backend(service)
		s.ReportCheck(f.now, b, c.check)
		f.now = f.now.Add(maxEjectDuration)
		s.ReportCheck(f.now, b, Answered)
		srv := s.services[service.Name].servers[0]
		if srv.ejected() || f.now.Before(srv.coldUntil) != c.cold {
			t.Errorf("%s: ejected %v, cold until %v at %v", c.name, srv.ejected(), srv.coldUntil, f.now)
		}
	}
}
