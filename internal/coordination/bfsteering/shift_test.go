package bfsteering

import (
	"testing"
	"time"

	"briarferry/internal/state/bffleet"
)

// TestShiftLimitSuspension guards against a limit on shifts that is suspended while servers
// register, as at the start of a deployment, and against one that holds the requests of lost
// servers back.
func TestShiftLimitSuspension(t *testing.T) {
	changes := map[string]struct {
		change    func(s *bffleet.State)
		suspended bool
	}{
		"none":      {func(*bffleet.State) {}, false},
		"joined":    {func(s *bffleet.State) { s.Servers = append(s.Servers, s.Servers[0]); s.Servers[4].ID = "i-new" }, false},
		"left":      {func(s *bffleet.State) { s.Servers = s.Servers[1:] }, true},
		"drained":   {func(s *bffleet.State) { s.Servers = s.Servers[:3] }, false},
		"replaced":  {func(s *bffleet.State) { s.Servers[0].ID = "i-new" }, true},
		"restarted": {func(s *bffleet.State) { s.Servers[0].Started++ }, true},
		"draining":  {func(s *bffleet.State) { s.Servers[0].Draining = true }, true},
		"evacuated": {func(s *bffleet.State) { s.Evacuated = []string{"r2-a"} }, true},
	}
	for name, c := range changes {
		f := newFleet(t, 1, map[string]int{"r1-a": 2, "r2-a": 2}, 8)
		f.now = f.now.Add(time.Minute)
		f.state.Servers[3].Draining = name == "drained"
		f.updateEntries()
		f.steering[0].shift.suspendedUntil = time.Time{}
		next := *f.state
		next.Servers = append([]bffleet.Server(nil), next.Servers...)
		c.change(&next)
		s := f.steering[0]
		s.Update(f.now, &next)
		if got := s.shift.suspendedUntil.After(f.now); got != c.suspended {
			t.Errorf("%s: suspended %v, want %v", name, got, c.suspended)
		}
		if !c.suspended {
			continue
		}
		f.now = f.now.Add(time.Minute)
		s.Update(f.now, f.state)
		if name != "left" && name != "draining" && name != "evacuated" {
			continue
		}
		if s.shift.suspendedUntil.After(f.now) {
			t.Errorf("%s: suspended when the servers came back", name)
		}
	}
}
