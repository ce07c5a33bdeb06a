package bfreplica

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
	"briarferry/internal/state/bfstorage"
)

const farDelay = 55 * time.Millisecond

var (
	firstSeed = flag.Uint64("replica.seed", 0, "first seed of the crash test")
	seeds     = flag.Uint64("replica.seeds", 8, "number of seeds of the crash test")
)

// TestLeaderLoss guards against an election that leaves changes and claims waiting
// for 2 s or more with 55 ms between regions.
func TestLeaderLoss(t *testing.T) {
	var worst, sum time.Duration
	const runs = 40
	for seed := range uint64(runs) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, seed, farDelay, memoryFS(seed), nil)
			defer c.close()
			c.propose("first")
			time.Sleep(time.Duration(seed) * 13 * time.Millisecond)
			old := c.leader()
			c.isolate(old.vm, true)
			old.stop()
			lost := time.Now()
			c.propose("second", old.vm)
			gap := time.Since(lost)
			worst, sum = max(worst, gap), sum+gap
		})
	}
	t.Logf("leader loss to next commit: mean %v, worst %v of seeds 0 to %d", sum/runs, worst, runs-1)
	if worst >= 2*time.Second {
		t.Errorf("worst gap is %v", worst)
	}
}

// TestGracefulStop guards against a planned stop that waits for an election, and
// against a new leader inside the lease of the old one.
func TestGracefulStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, farDelay, memoryFS(1), nil)
		defer c.close()
		c.propose("first")
		time.Sleep(time.Second)
		old := c.leader()
		lease := old.node.Status().LeaseUntil
		if !lease.After(time.Now()) {
			t.Fatal("leader reports no lease")
		}
		started := time.Now()
		old.stop()
		<-old.ended
		if time.Now().Before(lease) {
			t.Error("leader stepped down before its lease ended")
		}
		c.propose("second")
		if gap := time.Since(started); gap > 1500*time.Millisecond {
			t.Errorf("planned stop to next commit took %v", gap)
		}
		if since := c.leader().node.Status().LeaderSince; since.Before(lease) {
			t.Error("new leader was elected inside the old lease")
		}
	})
}

// TestLargeSnapshot guards against a slow snapshot that costs the leadership or
// holds commands applied after its index.
func TestLargeSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, time.Millisecond, memoryFS(2), func(n *Node) {
			n.SnapshotEntries = 50
			n.Machine.(*ledger).pause = 3 * time.Second
		})
		defer c.close()
		for i := range 200 {
			c.propose(fmt.Sprint("command ", i))
		}
		if term := c.leader().node.Status().Term; term != 2 {
			t.Errorf("term is %d after slow snapshots, want 2", term)
		}
		c.converge()
		time.Sleep(10 * time.Second)
		for _, vm := range vms {
			m := c.member(vm)
			m.stop()
			<-m.ended
			c.start(vm, m.fs)
		}
		c.propose("last")
		if got := c.converge(); len(got) != 201 || got[0] != "command 0" || got[200] != "last" {
			t.Errorf("%d commands after the restart", len(got))
		}
	})
}

type client struct {
	mu       sync.Mutex
	acked    []string
	refused  []string
	unknown  int
	overlaps int
}

// drive proposes to replicas in turn, whether they lead or not.
func (k *client) drive(ctx context.Context, c *cluster, name string) {
	for i := 0; ctx.Err() == nil; i++ {
		cmd := fmt.Sprintf("%s %d", name, i)
		m := c.member(vms[i%3])
		if l := c.leader(); l != nil && i%4 != 0 {
			m = l
		}
		call, cancel := context.WithTimeout(ctx, 3*time.Second)
		_, err := m.node.Propose(call, []byte(cmd))
		cancel()
		k.mu.Lock()
		switch {
		case err == nil:
			k.acked = append(k.acked, cmd)
		case errors.Is(err, briarferry.ErrNotLeader):
			k.refused = append(k.refused, cmd)
		default:
			k.unknown++
		}
		k.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

// watchLeases counts the moments at which two replicas report a lease.
func (k *client) watchLeases(ctx context.Context, c *cluster) {
	for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		holders := 0
		for _, vm := range vms {
			if s := c.member(vm).node.Status(); s.LeaseUntil.After(time.Now()) {
				holders++
			}
		}
		if holders > 1 {
			k.overlaps++
		}
	}
}

// TestCrashes guards against lost acknowledged commands, commands that run although
// ErrNotLeader was returned, and two leases at once, while replicas crash in the
// middle of disk writes, lose messages and are cut off.
func TestCrashes(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		synctest.Test(t, func(t *testing.T) { crashes(t, seed) })
	}
}

func crashes(t *testing.T, seed uint64) {
	c := newCluster(t, seed, 5*time.Millisecond, memoryFS(seed), func(n *Node) { n.SnapshotEntries = 60 })
	defer c.close()
	ctx, stop := context.WithCancel(context.Background())
	var k client
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() { k.drive(ctx, c, fmt.Sprint("client ", i)) })
	}
	group.Go(func() { k.watchLeases(ctx, c) })
	r := rand.New(rand.NewPCG(seed, 9))
	for range 40 {
		c.disturb(r)
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
	}
	c.heal(true)
	time.Sleep(5 * time.Second)
	stop()
	group.Wait()
	c.propose("last")
	k.check(t, seed, c.converge())
}

func (c *cluster) disturb(r *rand.Rand) {
	vm := vms[r.IntN(3)]
	m := c.member(vm)
	switch r.IntN(5) {
	case 0, 1:
		m.fs.(*bfstorage.MemoryFS).CrashAfter(1 + r.IntN(20))
	case 2:
		c.isolate(vm, true)
	case 3:
		c.mu.Lock()
		c.drop = r.Float64() * 0.2
		c.mu.Unlock()
	case 4:
		c.heal(false)
	}
}

// heal restarts crashed replicas and ends all network faults; the last time it also
// lifts the crash points that were not reached.
func (c *cluster) heal(last bool) {
	for _, vm := range vms {
		m := c.member(vm)
		if !m.running() {
			c.start(vm, m.fs.(*bfstorage.MemoryFS).AfterCrash())
		} else if last {
			m.fs.(*bfstorage.MemoryFS).CrashAfter(1 << 30)
		}
		c.isolate(vm, false)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop = 0
}

func (k *client) check(t *testing.T, seed uint64, applied []string) {
	seen := map[string]int{}
	for _, cmd := range applied {
		seen[cmd]++
	}
	for _, cmd := range k.acked {
		if seen[cmd] != 1 {
			t.Errorf("seed %d: acknowledged command %q was applied %d times", seed, cmd, seen[cmd])
		}
	}
	for _, cmd := range k.refused {
		if seen[cmd] != 0 {
			t.Errorf("seed %d: refused command %q was applied", seed, cmd)
		}
	}
	if k.overlaps > 0 {
		t.Errorf("seed %d: two leases at once, %d times", seed, k.overlaps)
	}
	t.Logf("seed %d: %d acknowledged, %d refused, %d unknown", seed, len(k.acked), len(k.refused), k.unknown)
	if len(k.acked) < 200 {
		t.Errorf("seed %d: only %d commands acknowledged", seed, len(k.acked))
	}
}
