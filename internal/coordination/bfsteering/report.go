package bfsteering

import (
	"time"

	"briarferry"
)

const (
	// Answered means a complete answer that reports no server error.
	Answered Outcome = "answered"
	// Failed means a complete answer that reports a server error.
	Failed Outcome = "failed"
	// Shed means that the server answered that it did not run the request because of its
	// load.
	Shed Outcome = "shed"
	// Misdirected means that another instance answered at the server's address.
	Misdirected Outcome = "misdirected"
	// Refused means that the server's host refused the connection; nothing was sent.
	Refused Outcome = "refused"
	// Unreachable means that the connection timed out; nothing was sent.
	Unreachable Outcome = "unreachable"
	// ConnectionLost means that the connection ended without a complete answer.
	ConnectionLost Outcome = "died"
	// TimedOut means that there was no answer in time.
	TimedOut Outcome = "silent"
	// InvalidAnswer means that the answer was incomplete or not from the server.
	InvalidAnswer Outcome = "garbled"
	// Cancelled means that this entry cancelled the try, for example because another try
	// was answered or the connection limit was reached.
	Cancelled Outcome = "cancelled"

	// slowRatio is the ratio of actual to expected time above which an answer counts as
	// slow.
	slowRatio = 1.5
	kilobyte  = 1024
)

type (
	// Outcome describes how a try ended.
	Outcome string

	// Report is the result of a finished try.
	Report struct {
		Outcome Outcome
		// ServerRefusedConnection reports whether the server refused a new connection
		// after this one was lost.
		ServerRefusedConnection bool
		// HasLoad reports whether the server reported its Load.
		HasLoad bool
		Load    briarferry.ServerLoad
		// Notice is what the server said about further requests.
		Notice briarferry.ServerNotice
		// Bytes is the size of the request with its answer.
		Bytes int
		// BodySentAt is when a streamed body had been sent, or zero.
		BodySentAt time.Time
		// AwaitedCaller reports whether the try ended before it had the whole body from its
		// caller. Such a try says nothing about the server's speed.
		AwaitedCaller bool
	}
)

// Done ends the try and records its result.
func (t *Try) Done(now time.Time, r Report) {
	v, srv := t.service, t.server
	v.mu.Lock()
	defer v.mu.Unlock()
	srv.inFlight--
	if t.upload {
		srv.uploads--
	}
	t.steering.note(now, srv, r.Notice)
	if r.HasLoad {
		srv.othersLoad, srv.loadReportedAt = max(0, float64(r.Load.Running+r.Load.Waiting-srv.inFlight)), now
		srv.reportedSlowdown = r.Load.Slowdown
	}
	if r.isCallersDoing() {
		return
	}
	switch r.Outcome {
	case Answered, Failed:
		t.learnAnswer(now, &r)
	case Shed:
		srv.answeredAt = now
		srv.lostConnections = 0
		srv.errorRate.add(now, errorHalfLife, 1)
		if !r.HasLoad {
			srv.othersLoad, srv.loadReportedAt = max(srv.othersLoad, float64(srv.Slots)), now
		}
	case Misdirected:
		// The registry will list the new instance soon. The ejection keeps requests away
		// until a check succeeds, unless there are no other servers.
		t.eject(now, "another instance has the address")
	case Refused:
		srv.restarted = true
		t.eject(now, "connection refused")
	case Unreachable:
		if !t.steering.link.connectTimedOut(now, srv.FailureDomain) {
			t.steering.noteUnreachable(srv)
			t.eject(now, "connection timed out")
		}
	case ConnectionLost:
		srv.errorRate.add(now, errorHalfLife, 1)
		srv.lostConnections++
		if r.ServerRefusedConnection || srv.lostConnections >= maxLostConnections {
			srv.restarted = true
			t.eject(now, "connections die")
		}
	case TimedOut:
		t.learnTimeout(now, &r)
		srv.errorRate.add(now, errorHalfLife, 1)
		srv.suspect = srv.suspect || srv.answeredAt.Before(t.started)
	case InvalidAnswer:
		srv.errorRate.add(now, errorHalfLife, 1)
	case Cancelled:
		t.learnCancellation(now, &r)
	}
}

// ReportOverdue records that the answer takes far longer than expected. A server that has
// answered nothing since the try began is checked.
func (t *Try) ReportOverdue() {
	v := t.service
	v.mu.Lock()
	defer v.mu.Unlock()
	t.server.suspect = t.server.suspect || t.server.answeredAt.Before(t.started)
}

// learnTimeout records the duration of a timed-out try as a cold server's time, which is at
// least that long.
func (t *Try) learnTimeout(now time.Time, r *Report) {
	if t.key != "" && !t.Warm && !t.queued {
		t.model.cold.add(now.Sub(t.workBegan(r)) - t.networkTime(r))
	}
}

