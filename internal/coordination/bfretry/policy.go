// Package bfretry decides when a request is tried again. It covers the retry budget,
// backoff, try timeouts and hedging.
package bfretry

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarferry"
)

const (
	backoffBase  = 5 * time.Millisecond
	backoffLimit = 250 * time.Millisecond

	// initialTokens allows a service with few requests to retry before it has earned any
	// tokens. Over a long time it doesn't change the share of retries.
	initialTokens = 3
	// maxTokens limits the retries that accumulate while there are few failures.
	maxTokens = 50
)

type (
	// Policy decides about further tries, separately for each service. Its fields must be
	// set before use.
	Policy struct {
		// Seed makes the backoff reproducible. Entries need different seeds.
		Seed uint64

		services sync.Map
	}

	serviceState struct {
		mu      sync.Mutex
		rng     *rand.Rand
		tokens  float64
		latency *latencyTracker
	}
)

func (p *Policy) state(service string) *serviceState {
	if s, ok := p.services.Load(service); ok {
		return s.(*serviceState)
	}
	s, _ := p.services.LoadOrStore(service, &serviceState{
		rng: rand.New(rand.NewPCG(p.Seed, xxhash.Sum64String(service))), tokens: initialTokens, latency: newLatencyTracker(),
	})
	return s.(*serviceState)
}

// RecordRequest counts a request, which earns the given share of a retry.
func (p *Policy) RecordRequest(service string, share float64) {
	s := p.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = math.Min(maxTokens, s.tokens+share)
}

// Spend takes one retry or hedge from the budget and reports whether there was one left.
func (p *Policy) Spend(service string) bool {
	s := p.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// Backoff returns a random pause before a retry, where retry 1 is the first one. It returns
// false if the retry could not be answered before the deadline.
func (p *Policy) Backoff(service string, retry int, now, deadline time.Time, needed time.Duration) (time.Duration, bool) {
	limit := min(backoffBase<<min(max(retry-1, 0), 16), backoffLimit)
	available := deadline.Sub(now) - needed
	if available <= 0 {
		return 0, false
	}
	s := p.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Int64N(int64(min(limit, available)) + 1)), true
}

// TryTimeout returns how long one try of the service may take.
func (p *Policy) TryTimeout(now time.Time, service briarferry.Service) time.Duration {
	s := p.state(service.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latency.tryTimeout(now, service.ExpectedLatency.Std())
}

// HedgeAfter returns the time without an answer after which a second try starts. It returns
// false for services without hedging, for services that aren't idempotent, and until there
// are enough samples.
func (p *Policy) HedgeAfter(now time.Time, service briarferry.Service) (time.Duration, bool) {
	if !service.Hedge || !service.Idempotent {
		return 0, false
	}
	s := p.state(service.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency.refresh(now)
	return s.latency.p95, s.latency.p95 > 0
}

// Observe records the latency of a try that was answered or timed out.
func (p *Policy) Observe(now time.Time, service string, d time.Duration, timedOut bool) {
	s := p.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency.observe(now, d, timedOut)
}
