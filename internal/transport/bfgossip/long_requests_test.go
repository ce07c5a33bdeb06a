package bfgossip

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
)

// TestLongRequestsKeepSlots guards against a slot that is granted again while its
// request still runs: past its lease, under loss, and after the home entry crashed.
func TestLongRequestsKeepSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := startCluster(8, 7)
		defer func() { stopAll(nodes) }()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go announce(ctx, t, func(round int) *simNode { return nodes[1+round%2] }, func() briarferry.Announcement { return backend(0, 3) })
		f.mu.Lock()
		f.loss = 0.03
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
		noFourth := func(when string, d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				for _, n := range nodes {
					if n.isDead() {
						continue
					}
					n.pool.SetDemand("desk", map[int]int{0: 3})
					if _, ok := n.pool.TryAcquire("desk", nil); ok {
						t.Fatalf("%s got a fourth slot %s", n.vm.Name, when)
					}
				}
			}
		}
		noFourth("past the lease", 5*time.Second)
		for _, i := range []int{0, 3, 6} { // one of them is the home
			nodes[i].crash()
			noFourth("after a crash", 4*time.Second)
			nodes[i] = f.start(i, 1, 2)
			noFourth("after a restart", 4*time.Second)
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
			t.Errorf("%d slots were granted after one request ended", free)
		}
	})
}

// TestCutLinkToHome guards against an entry that gets no work because its link to one
// home is cut, and against a cut that leads to more requests than slots.
func TestCutLinkToHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := startCluster(9, 7)
		defer stopAll(nodes)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 6 {
			go announce(ctx, t, func(round int) *simNode { return nodes[1+round%6] }, func() briarferry.Announcement { return backend(i, 3) })
		}
		f.setCut(func(from, to int) bool { return from == 1 && to == 0 || from == 1 && to == 4 || from == 4 && to == 1 })
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
			if held := capacity(nodes); held > 18 {
				t.Fatalf("%d slots held of 18", held)
			}
		}
		if len(got) != len(nodes) {
			t.Errorf("only %v got a slot within 400 ms", got)
		}
	})
}
