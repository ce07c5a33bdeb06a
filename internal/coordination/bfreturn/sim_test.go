package bfreturn

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	simTarget, simFull = 600 * time.Millisecond, 3 * time.Second
	simService         = 250 * time.Millisecond
	simNetwork         = 10 * time.Millisecond
	simSlots           = 8
	// simServers is the number of servers of a region.
	simServers  = 10
	simAttempts = 3
)

type (
	// class is a kind of callers. Its rate is a share of the servers' capacity.
	class struct {
		name    string
		urgency int
		rate    float64
		// factor multiplies the rate from the fifth second for the load's length.
		factor float64
		// impatient callers repeat at once.
		impatient bool
		// organisation reports whether the class is one.
		organisation bool
	}
	load struct {
		name             string
		entries, regions int
		length           time.Duration
		classes          []class
		cold             bool
		shed             float64
		// need checks what the callers need, by class.
		need func(t *testing.T, name string, results []result)
	}
	// sim plays a load through entries that know their own requests and old reports of the
	// servers, with or without the rules of this package.
	sim struct {
		load
		room     []*Room
		full     []FullTime
		inFlight [][]int
		// others is the load by other entries that the last answer reported.
		others     [][]int
		reportedAt [][]time.Duration
		servers    []simServer
		now        time.Duration
		events     events
		results    []result
		rand       *rand.Rand
	}
	simServer struct {
		free [simSlots]time.Duration
		load int
	}
	request struct {
		class         int
		key           int
		start         time.Duration
		attempt       int
		returned      bool
		entry, server int
		placed        time.Duration
		finished      bool
	}
	event struct {
		at time.Duration
		r  *request
	}
	events []event
	result struct {
		sent, inTime, attemptInTime, served, refused, returned, returnedServed int
		// due counts the callers that came when they were told, dueRefused those refused again.
		due, dueRefused int
		waited          time.Duration
		seconds         [40]struct{ sent, inTime int }
	}
)

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

func (s *sim) time() time.Time { return time.Unix(1000, 0).Add(s.now) }

// play runs a load to its end and returns the results by class.
func play(l load, withRoom bool) *sim {
	s := &sim{load: l, rand: rand.New(rand.NewPCG(3, 5)), servers: make([]simServer, simServers*l.regions), results: make([]result, len(l.classes))}
	for range l.entries {
		s.inFlight, s.full = append(s.inFlight, make([]int, simServers*l.regions)), append(s.full, FullTime{})
		s.others = append(s.others, make([]int, simServers*l.regions))
		s.reportedAt = append(s.reportedAt, make([]time.Duration, simServers*l.regions))
		if withRoom {
			s.room = append(s.room, &Room{})
		}
	}
	end := 5*time.Second + l.length + 6*time.Second
	capacity := float64(simServers*l.regions*simSlots) / simService.Seconds()
	for i, c := range l.classes {
		for at := time.Duration(0); at < end; {
			rate := c.rate * capacity
			if s.during(at) {
				rate *= c.factor
			}
			at += time.Duration(s.rand.ExpFloat64() / rate * float64(time.Second))
			s.events = append(s.events, event{at, &request{class: i, start: at, key: s.rand.IntN(simServers)}})
		}
	}
	heap.Init(&s.events)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		if e.r.finished {
			s.finish(e.r)
		} else {
			s.arrive(e.r)
		}
	}
	return s
}

func (s *sim) during(at time.Duration) bool {
	return at >= 5*time.Second && at < 5*time.Second+s.length
}

// estimate returns the server's load as the entry knows it and the time of an answer.
func (s *sim) estimate(entry, server int) (float64, time.Duration) {
	own, weight := float64(s.inFlight[entry][server]), 0.0
	if at := s.reportedAt[entry][server]; at > 0 {
		weight = max(0, 1-(s.now-at).Seconds()/3)
	}
	known := own + weight*float64(s.others[entry][server]) + (1-weight)*own*float64(s.entries/s.regions-1)
	excess := max(0, known+1-simSlots)
	return known, s.serviceTime(server) + time.Duration(excess/simSlots*float64(s.serviceTime(server)))
}

func (s *sim) serviceTime(server int) time.Duration {
	if s.cold && server%2 == 0 && s.during(s.now) {
		return simService * 5 / 2
	}
	return simService
}

