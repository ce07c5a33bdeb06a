package bflease

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
	"briarferry/internal/state/bfmachine"
)

type (
	// replicaGroup is an in-memory log with two replicas.
	replicaGroup struct {
		mu    sync.Mutex
		log   [][]byte
		term  uint64
		nodes [2]*replicaNode
		wg    sync.WaitGroup
	}

	replicaNode struct {
		*Leader
		g           *replicaGroup
		machine     *bfmachine.Machine
		applied     int
		status      briarferry.ReplicaStatus
		partitioned bool
		// applyAfter delays applying the log at a new leader.
		applyAfter time.Time
	}

	// testEntry is an entry whose process can be frozen and whose network can fail.
	testEntry struct {
		*Holder
		g           *replicaGroup
		mu          sync.Mutex
		target      int
		frozen      chan struct{} // closed when the process resumes; nil while it runs
		partitioned bool
	}
)

func newGroup() *replicaGroup {
	g := &replicaGroup{}
	for i := range g.nodes {
		n := &replicaNode{g: g, machine: bfmachine.New()}
		n.Leader = &Leader{Replica: n, Source: n.machine}
		g.nodes[i] = n
	}
	return g
}

// elect makes a node the leader and partitions the other one. If that was the leader, it
// goes on reporting itself as the leader, but its quorum lease is no longer renewed.
func (g *replicaGroup) elect(i int, applyDelay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term++
	g.nodes[i].partitioned = false
	g.nodes[1-i].partitioned = true
	g.nodes[i].applyAfter = time.Now().Add(applyDelay)
	g.nodes[i].status = briarferry.ReplicaStatus{IsLeader: true, Term: g.term, LeaderSince: time.Now(), LeaseUntil: time.Now().Add(time.Second)}
}

func (n *replicaNode) Status() briarferry.ReplicaStatus {
	n.g.mu.Lock()
	defer n.g.mu.Unlock()
	if !n.partitioned && n.status.IsLeader {
		n.status.LeaseUntil = time.Now().Add(time.Second)
	}
	n.catchUp()
	s := n.status
	s.Applied = uint64(n.applied)
	return s
}

// catchUp applies the committed commands. The group's mu is held.
func (n *replicaNode) catchUp() {
	if n.partitioned || time.Now().Before(n.applyAfter) {
		return
	}
	for ; n.applied < len(n.g.log); n.applied++ {
		n.machine.Apply(uint64(n.applied+1), n.g.log[n.applied])
	}
}

func (n *replicaNode) ReadIndex(context.Context) (uint64, error) {
	n.g.mu.Lock()
	defer n.g.mu.Unlock()
	if n.partitioned {
		return 0, errors.New("no quorum")
	}
	return uint64(len(n.g.log)), nil
}

func (n *replicaNode) Propose(_ context.Context, cmd []byte) ([]byte, error) {
	n.g.mu.Lock()
	defer n.g.mu.Unlock()
	if n.partitioned || !n.status.IsLeader {
		return nil, briarferry.ErrNotLeader
	}
	n.g.log = append(n.g.log, cmd)
	n.catchUp()
	return nil, nil
}

// change commits the i-th change at the node and waits until it is in force.
func (n *replicaNode) change(ctx context.Context, i int) (uint64, error) {
	op := bfmachine.Op{AddDrain: &bfmachine.AddDrain{Key: fmt.Sprint(i), Drain: briarferry.Drain{Kind: briarferry.DrainVM, Target: fmt.Sprint("vm", i)}}}
	if i == 0 {
		op = bfmachine.Op{PutConfig: &bfmachine.PutConfig{Key: "first", Config: testConfig()}}
	}
	cmd, err := bfmachine.Encode(1, op)
	if err != nil {
		return 0, err
	}
	if _, err := n.Propose(ctx, cmd); err != nil {
		return 0, err
	}
	for index, _ := n.ReadIndex(ctx); n.Status().Applied < index; {
		time.Sleep(time.Millisecond)
	}
	revision := n.machine.State().Revision
	return revision, n.WaitInForce(ctx, revision)
}

func testConfig() briarferry.Config {
	return briarferry.Config{
		Regions: []briarferry.Region{{Name: "koshi", FailureDomains: []string{"k1"}, CapacityShare: 0.8}},
		Classes: []briarferry.PriorityClass{{Name: "high", Target: 1}},
		Limits:  briarferry.DefaultLimits(),
	}
}

