package bfreplica

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

func openMembership(n *Node) { n.OpenMembership = true }

// voterVMs returns the VMs of the voters according to the leader.
func (c *cluster) voterVMs() []string {
	l := c.leader()
	if l == nil {
		return nil
	}
	var out []string
	for _, id := range l.node.Status().Voters {
		out = append(out, VMOf(id))
	}
	slices.Sort(out)
	return out
}

// runningVMs returns the VMs whose replica runs.
func (c *cluster) runningVMs() []string {
	return slices.DeleteFunc(c.startedVMs(), func(vm string) bool { return !c.member(vm).running() })
}

// growToFive starts replicas on the VMs "d" and "e" and waits until they are voters.
func (c *cluster) growToFive() {
	for _, vm := range []string{"d", "e"} {
		c.start(vm, memoryFS(9)(vm))
	}
	c.waitFor("five voters", func() bool { return slices.Equal(c.voterVMs(), allVMs) })
}

// TestOpenGroupGrows guards against replicas on VMs outside Control that can't join the
// group, or that form a separate group.
func TestOpenGroupGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 11, interRegionDelay, memoryFS(11), openMembership)
		defer c.close()
		c.propose("first")
		c.growToFive()
		c.propose("second")
		c.stopVMs("a", "b")
		c.propose("third")
		c.waitFor("all commands at a joined replica", func() bool { return len(c.member("e").machine.list()) == 3 })
	})
}

// TestReplacedUnderNewAddress guards against a permanently lost VM that remains a voter
// after a VM under another address has replaced it.
func TestReplacedUnderNewAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12, interRegionDelay, memoryFS(12), openMembership)
		defer c.close()
		c.propose("first")
		c.start("d", memoryFS(9)("d"))
		c.waitFor("four voters", func() bool { return len(c.voterVMs()) == 4 })
		c.isolate("a", true)
		c.stopVMs("a")
		c.waitFor("the lost voter is removed", func() bool { return slices.Equal(c.voterVMs(), []string{"b", "c", "d"}) })
		c.propose("second")
	})
}

// TestTwoReplacedUnderNewAddresses guards against voters that are lost for good and stay, as
// the second one is replaced before the first is removed: the group then has an odd number
// of voters, and the loss of one more disk ends it.
func TestTwoReplacedUnderNewAddresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 16, interRegionDelay, memoryFS(16), openMembership)
		defer c.close()
		c.propose("first")
		for i, vm := range []string{"d", "e"} {
			c.start(vm, memoryFS(9)(vm))
			time.Sleep(5 * time.Second)
			c.stopVMs(vms[i])
		}
		c.waitFor("the replaced voters are removed", func() bool { return slices.Equal(c.voterVMs(), []string{"c", "d", "e"}) })
		c.propose("second")
		c.wipe("c")
		c.propose("third")
	})
}

// TestReplacedLeaders guards against lost voters that stay because each new leader counts
// their silence from zero while leaders are lost one after the other.
func TestReplacedLeaders(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			var started atomic.Pointer[cluster]
			c := newCluster(t, 40+seed, interRegionDelay, memoryFS(40+seed), func(n *Node) {
				n.OpenMembership, n.Seeds = true, func() []string {
					if c := started.Load(); c != nil {
						return c.runningVMs()
					}
					return nil
				}
			})
			defer c.close()
			started.Store(c)
			c.propose("first")
			c.growToFive()
			for i, vm := range spareVMs {
				c.waitFor("a leader", func() bool { return c.leader() != nil })
				old := c.leader().vm
				c.isolate(old, true)
				c.stopVMs(old)
				time.Sleep(500 * time.Millisecond)
				c.start(vm, memoryFS(9)(vm))
				// The next one is lost as soon as the successor has caught up.
				time.Sleep(4500 * time.Millisecond)
				c.propose(fmt.Sprint(i))
			}
			time.Sleep(20 * time.Second)
			if got := c.voterVMs(); len(got) != 5 {
				t.Errorf("seed %d: voters %v, want the five that run", seed, got)
			}
		})
	}
}