func (s *sim) arrive(r *request) {
	res, c := &s.results[r.class], s.classes[r.class]
	r.entry = s.rand.IntN(s.entries)
	remaining := simFull - (s.now - r.start)
	if r.attempt == 0 {
		res.sent++
		res.seconds[r.start/time.Second].sent++
	}
	r.attempt++
	caller := Caller{Urgency: c.urgency, Remaining: remaining}
	if c.organisation {
		caller.Organisation = c.name
	}
	caller.Returning = s.full[r.entry].Returning(s.time(), remaining)
	if s.room != nil {
		caller.Arrival = s.room[r.entry].Arrive(s.time(), caller)
	}
	res.due += b2i(caller.Due)
	server, estimate, ok, d := s.choose(r, caller, -1)
	for tries := 0; ok && s.during(s.now) && s.rand.Float64() < s.shed; tries++ {
		if tries == 1 {
			ok, estimate, d = false, 0, Shed
			break
		}
		server, estimate, ok, d = s.choose(r, caller, server)
	}
	if !ok {
		s.refuseRequest(r, caller, estimate, d)
		return
	}
	srv := &s.servers[server]
	first := slices.Index(srv.free[:], slices.Min(srv.free[:]))
	srv.free[first] = max(s.now, srv.free[first]) + time.Duration((0.8+0.4*s.rand.Float64())*float64(s.serviceTime(server)))
	srv.load++
	s.inFlight[r.entry][server]++
	r.server, r.placed, r.finished = server, s.now, true
	heap.Push(&s.events, event{srv.free[first] + simNetwork, r})
}

// choose mirrors the choice of bfsteering: the key's first and second server and another one
// get requests that are in time, and the first two get late ones.
func (s *sim) choose(r *request, c Caller, avoid int) (int, time.Duration, bool, Decision) {
	limit := time.Duration(0.95 * float64(min(simTarget, c.Remaining)))
	fastest, late := time.Hour, -1
	for order := range 3 {
		server := r.entry%s.regions*simServers + (r.key+order)%simServers
		if server == avoid {
			continue
		}
		known, e := s.estimate(r.entry, server)
		if e <= limit {
			return server, e, true, Admitted
		}
		fastest = min(fastest, e)
		most := []float64{1, 0.5, 0}[order]
		if order == 0 && float64(e) <= 1.6*float64(limit) {
			most = 3
		}
		if s.room != nil {
			most = s.room[r.entry].LateLimits(s.time(), c.Due).Load(most, s.serviceTime(server) <= limit)
		}
		if late < 0 && known+1 <= most*simSlots && e < c.Remaining {
			late = server
		}
	}
	d := NoRoom
	switch {
	case s.room != nil:
		d = s.room[r.entry].DecideLate(s.time(), c, late >= 0)
	case late >= 0:
		d = Admitted
	}
	return late, fastest, d == Admitted, d
}

func (s *sim) refuseRequest(r *request, c Caller, estimate time.Duration, d Decision) {
	res := &s.results[r.class]
	res.dueRefused += b2i(c.Due)
	if r.attempt == 1 {
		res.refused++
	} else if !r.returned {
		r.returned = true
		res.returned++
	}
	wait := min(max(estimate-simTarget, MinWait), 2*time.Second)
	if s.room != nil {
		if w, ok := s.room[r.entry].Refuse(s.time(), c, Refusal{Decision: d, Target: simTarget, Need: simService, InFlight: s.sent(r.entry)}); ok {
			wait = w
		}
	}
	wait = min(wait, c.Remaining/3)
	if s.classes[r.class].impatient {
		wait = 5 * time.Millisecond
	}
	if r.attempt < simAttempts+b2i(s.classes[r.class].impatient) && c.Remaining > wait+simNetwork*2 {
		heap.Push(&s.events, event{s.now + wait + 2*simNetwork, r})
	}
}

func (s *sim) finish(r *request) {
	res := &s.results[r.class]
	s.servers[r.server].load--
	s.inFlight[r.entry][r.server]--
	s.others[r.entry][r.server] = s.servers[r.server].load - s.inFlight[r.entry][r.server]
	s.reportedAt[r.entry][r.server] = s.now
	took := s.now - r.placed
	if s.room != nil {
		s.room[r.entry].Finish(s.time(), took <= simTarget)
	}
	whole := s.now - r.start
	if whole > simFull {
		return
	}
	res.served++
	res.attemptInTime += b2i(took <= simTarget)
	if whole <= simTarget {
		res.inTime++
		res.seconds[r.start/time.Second].inTime++
	}
	if r.attempt > 1 {
		res.waited += r.placed - r.start
		res.returnedServed++
		if !r.returned {
			res.returned++
		}
	}
}

// sent returns the number of the entry's requests at the servers.
func (s *sim) sent(entry int) (n int) {
	for _, inFlight := range s.inFlight[entry] {
		n += inFlight
	}
	return n
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
