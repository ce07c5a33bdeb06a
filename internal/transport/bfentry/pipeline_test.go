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
	idempotent = briarferry.Service{Name: testService, Idempotent: true, Expected: briarferry.Duration(testHold)}
	hedging    = briarferry.Service{Name: testService, Idempotent: true, Hedge: true, Expected: briarferry.Duration(testHold)}
	keyed      = briarferry.Service{Name: testService, Expected: briarferry.Duration(testHold)}
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

// frozenLater answers for the first second of a test's clock.
func frozenLater(ctx context.Context, r *briarferry.Request) (*briarferry.Answer, *briarferry.TryError) {
	if time.Now().After(time.Date(2000, 1, 1, 0, 0, 1, 0, time.UTC)) {
		return frozen(ctx, r)
	}
	return after(testHold)(context.Background(), r)
}

// TestFaultyServer guards against a single faulty server of ten that spoils more
// than a few requests.
func TestFaultyServer(t *testing.T) {
	cases := []struct {
		name    string
		service briarferry.Service
		answer  testAnswer
		least   float64
		most    int
	}{
		{"healthy", idempotent, nil, 1, 1000},
		{"frozen", idempotent, frozen, 0.995, 40},
		{"frozen, with hedging", hedging, frozen, 0.995, 60},
		{"frozen after a second", idempotent, frozenLater, 0.995, 90},
		{"frozen after a second, with hedging", hedging, frozenLater, 0.995, 90},
		{"silent in between, reporting no load", idempotent, after(500 * time.Millisecond), 0.995, 40},
		{"shedding", idempotent, shedding, 0.995, 200},
		{"crossed answers", idempotent, crossed, 0.995, 40},
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
				if share < tc.least || servers.servers[0].runs > tc.most {
					t.Errorf("%.4f in time and %d runs on the faulty server, want %.4f and at most %d", share, servers.servers[0].runs, tc.least, tc.most)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestHedging guards against hedges that don't help slow answers, exceed the budget
// or leave a slot behind.
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
					hold := testHold
					if runs%25 == 0 {
						hold = 90 * time.Millisecond
					}
					mu.Unlock()
					return after(hold)(ctx, r)
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
					t.Errorf("%d slots are still taken", server.inFlight)
				}
			}
		})
	}
	if latencies[true] > latencies[false]*2/3 {
		t.Errorf("slowest answer with hedging %v, without %v", latencies[true], latencies[false])
	}
}

// TestOutcomes guards against "not run" for a request that may have run, and
// against a second run of a request with a key.
func TestOutcomes(t *testing.T) {
	crashed := failing(briarferry.TryError{Dispatched: true, ConnectionDied: true, ServerGone: true, Err: errors.New("died")})
	cases := []struct {
		name    string
		service briarferry.Service
		key     string
		answer  testAnswer
		want    briarferry.Outcome
		most    int
	}{
		{"truncated", idempotent, "", truncated, briarferry.OutcomeUnknown, maxTries},
		{"shed", idempotent, "", shedding, briarferry.OutcomeNotRun, maxTries},
		{"shed with a key", keyed, "k", shedding, briarferry.OutcomeNotRun, maxTries},
		{"truncated with a key", keyed, "k", truncated, briarferry.OutcomeUnknown, 1},
		{"crossed with a key", keyed, "k", crossed, briarferry.OutcomeUnknown, 1},
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
				if servers.runs > tc.most {
					t.Errorf("%d tries, want at most %d", servers.runs, tc.most)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// claimFailure is a claimer with one faulty method.
type claimFailure struct {
	MemoryClaims
	claim, release briarferry.ClaimReply
	err            error
}

func (c *claimFailure) Claim(ctx context.Context, claim briarferry.Claim) (briarferry.ClaimReply, error) {
	if c.claim.Result != "" || c.err != nil {
		return c.claim, c.err
	}
	return c.MemoryClaims.Claim(ctx, claim)
}

func (c *claimFailure) Release(context.Context, briarferry.Claim) (briarferry.ClaimReply, error) {
	return c.release, nil
}

// TestClaims guards against runs without a granted claim, and against "not run"
// without a committed release or refusal.
func TestClaims(t *testing.T) {
	reply := func(r briarferry.ClaimResult) briarferry.ClaimReply { return briarferry.ClaimReply{Result: r} }
	cases := []struct {
		name   string
		claims *claimFailure
		want   briarferry.Outcome
	}{
		{"unreachable", &claimFailure{err: context.DeadlineExceeded}, briarferry.OutcomeUnknown},
		{"held", &claimFailure{claim: reply(briarferry.ClaimHeld)}, briarferry.OutcomeUnknown},
		{"completed without an answer", &claimFailure{claim: reply(briarferry.ClaimCompleted)}, briarferry.OutcomeUnknown},
		{"mismatch", &claimFailure{claim: reply(briarferry.ClaimMismatch)}, briarferry.OutcomeUnknown},
		{"stale", &claimFailure{claim: reply(briarferry.ClaimStale)}, briarferry.OutcomeNotRun},
		{"full", &claimFailure{claim: reply(briarferry.ClaimFull)}, briarferry.OutcomeNotRun},
		{"release held", &claimFailure{release: reply(briarferry.ClaimHeld)}, briarferry.OutcomeUnknown},
		{"released", &claimFailure{release: reply(briarferry.ClaimReleased)}, briarferry.OutcomeNotRun},
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
