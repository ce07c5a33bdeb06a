package bfgossip

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
)

// TestLongRequestsKeepSlots guards against a slot that is granted again while its request
// is still running: after the lease expired, with packet loss, and after the owner of the
// slot crashed.
func TestLongRequestsKeepSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := startCluster(8, 7)
		defer func() { stopAll(nodes) }()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go announceEverySecond(ctx, t, func(round int) *simNode { return nodes[1+round%2] }, func() briarferry.Announcement { return testAnnouncement(0, 3) })
		f.mu.Lock()
		f.lossRate = 0.03
		f.mu.Unlock()
		time.Sleep(4 * time.Second)
		var running []briarferry.Slot
		for i, n := range []*simNode{nodes[1], nodes[2], nodes[4]} { // entries of other regions
			n.pool.SetDemand("desk", map[int]int{1: 1})
			time.Sleep(800 * time.Millisecond)
			s, ok := n.pool.TryAcquire("desk", nil)
			if !ok {
				t.Fatalf("no slot for request %d", i)
			}
			n.pool.SetDemand("desk", nil)
			running = append(running, s)
		}
		expectNoFourthSlot := func(when string, d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				for _, n := range nodes {
					if n.hasCrashed() {
						continue
					}
					n.pool.SetDemand("desk", map[int]int{0: 3})
					if _, ok := n.pool.TryAcquire("desk", nil); ok {
						t.Fatalf("%s got a fourth slot %s", n.vm.Name, when)
					}
				}
			}
		}
		expectNoFourthSlot("after the lease expired", 5*time.Second)
		for _, i := range []int{0, 3, 6} { // one of them is the owner
			nodes[i].crash()
			expectNoFourthSlot("after a crash", 4*time.Second)
			nodes[i] = f.start(i, 1, 2)
			expectNoFourthSlot("after a restart", 4*time.Second)
		}
		running[0].Done(briarferry.TryReport{})
		free := 0
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			for _, n := range nodes {
				if _, ok := n.pool.TryAcquire("desk", nil); ok {
					free++
				}
			}
		}
		if free != 1 {
			t.Errorf("%d slots were granted after one request ended, want 1", free)
		}
	})
}

// TestBlockedLinkToOwner guards against an entry that gets no slots because its link to one
// owner is blocked, and against blocked links that lead to more requests than slots.
func TestBlockedLinkToOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := startCluster(9, 7)
		defer stopAll(nodes)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 6 {
			go announceEverySecond(ctx, t, func(round int) *simNode { return nodes[1+round%6] }, func() briarferry.Announcement { return testAnnouncement(i, 3) })
		}
		f.blockLinks(func(from, to int) bool { return from == 1 && to == 0 || from == 1 && to == 4 || from == 4 && to == 1 })
		time.Sleep(6 * time.Second)
		for _, n := range nodes {
			n.pool.SetDemand("desk", map[int]int{1: 1})
		}
		got := map[string]bool{}
		for range 400 {
			time.Sleep(time.Millisecond)
			for _, n := range nodes {
				if _, ok := n.pool.TryAcquire("desk", nil); ok && !got[n.vm.Name] {
					got[n.vm.Name] = true
					n.pool.SetDemand("desk", nil)
				}
			}
			if held := totalCapacity(nodes); held > 18 {
				t.Fatalf("%d slots are held, of 18", held)
			}
		}
		if len(got) != len(nodes) {
			t.Errorf("only %v got a slot within 400 ms", got)
		}
	})
}
