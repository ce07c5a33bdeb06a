package bfsteering

import (
	"time"

	"briarferry/internal/coordination/bfreturn"
)

// Arrive records a request before its first try and returns what its remaining time says about
// its caller. Remaining is the time that the caller gave.
func (s *Steering) Arrive(now time.Time, r Request) bfreturn.Arrival {
	v := s.service(r.Service)
	if v == nil {
		return bfreturn.Arrival{}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	s.logShortage(now, v)
	c := r.caller()
	c.Returning = v.routeModel(r.Route.Name).fullTime.Returning(now, r.Remaining)
	return v.room.Arrive(now, c)
}

// Shed returns when the caller of a request that servers refused should come back, or the
// given time if nothing is known about their room.
func (s *Steering) Shed(now time.Time, r Request, otherwise time.Duration) time.Duration {
	v := s.service(r.Service)
	if v == nil {
		return otherwise
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.refuse(now, s, &r, v.routeModel(r.Route.Name), bfreturn.Shed, 0, otherwise)
}

// Returns returns the counts of refused and returning callers of each service.
func (s *Steering) Returns() map[string]bfreturn.Counts {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make(map[string]bfreturn.Counts, len(s.services))
	for name, v := range s.services {
		v.mu.Lock()
		out[name] = v.room.Counts
		v.mu.Unlock()
	}
	return out
}

func (r *Request) caller() bfreturn.Caller {
	c := bfreturn.Caller{Urgency: r.Urgency(), Remaining: r.Remaining, Arrival: r.Arrival}
	if r.Organisation != nil {
		c.Organisation = r.Organisation.Name
	}
	return c
}

// decideLate decides whether the picked server gets the request. Answers on time are always
// admitted. ok reports whether the server accepts the request.
func (v *service) decideLate(now time.Time, r *Request, c candidate, ok bool) bfreturn.Decision {
	switch {
	case ok && c.estimate <= onTimeLimit(r):
		return bfreturn.Admitted
	case r.OnTimeOnly:
		return bfreturn.NoRoom
	}
	return v.room.DecideLate(now, r.caller(), ok)
}

// refuse records a refusal and returns when the caller should come back. It returns the time
// given by otherwise if nothing is known about the room, and for hedges, whose callers get no
// refusal.
func (v *service) refuse(now time.Time, s *Steering, r *Request, m *routeModel, d bfreturn.Decision, notBefore, otherwise time.Duration) time.Duration {
	if r.OnTimeOnly {
		return otherwise
	}
	f := bfreturn.Refusal{Decision: d, Target: r.Route.Target.Std(), NotBefore: notBefore}
	if m.all.samples >= minMeasuredSamples {
		f.Need = m.all.value
	}
	for _, srv := range v.servers {
		f.InFlight += srv.inFlight
	}
	wait, ok := v.room.Refuse(now, r.caller(), f)
	s.logShortage(now, v)
	if !ok {
		return otherwise
	}
	return wait
}

// waitFor returns when the caller should come back if no server gets requests now. It isn't
// before the end of a pause that servers asked for.
func (v *service) waitFor(now time.Time, s *Steering, r *Request, m *routeModel, none noCandidate) time.Duration {
	pause := none.retryAfter(now)
	switch {
	case !none.opensAt.IsZero():
		return v.refuse(now, s, r, m, bfreturn.Shed, pause, pause)
	case none.cold:
		return v.refuse(now, s, r, m, bfreturn.NoRoom, 0, pause)
	}
	return pause
}

// logShortage logs the begin and the end of a shortage. The end is noticed at the next request
// for the service.
func (s *Steering) logShortage(now time.Time, v *service) {
	c := v.room.Counts
	short, changed := v.room.Short(now, v.short)
	if !short && !changed {
		v.beforeShort = c
	}
	if !changed {
		return
	}
	v.short = short
	if short {
		s.Log.Warn().Str("service", v.name).Int("servers", len(v.servers)).Msg("too little room for the service")
		return
	}
	before := v.beforeShort
	v.beforeShort = c
	s.Log.Info().Str("service", v.name).Int64("refused", c.Refused-before.Refused).Int64("refused_again", c.RefusedAgain-before.RefusedAgain).
		Int64("returns_booked", c.Booked-before.Booked).Int64("returned_in_time", c.ReturnedInTime-before.ReturnedInTime).Msg("room for the service suffices again")
}
