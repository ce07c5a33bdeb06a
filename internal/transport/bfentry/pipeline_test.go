package bfentry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
)

var (
	idempotent = briarferry.Service{Name: testService, Idempotent: true, ExpectedLatency: briarferry.Duration(testServiceTime)}
	hedging    = briarferry.Service{Name: testService, Idempotent: true, Hedge: true, ExpectedLatency: briarferry.Duration(testServiceTime)}
	keyed      = briarferry.Service{Name: testService, ExpectedLatency: briarferry.Duration(testServiceTime)}
)

func runOne(p *Pipeline, s briarferry.Service, r *briarferry.Request) (*briarferry.Answer, error) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	return p.Run(ctx, s, r, briarferry.Lease{})
}

// runMany sends requests at even intervals and returns the share answered in time.
func runMany(p *Pipeline, s briarferry.Service, n int, every time.Duration) float64 {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { _, _ = runOne(p, s, newTestRequest(fmt.Sprint(i), time.Second)) })
		time.Sleep(every)
	}
	wg.Wait()
	return float64(p.Counters.Value(testService, "urgent", countAnswered)) / float64(n)
}

// frozenAfterOneSecond answers during the first second of the test clock and never after it.
func frozenAfterOneSecond(ctx context.Context, r *briarferry.Request) (*briarferry.Answer, *briarferry.TryError) {
	if time.Now().After(time.Date(2000, 1, 1, 0, 0, 1, 0, time.UTC)) {
		return frozen(ctx, r)
	}
	return answerAfter(testServiceTime)(context.Background(), r)
}

