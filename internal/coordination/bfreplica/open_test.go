package bfreplica

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

func open(n *Node) { n.OpenMembership = true }

// memberVMs returns the VMs of the leader's voters.
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

func (c *cluster) grow() {
	for _, vm := range []string{"d", "e"} {
		c.start(vm, memoryFS(9)(vm))
	}
	c.waitFor("five voters", func() bool { return slices.Equal(c.voterVMs(), allVMs) })
}

// TestOpenGroupGrows guards against replicas on VMs that no setting names and that the
// group doesn't take in, or that form a group of their own.
func TestOpenGroupGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 11, farDelay, memoryFS(11), open)
		defer c.close()
		c.propose("first")
		c.grow()
		c.propose("second")
		c.stopAll("a", "b")
		c.propose("third")
		c.waitFor("all commands at a joined replica", func() bool { return len(c.member("e").machine.list()) == 3 })
	})
}

// TestReplacedUnderNewAddress guards against a group that keeps counting a VM that is
// gone for good after another one took its place elsewhere.
func TestReplacedUnderNewAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12, farDelay, memoryFS(12), open)
		defer c.close()
		c.propose("first")
		c.start("d", memoryFS(9)("d"))
		c.waitFor("four voters", func() bool { return len(c.voterVMs()) == 4 })
		c.isolate("a", true)
		c.stopAll("a")
		c.waitFor("the lost voter is removed", func() bool { return slices.Equal(c.voterVMs(), []string{"b", "c", "d"}) })
		c.propose("second")
	})
}

// TestRemovedReplicaComesBack guards against a replica that was cut off, removed
// meanwhile, and stays out of the group for good.
func TestRemovedReplicaComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 13, farDelay, memoryFS(13), open)
		defer c.close()
		c.start("d", memoryFS(9)("d"))
		c.waitFor("four voters", func() bool { return len(c.voterVMs()) == 4 })
		c.propose("first")
		c.isolate("d", true)
		c.waitFor("the silent voter is removed", func() bool { return len(c.voterVMs()) == 3 })
		c.propose("second")
		c.isolate("d", false)
		c.waitFor("it is back", func() bool { return len(c.voterVMs()) == 4 && len(c.member("d").machine.list()) == 2 })
	})
}

// TestShortSilenceRemovesNobody guards against voters that are removed for a restart or
// a short cut, and against an odd group that shrinks.
func TestShortSilenceRemovesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 14, farDelay, memoryFS(14), open)
		defer c.close()
		c.propose("first")
		c.grow()
		c.isolate("e", true)
		time.Sleep(60 * time.Second)
		if got := c.voterVMs(); len(got) != 5 {
			t.Errorf("voters %v after one of five was silent for a minute", got)
		}
	})
}

// TestNoFormJoinsOnly guards against empty replicas of a deployment that has started
// before, which form a second group and forget the first one.
func TestNoFormJoinsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 15, farDelay, memoryFS(15), func(n *Node) { n.OpenMembership, n.JoinOnly = true, true })
		defer c.close()
		time.Sleep(20 * time.Second)
		for _, vm := range vms {
			if last := c.member(vm).node.Info().LastIndex; last != 0 {
				t.Errorf("%s has %d entries", vm, last)
			}
		}
	})
}

// TestDonorDiesWhileJoining guards against a joining replica that ends or hangs when
// the VM that it joins through dies.
func TestDonorDiesWhileJoining(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 20+seed, farDelay, memoryFS(20+seed), func(n *Node) { n.OpenMembership, n.SnapshotEntries = true, 20 })
			defer c.close()
			for i := range 40 {
				c.propose(fmt.Sprint(i))
			}
			c.wipe("b")
			time.Sleep(time.Duration(seed) * 150 * time.Millisecond)
			if l := c.leader(); l != nil && l.vm != "b" {
				fs := l.fs
				c.stopAll(l.vm)
				time.Sleep(2 * time.Second)
				c.start(l.vm, fs)
			}
			c.propose("after")
			c.waitFor("the joined replica has all", func() bool {
				// A command whose fate was unknown may have been proposed twice.
				m := c.member("b")
				list := m.machine.list()
				return m.running() && len(list) >= 41 && slices.Contains(list, "after")
			})
		})
	}
}

// TestRestartedReplicaKnowsItsState guards against restarted replicas that have nothing
// to serve until a leader is elected, and against a noted commit that shows what was
// never committed.
func TestRestartedReplicaKnowsItsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 31, farDelay, memoryFS(31), func(n *Node) { n.PersistCommit = true })
		defer c.close()
		for i := range 30 {
			c.propose(fmt.Sprint(i))
		}
		c.converge()
		time.Sleep(time.Second)
		fs := c.member("a").fs
		c.stopAll("a", "b", "c")
		c.start("a", fs)
		time.Sleep(200 * time.Millisecond)
		if got := len(c.member("a").machine.list()); got < 30 {
			t.Errorf("%d of 30 commands before a leader was heard", got)
		}
	})
}
