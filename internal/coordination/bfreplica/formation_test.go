package bfreplica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"briarferry/internal/state/bfstorage"
)

func (c *cluster) stopVMs(vms ...string) {
	for _, vm := range vms {
		m := c.member(vm)
		m.stop()
		<-m.done
	}
}

// wipe restarts the replica on a VM with an empty data directory.
func (c *cluster) wipe(vm string) {
	c.stopVMs(vm)
	c.start(vm, bfstorage.NewMemoryFS(rand.New(rand.NewPCG(uint64(vm[0]), uint64(time.Now().UnixNano())))))
}

func (c *cluster) waitFor(what string, ok func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(60 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("condition not met within 60 s: %s", what)
		}
	}
}

// TestFormationNeedsAll guards against a subset of the control VMs that forms a group
// without the others.
func TestFormationNeedsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, interRegionDelay, memoryFS(1), nil)
		defer c.close()
		c.isolate("b", true)
		time.Sleep(20 * time.Second)
		for _, vm := range vms {
			if last := c.member(vm).node.Info().LastIndex; last != 0 {
				t.Errorf("%s has %d entries although b is unreachable", vm, last)
			}
		}
		c.isolate("b", false)
		c.propose("first")
		if got := c.converge(); len(got) != 1 {
			t.Errorf("commands %v", got)
		}
	})
}

// TestMajorityOfDisksLost guards against wiped replicas that form a new group and so lose
// acknowledged commands.
func TestMajorityOfDisksLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, interRegionDelay, memoryFS(2), nil)
		defer c.close()
		c.propose("first")
		c.converge()
		c.stopVMs("a", "b")
		c.wipe("a")
		c.wipe("b")
		time.Sleep(30 * time.Second)
		if l := c.leader(); l != nil {
			t.Errorf("%s is leader after two of three disks were lost at once", l.vm)
		}
		for _, vm := range []string{"a", "b"} {
			if last := c.member(vm).node.Info().LastIndex; last != 0 {
				t.Errorf("%s has %d entries", vm, last)
			}
		}
	})
}

// TestSecondLossAfterRepair guards against a group that stops or loses commands when a
// second VM is lost right after a wiped replica was replaced.
func TestSecondLossAfterRepair(t *testing.T) {
	for seed, order := range [][2]string{{"a", "b"}, {"b", "c"}, {"c", "a"}, {"a", "c"}} {
		synctest.Test(t, func(t *testing.T) { runSecondLoss(t, uint64(seed), order) })
	}
}

func runSecondLoss(t *testing.T, seed uint64, order [2]string) {
	c := newCluster(t, seed, interRegionDelay, memoryFS(seed), func(n *Node) { n.SnapshotEntries = 20 })
	defer c.close()
	for i := range 50 {
		c.propose(fmt.Sprint("before ", i))
	}
	old := c.member(order[0]).node.Info().ID
	c.wipe(order[0])
	c.waitFor("the wiped replica is replaced", func() bool {
		l := c.leader()
		if l == nil {
			return false
		}
		s := l.node.Status()
		return len(s.Voters) == 3 && !slices.Contains(s.Voters, old) && s.Commit == s.Applied
	})
	c.isolate(order[1], true)
	c.stopVMs(order[1])
	for i := range 20 {
		c.propose(fmt.Sprint("after ", i), order[1])
	}
	c.isolate(order[1], false)
	c.start(order[1], c.member(order[1]).fs)
	if got := c.converge(); len(got) != 70 || got[0] != "before 0" || got[69] != "after 19" {
		t.Errorf("seed %d, wiped %s, lost %s: applied %d commands, want 70 in order", seed, order[0], order[1], len(got))
	}
}

// TestPendingLimitDoesNotStall guards against commands that wait for the next tick whenever
// the limit of pending commands was reached.
func TestPendingLimitDoesNotStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, time.Millisecond, memoryFS(1), func(n *Node) {
			n.MaxPending = 4
			n.Machine.(*recorder).applyDelay = 3 * time.Millisecond
		})
		defer c.close()
		c.propose("first")
		started := time.Now()
		var group sync.WaitGroup
		for i := range 8 {
			group.Go(func() {
				for j := range 25 {
					c.propose(fmt.Sprint(i, " ", j))
				}
			})
		}
		group.Wait()
		if spent := time.Since(started); spent > 1500*time.Millisecond {
			t.Errorf("200 commands of 3 ms each, 4 at a time, took %v", spent)
		}
	})
}
