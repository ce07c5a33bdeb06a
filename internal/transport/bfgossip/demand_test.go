package bfgossip

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
)

// underLoad runs 6 servers with 3 slots under load at 7 entries and returns the
// requests served by entry.
func underLoad(t *testing.T, urgency func(i int) int, rate float64, d time.Duration) *usage {
	u := newUsage()
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startCluster(5, 7)
		defer stopAll(nodes)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 6 {
			go announce(ctx, t, func(round int) *simNode { return nodes[(i+round)%7] }, func() briarferry.Announcement { return backend(i, 3) })
		}
		time.Sleep(3 * time.Second)
		for i, n := range nodes {
			driver := &driver{u: u, n: n, rng: rand.New(rand.NewPCG(1, uint64(i))), urgency: urgency(i), service: 60 * time.Millisecond,
				rate: func() float64 { return rate }}
			go driver.run(ctx)
		}
		time.Sleep(d)
		u.check(t, 3)
		cancel()
		time.Sleep(time.Second)
	})
	total := 0
	for _, n := range u.served {
		total += n
	}
	t.Logf("%d requests in %v, by entry %v", total, d, u.served)
	return u
}

// TestEqualEntriesGetEqualShares guards against entries that are starved by others
// with the same urgency, and against slots that lie idle in an overload.
func TestEqualEntriesGetEqualShares(t *testing.T) {
	u := underLoad(t, func(int) int { return 1 }, 120, 10*time.Second)
	least, most, total := 1<<30, 0, 0
	for i := range 7 {
		least, most, total = min(least, u.served[i]), max(most, u.served[i]), total+u.served[i]
	}
	if 2*least < most {
		t.Errorf("between %d and %d requests served", least, most)
	}
	// 18 slots and 60 ms a request make 3,000 requests in 10 s.
	if total < 1500 {
		t.Errorf("%d requests served of 3000 possible", total)
	}
}

// TestUrgentFirstWithFloor guards against less urgent requests that crowd out urgent
// ones, and against a flood of urgent ones that starves the others.
func TestUrgentFirstWithFloor(t *testing.T) {
	u := underLoad(t, func(i int) int { return 1 + 4*(i%2) }, 120, 10*time.Second)
	urgent := u.served[0] + u.served[2] + u.served[4] + u.served[6]
	other := u.served[1] + u.served[3] + u.served[5]
	if urgent < 4*other {
		t.Errorf("%d urgent and %d other requests served", urgent, other)
	}
	for _, i := range []int{1, 3, 5} {
		if u.served[i] == 0 {
			t.Errorf("e%d served nothing", i)
		}
	}
}

// TestNewDemandIsMetAtOnce guards against demand that waits for the next heartbeat or
// renewal: a round trip to the home must do, and one more where others hold the slots.
func TestNewDemandIsMetAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startCluster(6, 7)
		defer stopAll(nodes)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go announce(ctx, t, func(int) *simNode { return nodes[0] }, func() briarferry.Announcement { return backend(0, 3) })
		time.Sleep(5 * time.Second)
		for i, n := range nodes {
			limit := 15 * time.Millisecond
			if n.vm.Region != "recife" {
				limit = 125 * time.Millisecond
			}
			start := time.Now()
			n.pool.SetDemand("desk", map[int]int{1: 1})
			s, ok := n.pool.TryAcquire("desk", nil)
			for ; !ok && time.Since(start) < time.Second; s, ok = n.pool.TryAcquire("desk", nil) {
				time.Sleep(time.Millisecond)
			}
			took := time.Since(start)
			n.pool.SetDemand("desk", nil)
			if !ok || took > limit {
				t.Errorf("e%d got a slot: %v after %v, want at most %v", i, ok, took, limit)
			}
			t.Logf("e%d in %s got a slot after %v", i, n.vm.Region, took)
			if ok {
				s.Done(briarferry.TryReport{})
			}
			time.Sleep(3 * time.Second)
		}
	})
}
