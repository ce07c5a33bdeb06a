package bfsteering

import (
	"time"

	"briarferry"
)

// Note records what the server said in the head of its answer, before the try ends.
func (t *Try) Note(now time.Time, n briarferry.ServerNotice) {
	t.service.mu.Lock()
	defer t.service.mu.Unlock()
	t.steering.note(now, t.server, n)
}

// note records a notice of a server and logs its first effect. The caller holds the
// service's mutex.
func (s *Steering) note(now time.Time, srv *server, n briarferry.ServerNotice) {
	leaves, pauses := srv.availability.note(now, n)
	if leaves {
		// The keys of the server move.
		s.shift.suspend(now)
		s.Counts.Leaving.Add(1)
		s.Log.Info().Str("instance", srv.ID).Str("backend", srv.Address.String()).Str("service", srv.Service).Int("in_flight", srv.inFlight).
			Msg("backend server says that it leaves")
	}
	if pauses {
		s.Counts.Pauses.Add(1)
		s.Log.Info().Str("instance", srv.ID).Str("backend", srv.Address.String()).Str("service", srv.Service).Int("in_flight", srv.inFlight).
			Dur("asked_ms", n.Pause).Dur("pause_ms", srv.availability.pausedUntil.Sub(now)).Msg("backend server asks for a pause")
	}
}

// logPauseEnd logs the end of a server's pause once.
func (s *Steering) logPauseEnd(now time.Time, srv *server) {
	if srv.availability.endPause(now) {
		s.Log.Info().Str("instance", srv.ID).Str("backend", srv.Address.String()).Str("service", srv.Service).Msg("pause of backend server is over")
	}
}

// logLeavingEnd logs that the process of a server that said that it leaves has ended or is
// registered no more.
func (s *Steering) logLeavingEnd(srv *server) {
	if srv.availability.leaving {
		s.Log.Info().Str("instance", srv.ID).Str("backend", srv.Address.String()).Str("service", srv.Service).Msg("backend server that said that it leaves is gone")
	}
}