func (g *replicaGroup) newEntry(ctx context.Context, i int) *testEntry {
	e := &testEntry{g: g}
	e.Holder = &Holder{Name: fmt.Sprint("e", i), Incarnation: 1, Transport: e}
	e.Tick(time.Now())
	g.wg.Go(func() {
		for ctx.Err() == nil {
			e.waitWhileFrozen()
			e.Tick(time.Now())
			time.Sleep(tickInterval)
		}
	})
	g.wg.Go(func() { e.syncLoop(ctx) })
	return e
}

// waitWhileFrozen blocks while the process is frozen.
func (e *testEntry) waitWhileFrozen() {
	e.mu.Lock()
	frozen := e.frozen
	e.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (e *testEntry) freeze() { e.mu.Lock(); e.frozen = make(chan struct{}); e.mu.Unlock() }
func (e *testEntry) resume() { e.mu.Lock(); close(e.frozen); e.frozen = nil; e.mu.Unlock() }

func (e *testEntry) isFrozen() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.frozen != nil }

func (e *testEntry) setPartitioned(on bool) { e.mu.Lock(); e.partitioned = on; e.mu.Unlock() }

func (e *testEntry) Sync(ctx context.Context, r SyncRequest) (SyncReply, error) {
	e.waitWhileFrozen()
	e.mu.Lock()
	target, partitioned := e.target, e.partitioned
	e.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	if partitioned {
		<-ctx.Done()
		return SyncReply{}, ctx.Err()
	}
	reply, err := e.g.nodes[target].Sync(ctx, r)
	time.Sleep(time.Duration(rand.N(20)) * time.Millisecond)
	e.waitWhileFrozen()
	if err != nil {
		e.mu.Lock()
		e.target = 1 - target
		e.mu.Unlock()
	}
	return reply, err
}

// runCluster calls f in a synctest bubble with a replica group, whose node 0 leads and
// has a configuration, and three entries.
func runCluster(t *testing.T, f func(ctx context.Context, g *replicaGroup, entries []*testEntry)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := newGroup()
		g.elect(0, 0)
		entries := make([]*testEntry, 3)
		for i := range entries {
			entries[i] = g.newEntry(ctx, i)
		}
		if _, err := g.nodes[0].change(ctx, 0); err != nil {
			t.Error(err)
		}
		f(ctx, g, entries)
		cancel()
		for _, e := range entries {
			if e.isFrozen() {
				e.resume()
			}
		}
		g.wg.Wait()
	})
}

// TestAcknowledgedChangeIsFast guards against a change that waits for leases to expire
// although every entry has acknowledged it.
func TestAcknowledgedChangeIsFast(t *testing.T) {
	runCluster(t, func(ctx context.Context, g *replicaGroup, entries []*testEntry) {
		start := time.Now()
		revision, err := g.nodes[0].change(ctx, 1)
		if err != nil || time.Since(start) > 100*time.Millisecond {
			t.Errorf("change took %s: %v", time.Since(start), err)
		}
		for _, e := range entries {
			if _, _, ok := e.Current(); !ok || e.State().Revision != revision {
				t.Errorf("%s has revision %d, lease %t", e.Name, e.State().Revision, ok)
			}
		}
	})
}

// TestFrozenEntry guards against a change that is accepted while a frozen entry can
// resume with a valid lease for the older revision.
func TestFrozenEntry(t *testing.T) {
	runCluster(t, func(ctx context.Context, g *replicaGroup, entries []*testEntry) {
		time.Sleep(time.Second)
		entries[1].freeze()
		start := time.Now()
		if _, err := g.nodes[0].change(ctx, 1); err != nil {
			t.Error(err)
		}
		if took := time.Since(start); took < 2*time.Second || took > leaderLeaseDuration {
			t.Errorf("change was accepted after %s, want the end of the frozen entry's lease", took)
		}
		entries[1].resume()
		if _, _, ok := entries[1].Current(); ok {
			t.Error("entry has a valid lease after a freeze")
		}
		time.Sleep(time.Second)
		if _, _, ok := entries[1].Current(); !ok {
			t.Error("entry got no new lease after a freeze")
		}
	})
}

