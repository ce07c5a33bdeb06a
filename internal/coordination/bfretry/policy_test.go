package bfretry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"briarferry"
)

var start = time.Unix(1000, 0)

// TestRetryBudget guards against retries that multiply the load of a failing service.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &Policy{}
		requests, spent := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "begin") {
				p.RecordRequest("orders", 0.1)
				requests++
			} else if p.Spend("orders") {
				spent++
			}
		}
		if float64(spent) > initialTokens+0.1*float64(requests)+1e-6 {
			t.Fatalf("%d retries for %d requests exceed the budget", spent, requests)
		}
	})
}

// TestBackoff guards against pauses that leave too little time to answer the retry.
func TestBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &Policy{Seed: rapid.Uint64().Draw(t, "seed")}
		left := time.Duration(rapid.Int64Range(-1e9, 1e9).Draw(t, "left"))
		needed := time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "needed"))
		retry := rapid.IntRange(0, 100).Draw(t, "retry")
		pause, ok := p.Backoff("orders", retry, start, start.Add(left), needed)
		switch {
		case ok != (left > needed):
			t.Fatalf("retry allowed: %v with %v left and %v needed", ok, left, needed)
		case ok && (pause < 0 || pause+needed > left || pause > backoffLimit):
			t.Fatalf("pause of %v with %v left and %v needed", pause, left, needed)
		}
	})
}

// TestTryTimeout guards against timeouts that grow because of one unresponsive server, and
// against timeouts that stay below the latency of every answer of a slow service.
func TestTryTimeout(t *testing.T) {
	cases := []struct {
		name                   string
		samples                int
		latency                time.Duration
		slowEvery              int
		minTimeout, maxTimeout time.Duration
	}{
		{"before the first answer", 0, 0, 0, 400 * time.Millisecond, 400 * time.Millisecond},
		{"at least 100 ms", 200, time.Millisecond, 0, 100 * time.Millisecond, 100 * time.Millisecond},
		{"three times p99", 200, 50 * time.Millisecond, 0, 148 * time.Millisecond, 153 * time.Millisecond},
		{"one unresponsive server of ten", 200, 50 * time.Millisecond, 10, 148 * time.Millisecond, 153 * time.Millisecond},
		{"whole service slow", 200, 400 * time.Millisecond, 1, 450 * time.Millisecond, time.Hour},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := &Policy{}
			s := briarferry.Service{Name: "orders", Idempotent: true, ExpectedLatency: briarferry.Duration(40 * time.Millisecond)}
			now := start
			for i := range tc.samples {
				now = now.Add(20 * time.Millisecond)
				timeout := p.TryTimeout(now, s)
				slow := tc.slowEvery > 0 && i%tc.slowEvery == 0
				p.Observe(now, s.Name, min(tc.latency, timeout), slow || tc.latency > timeout)
			}
			if got := p.TryTimeout(now.Add(time.Second), s); got < tc.minTimeout || got > tc.maxTimeout {
				t.Errorf("try timeout %v, want %v to %v", got, tc.minTimeout, tc.maxTimeout)
			}
		})
	}
}

// TestHedgeAfter guards against hedging requests of services that don't enable it.
func TestHedgeAfter(t *testing.T) {
	for _, hedge := range []bool{true, false} {
		p := &Policy{}
		s := briarferry.Service{Name: "stock", Idempotent: true, Hedge: hedge}
		for i := range 100 {
			p.Observe(start, s.Name, time.Duration(i+1)*time.Millisecond, false)
		}
		after, ok := p.HedgeAfter(start.Add(time.Second), s)
		if ok != hedge || hedge && (after < 94*time.Millisecond || after > 97*time.Millisecond) {
			t.Errorf("hedge %v: hedges after %v, enabled is %v", hedge, after, ok)
		}
	}
}

// TestServicesDrawDifferently guards against services that back off at the same moments, as
// names of equal length gave them the same random sequence.
func TestServicesDrawDifferently(t *testing.T) {
	p := &Policy{Seed: 1}
	if p.state("prices").rng.Uint64() == p.state("orders").rng.Uint64() {
		t.Error("two services draw the same random sequence")
	}
}
