package bfgossip

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
)

// runOverload loads 6 servers with 3 slots each through 7 entries and returns the requests
// that were served.
func runOverload(t *testing.T, urgency func(i int) int, rate float64, d time.Duration) *usage {
	u := newUsage()
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startCluster(5, 7)
		defer stopAll(nodes)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 6 {
			go announceEverySecond(ctx, t, func(round int) *simNode { return nodes[(i+round)%7] }, func() briarferry.Announcement { return testAnnouncement(i, 3) })
		}
		time.Sleep(3 * time.Second)
		for i, n := range nodes {
			g := &loadGenerator{usage: u, n: n, rng: rand.New(rand.NewPCG(1, uint64(i))), urgency: urgency(i), serviceTime: 60 * time.Millisecond,
				rate: func() float64 { return rate }}
			go g.run(ctx)
		}
		time.Sleep(d)
		u.check(t, 3)
		cancel()
		time.Sleep(time.Second)
	})
	total := 0
	for _, n := range u.servedByEntry {
		total += n
	}
	t.Logf("%d requests in %v, per entry: %v", total, d, u.servedByEntry)
	return u
}

// TestEqualEntriesGetEqualShares guards against entries that are starved by others with
// the same urgency, and against slots that stay unused under overload.
func TestEqualEntriesGetEqualShares(t *testing.T) {
	u := runOverload(t, func(int) int { return 1 }, 120, 10*time.Second)
	least, most, total := 1<<30, 0, 0
	for i := range 7 {
		least, most, total = min(least, u.servedByEntry[i]), max(most, u.servedByEntry[i]), total+u.servedByEntry[i]
	}
	if 2*least < most {
		t.Errorf("entries served between %d and %d requests", least, most)
	}
	// 18 slots and 60 ms per request allow 3,000 requests in 10 s.
	if total < 1500 {
		t.Errorf("%d of 3000 possible requests were served", total)
	}
}

// TestUrgencyOrderAndFloorShare guards against less urgent requests that displace urgent
// ones, and against an overload of urgent requests that starves the others.
func TestUrgencyOrderAndFloorShare(t *testing.T) {
	u := runOverload(t, func(i int) int { return 1 + 4*(i%2) }, 120, 10*time.Second)
	urgent := u.servedByEntry[0] + u.servedByEntry[2] + u.servedByEntry[4] + u.servedByEntry[6]
	other := u.servedByEntry[1] + u.servedByEntry[3] + u.servedByEntry[5]
	if urgent < 4*other {
		t.Errorf("%d urgent and %d other requests were served", urgent, other)
	}
	for _, i := range []int{1, 3, 5} {
		if u.servedByEntry[i] == 0 {
			t.Errorf("e%d served nothing", i)
		}
	}
}

// TestNewDemandGetsSlotWithinRoundTrips guards against demand that waits for the next
// heartbeat or renewal: one round trip to the owner must suffice, and a second one if other
// entries hold the slots.
func TestNewDemandGetsSlotWithinRoundTrips(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startCluster(6, 7)
		defer stopAll(nodes)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go announceEverySecond(ctx, t, func(int) *simNode { return nodes[0] }, func() briarferry.Announcement { return testAnnouncement(0, 3) })
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
				t.Errorf("e%d got a slot: %t, after %v, want at most %v", i, ok, took, limit)
			}
			t.Logf("e%d in %s got a slot after %v", i, n.vm.Region, took)
			if ok {
				s.Done(briarferry.TryReport{})
			}
			time.Sleep(3 * time.Second)
		}
	})
}