// TestFaultyServer guards against one faulty server out of ten that makes more than a few
// requests fail or be answered late.
func TestFaultyServer(t *testing.T) {
	cases := []struct {
		name    string
		service briarferry.Service
		answer  testAnswer
		// minShare is the smallest share of requests answered in time, maxRuns the largest
		// number of runs on the faulty server.
		minShare float64
		maxRuns  int
	}{
		{"healthy", idempotent, nil, 1, 1000},
		{"frozen", idempotent, frozen, 0.995, 40},
		{"frozen, with hedging", hedging, frozen, 0.995, 60},
		{"frozen after a second", idempotent, frozenAfterOneSecond, 0.995, 90},
		{"frozen after a second, with hedging", hedging, frozenAfterOneSecond, 0.995, 90},
		{"slower than the try timeout, reporting no load", idempotent, answerAfter(500 * time.Millisecond), 0.995, 40},
		{"shedding", idempotent, shedding, 0.995, 200},
		{"mismatched answers", idempotent, mismatched, 0.995, 40},
		{"truncated answers", idempotent, truncated, 0.995, 40},
		{"shedding, not idempotent", keyed, shedding, 0.995, 200},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				servers := newTestServers(10, 3, 5)
				servers.servers[0].answer = tc.answer
				p := newTestPipeline(servers)
				share := runMany(p, tc.service, 2000, 2*time.Millisecond)
				t.Logf("%.4f in time, %d runs on the faulty server, %d runs; %s", share, servers.servers[0].runs, servers.runs, p.Counters.Vars())
				if share < tc.minShare || servers.servers[0].runs > tc.maxRuns {
					t.Errorf("%.4f in time and %d runs on the faulty server, want at least %.4f and at most %d", share, servers.servers[0].runs, tc.minShare, tc.maxRuns)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestHedging guards against hedges that don't shorten the slowest answers, that exceed the
// retry budget or that don't release their slot.
func TestHedging(t *testing.T) {
	latencies := map[bool]time.Duration{}
	for _, s := range []briarferry.Service{idempotent, hedging} {
		synctest.Test(t, func(t *testing.T) {
			servers := newTestServers(10, 3, 5)
			var mu sync.Mutex
			runs := 0
			for _, server := range servers.servers {
				server.answer = func(ctx context.Context, r *briarferry.Request) (*briarferry.Answer, *briarferry.TryError) {
					mu.Lock()
					runs++
					serviceTime := testServiceTime
					if runs%25 == 0 {
						serviceTime = 90 * time.Millisecond
					}
					mu.Unlock()
					return answerAfter(serviceTime)(ctx, r)
				}
			}
			p := newTestPipeline(servers)
			var slowest time.Duration
			for i := range 1000 {
				start := time.Now()
				if _, err := runOne(p, s, newTestRequest(fmt.Sprint(i), time.Second)); err != nil {
					t.Error(err)
				}
				if i > 100 {
					slowest = max(slowest, time.Since(start))
				}
			}
			latencies[s.Hedge] = slowest
			t.Logf("hedging %v: slowest of 900 %v; %s", s.Hedge, slowest, p.Counters.Vars())
			if n := p.Counters.Value(testService, "urgent", countHedged); n > 103 {
				t.Errorf("%d hedges for 1,000 requests", n)
			}
			time.Sleep(time.Minute)
			for _, server := range servers.servers {
				if server.inFlight != 0 {
					t.Errorf("%d slots were not released", server.inFlight)
				}
			}
		})
	}
	if latencies[true] > latencies[false]*2/3 {
		t.Errorf("slowest answer with hedging %v, without %v", latencies[true], latencies[false])
	}
}

// TestOutcomes guards against the outcome "not run" for a request that may have run, and
// against a second run of a request with a key.
func TestOutcomes(t *testing.T) {
	crashed := failWith(briarferry.TryError{Dispatched: true, ConnectionLost: true, ServerRefusedConnection: true, Err: errors.New("connection reset")})
	cases := []struct {
		name    string
		service briarferry.Service
		key     string
		answer  testAnswer
		want    briarferry.Outcome
		maxRuns int
	}{
		{"truncated", idempotent, "", truncated, briarferry.OutcomeUnknown, maxTries},
		{"shed", idempotent, "", shedding, briarferry.OutcomeNotRun, maxTries},
		{"shed with a key", keyed, "k", shedding, briarferry.OutcomeNotRun, maxTries},
		{"truncated with a key", keyed, "k", truncated, briarferry.OutcomeUnknown, 1},
		{"mismatched with a key", keyed, "k", mismatched, briarferry.OutcomeUnknown, 1},
		{"frozen with a key", keyed, "k", frozen, briarferry.OutcomeUnknown, 1},
		{"crashed with a key", keyed, "k", crashed, briarferry.OutcomeUnknown, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				servers := newTestServers(10, 3, 5)
				for _, s := range servers.servers {
					s.answer = tc.answer
				}
				p := newTestPipeline(servers)
				r := newTestRequest("a", time.Second)
				r.Key = tc.key
				_, err := runOne(p, tc.service, r)
				checkOutcome(t, err, tc.want)
				if servers.runs > tc.maxRuns {
					t.Errorf("%d runs, want at most %d", servers.runs, tc.maxRuns)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// faultyClaims is a Claimer whose Claim or Release gives a configured reply.
type faultyClaims struct {
	MemoryClaims
	claim, release briarferry.ClaimReply
	err            error
}

func (c *faultyClaims) Claim(ctx context.Context, claim briarferry.Claim) (briarferry.ClaimReply, error) {
	if c.claim.Result != "" || c.err != nil {
		return c.claim, c.err
	}
	return c.MemoryClaims.Claim(ctx, claim)
}

func (c *faultyClaims) Release(context.Context, briarferry.Claim) (briarferry.ClaimReply, error) {
	return c.release, nil
}

// TestClaims guards against tries without a granted claim, and against the outcome "not run"
// without a committed release or refusal.
func TestClaims(t *testing.T) {
	reply := func(r briarferry.ClaimResult) briarferry.ClaimReply { return briarferry.ClaimReply{Result: r} }
	cases := []struct {
		name   string
		claims *faultyClaims
		want   briarferry.Outcome
	}{
		{"unreachable", &faultyClaims{err: context.DeadlineExceeded}, briarferry.OutcomeUnknown},
		{"held", &faultyClaims{claim: reply(briarferry.ClaimHeld)}, briarferry.OutcomeUnknown},
		{"completed without an answer", &faultyClaims{claim: reply(briarferry.ClaimCompleted)}, briarferry.OutcomeUnknown},
		{"mismatch", &faultyClaims{claim: reply(briarferry.ClaimMismatch)}, briarferry.OutcomeUnknown},
		{"stale", &faultyClaims{claim: reply(briarferry.ClaimStale)}, briarferry.OutcomeNotRun},
		{"full", &faultyClaims{claim: reply(briarferry.ClaimFull)}, briarferry.OutcomeNotRun},
		{"release held", &faultyClaims{release: reply(briarferry.ClaimHeld)}, briarferry.OutcomeUnknown},
		{"released", &faultyClaims{release: reply(briarferry.ClaimReleased)}, briarferry.OutcomeNotRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				servers := newTestServers(10, 3, 5)
				for _, s := range servers.servers {
					s.gone = true
				}
				p := newTestPipeline(servers)
				p.Claims = tc.claims
				r := newTestRequest("a", time.Second)
				r.Key = "k"
				_, err := runOne(p, keyed, r)
				checkOutcome(t, err, tc.want)
				time.Sleep(time.Minute)
			})
		})
	}
}
