// Package bfreturn decides who gets the late placements of a service that has too little
// room, and when refused callers come back. Its code is pure: it sees the time and what one
// entry observes, and no network.
package bfreturn

import "time"

const (
	// quietPeriod is the time without a refusal after which a shortage is over.
	quietPeriod = 2 * time.Second
	// MinWait is the shortest time after which a refused caller may come back.
	MinWait = 100 * time.Millisecond
	// shortQueueShare is the share of the usual queue of late requests that servers get in a
	// shortage. A longer queue makes the requests behind it late too.
	shortQueueShare = 0.5
)

const (
	// Admitted means that the request may take a late placement.
	Admitted Decision = iota
	// NoRoom means that no server accepts the request.
	NoRoom
	// ShareUsed means that the organisation has its share of the late placements.
	ShareUsed
	// LessUrgent means that more urgent requests were refused in the last second.
	LessUrgent
	// Shed means that servers refused the request, although they seemed to have room.
	Shed
)

type (
	// Decision says whether a request that would be late is served.
	Decision int

	// Caller is what an entry knows about a request.
	Caller struct {
		// Organisation is empty for anonymous callers.
		Organisation string
		// Urgency is 0 for the requests that are served first.
		Urgency int
		// Remaining is the time left until the request must be answered.
		Remaining time.Duration
		Arrival
	}

	// Arrival tells returning callers from new ones.
	Arrival struct {
		// Returning reports whether the caller was refused before, as far as its remaining
		// time shows.
		Returning bool
		// Due reports whether a caller with such a remaining time was told to come now.
		Due bool
	}

	// Refusal is what an entry knows when it refuses a request.
	Refusal struct {
		Decision Decision
		// Target is the time within which an answer is in time, and Need the usual time of an
		// answer.
		Target, Need time.Duration
		// NotBefore is the time for which servers asked.
		NotBefore time.Duration
		// InFlight is the number of the entry's requests at the servers.
		InFlight int
	}

	// Room holds the requests for one service at one entry that found too little room. The
	// zero value is ready to use. It isn't safe for concurrent use.
	Room struct {
		clock     clock
		calendar  calendar
		shares    shares
		urgencies urgencies

		refusedAt time.Time
		// Counts holds the totals since the start.
		Counts Counts
	}

	// LateLimits limits the load of servers that accept a request that will be late. They
	// answer a load in which new requests, which would be late anyway, take the room of the
	// callers that were told to come: without them these are refused again. The zero value
	// changes nothing.
	LateLimits struct {
		due, short bool
		dueShare   float64
	}

	// Counts holds numbers of requests.
	Counts struct {
		// Refused counts all refusals, RefusedAgain those of returning callers.
		Refused      int64 `json:"refused"`
		RefusedAgain int64 `json:"refused_again"`
		// Booked counts the callers that were told a time at which there will be room, and
		// ReturnedInTime the callers that came at such a time.
		Booked         int64 `json:"booked"`
		ReturnedInTime int64 `json:"returned_in_time"`
	}
)

// Arrive records a request at its arrival and returns whether it was told to come now.
func (r *Room) Arrive(now time.Time, c Caller) Arrival {
	tick := r.clock.tick(now)
	r.urgencies.note(tick, c.Urgency)
	r.shares.note(now, tick, c.Organisation, r.isShort(now))
	if !c.Returning {
		return Arrival{}
	}
	due := r.calendar.arrive(tick, c.Remaining)
	if due {
		r.Counts.ReturnedInTime++
	}
	return Arrival{Returning: true, Due: due}
}

// LateLimits returns the limits on the load of servers that accept the request although it
// will be late.
func (r *Room) LateLimits(now time.Time, due bool) LateLimits {
	return LateLimits{due: due, short: r.isShort(now), dueShare: r.calendar.dueShare(r.clock.tick(now))}
}

// Load returns the highest load per slot, given the one with enough room. inTimeIfIdle reports
// whether the server would answer in time without a queue. For new callers only the queue
// beyond the slots is shortened: free slots would otherwise stay idle where told callers don't
// come, and requests that the limit on shifts allows only elsewhere would be refused.
func (l LateLimits) Load(limit float64, inTimeIfIdle bool) float64 {
	if l.due {
		return limit * (1 + l.dueShare)
	}
	if limit <= 1 {
		return limit
	}
	queue := (limit - 1) * (1 - l.dueShare)
	if l.short && inTimeIfIdle {
		queue *= shortQueueShare
	}
	return 1 + queue
}

// DecideLate decides whether a request that would be late gets a placement. offered reports
// whether a server accepts it. The placement of a caller that was told to come was counted
// when it was booked.
func (r *Room) DecideLate(now time.Time, c Caller, offered bool) Decision {
	tick := r.clock.tick(now)
	if offered && c.Due {
		return Admitted
	}
	d := LessUrgent
	if r.urgencies.mayTake(tick, c.Urgency) {
		// What urgency denies doesn't count as the organisation's demand: others would be
		// held to their shares for placements that it can't get.
		r.shares.ask(tick, c.Organisation)
		d = r.grant(tick, c)
	}
	switch {
	case !offered:
		return NoRoom
	case r.isShort(now) && d != Admitted:
		return d
	}
	r.take(tick, c)
	return Admitted
}

// grant decides whether urgency and organisation leave the caller a late placement.
func (r *Room) grant(tick int64, c Caller) Decision {
	switch {
	case !r.urgencies.mayTake(tick, c.Urgency):
		return LessUrgent
	case !r.shares.mayTake(tick, c.Organisation):
		return ShareUsed
	}
	return Admitted
}

func (r *Room) take(tick int64, c Caller) {
	r.urgencies.take(tick, c.Urgency)
	r.shares.take(tick, c.Organisation)
}

// Refuse records a refusal and returns the time after which the caller should come back. ok is
// false if nothing is known about the room yet.
func (r *Room) Refuse(now time.Time, c Caller, f Refusal) (wait time.Duration, ok bool) {
	tick := r.clock.tick(now)
	r.refusedAt = now
	r.Counts.Refused++
	if c.Returning {
		r.Counts.RefusedAgain++
	}
	if f.Decision == NoRoom {
		r.urgencies.refuse(tick, c.Urgency)
	}
	b := booking{Refusal: f, remaining: c.Remaining, refused: r.urgencies.refusedShare(tick)}
	b.urgent, b.yields = r.urgencies.compare(tick, c.Urgency)
	b.granted = f.Decision == Shed || f.Decision == NoRoom && r.grant(tick, c) == Admitted
	wait, booked := r.calendar.book(now, &r.clock, b)
	if booked {
		r.Counts.Booked++
		r.take(tick, c)
	}
	return wait, wait > 0
}

// Finish records an answer, of which only those in time show how much room there is.
func (r *Room) Finish(now time.Time, inTime bool) { r.calendar.finish(r.clock.tick(now), inTime) }

// Short reports whether requests were refused recently, and whether that has changed since the
// last call.
func (r *Room) Short(now time.Time, before bool) (short, changed bool) {
	short = r.isShort(now)
	return short, short != before
}

func (r *Room) isShort(now time.Time) bool {
	return !r.refusedAt.IsZero() && now.Sub(r.refusedAt) < quietPeriod
}

// String returns the reason that callers and logs get.
func (d Decision) String() string {
	switch d {
	case ShareUsed:
		return "the organisation's share of the late answers is used up"
	case LessUrgent:
		return "more urgent requests were refused"
	}
	return "no backend server can answer in time"
}
