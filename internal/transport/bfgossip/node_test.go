package bfgossip

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
)

func known(n *simNode) int { return len(n.table.ServiceBackends(time.Now(), "desk")) }

// TestAnnouncementReachesAll guards against servers that only one entry knows, under
// loss, repetition and reordering, and where the link to the announced-to entry is cut.
func TestAnnouncementReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := startCluster(1, 7)
		defer stopAll(nodes)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 5 {
			go announce(ctx, t, func(int) *simNode { return nodes[i%2] }, func() briarferry.Announcement { return backend(i, 3) })
		}
		time.Sleep(300 * time.Millisecond)
		for _, n := range nodes {
			if known(n) != 5 {
				t.Errorf("%s knows %d servers after 300 ms", n.vm.Name, known(n))
			}
		}
		f.mu.Lock()
		f.loss, f.twin = 0.1, 0.1
		f.mu.Unlock()
		f.setCut(func(from, to int) bool { return from == 0 && to == 5 || from == 6 && to == 1 })
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			for _, n := range nodes {
				if known(n) != 5 {
					t.Fatalf("%s knows %d servers", n.vm.Name, known(n))
				}
			}
		}
	})
}

// TestRestartedEntrySyncs guards against an entry that takes work before it knows
// all servers, or is late to know them.
func TestRestartedEntrySyncs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := startCluster(2, 7)
		defer stopAll(nodes)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 400 {
			go announce(ctx, t, func(round int) *simNode { return nodes[(i+round)%6] }, func() briarferry.Announcement { return backend(i, 3) })
		}
		time.Sleep(4 * time.Second)
		f.mu.Lock()
		f.loss = 0.03
		f.lossy = func(from, to int) bool { return from == 6 || to == 6 }
		f.mu.Unlock()
		nodes[6].crash()
		nodes[6] = f.start(6, 0, 1)
		for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
			synced, count := nodes[6].gossip.Synced(), known(nodes[6])
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

// TestDrainStopsNewWork guards against entries that use a draining server more than
// 3 s after it told one of them, with that one cut off from half of the others.
func TestDrainStopsNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := startCluster(3, 7)
		defer stopAll(nodes)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var draining atomic.Bool
		go announce(ctx, t, func(int) *simNode { return nodes[0] }, func() briarferry.Announcement {
			a := backend(0, 20)
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
		f.setCut(func(from, to int) bool { return from == 0 && to > 3 })
		draining.Store(true)
		time.Sleep(3 * time.Second)
		for _, n := range nodes {
			if _, ok := n.pool.TryAcquire("desk", nil); ok {
				t.Errorf("%s got a slot 3 s after the drain", n.vm.Name)
			}
		}
	})
}

// TestFrozenEntry guards against an entry that dispatches after a freeze on slots
// which others hold by then, and against a frozen home that grants on old knowledge.
func TestFrozenEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startCluster(4, 7)
		defer stopAll(nodes)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go announce(ctx, t, func(round int) *simNode { return nodes[round%2] }, func() briarferry.Announcement { return backend(0, 3) })
		for _, n := range nodes {
			n.pool.SetDemand("desk", map[int]int{1: 1})
		}
		time.Sleep(4 * time.Second)
		for _, i := range []int{0, 3, 6} { // the entries of the server's region
			nodes[i].freeze()
			time.Sleep(5 * time.Second)
			nodes[i].thaw()
			if _, ok := nodes[i].pool.TryAcquire("desk", nil); ok {
				t.Errorf("e%d took a slot when it woke", i)
			}
			for range 100 {
				time.Sleep(20 * time.Millisecond)
				if held := capacity(nodes); held > 3 {
					t.Fatalf("%d slots held of 3 after e%d woke", held, i)
				}
			}
			if !nodes[i].m.Connected() {
				t.Errorf("e%d is not connected 2 s after it woke", i)
			}
		}
	})
}

func capacity(nodes []*simNode) int {
	sum := 0
	for _, n := range nodes {
		sum += n.pool.Capacity("desk")
	}
	return sum
}
