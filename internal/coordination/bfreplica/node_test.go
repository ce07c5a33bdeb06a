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

const interRegionDelay = 55 * time.Millisecond

var (
	firstSeed = flag.Uint64("replica.seed", 0, "first seed of TestCrashes")
	seeds     = flag.Uint64("replica.seeds", 8, "number of seeds of TestCrashes")
)

// TestLeaderLoss guards against an election that delays changes and claims by 2 s or more
// with 55 ms between regions.
func TestLeaderLoss(t *testing.T) {
	var worst, sum time.Duration
	const runs = 40
	for seed := range uint64(runs) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, seed, interRegionDelay, memoryFS(seed), nil)
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
	t.Logf("time from leader loss to next commit: mean %v, worst %v, seeds 0 to %d", sum/runs, worst, runs-1)
	if worst >= 2*time.Second {
		t.Errorf("worst time from leader loss to next commit is %v, want less than 2s", worst)
	}
}

// TestGracefulStop guards against a planned stop that waits for an election timeout, and
// against a new leader that is elected during the lease of the old one.
func TestGracefulStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, interRegionDelay, memoryFS(1), nil)
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
		<-old.done
		if time.Now().Before(lease) {
			t.Error("leader stepped down before its lease ended")
		}
		c.propose("second")
		if gap := time.Since(started); gap > 1500*time.Millisecond {
			t.Errorf("time from planned stop to next commit is %v", gap)
		}
		if since := c.leader().node.Status().LeaderSince; since.Before(lease) {
			t.Error("new leader was elected before the old leader's lease ended")
		}
	})
}

// TestSlowSnapshot guards against a slow snapshot that makes the leader lose leadership, or
// that contains commands applied after its index.
func TestSlowSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, time.Millisecond, memoryFS(2), func(n *Node) {
			n.SnapshotEntries = 50
			n.Machine.(*recorder).snapshotDelay = 3 * time.Second
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
			<-m.done
			c.start(vm, m.fs)
		}
		c.propose("last")
		if got := c.converge(); len(got) != 201 || got[0] != "command 0" || got[200] != "last" {
			t.Errorf("%d commands after the restart, want 201 in order", len(got))
		}
	})
}

// workload proposes commands to a cluster and records their outcomes.
type workload struct {
	mu       sync.Mutex
	acked    []string
	refused  []string
	unknown  int
	overlaps int
}

// run proposes commands, mostly to the leader and the others to each replica in turn.
func (w *workload) run(ctx context.Context, c *cluster, name string) {
	for i := 0; ctx.Err() == nil; i++ {
		cmd := fmt.Sprintf("%s %d", name, i)
		m := c.member(vms[i%3])
		if l := c.leader(); l != nil && i%4 != 0 {
			m = l
		}
		call, cancel := context.WithTimeout(ctx, 3*time.Second)
		_, err := m.node.Propose(call, []byte(cmd))
		cancel()
		w.mu.Lock()
		switch {
		case err == nil:
			w.acked = append(w.acked, cmd)
		case errors.Is(err, briarferry.ErrNotLeader):
			w.refused = append(w.refused, cmd)
		default:
			w.unknown++
		}
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

// watchLeases counts the checks at which more than one replica reports a lease.
func (w *workload) watchLeases(ctx context.Context, c *cluster) {
	for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		holders := 0
		for _, vm := range vms {
			if s := c.member(vm).node.Status(); s.LeaseUntil.After(time.Now()) {
				holders++
			}
		}
		if holders > 1 {
			w.overlaps++
		}
	}
}

// TestCrashes guards against lost acknowledged commands, commands that run although
// ErrNotLeader was returned, and two leases at once, while replicas crash in the
// middle of disk writes, lose messages and are partitioned.
func TestCrashes(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		synctest.Test(t, func(t *testing.T) { runCrashes(t, seed) })
	}
}

func runCrashes(t *testing.T, seed uint64) {
	c := newCluster(t, seed, 5*time.Millisecond, memoryFS(seed), func(n *Node) { n.SnapshotEntries = 60 })
	defer c.close()
	ctx, stop := context.WithCancel(context.Background())
	var w workload
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() { w.run(ctx, c, fmt.Sprint("client ", i)) })
	}
	group.Go(func() { w.watchLeases(ctx, c) })
	r := rand.New(rand.NewPCG(seed, 9))
	for range 40 {
		c.injectFault(r)
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
	}
	c.endFaults(true)
	time.Sleep(5 * time.Second)
	stop()
	group.Wait()
	c.propose("last")
	w.check(t, seed, c.converge())
}

func (c *cluster) injectFault(r *rand.Rand) {
	vm := vms[r.IntN(3)]
	m := c.member(vm)
	switch r.IntN(5) {
	case 0, 1:
		m.fs.(*bfstorage.MemoryFS).CrashAfter(1 + r.IntN(20))
	case 2:
		c.isolate(vm, true)
	case 3:
		c.mu.Lock()
		c.dropRate = r.Float64() * 0.2
		c.mu.Unlock()
	case 4:
		c.endFaults(false)
	}
}

// endFaults restarts crashed replicas and ends all network faults. If last is set, it also
// removes the crash points that were not reached.
func (c *cluster) endFaults(last bool) {
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
	c.dropRate = 0
}

func (w *workload) check(t *testing.T, seed uint64, applied []string) {
	seen := map[string]int{}
	for _, cmd := range applied {
		seen[cmd]++
	}
	for _, cmd := range w.acked {
		if seen[cmd] != 1 {
			t.Errorf("seed %d: acknowledged command %q was applied %d times", seed, cmd, seen[cmd])
		}
	}
	for _, cmd := range w.refused {
		if seen[cmd] != 0 {
			t.Errorf("seed %d: refused command %q was applied", seed, cmd)
		}
	}
	if w.overlaps > 0 {
		t.Errorf("seed %d: more than one replica reported a lease in %d checks", seed, w.overlaps)
	}
	t.Logf("seed %d: %d commands acknowledged, %d refused, %d with an unknown outcome", seed, len(w.acked), len(w.refused), w.unknown)
	if len(w.acked) < 200 {
		t.Errorf("seed %d: only %d commands acknowledged", seed, len(w.acked))
	}
}

// TestAbandonedProposal guards against a replica that appends a command whose caller gave up
// while the command waited in the queue, as at a process that was frozen.
func TestAbandonedProposal(t *testing.T) {
	n := &Node{}
	n.setup()
	given, giveUp := context.WithCancel(t.Context())
	giveUp()
	abandoned := &proposal{ctx: given, cmd: []byte("abandoned"), done: make(chan outcome, 1)}
	waiting := &proposal{ctx: t.Context(), cmd: []byte("waiting"), done: make(chan outcome, 1)}
	n.proposals <- waiting
	batch := n.collectProposals(abandoned)
	if len(batch) != 1 || batch[0] != waiting {
		t.Errorf("%d commands to append, want the one whose caller waits", len(batch))
	}
	if o := <-abandoned.done; !errors.Is(o.err, context.Canceled) {
		t.Errorf("abandoned command ended with %v", o.err)
	}
}
