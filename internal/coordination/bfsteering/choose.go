package bfsteering

import (
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarferry"
)

const (
	// domainCost and regionCost are the delays that are accepted to stay in the own
	// failure domain or region, as traffic between them is scarce.
	domainCost = 40 * time.Millisecond
	regionCost = 60 * time.Millisecond
	// onTime is the share of the target that an expected answer may take.
	onTime = 0.95
	// lateQueue is how many requests for each slot may be at a server where none can
	// answer within its target.
	lateQueue = 1.4
	// rankShare is what the first server of a failure domain for a key gets off its
	// expected time where none is known to have the key.
	rankShare = 0.8
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

		steering *Steering
		service  *service
		server   *server
		model    *model
		key      string
		network  time.Duration
		started  time.Time
		waited   bool
	}

	candidate struct {
		server   *server
		estimate time.Duration
		cost     time.Duration
		network  time.Duration
		load     float64
		warm     bool
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
		return nil, refuse("no backend server can answer in time", retryAfter(best.estimate-r.Route.Target.Std()))
	}
	return v.begin(now, s, &r, m, best), nil
}

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
	hash := xxhash.Sum64String(r.Key)
	entries := s.entries()
	firsts := map[string]*server{}
	for _, srv := range v.servers {
		if !srv.usable(r) || slices.Contains(r.Avoid, srv.ID) {
			continue
		}
		if first := firsts[srv.FailureDomain]; first == nil || srv.rank(hash) > first.rank(hash) {
			firsts[srv.FailureDomain] = srv
		}
		if srv.tooCold(now, &v.config, entries) {
			reason = "the backend servers are cold"
			continue
		}
		c := v.assess(now, s, r, m, srv)
		if srv.ejected() {
			ejected = append(ejected, c)
			continue
		}
		list = append(list, c)
	}
	if len(list) == 0 {
		list = ejected
	}
	for i := range list {
		if c := &list[i]; r.Key != "" && firsts[c.server.FailureDomain] == c.server && !c.warm {
			c.cost -= time.Duration((1 - rankShare) * float64(m.expect(false, r.Route.Target.Std())))
		}
	}
	return s.shift.filter(now, list), reason
}

// assess estimates the answer time of one server.
func (v *service) assess(now time.Time, s *Steering, r *Request, m *model, srv *server) candidate {
	target := r.Route.Target.Std()
	c := candidate{server: srv, load: srv.load(now), network: s.delay.to(srv.region, s.Region)}
	c.warm = r.Key != "" && r.Route.Affinity && srv.warm.has(r.Route.Name+"\x00"+r.Key)
	slow := 1 + srv.slowness.get(now, slowLife)
	work := float64(m.expect(c.warm, target))
	if excess := c.load + 1 - float64(srv.Slots); excess > 0 {
		work += excess / float64(srv.Slots) * float64(m.mean(target))
	}
	c.estimate = c.network + time.Duration(work*slow)
	c.cost = c.estimate
	if srv.FailureDomain != s.FailureDomain {
		c.cost += domainCost
	}
	if srv.region != s.Region {
		c.cost += regionCost
	}
	if failing := srv.errors.get(now, errorLife); failing > 0.05 {
		c.cost += time.Duration(2 * failing * float64(target+c.estimate))
	}
	if srv.sent == 0 && srv.region == s.Region {
		// A server that joins is tried at once.
		c.cost = 0
	}
	return c
}

// pick returns the cheapest server that answers on time, or else the fastest one with
// room. It returns false with the fastest where none has room.
func pick(list []candidate, r *Request) (candidate, bool) {
	limit := time.Duration(onTime * float64(min(r.Route.Target.Std(), r.Remaining)))
	var best, fastest *candidate
	for i := range list {
		c := &list[i]
		if c.estimate <= limit && (best == nil || c.cost < best.cost) {
			best = c
		}
		if fastest == nil || c.cost < fastest.cost {
			fastest = c
		}
	}
	if best != nil {
		return *best, true
	}
	if r.OnTimeOnly {
		return *fastest, false
	}
	room := fastest.load+1 <= lateQueue*float64(fastest.server.Slots)
	return *fastest, room && fastest.estimate < r.Remaining
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
	key := r.Route.Name + "\x00" + r.Key
	if r.Key == "" || !r.Route.Affinity {
		key = ""
	}
	return &Try{
		Backend: srv.backend(&v.config), Expected: c.estimate, Warm: c.warm, Load: c.load + 1, LoadAge: now.Sub(srv.othersAt),
		steering: s, service: v, server: srv, model: m, key: key, network: c.network, started: now,
		waited: c.load+1 > float64(srv.Slots),
	}
}
