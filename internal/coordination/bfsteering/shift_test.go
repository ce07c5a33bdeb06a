package bfsteering

import (
	"testing"
	"time"

	"briarferry/internal/state/bffleet"
)

// TestShiftLimitSuspension guards against a limit on shifts that is suspended while servers
// register at the start of a deployment, and against one that holds requests back after a
// change of the servers.
func TestShiftLimitSuspension(t *testing.T) {
	changes := map[string]struct {
		after     time.Duration
		change    func(s *bffleet.State)
		suspended bool
	}{
		"none":              {time.Minute, func(*bffleet.State) {}, false},
		"joined at start":   {startupPeriod / 2, func(s *bffleet.State) { s.Servers = append(s.Servers, s.Servers[0]); s.Servers[4].ID = "i-new" }, false},
		"joined later":      {time.Minute, func(s *bffleet.State) { s.Servers = append(s.Servers, s.Servers[0]); s.Servers[4].ID = "i-new" }, true},
		"left":              {time.Minute, func(s *bffleet.State) { s.Servers = s.Servers[1:] }, true},
		"left at start":     {startupPeriod / 2, func(s *bffleet.State) { s.Servers = s.Servers[1:] }, true},
		"replaced at start": {startupPeriod / 2, func(s *bffleet.State) { s.Servers[0].ID = "i-new" }, true},
		"restarted":         {startupPeriod / 2, func(s *bffleet.State) { s.Servers[0].Started++ }, true},
		"draining":          {startupPeriod / 2, func(s *bffleet.State) { s.Servers[0].Draining = true }, true},
		"evacuated":         {startupPeriod / 2, func(s *bffleet.State) { s.Evacuated = []string{"r2-a"} }, true},
	}
	for name, c := range changes {
		f := newFleet(t, 1, map[string]int{"r1-a": 2, "r2-a": 2}, 8)
		f.now = f.now.Add(c.after)
		next := *f.state
		next.Servers = append([]bffleet.Server(nil), next.Servers...)
		c.change(&next)
		s := f.steering[0]
		s.Update(f.now, &next)
		if got := s.shift.suspendedUntil.After(f.now); got != c.suspended {
			t.Errorf("%s: suspended %v, want %v", name, got, c.suspended)
		}
	}
}
