package bfreplica

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// loseDisk kills the replica on a VM and starts it again with an empty data directory.
func (c *cluster) loseDisk(vm string) {
	c.isolate(vm, true)
	c.stopVMs(vm)
	c.isolate(vm, false)
	c.wipe(vm)
}

// TestDiskLostAfterPlannedReplacement guards against a stopped replica that stays a voter for
// some seconds after its successor has joined: the loss of one more disk in that time ends the
// group.
func TestDiskLostAfterPlannedReplacement(t *testing.T) {
	for seed, old := range vms {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 60+uint64(seed), interRegionDelay, memoryFS(60), openMembership)
			defer c.close()
			c.propose("first")
			c.start("d", memoryFS(9)("d"))
			c.waitFor("four voters", func() bool { return len(c.voterVMs()) == 4 })
			c.stopVMs(old)
			remaining := slices.DeleteFunc(slices.Clone(vms), func(vm string) bool { return vm == old })
			c.loseDisk(remaining[0])
			c.propose("second")
		})
	}
}

// TestDiskLostAfterKill guards against a follower that is killed after its successor has joined and
// counts towards the majority for longer than a new control VM needs to catch up.
func TestDiskLostAfterKill(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 70+seed, interRegionDelay, memoryFS(70), openMembership)
			defer c.close()
			c.propose("first")
			started := time.Now()
			c.start("d", memoryFS(9)("d"))
			time.Sleep(2 * time.Second)
			leader := slices.Index(vms, c.leader().vm)
			old := vms[(leader+1)%3]
			// The isolated replica tells nobody that it stops, and its end need not be awaited.
			c.isolate(old, true)
			c.member(old).stop()
			time.Sleep(time.Until(started.Add(successorTime)))
			c.loseDisk(vms[(leader+2*int(seed%2))%3])
			c.propose("second")
		})
	}
}

// TestStopBeforeSuccessorIsVoter guards against a stopping replica that ends as a voter because
// its successor is still a learner.
func TestStopBeforeSuccessorIsVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 64, interRegionDelay, memoryFS(64), openMembership)
		defer c.close()
		c.propose("first")
		c.start("d", memoryFS(9)("d"))
		c.waitFor("a learner", func() bool { l := c.leader(); return l != nil && len(l.node.Status().Learners) == 1 })
		c.stopVMs("a")
		if got := c.voterVMs(); !slices.Equal(got, []string{"b", "c", "d"}) {
			t.Errorf("voters %v after the stop, want b, c and d", got)
		}
	})
}

// TestTwoPlannedReplacements guards against stopped replicas that stay voters because each of
// them leaves a group with an odd number of voters.
func TestTwoPlannedReplacements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 65, interRegionDelay, memoryFS(65), openMembership)
		defer c.close()
		c.propose("first")
		c.growToFive()
		c.stopVMs("a", "b")
		c.loseDisk("c")
		c.propose("second")
	})
}

// TestRestartOfLeavingVoter guards against a rolling restart that shrinks an odd group, and
// against a voter that left an even group and doesn't join it again once it is restarted.
func TestRestartOfLeavingVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 66, interRegionDelay, memoryFS(66), openMembership)
		defer c.close()
		c.propose("first")
		c.growToFive()
		for _, vm := range allVMs {
			fs := c.member(vm).fs
			c.stopVMs(vm)
			c.start(vm, fs)
			time.Sleep(2 * time.Second)
			if got := c.voterVMs(); len(got) != 5 {
				t.Errorf("voters %v after the restart of %s, want five", got, vm)
			}
		}
		c.isolate("e", true)
		c.stopVMs("e", "d")
		c.waitFor("three voters", func() bool { return len(c.voterVMs()) == 3 })
		c.start("d", c.member("d").fs)
		time.Sleep(1500 * time.Millisecond)
		if got := c.voterVMs(); len(got) != 4 {
			t.Errorf("voters %v 1.5 s after a voter that had left was started again, want four", got)
		}
	})
}

// TestStopWithoutLeader guards against a replica that holds up its stop while no leader replies.
func TestStopWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 67, interRegionDelay, memoryFS(67), openMembership)
		defer c.close()
		c.propose("first")
		c.stopVMs("a", "b")
		started := time.Now()
		c.stopVMs("c")
		if took := time.Since(started); took > 3500*time.Millisecond {
			t.Errorf("the last replica stopped after %v", took)
		}
	})
}

// promptCalls delivers calls of Leave at once, before the messages of a new leader have been
// acknowledged.
type promptCalls struct{ *endpoint }

func (p promptCalls) Leave(ctx context.Context, vm, id string) (bool, error) {
	return p.c.member(vm).node.Leave(ctx, id)
}

// TestLeaveBeforeFirstCommit guards against a new leader that releases a replica although it
// can't remove it yet, as it has committed nothing in its term.
func TestLeaveBeforeFirstCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The delay is longer than the interval between two calls of Leave.
		c := newCluster(t, 68, leaveRetryInterval+20*time.Millisecond, memoryFS(68), func(n *Node) {
			n.OpenMembership, n.Discovery = true, promptCalls{n.Discovery.(*endpoint)}
		})
		defer c.close()
		c.propose("first")
		c.start("d", memoryFS(9)("d"))
		c.waitFor("four voters", func() bool { return len(c.voterVMs()) == 4 })
		old := c.leader().vm
		c.stopVMs(old)
		c.waitFor("a leader", func() bool { return c.leader() != nil })
		if got := c.voterVMs(); len(got) != 3 || slices.Contains(got, old) {
			t.Errorf("voters %v after the stop of %s, want the three others", got, old)
		}
	})
}

// cutBetween cuts the links between the VMs, or restores them.
func (c *cluster) cutBetween(vms []string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, from := range vms {
		for _, to := range vms {
			c.cutLinks[[2]string{from, to}] = cut
		}
	}
}

// TestLeaveAfterFailedTransfer guards against a stopping leader that ends as a voter because
// the target of its leadership transfer isn't elected and an election has to follow.
func TestLeaveAfterFailedTransfer(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 90+seed, interRegionDelay, memoryFS(90), openMembership)
			defer c.close()
			c.propose("first")
			c.start("d", memoryFS(9)("d"))
			c.waitFor("four voters", func() bool { return len(c.voterVMs()) == 4 })
			old := c.leader()
			others := slices.DeleteFunc(c.startedVMs(), func(vm string) bool { return vm == old.vm })
			// The target's vote requests get lost.
			c.cutBetween(others, true)
			old.stop()
			c.waitFor("the leadership transfer", func() bool { return !old.node.Status().IsLeader })
			time.Sleep(200 * time.Millisecond)
			c.cutBetween(others, false)
			<-old.done
			c.waitFor("a leader", func() bool { return c.leader() != nil })
			if got := c.voterVMs(); len(got) != 3 || slices.Contains(got, old.vm) {
				t.Errorf("seed %d: voters %v after the stop of %s, want the three others", seed, got, old.vm)
			}
		})
	}
}

// TestAbandonedLeave guards against a leader that was frozen and removes a replica whose call
// ended long ago, as the replica may run again.
func TestAbandonedLeave(t *testing.T) {
	n := &Node{}
	n.setup()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if released, err := n.release(ctx, "a/1"); released || err == nil || len(n.leavingSince) > 0 {
		t.Errorf("abandoned call: released %v, error %v, %d replicas leaving", released, err, len(n.leavingSince))
	}
}
