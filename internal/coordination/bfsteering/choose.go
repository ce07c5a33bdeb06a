package bfsteering

import (
	"net/http"
	"slices"
	"time"

	"briarferry"
)

const (
	// domainCost and regionCost, and the same for each kilobyte of a request with its
	// answer, are the delays that are accepted to stay in the own failure domain or
	// region, as traffic between them is scarce.
	domainCost   = 20 * time.Millisecond
	regionCost   = 20 * time.Millisecond
	kilobyteCost = 45 * time.Millisecond
	// onTime is the share of the target that an expected answer may take.
	onTime = 0.95
	// lateQueue is how many requests for each slot may be at a server where none can
	// answer within its target.
	lateQueue = 1.0
	// ownQueue is the same for servers that have the key or are its first ones, where
	// the answer is expected within hopeShare of the time for answers on time. A longer
	// queue would make the requests after it late too.
	ownQueue  = 3
	hopeShare = 1.6
	// secondShare is the same for the second server of a key.
	secondShare = 0.5
	// spareShare is the load for each slot up to which a server has time to spare.
	spareShare = 0.5
	// warmingShare is the part of the extra time of a cold server that counts where it
	// still answers on time, since it has the key afterwards.
	warmingShare = 0.2
	// spreadMargin is how many mean distances from the average a cold server may need
	// and still be counted as on time.
	spreadMargin = 1.5
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

type (
	// Try is the right to send one request to a server. Done is called once.
	Try struct {
		Backend briarferry.Backend
		// Expected is the time until the answer is expected.
		Expected time.Duration
		// Warm tells whether the server is expected to have the key; Load is its
		// estimated load with this request, and LoadAge the age of its last report.
		Warm    bool
		Load    float64
		LoadAge time.Duration
		// Measured tells whether Expected rests on earlier answers.
		Measured bool

		steering *Steering
		service  *service
		server   *server
		model    *model
		key      string
		network  time.Duration
		started  time.Time
		waited   bool
		likely   likelihood
	}

	// NoServerError is the refusal of a request for which no server was chosen, with what
	// decided it: the fastest server and the time within which it had to answer.
	NoServerError struct {
		briarferry.Refusal
		Instance        string
		Estimate, Limit time.Duration
		Load            float64
		LoadAge         time.Duration
		// Candidates is the number of servers that were compared.
		Candidates int
	}

	candidate struct {
		server   *server
		estimate time.Duration
		cost     time.Duration
		network  time.Duration
		load     float64
		warm     bool
		place    int
		// hopeful tells that the answer is soon after the target if the server has the key.
		hopeful bool
		// guessed tells that no answer has shown yet how long the route's requests take.
		guessed bool
		// likely is what is presumed where the server isn't known to have the key.
		likely likelihood
	}
)

// Started returns when the try began.
func (t *Try) Started() time.Time { return t.started }

// Choose picks a server, or returns a *briarferry.Refusal where none can answer in time.
func (s *Steering) Choose(now time.Time, r Request) (*Try, error) {
	v := s.service(r.Service)
	if v == nil {
		return nil, refuse("no backend server is registered for the service", minRetryAfter)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.allowed(now, s, &r) {
		return nil, refuse("the retry budget of the service is used up", minRetryAfter)
	}
	m := v.model(r.Route.Name)
	list, reason := v.candidates(now, s, &r, m)
	if len(list) == 0 {
		return nil, refuse(reason, minRetryAfter)
	}
	best, ok := pick(list, &r)
	if !ok {
		return nil, &NoServerError{
			Refusal: briarferry.Refusal{
				Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun,
				Reason: "no backend server can answer in time", RetryAfter: retryAfter(best.estimate - r.Route.Target.Std()),
			},
			Instance: best.server.ID, Estimate: best.estimate, Limit: limitOf(&r), Load: best.load,
			LoadAge: now.Sub(best.server.othersAt), Candidates: len(list),
		}
	}
	return v.begin(now, s, &r, m, best), nil
}

// key returns the name under which servers keep the request's object, or "".
func (r *Request) key() string {
	if r.Key == "" || !r.Route.Affinity {
		return ""
	}
	return r.Route.Name + "\x00" + r.Key
}

// Unwrap returns the refusal itself.
func (n *NoServerError) Unwrap() error { return &n.Refusal }

func refuse(reason string, after time.Duration) error {
	return &briarferry.Refusal{
		Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun, Reason: reason, RetryAfter: after,
	}
}

func retryAfter(d time.Duration) time.Duration { return min(maxRetryAfter, max(minRetryAfter, d)) }

// allowed counts the first tries of the service and checks that others fit its budget.
func (v *service) allowed(now time.Time, s *Steering, r *Request) bool {
	if !r.Retry {
		v.budget.deposit(now, s.Limits, s.entries())
		return true
	}
	return v.budget.has(now, s.Limits, s.entries())
}

// candidates returns the servers that may get the request now, or why there are none.
func (v *service) candidates(now time.Time, s *Steering, r *Request, m *model) ([]candidate, string) {
	reason := "no backend server is registered for the service"
	var list, ejected []candidate
	entries := s.entries()
	places := v.places(s, r)
	for _, srv := range v.servers {
		if !srv.usable(r) || slices.Contains(r.Avoid, srv.ID) {
			continue
		}
		if srv.tooCold(now, &v.config, entries) {
			reason = "the backend servers are cold"
			continue
		}
		c := v.assess(now, s, r, m, srv, places.of(srv))
		if srv.ejected() {
			ejected = append(ejected, c)
			continue
		}
		list = append(list, c)
	}
	if len(list) == 0 {
		list = ejected
	}
	return s.shift.filter(now, list), reason
}

// assess estimates the answer time of one server and what it costs to use it.
func (v *service) assess(now time.Time, s *Steering, r *Request, m *model, srv *server, at place) candidate {
	target := r.Route.Target.Std()
	there := min(target, r.Remaining)
	c := candidate{server: srv, place: at.order, load: srv.load(now, s.neighbours()), network: s.delay.to(srv.region, s.Region)}
	c.warm = r.key() != "" && srv.warm.has(r.key())
	slow := 1 + srv.slowness.get(now, slowLife)
	warm, cold := m.expect(true, there), m.expect(false, there)
	work := cold
	c.guessed = m.cold.samples == 0
	switch {
	case c.warm, c.guessed && r.key() == "":
		work = warm
	default:
		c.likely = at.likely
		work = warm + time.Duration(m.coldChance(c.likely)*float64(cold-warm))
	}
	wait := time.Duration(0)
	if excess := c.load + 1 - float64(srv.Slots); excess > 0 {
		wait = time.Duration(excess / float64(srv.Slots) * float64(m.slot(there)))
	}
	c.estimate = c.network + time.Duration(float64(work+wait)*slow)
	c.hopeful = c.network+time.Duration(float64(warm+wait)*slow) <= time.Duration(hopeShare*float64(limitOf(r)))
	c.cost = c.estimate
	// Making a server warm pays later, so it must not take what others need now.
	spare := c.load+1 <= spareShare*float64(srv.Slots)
	if spare && c.estimate+time.Duration(spreadMargin*float64(m.cold.spread)) <= limitOf(r) {
		c.cost -= time.Duration((1 - warmingShare) * float64(work-warm) * slow)
	}
	if r.key() != "" && !c.warm && !(at.nearest && spare) {
		// Elsewhere the key drives out another one.
		c.cost += time.Duration(float64(at.order) / 2 * float64(cold-warm))
	}
	bytes := time.Duration(m.kilobytes.get() * float64(kilobyteCost))
	if srv.FailureDomain != s.FailureDomain {
		c.cost += domainCost + bytes
	}
	if srv.region != s.Region {
		c.cost += regionCost + bytes
	}
	if failing := srv.errors.get(now, errorLife); failing > 0.05 {
		c.cost += time.Duration(2 * failing * float64(target+c.estimate))
	}
	if srv.sent == 0 && srv.joined && srv.region == s.Region {
		// A server that joins is tried at once.
		c.cost = 0
	}
	return c
}

// limitOf returns the time within which an answer is expected to be on time.
func limitOf(r *Request) time.Duration {
	return time.Duration(onTime * float64(min(r.Route.Target.Std(), r.Remaining)))
}

// pick returns the cheapest server that answers on time, or else the cheapest one with
// room that answers before the request's time is over. It returns false with the
// fastest where there is none.
func pick(list []candidate, r *Request) (candidate, bool) {
	limit := limitOf(r)
	var best, late, fastest *candidate
	for i := range list {
		c := &list[i]
		if c.estimate <= limit && (best == nil || c.cost < best.cost) {
			best = c
		}
		if c.roomForLate(r) && (late == nil || c.cost < late.cost) {
			late = c
		}
		if fastest == nil || c.estimate < fastest.estimate {
			fastest = c
		}
	}
	switch {
	case best != nil:
		return *best, true
	case late != nil && !r.OnTimeOnly:
		return *late, true
	}
	return *fastest, false
}

// roomForLate tells whether the server may get a request that will be late. Such a
// request goes only where its key is or belongs: run cold elsewhere it would drive
// other keys out, and under load every server would end up cold for most requests.
func (c *candidate) roomForLate(r *Request) bool {
	share := lateQueue
	if c.hopeful && (c.warm || c.place == 0 && c.network == 0) {
		share = ownQueue
	}
	if r.key() != "" && !c.warm && c.place > 0 {
		if c.place > 1 {
			return false
		}
		share = secondShare
	}
	return c.load+1 <= share*float64(c.server.Slots) && (c.guessed || c.estimate < r.Remaining)
}

func (v *service) begin(now time.Time, s *Steering, r *Request, m *model, c candidate) *Try {
	srv := c.server
	srv.inFlight++
	srv.sent++
	if now.Before(srv.coldUntil) {
		srv.coldSent = now
	}
	if r.Retry {
		v.budget.spend()
	}
	s.shift.count(now, srv.region)
	key := r.key()
	return &Try{
		Backend: srv.backend(&v.config), Expected: c.estimate, Warm: c.warm, Load: c.load + 1, LoadAge: now.Sub(srv.othersAt),
		steering: s, service: v, server: srv, model: m, key: key, network: c.network, started: now,
		waited: c.load+1 > float64(srv.Slots), Measured: m.cold.samples >= minSamples, likely: c.likely,
	}
}
