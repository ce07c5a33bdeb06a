// Package bfretry decides when a request is tried again: the retry budget,
// back-off, try timeouts and hedging.
package bfretry

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"briarferry"
)

const (
	backoffBase  = 5 * time.Millisecond
	backoffLimit = 250 * time.Millisecond

	// initialTokens lets a service with few requests retry before it has earned
	// any; over a long time it does not change the share.
	initialTokens = 3
	// maxTokens bounds the retries that a quiet time can save up for a failure.
	maxTokens = 50
)

type (
	// Policy decides about further tries, for each service on its own. Its fields
	// are set before use.
	Policy struct {
		// Seed makes the back-off repeatable; entries must have different ones.
		Seed uint64

		services sync.Map
	}

	// state is what the policy knows about one service.
	state struct {
		mu      sync.Mutex
		rng     *rand.Rand
		tokens  float64
		latency *latency
	}
)

func (p *Policy) state(service string) *state {
	if s, ok := p.services.Load(service); ok {
		return s.(*state)
	}
	s, _ := p.services.LoadOrStore(service, &state{
		rng: rand.New(rand.NewPCG(p.Seed, uint64(len(service)))), tokens: initialTokens, latency: newLatency(),
	})
	return s.(*state)
}

// RecordRequest counts a request, which earns the share of a retry.
func (p *Policy) RecordRequest(service string, share float64) {
	s := p.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = math.Min(maxTokens, s.tokens+share)
}

// Spend takes one retry or hedge from the budget; it is false where none is left.
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

// Backoff returns the pause before the try with the given number (the first retry
// is 1). It is false where the retry could not be answered before the deadline.
func (p *Policy) Backoff(service string, retry int, now, deadline time.Time, needed time.Duration) (time.Duration, bool) {
	limit := min(backoffBase<<min(max(retry-1, 0), 16), backoffLimit)
	left := deadline.Sub(now) - needed
	if left <= 0 {
		return 0, false
	}
	s := p.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Int64N(int64(min(limit, left)) + 1)), true
}

// TryTimeout returns how long one try of the service may take.
func (p *Policy) TryTimeout(now time.Time, service briarferry.Service) time.Duration {
	s := p.state(service.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latency.tryTimeout(now, service.Expected.Std())
}

// HedgeAfter returns the time without an answer after which a second try starts.
// It is false for services without hedging and before enough answers were seen.
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

// Observe adds the latency of a try that was answered or timed out.
func (p *Policy) Observe(now time.Time, service string, d time.Duration, timedOut bool) {
	s := p.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency.observe(now, d, timedOut)
}
