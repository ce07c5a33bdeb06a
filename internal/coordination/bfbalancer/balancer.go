// Package bfbalancer chooses the backend server for a request.
package bfbalancer

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarferry"
)

const (
	// maxEjectedShare is the largest share of a service's servers that may be ejected. If
	// more servers fail, the load or the callers are a more likely cause of the failures
	// than the servers.
	maxEjectedShare = 0.3
	// serverExpiry is the time after which a server that has not been a candidate is
	// removed with its observations. It bounds the size of the map.
	serverExpiry = 10 * time.Minute
	// knownServerWindow is how long a server counts as one of the service's servers after
	// it was last a candidate.
	knownServerWindow = time.Minute
	// defaultLatency is the latency assumed for a service without observations.
	defaultLatency = time.Millisecond
	sweepInterval  = time.Minute
	// exploreShare is the share of picks that ignore the request time and the load of a
	// server with few recent tries. Otherwise a server that wrongly reports full load would
	// never be tried.
	exploreShare = 0.05
	// similarTimeRatio is the largest ratio of two request times that counts as no
	// difference. Times vary by 30% around their mean on equal servers, and a latency peak
	// decays over seconds. Without the tolerance the server with the latest peak would get
	// no requests during that time.
	similarTimeRatio = 1.5
)

type (
	// Balancer implements briarferry.Balancer. Its fields must be set before use.
	Balancer struct {
		// Seed makes the picks reproducible. Entries need different seeds, or they make the
		// same picks.
		Seed uint64

		groups sync.Map
	}

	// serviceGroup holds the servers of one service.
	serviceGroup struct {
		mu      sync.Mutex
		rng     *rand.Rand
		servers map[briarferry.BackendID]*server
		sweptAt time.Time
		usable  []usableCandidate
	}

	// usableCandidate is a candidate that may be picked, with the observations about its
	// server.
	usableCandidate struct {
		index  int
		server *server
	}
)