// learnCancellation records the slowness shown by a cancelled try: its answer would have
// taken at least as long.
func (t *Try) learnCancellation(now time.Time, r *Report) {
	if ratio := float64(now.Sub(t.workBegan(r))) / float64(max(t.Expected-t.transfer, time.Millisecond)); ratio > slowRatio {
		t.server.slowness.add(now, slownessHalfLife, min(maxSlowness, ratio-1))
	}
}

// learnAnswer records a complete answer.
func (t *Try) learnAnswer(now time.Time, r *Report) {
	srv := t.server
	srv.answeredAt, srv.lostConnections, srv.ejections, srv.ejectedUntil = now, 0, 0, time.Time{}
	if r.Outcome == Failed {
		srv.errorRate.add(now, errorHalfLife, 1)
		return
	}
	srv.errorRate.add(now, errorHalfLife, 0)
	if r.AwaitedCaller {
		return
	}
	t.model.kilobytes.add(float64(r.Bytes) / kilobyte)
	took := now.Sub(t.workBegan(r))
	work := max(time.Millisecond, took-t.networkTime(r))
	cold := t.started.Before(srv.coldUntil)
	expected := max(t.Expected-t.transfer, time.Millisecond)
	slow := srv.slowness.get(now, slownessHalfLife)
	// A slowdown that the server reports is temporary and doesn't count as slowness.
	reported := max(1, srv.currentSlowdown(now)/t.slowdown)
	ratio := float64(took)/(float64(expected)*reported)*(1+slow) - 1
	// Queueing behind other requests says little about the server's own speed.
	if !t.queued && ratio > slowRatio*(1+slow)-1 || slow > 0.2 && ratio < slow {
		srv.slowness.add(now, slownessHalfLife, min(maxSlowness, max(0, ratio)))
	}
	if !t.queued && !cold {
		t.steering.plan.recordSlotTime(t.service.name, work)
	}
	if t.key != "" {
		if !t.queued && !cold && slow < 0.5 {
			t.model.addAnswer(t.Warm, t.missClass, work)
		}
		srv.warm.touch(t.key, int(t.model.cachedKeys))
		return
	}
	if !t.queued && !cold && slow < 0.5 {
		t.model.all.add(work)
		t.model.cold.add(work)
		t.model.warm.add(work)
	}
}

// eject stops requests to the server until a check succeeds.
func (t *Try) eject(now time.Time, cause string) {
	t.steering.eject(now, t.server, cause)
}

func (s *Steering) eject(now time.Time, srv *server, cause string) {
	if srv.ejected() && now.Before(srv.ejectedUntil) {
		return
	}
	srv.eject(now)
	s.shift.suspend(now)
	s.Log.Warn().Str("instance", srv.ID).Str("backend", srv.Address.String()).Str("service", srv.Service).Str("cause", cause).
		Int("in_flight", srv.inFlight).Dur("pause_ms", srv.ejectedUntil.Sub(now)).Msg("backend server ejected")
}

// noteUnreachable marks an unreachable server as restarted if no control VM can tell whether it
// was: it may have lost its power, and would then return cold.
func (s *Steering) noteUnreachable(srv *server) {
	if s.InContact != nil && !s.InContact() {
		srv.restarted = true
	}
}

// ServersToCheck returns the servers to be checked now: ejected ones, and those suspected
// because of an overdue answer.
func (s *Steering) ServersToCheck(now time.Time) []briarferry.Backend {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []briarferry.Backend
	for _, v := range s.services {
		v.mu.Lock()
		for _, srv := range v.servers {
			if !srv.needsCheck(now) {
				continue
			}
			if srv.ejected() {
				srv.eject(now)
			}
			srv.suspect, srv.checkedAt = false, now
			out = append(out, srv.backend(&v.config))
		}
		v.mu.Unlock()
	}
	return out
}

// ReportCheck records the outcome of a connection opened to check a server. A server that
// was restarted counts as cold.
func (s *Steering) ReportCheck(now time.Time, b briarferry.Backend, o Outcome) {
	alive := o == Answered
	linkCongested := o == Unreachable && s.link.connectTimedOut(now, b.FailureDomain)
	v := s.service(b.Service)
	if v == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, srv := range v.servers {
		if srv.ID != b.InstanceID {
			continue
		}
		switch {
		case o == Refused:
			srv.restarted = true
		case o == Unreachable && !linkCongested:
			s.noteUnreachable(srv)
		}
		switch {
		case !alive && !srv.ejected() && !linkCongested:
			s.eject(now, srv, "no connection")
		case alive && srv.ejected():
			srv.ejectedUntil = time.Time{}
			if srv.restarted {
				srv.restarted = false
				srv.markCold(now, now.Add(v.config.ColdStart.Std()))
			}
			s.Log.Info().Str("instance", srv.ID).Str("backend", srv.Address.String()).Str("service", srv.Service).Msg("backend server reinstated")
		}
	}
}