// TestMinVotersStay guards against a group that shrinks below the number of voters that the
// loss of two disks needs.
func TestMinVotersStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 17, interRegionDelay, memoryFS(17), func(n *Node) { n.OpenMembership, n.MinVoters = true, 5 })
		defer c.close()
		c.growToFive()
		c.isolate("d", true)
		c.isolate("e", true)
		time.Sleep(60 * time.Second)
		if got := c.voterVMs(); len(got) != 5 {
			t.Errorf("voters %v after two of five were silent for a minute", got)
		}
	})
}

// TestRemovedReplicaRejoins guards against a replica that was removed while it was
// partitioned and never joins the group again.
func TestRemovedReplicaRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 13, interRegionDelay, memoryFS(13), openMembership)
		defer c.close()
		c.start("d", memoryFS(9)("d"))
		c.waitFor("four voters", func() bool { return len(c.voterVMs()) == 4 })
		c.propose("first")
		c.isolate("d", true)
		c.waitFor("the silent voter is removed", func() bool { return len(c.voterVMs()) == 3 })
		c.propose("second")
		c.isolate("d", false)
		c.waitFor("the removed voter has rejoined", func() bool { return len(c.voterVMs()) == 4 && len(c.member("d").machine.list()) == 2 })
	})
}

// TestOddGroupKeepsSilentVoter guards against a group with an odd number of voters that
// removes one after a restart or a network partition.
func TestOddGroupKeepsSilentVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 14, interRegionDelay, memoryFS(14), openMembership)
		defer c.close()
		c.propose("first")
		c.growToFive()
		c.isolate("e", true)
		time.Sleep(60 * time.Second)
		if got := c.voterVMs(); len(got) != 5 {
			t.Errorf("voters %v after one of five was silent for a minute", got)
		}
	})
}

// TestJoinOnlyNeverFormsGroup guards against empty replicas of an existing deployment that
// form a second group, which would lose the state of the first one.
func TestJoinOnlyNeverFormsGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 15, interRegionDelay, memoryFS(15), func(n *Node) { n.OpenMembership, n.JoinOnly = true, true })
		defer c.close()
		time.Sleep(20 * time.Second)
		for _, vm := range vms {
			if last := c.member(vm).node.Info().LastIndex; last != 0 {
				t.Errorf("%s has %d entries", vm, last)
			}
		}
	})
}

// TestLeaderStopsDuringJoin guards against a joining replica that stops or hangs when the
// leader, through which it joins, stops.
func TestLeaderStopsDuringJoin(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 20+seed, interRegionDelay, memoryFS(20+seed), func(n *Node) { n.OpenMembership, n.SnapshotEntries = true, 20 })
			defer c.close()
			for i := range 40 {
				c.propose(fmt.Sprint(i))
			}
			c.wipe("b")
			time.Sleep(time.Duration(seed) * 150 * time.Millisecond)
			if l := c.leader(); l != nil && l.vm != "b" {
				fs := l.fs
				c.stopVMs(l.vm)
				time.Sleep(2 * time.Second)
				c.start(l.vm, fs)
			}
			c.propose("after")
			c.waitFor("the joined replica has all commands", func() bool {
				// A command with an unknown outcome may have been proposed twice.
				m := c.member("b")
				list := m.machine.list()
				return m.running() && len(list) >= 41 && slices.Contains(list, "after")
			})
		})
	}
}

// TestRestartAppliesSavedCommit guards against restarted replicas that have no state until
// a leader is elected.
func TestRestartAppliesSavedCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 31, interRegionDelay, memoryFS(31), func(n *Node) { n.PersistCommit = true })
		defer c.close()
		for i := range 30 {
			c.propose(fmt.Sprint(i))
		}
		c.converge()
		time.Sleep(time.Second)
		fs := c.member("a").fs
		c.stopVMs("a", "b", "c")
		c.start("a", fs)
		time.Sleep(200 * time.Millisecond)
		if got := len(c.member("a").machine.list()); got < 30 {
			t.Errorf("%d of 30 commands applied before the replica heard from a leader", got)
		}
	})
}
