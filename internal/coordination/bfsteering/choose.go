package bfsteering

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"briarferry"
)

const (
	// crossDomainCost and crossRegionCost are the delays that are accepted to stay in this
	// entry's failure domain or region. They are added to the cost of a server outside it,
	// and with each of them crossKilobyteCost for each kilobyte of the request and its
	// answer, as bandwidth between domains and regions is scarce.
	crossDomainCost   = 20 * time.Millisecond
	crossRegionCost   = 20 * time.Millisecond
	crossKilobyteCost = 45 * time.Millisecond
	// newConnectionCost is the delay that is accepted to use a server with an idle
	// connection instead of opening one to another server.
	newConnectionCost = 5 * time.Millisecond
	// onTimeShare is the share of the target that an expected answer may take.
	onTimeShare = 0.95
	// maxLateLoad is the load per slot up to which a server accepts requests that no server
	// can answer within the on-time limit.
	maxLateLoad = 1.0
	// maxPreferredLateLoad is the same limit for servers that have the key or are its
	// primary in this entry's region, if the server's answer with the key in its cache
	// would come within lateLimitFactor times the on-time limit. A higher load would make
	// later requests late too.
	maxPreferredLateLoad = 3
	lateLimitFactor      = 1.6
	// maxSecondaryLateLoad is the same limit for servers of order 1 that are not known to
	// have the key.
	maxSecondaryLateLoad = 0.5
	// spareLoadShare is the load per slot up to which a server has spare capacity.
	spareLoadShare = 0.5
	// cacheFillCostShare is the share of a cold server's extra time that counts as cost if
	// it still answers on time, since the request also fills its cache.
	cacheFillCostShare = 0.2
	// coldDeviationMargin is the number of mean deviations that are added to the estimate
	// before an answer that fills a cache counts as on time.
	coldDeviationMargin = 1.5
	// reliableErrorRate is the highest recent error rate of a reliable server.
	reliableErrorRate = 0.05
	// minRetryAfter and maxRetryAfter bound the Retry-After of refused requests.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

type (
	// Try is the permission to send one request to a server. Done must be called exactly
	// once.
	Try struct {
		Backend briarferry.Backend
		// Region is the region of the server.
		Region string
		// Expected is the time after which the answer is expected.
		Expected time.Duration
		// Warm reports whether the server is expected to have the key in its cache. Load is
		// its estimated load including this request, and LoadAge the age of its last load
		// report.
		Warm    bool
		Load    float64
		LoadAge time.Duration
		// Measured reports whether Expected is based on earlier answers.
		Measured bool
		// Reliable reports whether the server's recent answers were complete and without
		// errors.
		Reliable bool
		// PlannedRegion is the region in which the plan of regions wants the request to run;
		// it is empty if the request isn't planned. LeaveReason says why the request runs
		// outside the entry's region; it is empty if it doesn't.
		PlannedRegion string
		LeaveReason   LeaveReason

		steering  *Steering
		service   *service
		server    *server
		model     *routeModel
		key       string
		network   time.Duration
		started   time.Time
		queued    bool
		missClass missClass
		// slowdown is the factor of Expected that is due to the server's reported slowdown.
		slowdown float64
		// transfer is the part of Expected in which a streamed body arrives.
		transfer time.Duration
		// upload is true if the try counts as an upload of the server.
		upload bool
	}

	// NoServerError refuses a request for which no server could be chosen. It names the
	// fastest server, its estimated answer time and the time limit.
	NoServerError struct {
		briarferry.Refusal
		Instance        string
		Estimate, Limit time.Duration
		Load            float64
		LoadAge         time.Duration
		// Candidates is the number of servers compared.
		Candidates int
	}

	// noCandidate says why no server may get a request.
	noCandidate struct {
		reason string
		// opensAt is the first time at which a server that asked for a pause gets requests
		// again, or zero.
		opensAt time.Time
	}

	candidate struct {
		server   *server
		estimate time.Duration
		cost     time.Duration
		network  time.Duration
		load     float64
		warm     bool
		order    int
		// nearLimitIfWarm reports whether the answer would be within lateLimitFactor times
		// the on-time limit if the server had the key.
		nearLimitIfWarm bool
		// noColdSamples reports whether no time of a server without the key has been
		// measured on this route yet.
		noColdSamples bool
		// missClass selects the miss rate that applies if the server isn't known to have
		// the key.
		missClass missClass
	}
)

// Started returns when the try began.
func (t *Try) Started() time.Time { return t.started }

// Choose picks a server. It returns a *NoServerError if none can answer in time, and
// another *briarferry.Refusal if there is no candidate or no retry budget left.
func (s *Steering) Choose(now time.Time, r Request) (*Try, error) {
	v := s.service(r.Service)
	if v == nil {
		return nil, unavailable("no backend server is registered for the service", minRetryAfter)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.withinRetryBudget(now, s, &r) {
		return nil, unavailable("the retry budget of the service is used up", minRetryAfter)
	}
	m := v.routeModel(r.Route.Name)
	plan := s.plan.decide(now, s, v, &r)
	list, none := v.candidates(now, s, &r, m, plan)
	if len(list) == 0 {
		return nil, unavailable(none.reason, none.retryAfter(now))
	}
	best, reason, ok := v.pickPlanned(now, s, list, &r, plan)
	if best.server == nil {
		return nil, unavailable(none.reason, none.retryAfter(now))
	}
	if !ok {
		return nil, &NoServerError{
			Refusal: briarferry.Refusal{
				Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun,
				Reason: "no backend server can answer in time", RetryAfter: clampRetryAfter(best.estimate - r.Route.Target.Std()),
			},
			Instance: best.server.ID, Estimate: best.estimate, Limit: onTimeLimit(&r), Load: best.load,
			LoadAge: now.Sub(best.server.loadReportedAt), Candidates: len(list),
		}
	}
	s.plan.recordRun(v, &r, best.server.region)
	try := v.startTry(now, s, &r, m, best)
	try.PlannedRegion, try.LeaveReason = plan.region, reason
	return try, nil
}

// key returns the cache key of the object that the request concerns, or "" without
// affinity.
func (r *Request) key() string {
	if r.Key == "" || !r.Route.Affinity {
		return ""
	}
	if r.cacheKey == "" {
		r.cacheKey = r.Route.Name + "\x00" + r.Key
	}
	return r.cacheKey
}

// Unwrap returns the underlying refusal.
func (n *NoServerError) Unwrap() error { return &n.Refusal }

func unavailable(reason string, after time.Duration) error {
	return &briarferry.Refusal{
		Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun, Reason: reason, RetryAfter: after,
	}
}

func clampRetryAfter(d time.Duration) time.Duration { return min(maxRetryAfter, max(minRetryAfter, d)) }

// withinRetryBudget reports whether the retry budget allows the try. A first try is always
// allowed and credits the budget.
func (v *service) withinRetryBudget(now time.Time, s *Steering, r *Request) bool {
	if !r.Retry {
		v.retries.deposit(now, s.Limits, s.entries())
		return true
	}
	return v.retries.available(now, s.Limits, s.entries())
}

// candidates returns the servers that may get the request now, or why there are none.
// Ejected servers are only included if there are no others. The list is valid until the next
// call.
func (v *service) candidates(now time.Time, s *Steering, r *Request, m *routeModel, plan planDecision) ([]candidate, noCandidate) {
	none := noCandidate{reason: "no backend server is registered for the service"}
	eligible, ejected := v.eligible[:0], v.ejected[:0]
	defer func() { v.eligible, v.ejected = eligible, ejected }()
	entries, uninformed := s.entries(), s.coldWatch.current.Load()
	positions := v.positions(s, r)
	if plan.region != s.Region {
		positions.planned = plan.region
	}
	for _, srv := range v.servers {
		if !srv.usable(r) || slices.Contains(r.Avoid, srv.ID) {
			continue
		}
		s.logPauseEnd(now, srv)
		if !srv.availability.accepts(now, srv.inFlight, srv.Slots, srv.coldPhase) {
			none.addPause(srv.availability.opensAt(srv.coldPhase))
			continue
		}
		if r.Route.LargeBodies && !srv.takesUpload(now, s.regionPeers()) {
			none.reason = "the backend servers have as many uploads as they may get"
			continue
		}
		if srv.tooCold(now, &v.config, entries, uninformed) {
			none.reason = "the backend servers are cold"
			continue
		}
		c := v.assess(now, s, r, m, srv, positions.of(srv))
		if srv.ejected() {
			ejected = append(ejected, c)
			continue
		}
		eligible = append(eligible, c)
	}
	list := eligible
	if len(list) == 0 {
		list = ejected
	}
	if plan.planned {
		return list, none
	}
	return s.shift.filter(now, list), none
}

// addPause records a server that asked for a pause and gets requests again at the given
// time.
func (n *noCandidate) addPause(opensAt time.Time) {
	n.reason = "the backend servers asked for a pause"
	if n.opensAt.IsZero() || opensAt.Before(n.opensAt) {
		n.opensAt = opensAt
	}
}

// retryAfter returns when the caller may come back: at a random time in the return period of
// the first server whose pause ends, so that not all callers come at its start.
func (n *noCandidate) retryAfter(now time.Time) time.Duration {
	if !n.opensAt.After(now) {
		return minRetryAfter
	}
	return max(minRetryAfter, n.opensAt.Sub(now)+rand.N(returnPeriod/2))
}

// assess estimates the answer time of a server and the cost of using it.
func (v *service) assess(now time.Time, s *Steering, r *Request, m *routeModel, srv *server, pos position) candidate {
	target := r.Route.Target.Std()
	available := min(target, r.Remaining)
	c := candidate{server: srv, order: pos.order, load: srv.load(now, s.regionPeers()), network: s.rtts.get(srv.region, s.Region)}
	c.warm = r.key() != "" && srv.warm.has(r.key())
	slowdown := (1 + srv.slowness.get(now, slownessHalfLife)) * srv.currentSlowdown(now)
	warm, cold := m.expect(true, available), m.expect(false, available)
	work := cold
	c.noColdSamples = m.cold.samples == 0
	switch {
	case c.warm, c.noColdSamples && r.key() == "":
		work = warm
	default:
		c.missClass = pos.missClass
		work = warm + time.Duration(m.missProbability(c.missClass)*float64(cold-warm))
	}
	wait := time.Duration(0)
	if excess := c.load + 1 - float64(srv.Slots); excess > 0 {
		wait = time.Duration(excess / float64(srv.Slots) * float64(m.slotTime(available)))
	}
	connected := s.connected(srv)
	if !connected {
		// Opening a connection takes a round trip.
		c.network *= 2
	}
	fixed := c.network + s.transferTime(r)
	c.estimate = fixed + time.Duration(float64(work+wait)*slowdown)
	c.nearLimitIfWarm = fixed+time.Duration(float64(warm+wait)*slowdown) <= time.Duration(lateLimitFactor*float64(onTimeLimit(r)))
	c.cost = c.estimate
	if !connected {
		c.cost += newConnectionCost
	}
	// Filling a cache only benefits later requests and must not take capacity that current
	// requests need, so it lowers the cost only while the server has spare capacity.
	spare := c.load+1 <= spareLoadShare*float64(srv.Slots)
	if spare && c.estimate+time.Duration(coldDeviationMargin*float64(m.cold.deviation)) <= onTimeLimit(r) {
		c.cost -= time.Duration((1 - cacheFillCostShare) * float64(work-warm) * slowdown)
	}
	if r.key() != "" && !c.warm && !(pos.topInDomain && spare) {
		// At a server of order 1 or 2 the key would evict another key from the cache. With
		// spare capacity this is accepted at the highest-ranked server of the failure
		// domain.
		c.cost += time.Duration(float64(pos.order) / 2 * float64(cold-warm))
	}
	bytes := time.Duration(m.kilobytes.get() * float64(crossKilobyteCost))
	if srv.FailureDomain != s.FailureDomain {
		c.cost += crossDomainCost + bytes
	}
	if srv.region != s.Region {
		c.cost += crossRegionCost + bytes
	}
	if failing := srv.errorRate.get(now, errorHalfLife); failing > reliableErrorRate {
		c.cost += time.Duration(2 * failing * float64(target+c.estimate))
	}
	if srv.sent == 0 && srv.joinedAfterStart && srv.region == s.Region {
		// Send a request to a newly joined server at once.
		c.cost = 0
	}
	return c
}

// onTimeLimit returns the time within which an expected answer counts as on time.
func onTimeLimit(r *Request) time.Duration {
	return time.Duration(onTimeShare * float64(min(r.Route.Target.Std(), r.Remaining)))
}

// pick returns the cheapest server that answers on time, or else the cheapest one that
// accepts late requests. If there is neither, it returns the fastest server and false.
func pick(list []candidate, r *Request) (candidate, bool) {
	limit := onTimeLimit(r)
	var best, late, fastest *candidate
	for i := range list {
		c := &list[i]
		if c.estimate <= limit && (best == nil || c.cost < best.cost) {
			best = c
		}
		if c.acceptsLate(r) && (late == nil || c.cost < late.cost) {
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

// acceptsLate reports whether the server may get a request that will be late. Such a
// request only goes to servers that have its key or rank first or second for it: elsewhere
// it would evict other keys, and under load every server would end up cold for most
// requests.
func (c *candidate) acceptsLate(r *Request) bool {
	limit := maxLateLoad
	if c.nearLimitIfWarm && (c.warm || c.order == 0 && c.network == 0) {
		limit = maxPreferredLateLoad
	}
	if r.key() != "" && !c.warm && c.order > 0 {
		if c.order > 1 {
			return false
		}
		limit = maxSecondaryLateLoad
	}
	return c.load+1 <= limit*float64(c.server.Slots) && (c.noColdSamples || c.estimate < r.Remaining)
}

func (v *service) startTry(now time.Time, s *Steering, r *Request, m *routeModel, c candidate) *Try {
	srv := c.server
	srv.inFlight++
	srv.sent++
	if r.Route.LargeBodies {
		srv.uploads++
	}
	srv.sentAt = now
	if _, cold := srv.countsAsCold(now, &v.config, s.coldWatch.current.Load()); cold {
		srv.coldSentAt = now
	}
	if r.Retry {
		v.retries.spend()
	}
	s.shift.record(now, srv.region)
	key := r.key()
	return &Try{
		Backend: srv.backend(&v.config), Region: srv.region, Expected: c.estimate, Warm: c.warm, Load: c.load + 1, LoadAge: now.Sub(srv.loadReportedAt),
		steering: s, service: v, server: srv, model: m, key: key, network: c.network, started: now,
		queued: c.load+1 > float64(srv.Slots), Measured: m.cold.samples >= minMeasuredSamples,
		Reliable: srv.errorRate.get(now, errorHalfLife) <= reliableErrorRate, missClass: c.missClass,
		slowdown: srv.currentSlowdown(now), transfer: s.transferTime(r), upload: r.Route.LargeBodies,
	}
}
