package bfgossip

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
)

func knownServers(n *simNode) int { return len(n.table.ServiceBackends(time.Now(), "desk")) }

// TestAnnouncementReachesAll guards against servers that are known to only some entries
// when datagrams are lost, duplicated and reordered, and when a link from or to an entry
// that receives announcements is blocked.
func TestAnnouncementReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := startCluster(1, 7)
		defer stopAll(nodes)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 5 {
			go announceEverySecond(ctx, t, func(int) *simNode { return nodes[i%2] }, func() briarferry.Announcement { return testAnnouncement(i, 3) })
		}
		time.Sleep(300 * time.Millisecond)
		for _, n := range nodes {
			if knownServers(n) != 5 {
				t.Errorf("%s knows %d servers after 300 ms", n.vm.Name, knownServers(n))
			}
		}
		f.mu.Lock()
		f.lossRate, f.duplicateRate = 0.1, 0.1
		f.mu.Unlock()
		f.blockLinks(func(from, to int) bool { return from == 0 && to == 5 || from == 6 && to == 1 })
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			for _, n := range nodes {
				if knownServers(n) != 5 {
					t.Fatalf("%s knows %d servers", n.vm.Name, knownServers(n))
				}
			}
		}
	})
}

// TestRestartedEntrySyncs guards against a restarted entry that is marked as synced before
// it knows all servers, or takes more than 2 s to learn them.
func TestRestartedEntrySyncs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := startCluster(2, 7)
		defer stopAll(nodes)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 400 {
			go announceEverySecond(ctx, t, func(round int) *simNode { return nodes[(i+round)%6] }, func() briarferry.Announcement { return testAnnouncement(i, 3) })
		}
		time.Sleep(4 * time.Second)
		f.mu.Lock()
		f.lossRate = 0.03
		f.isLossy = func(from, to int) bool { return from == 6 || to == 6 }
		f.mu.Unlock()
		nodes[6].crash()
		nodes[6] = f.start(6, 0, 1)
		for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
			synced, count := nodes[6].gossip.Synced(), knownServers(nodes[6])
			if synced {
				t.Logf("synced after %v with %d servers", time.Since(start), count)
				if count < 400 {
					t.Errorf("synced with %d of 400 servers", count)
				}
				return
			}
			if time.Since(start) > 2*time.Second {
				t.Fatalf("not synced after 2 s with %d servers", count)
			}
		}
	})
}

// TestDrainStopsNewRequests guards against entries that still use a draining server 3 s
// after it announced the drain to one entry, whose links to half of the others are blocked.
func TestDrainStopsNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := startCluster(3, 7)
		defer stopAll(nodes)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var draining atomic.Bool
		go announceEverySecond(ctx, t, func(int) *simNode { return nodes[0] }, func() briarferry.Announcement {
			a := testAnnouncement(0, 20)
			if draining.Load() {
				a.State = briarferry.StateDraining
			}
			return a
		})
		for _, n := range nodes {
			n.pool.SetDemand("desk", map[int]int{1: 2})
		}
		time.Sleep(5 * time.Second)
		for _, n := range nodes {
			if _, ok := n.pool.TryAcquire("desk", nil); !ok {
				t.Errorf("%s got no slot before the drain", n.vm.Name)
			}
		}
		f.blockLinks(func(from, to int) bool { return from == 0 && to > 3 })
		draining.Store(true)
		time.Sleep(3 * time.Second)
		for _, n := range nodes {
			if _, ok := n.pool.TryAcquire("desk", nil); ok {
				t.Errorf("%s got a slot 3 s after the start of the drain", n.vm.Name)
			}
		}
	})
}

// TestFrozenEntry guards against an entry that, after a freeze, uses slots that others have
// been granted meanwhile, and against an owner that grants slots from outdated state.
func TestFrozenEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startCluster(4, 7)
		defer stopAll(nodes)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go announceEverySecond(ctx, t, func(round int) *simNode { return nodes[round%2] }, func() briarferry.Announcement { return testAnnouncement(0, 3) })
		for _, n := range nodes {
			n.pool.SetDemand("desk", map[int]int{1: 1})
		}
		time.Sleep(4 * time.Second)
		for _, i := range []int{0, 3, 6} { // the entries of the server's region
			nodes[i].freeze()
			time.Sleep(5 * time.Second)
			nodes[i].resume()
			if _, ok := nodes[i].pool.TryAcquire("desk", nil); ok {
				t.Errorf("e%d got a slot right after its freeze", i)
			}
			for range 100 {
				time.Sleep(20 * time.Millisecond)
				if held := totalCapacity(nodes); held > 3 {
					t.Fatalf("%d slots are held, of 3, after the freeze of e%d", held, i)
				}
			}
			if !nodes[i].members.Connected() {
				t.Errorf("e%d is not connected 2 s after its freeze", i)
			}
		}
	})
}

func totalCapacity(nodes []*simNode) int {
	sum := 0
	for _, n := range nodes {
		sum += n.pool.Capacity("desk")
	}
	return sum
}
