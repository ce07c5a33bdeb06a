package bfgossip

import (
	"context"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bfbalancer"
)

// TestLowLoadIsBalanced guards against slot leases that concentrate a low load on a few of
// a service's servers, which led to a coefficient of variation of 0.8, and against more
// requests at a server than it has slots while slots are granted in advance.
func TestLowLoadIsBalanced(t *testing.T) {
	for _, tc := range []struct {
		name           string
		servers, slots int
		rate           float64
		serviceTime    time.Duration
		maxVariation   float64
	}{
		{"20 servers with 9 slots", 20, 9, 300, 40 * time.Millisecond, 0.4},
		{"12 servers with 3 slots", 12, 3, 90, 80 * time.Millisecond, 0.4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := newUsage()
			synctest.Test(t, func(t *testing.T) {
				_, nodes := startCluster(7, 7)
				defer stopAll(nodes)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				for i, n := range nodes {
					n.pool.Balancer = &bfbalancer.Balancer{Seed: uint64(i)}
				}
				for i := range tc.servers {
					go announceEverySecond(ctx, t, func(round int) *simNode { return nodes[(i+round)%7] },
						func() briarferry.Announcement { return testAnnouncement(i, tc.slots) })
				}
				time.Sleep(4 * time.Second)
				for i, n := range nodes {
					g := &loadGenerator{usage: u, n: n, rng: rand.New(rand.NewPCG(3, uint64(i))), serviceTime: tc.serviceTime,
						rate: func() float64 { return tc.rate / 7 }}
					go g.run(ctx)
				}
				time.Sleep(10 * time.Second)
				u.check(t, tc.slots)
				cancel()
				time.Sleep(time.Second)
			})
			if cv := u.variation(tc.servers); cv > tc.maxVariation {
				t.Errorf("coefficient of variation %.2f of the requests per server: %v", cv, u.requestsByServer)
			} else {
				t.Logf("coefficient of variation %.2f", cv)
			}
		})
	}
}

// variation returns the coefficient of variation of the requests per server.
func (u *usage) variation(servers int) float64 {
	mean, sum := 0.0, 0.0
	for _, n := range u.requestsByServer {
		mean += float64(n) / float64(servers)
	}
	for _, n := range u.requestsByServer {
		sum += (float64(n) - mean) * (float64(n) - mean)
	}
	sum += float64(servers-len(u.requestsByServer)) * mean * mean
	return math.Sqrt(sum/float64(servers)) / mean
}