// TestShortFreeze guards against a lease that stays valid after a freeze shorter than
// the lease, and against a reply to a call from before the freeze that renews it.
func TestShortFreeze(t *testing.T) {
	runCluster(t, func(ctx context.Context, _ *replicaGroup, entries []*testEntry) {
		time.Sleep(time.Second)
		entries[0].freeze()
		time.Sleep(600 * time.Millisecond)
		if _, _, ok := entries[0].Current(); ok {
			t.Error("lease is valid after a freeze")
		}
		entries[0].resume()
		time.Sleep(time.Millisecond)
		if _, _, ok := entries[0].Current(); ok {
			t.Error("reply to a call from before the freeze renewed the lease")
		}
	})
}

// TestPartitionedLeader guards against grants of a leader without a quorum, and against
// a new leader that accepts changes before the leases of the old one have expired.
func TestPartitionedLeader(t *testing.T) {
	runCluster(t, func(ctx context.Context, g *replicaGroup, entries []*testEntry) {
		time.Sleep(time.Second)
		for _, e := range entries {
			e.setPartitioned(true)
		}
		g.elect(1, 50*time.Millisecond)
		start := time.Now()
		if _, err := g.nodes[1].change(ctx, 1); err != nil {
			t.Error(err)
		}
		if took := time.Since(start); took < leaderLeaseDuration || took > leaderLeaseDuration+time.Second {
			t.Errorf("new leader accepted a change after %s, want the end of the old leases", took)
		}
		if _, err := g.nodes[0].Sync(ctx, SyncRequest{Entry: "e9", Full: true}); !errors.Is(err, briarferry.ErrNotLeader) {
			t.Errorf("leader without a quorum returned %v, want ErrNotLeader", err)
		}
	})
}

// TestNewLeaderAppliesFirst guards against a new leader that sends a restarted entry a
// state older than a change that an earlier leader completed.
func TestNewLeaderAppliesFirst(t *testing.T) {
	runCluster(t, func(ctx context.Context, g *replicaGroup, _ []*testEntry) {
		revision, err := g.nodes[0].change(ctx, 1)
		if err != nil {
			t.Error(err)
		}
		g.elect(1, 2*time.Second)
		reply, err := g.nodes[1].Sync(ctx, SyncRequest{Entry: "e9", Full: true})
		if err != nil || reply.Revision < revision {
			t.Errorf("new leader grants revision %d, want %d or newer: %v", reply.Revision, revision, err)
		}
	})
}

// TestRandomFaults runs random sequences of freezes, partitions, elections and changes.
// It guards against an entry that may use an older revision after a change was accepted.
func TestRandomFaults(t *testing.T) {
	seeds := 60
	if testing.Short() {
		seeds = 10
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			runCluster(t, func(ctx context.Context, g *replicaGroup, entries []*testEntry) {
				randomFaults(ctx, t, g, entries, rand.New(rand.NewPCG(uint64(seed), 1)))
			})
		})
	}
}

func randomFaults(ctx context.Context, t *testing.T, g *replicaGroup, entries []*testEntry, rng *rand.Rand) {
	var mu sync.Mutex
	faults := rand.New(rand.NewPCG(rng.Uint64(), 2))
	accepted, done := uint64(0), make(chan struct{})
	check := func() {
		mu.Lock()
		defer mu.Unlock()
		for _, e := range entries {
			if e.isFrozen() {
				continue
			}
			if _, _, ok := e.Current(); ok && e.State().Revision < accepted {
				t.Errorf("%s has a lease for revision %d after %d was accepted", e.Name, e.State().Revision, accepted)
			}
		}
	}
	go func() {
		defer close(done)
		for i := 1; i < 12; i++ {
			n := g.nodes[rng.IntN(2)]
			call, cancel := context.WithTimeout(ctx, 5*time.Second)
			if revision, err := n.change(call, i); err == nil {
				mu.Lock()
				accepted = max(accepted, revision)
				mu.Unlock()
				check()
			}
			cancel()
		}
	}()
	leader := 0
	for step := 0; ; step++ {
		select {
		case <-done:
			t.Logf("accepted revision %d in %d steps", accepted, step)
			return
		case <-time.After(20 * time.Millisecond):
		}
		check()
		e := entries[faults.IntN(len(entries))]
		switch faults.IntN(60) {
		case 0:
			leader = 1 - leader
			time.Sleep(time.Duration(faults.IntN(2000)) * time.Millisecond)
			g.elect(leader, time.Duration(faults.IntN(300))*time.Millisecond)
		case 1, 2, 3:
			e.setPartitioned(faults.IntN(2) == 0)
		case 4, 5, 6:
			if e.isFrozen() {
				e.resume()
			} else {
				e.freeze()
			}
		}
	}
}
