package bfsteering

import (
	"time"

	"briarferry"
)

const (
	// Answered is a whole answer that is no failure of the server.
	Answered Outcome = "answered"
	// Failed is a whole answer that reports a failure of the server.
	Failed Outcome = "failed"
	// Shed is an answer that says that the server did not run the request for its load.
	Shed Outcome = "shed"
	// Misdirected is an answer of another instance at the server's address.
	Misdirected Outcome = "misdirected"
	// Refused is a connection that the server's machine refused; nothing was sent.
	Refused Outcome = "refused"
	// Unreachable is a connection that was not made in time; nothing was sent.
	Unreachable Outcome = "unreachable"
	// ConnectionLost is a connection that ended without a whole answer.
	ConnectionLost Outcome = "died"
	// TimedOut is a try that got no answer in time.
	TimedOut Outcome = "silent"
	// InvalidAnswer is an answer that is not the server's, or not whole.
	InvalidAnswer Outcome = "garbled"
	// Cancelled is a try that this entry gave up for reasons of its own.
	Cancelled Outcome = "cancelled"

	// slowStep is by how many times an answer must exceed what was expected to count
	// as slow.
	slowStep = 1.5
	kilobyte = 1024
)

type (
	// Outcome tells how a try ended.
	Outcome string

	// Report is what a finished try has shown.
	Report struct {
		Outcome Outcome
		// ServerGone tells that the server refused a new connection after this one died.
		ServerGone bool
		// HasLoad tells that the server reported its load.
		HasLoad bool
		// Bytes is the size of the request with its answer.
		Bytes int

		Running, Waiting, Slots int
	}
)

// Done takes what the try has shown about its server.
func (t *Try) Done(now time.Time, r Report) {
	v, srv := t.service, t.server
	v.mu.Lock()
	defer v.mu.Unlock()
	srv.inFlight--
	if r.HasLoad {
		srv.others, srv.othersAt = max(0, float64(r.Running+r.Waiting-srv.inFlight)), now
	}
	switch r.Outcome {
	case Answered, Failed:
		t.answered(now, r.Outcome == Failed, r.Bytes)
	case Shed:
		srv.answered = now
		srv.dead = 0
		srv.errors.add(now, errorLife, 1)
		if !r.HasLoad {
			srv.others, srv.othersAt = max(srv.others, float64(srv.Slots)), now
		}
	case Misdirected:
		// The registry names another instance soon; until then nothing is sent there.
		t.lose(now, "another instance has the address")
	case Refused:
		srv.restarted = true
		t.lose(now, "connection refused")
	case Unreachable:
		if !t.steering.path.timedOut(now, srv.FailureDomain) {
			t.lose(now, "connection timed out")
		}
	case ConnectionLost:
		srv.errors.add(now, errorLife, 1)
		srv.dead++
		if r.ServerGone || srv.dead >= deadTries {
			srv.restarted = true
			t.lose(now, "connections die")
		}
	case TimedOut:
		t.outlasted(now)
		srv.errors.add(now, errorLife, 1)
		srv.suspect = srv.suspect || srv.answered.Before(t.started)
	case InvalidAnswer:
		srv.errors.add(now, errorLife, 1)
	case Cancelled:
		t.cancelled(now)
	}
}

// ReportOverdue tells that the answer takes far longer than expected. A server that has not
// answered anything since is checked.
func (t *Try) ReportOverdue() {
	v := t.service
	v.mu.Lock()
	defer v.mu.Unlock()
	t.server.suspect = t.server.suspect || t.server.answered.Before(t.started)
}

// outlasted learns from a try that ran out of time: its server needs at least as long.
func (t *Try) outlasted(now time.Time) {
	if t.key != "" && !t.Warm && !t.waited {
		t.model.cold.add(now.Sub(t.started) - t.network)
	}
}

// cancelled learns from a try that was given up: its server needs at least as long.
func (t *Try) cancelled(now time.Time) {
	if ratio := float64(now.Sub(t.started)) / float64(max(t.Expected, time.Millisecond)); ratio > slowStep {
		t.server.slowness.add(now, slowLife, min(maxSlow, ratio-1))
	}
}

// answered learns from a whole answer.
func (t *Try) answered(now time.Time, failed bool, bytes int) {
	srv := t.server
	srv.answered, srv.dead, srv.ejections, srv.ejectedUntil = now, 0, 0, time.Time{}
	if failed {
		srv.errors.add(now, errorLife, 1)
		return
	}
	srv.errors.add(now, errorLife, 0)
	t.model.kilobytes.add(float64(bytes) / kilobyte)
	took := now.Sub(t.started)
	work := max(time.Millisecond, took-t.network)
	cold := t.started.Before(srv.coldUntil)
	expected := max(t.Expected, time.Millisecond)
	slow := srv.slowness.get(now, slowLife)
	ratio := float64(took)/float64(expected)*(1+slow) - 1
	// A wait behind other requests says little about the server's own speed.
	if !t.waited && ratio > slowStep*(1+slow)-1 || slow > 0.2 && ratio < slow {
		srv.slowness.add(now, slowLife, min(maxSlow, max(0, ratio)))
	}
	if t.key != "" {
		if !t.waited && !cold && slow < 0.5 {
			t.model.learn(t.Warm, t.likely, work)
		}
		srv.warm.touch(t.key, int(t.model.keep))
		return
	}
	if !t.waited && !cold && slow < 0.5 {
		t.model.all.add(work)
		t.model.cold.add(work)
		t.model.warm.add(work)
	}
}

// lose leaves the server alone until a check finds it alive.
func (t *Try) lose(now time.Time, why string) {
	t.steering.lose(now, t.server, why)
}

func (s *Steering) lose(now time.Time, srv *server, why string) {
	if srv.ejected() && now.Before(srv.ejectedUntil) {
		return
	}
	srv.eject(now)
	s.shift.disturb(now)
	s.Log.Warn().Str("instance", srv.ID).Str("backend", srv.Address.String()).Str("service", srv.Service).Str("cause", why).
		Int("in_flight", srv.inFlight).Dur("pause_ms", srv.ejectedUntil.Sub(now)).Msg("backend server left out")
}

// ServersToCheck returns the servers that should be checked now: those that were left out, and
// those that are suspected since an answer is overdue.
func (s *Steering) ServersToCheck(now time.Time) []briarferry.Backend {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []briarferry.Backend
	for _, v := range s.services {
		v.mu.Lock()
		for _, srv := range v.servers {
			if !srv.due(now) {
				continue
			}
			if srv.ejected() {
				srv.eject(now)
			}
			srv.suspect, srv.checked = false, now
			out = append(out, srv.backend(&v.config))
		}
		v.mu.Unlock()
	}
	return out
}

// ReportCheck takes the outcome of a connection that was opened to see whether the server is
// there. A server that was restarted counts as cold.
func (s *Steering) ReportCheck(now time.Time, b briarferry.Backend, o Outcome) {
	alive := o == Answered
	blocked := o == Unreachable && s.path.timedOut(now, b.FailureDomain)
	v := s.service(b.Service)
	if v == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, srv := range v.servers {
		switch {
		case srv.ID != b.InstanceID:
		case !alive && !srv.ejected() && !blocked:
			s.lose(now, srv, "no connection")
		case alive && srv.ejected():
			srv.ejectedUntil = time.Time{}
			if srv.restarted {
				srv.restarted = false
				srv.chill(now, now.Add(v.config.ColdStart.Std()))
			}
			s.Log.Info().Str("instance", srv.ID).Str("backend", srv.Address.String()).Str("service", srv.Service).Msg("backend server is back")
		}
	}
}