// Pick returns the index of the better of two random candidates, or -1 if none is usable.
func (b *Balancer) Pick(now time.Time, candidates []briarferry.Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	g := b.group(candidates[0].Backend.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	g.collectUsable(now, candidates)
	switch len(g.usable) {
	case 0:
		return -1
	case 1:
		return g.usable[0].index
	}
	i := g.rng.IntN(len(g.usable))
	j := g.rng.IntN(len(g.usable) - 1)
	if j >= i {
		j++
	}
	first, second := g.usable[i], g.usable[j]
	meanLatency := g.meanLatency()
	if first.server.needsExploration(now) && g.rng.Float64() < exploreShare {
		return first.index
	}
	if isBetter(now, candidates, second, first, meanLatency) {
		return second.index
	}
	return first.index
}

// isBetter reports whether a is the better candidate. If the request times are similar,
// only the load is compared.
func isBetter(now time.Time, candidates []briarferry.Candidate, a, b usableCandidate, meanLatency float64) bool {
	timeA, timeB := a.server.requestTime(now, candidates[a.index], meanLatency), b.server.requestTime(now, candidates[b.index], meanLatency)
	loadA, loadB := a.server.load(now, candidates[a.index]), b.server.load(now, candidates[b.index])
	if max(timeA, timeB) <= similarTimeRatio*min(timeA, timeB) {
		return loadA < loadB
	}
	return timeA*loadA < timeB*loadB
}

// Report records the result of a try and ejects the server if it is an outlier.
func (b *Balancer) Report(now time.Time, id briarferry.BackendID, r briarferry.TryReport) {
	g := b.group(id.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.server(id)
	s.observe(now, r)
	if !s.ejected(now) && s.isOutlier() && g.canEject(now) {
		s.eject(now)
	}
}

func (b *Balancer) group(service string) *serviceGroup {
	if g, ok := b.groups.Load(service); ok {
		return g.(*serviceGroup)
	}
	g, _ := b.groups.LoadOrStore(service, &serviceGroup{
		rng:     rand.New(rand.NewPCG(b.Seed, xxhash.Sum64String(service))),
		servers: map[briarferry.BackendID]*server{},
	})
	return g.(*serviceGroup)
}

func (g *serviceGroup) server(id briarferry.BackendID) *server {
	s, ok := g.servers[id]
	if !ok {
		s = &server{}
		g.servers[id] = s
	}
	return s
}

// collectUsable sets usable to the candidates that are neither draining, ejected nor
// paused. The mutex must be held.
func (g *serviceGroup) collectUsable(now time.Time, candidates []briarferry.Candidate) {
	g.usable = g.usable[:0]
	for i, c := range candidates {
		s := g.server(c.Backend.ID())
		s.recordCandidate(now, c.Backend)
		if c.Backend.State == briarferry.StateDraining || s.ejected(now) || now.Before(s.pausedUntil) {
			continue
		}
		g.usable = append(g.usable, usableCandidate{i, s})
	}
}

// canEject reports whether one more ejection stays within maxEjectedShare.
func (g *serviceGroup) canEject(now time.Time) bool {
	known, ejected := 0, 0
	for _, s := range g.servers {
		if now.Sub(s.lastCandidateAt) > knownServerWindow && !s.ejected(now) {
			continue
		}
		known++
		if s.ejected(now) {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(known)
}

// meanLatency returns the mean latency of the usable servers with observations. It is
// assumed for the servers without.
func (g *serviceGroup) meanLatency() float64 {
	sum, n := 0.0, 0
	for _, c := range g.usable {
		if !c.server.latencyAt.IsZero() {
			sum += c.server.latency
			n++
		}
	}
	if n == 0 {
		return defaultLatency.Seconds()
	}
	return sum / float64(n)
}

func (g *serviceGroup) sweep(now time.Time) {
	if now.Sub(g.sweptAt) < sweepInterval {
		return
	}
	g.sweptAt = now
	for id, s := range g.servers {
		if now.Sub(s.lastCandidateAt) > serverExpiry && !s.ejected(now) {
			delete(g.servers, id)
		}
	}
}

// requestTime returns the expected time of a request at the server regardless of its load.
// It accounts for the error rate and the slow start; lower is better.
func (s *server) requestTime(now time.Time, c briarferry.Candidate, assumedLatency float64) float64 {
	// Old observations decay to the assumed latency, so that an avoided server is tried
	// again.
	age := now.Sub(s.latencyAt)
	assumedLatency += 2 * c.Delay.Seconds()
	latency := assumedLatency + (s.latency-assumedLatency)*decay(age, latencyDecay)
	if s.latencyAt.IsZero() {
		latency = assumedLatency
	}
	success := math.Max(0.05, 1-s.errorRate*decay(age, latencyDecay))
	return latency / (success * success) / s.slowStartShare(now)
}

// load returns one plus the larger of two shares: that of the server's slots in use,
// including one more request, and that of the held slots in use. The share of held slots
// doesn't count the new request: with few held slots, it would make an idle server look
// busy.
func (s *server) load(now time.Time, c briarferry.Candidate) float64 {
	slots := math.Max(1, float64(c.Backend.Slots))
	inFlight := float64(c.InFlight)
	// The report covers the requests of all entries, so those of this entry are subtracted.
	reported := math.Max(0, c.Backend.Load*slots-inFlight) * s.reportWeight(now, c.Backend)
	return 1 + math.Max(inFlight/math.Max(1, float64(c.HeldSlots)), (inFlight+1+reported)/slots)
}

// reportWeight returns the weight of the reported load. It falls with the age of the report
// and with the number of recent tries of this entry, whose results take precedence.
func (s *server) reportWeight(now time.Time, b briarferry.Backend) float64 {
	return decay(now.Sub(b.HeardAt), reportDecay) * reportEquivalentTries / (reportEquivalentTries + s.recentTries(now))
}

// recentTries returns the number of recent tries, weighted by age.
func (s *server) recentTries(now time.Time) float64 {
	return s.weightedTries * decay(now.Sub(s.lastTryAt), tryDecay)
}

// needsExploration reports whether a server after its slow start has had too few recent
// tries to outweigh its load report.
func (s *server) needsExploration(now time.Time) bool {
	return s.recentTries(now) < reportEquivalentTries && s.slowStartShare(now) == 1
}
