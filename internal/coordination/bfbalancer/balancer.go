// Package bfbalancer chooses the backend server for a request.
package bfbalancer

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"briarferry"
)

const (
	// ejectShare is the largest share of a service's servers that may be ejected:
	// beyond it the cause is rather the load or the callers than the servers.
	ejectShare = 0.3
	// forgetAfter bounds the table: a server that was no candidate for so long is
	// dropped with its record.
	forgetAfter = 10 * time.Minute
	// recentlySeen is how long a server counts among its service's servers after
	// it was last a candidate.
	recentlySeen = time.Minute
	// minLatency stands in for the latency of a service without observations.
	minLatency = time.Millisecond
	sweepEvery = time.Minute
	// exploreShare is the share of choices that ignore the cost of a server with few
	// recent tries. A report of full load would otherwise never be put to the test.
	exploreShare = 0.05
	// alike is the largest ratio of two times that counts as none. Times vary by 30%
	// about their mean at equal servers, and a peak fades over seconds: without the
	// allowance the server with the last peak gets nothing until then.
	alike = 1.5
)

type (
	// Balancer implements briarferry.Balancer. Its fields are set before use.
	Balancer struct {
		// Seed makes the choices repeatable; entries must have different ones, or
		// they choose alike.
		Seed uint64

		groups sync.Map
	}

	// group holds the servers of one service.
	group struct {
		mu      sync.Mutex
		rng     *rand.Rand
		servers map[briarferry.BackendID]*server
		swept   time.Time
		usable  []choice
	}

	// choice is a candidate that may be picked, with its record.
	choice struct {
		index  int
		server *server
	}
)

// Pick returns the index of the better of two random candidates, or -1 where
// none may be used.
func (b *Balancer) Pick(now time.Time, candidates []briarferry.Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	g := b.group(candidates[0].Backend.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	g.collect(now, candidates)
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
	usual := g.usualLatency()
	if first.server.untested(now) && g.rng.Float64() < exploreShare {
		return first.index
	}
	if better(now, candidates, second, first, usual) {
		return second.index
	}
	return first.index
}

// better tells whether a is the better choice. Where their times per request don't
// differ clearly, only their load counts.
func better(now time.Time, candidates []briarferry.Candidate, a, b choice, usual float64) bool {
	ta, tb := a.server.time(now, candidates[a.index], usual), b.server.time(now, candidates[b.index], usual)
	la, lb := a.server.load(now, candidates[a.index]), b.server.load(now, candidates[b.index])
	if max(ta, tb) <= alike*min(ta, tb) {
		return la < lb
	}
	return ta*la < tb*lb
}

// Report feeds back what a try showed.
func (b *Balancer) Report(now time.Time, id briarferry.BackendID, r briarferry.TryReport) {
	g := b.group(id.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.server(id)
	s.observe(now, r)
	if !s.ejected(now) && s.outlier() && g.mayEject(now) {
		s.eject(now)
	}
}

func (b *Balancer) group(service string) *group {
	if g, ok := b.groups.Load(service); ok {
		return g.(*group)
	}
	g, _ := b.groups.LoadOrStore(service, &group{
		rng:     rand.New(rand.NewPCG(b.Seed, uint64(len(service)))),
		servers: map[briarferry.BackendID]*server{},
	})
	return g.(*group)
}

func (g *group) server(id briarferry.BackendID) *server {
	s, ok := g.servers[id]
	if !ok {
		s = &server{}
		g.servers[id] = s
	}
	return s
}

// collect fills usable with the candidates that are neither draining, ejected nor
// shedding. The lock is held.
func (g *group) collect(now time.Time, candidates []briarferry.Candidate) {
	g.usable = g.usable[:0]
	for i, c := range candidates {
		s := g.server(c.Backend.ID())
		s.see(now, c.Backend)
		if c.Backend.State == briarferry.StateDraining || s.ejected(now) || now.Before(s.shedUntil) {
			continue
		}
		g.usable = append(g.usable, choice{i, s})
	}
}

// mayEject tells whether one more ejection stays within the bound.
func (g *group) mayEject(now time.Time) bool {
	known, ejected := 0, 0
	for _, s := range g.servers {
		if now.Sub(s.seenAt) > recentlySeen && !s.ejected(now) {
			continue
		}
		known++
		if s.ejected(now) {
			ejected++
		}
	}
	return float64(ejected+1) <= ejectShare*float64(known)
}

// usualLatency returns the mean latency of the usable servers that have one, which
// stands in for those that have none yet.
func (g *group) usualLatency() float64 {
	sum, n := 0.0, 0
	for _, c := range g.usable {
		if !c.server.latencyAt.IsZero() {
			sum += c.server.latency
			n++
		}
	}
	if n == 0 {
		return minLatency.Seconds()
	}
	return sum / float64(n)
}

func (g *group) sweep(now time.Time) {
	if now.Sub(g.swept) < sweepEvery {
		return
	}
	g.swept = now
	for id, s := range g.servers {
		if now.Sub(s.seenAt) > forgetAfter && !s.ejected(now) {
			delete(g.servers, id)
		}
	}
}

// time is the expected time of a request at the server apart from its load, with the
// chance of an error; lower is better.
func (s *server) time(now time.Time, c briarferry.Candidate, usual float64) float64 {
	// Old observations fade to what is usual, so that a server that was avoided is
	// tried again.
	age := now.Sub(s.latencyAt)
	usual += 2 * c.Delay.Seconds()
	latency := usual + (s.latency-usual)*decay(age, latencyDecay)
	if s.latencyAt.IsZero() {
		latency = usual
	}
	success := math.Max(0.05, 1-s.errors*decay(age, latencyDecay))
	return latency / (success * success) / s.ramp(now)
}

// load is one and the share of the server's slots that is busy with one more request,
// or the share of the held slots that is busy already. One more request would make an
// idle server with few held slots look busy.
func (s *server) load(now time.Time, c briarferry.Candidate) float64 {
	slots := math.Max(1, float64(c.Backend.Slots))
	own := float64(c.InFlight)
	// The report covers the work of all entries, so the own part is taken out.
	reported := math.Max(0, c.Backend.Load*slots-own) * s.trust(now, c.Backend)
	return 1 + math.Max(own/math.Max(1, float64(c.Held)), (own+1+reported)/slots)
}

// trust returns the weight of the reported load: it falls with the report's age
// and with the number of own recent tries, which overrule it.
func (s *server) trust(now time.Time, b briarferry.Backend) float64 {
	return decay(now.Sub(b.HeardAt), reportDecay) * enoughEvidence / (enoughEvidence + s.recent(now))
}

// recent returns the number of recent tries, older ones counting less.
func (s *server) recent(now time.Time) float64 {
	return s.evidence * decay(now.Sub(s.triedAt), evidenceDecay)
}

// untested tells whether a server in full service has had too few recent tries to
// overrule what it reports.
func (s *server) untested(now time.Time) bool {
	return s.recent(now) < enoughEvidence && s.ramp(now) == 1
}
