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
	// group is an agreement log with two replicas, in memory.
	group struct {
		mu    sync.Mutex
		log   [][]byte
		term  uint64
		nodes [2]*node
		wg    sync.WaitGroup
	}

	node struct {
		*Leader
		g       *group
		machine *bfmachine.Machine
		applied int
		status  briarferry.ReplicaStatus
		cut     bool
		// lag keeps a new leader from applying at once.
		lag time.Time
	}

	// client is an entry whose process and network can stop.
	client struct {
		*Holder
		g      *group
		mu     sync.Mutex
		target int
		frozen chan struct{}
		cut    bool
	}
)

func newGroup() *group {
	g := &group{}
	for i := range g.nodes {
		n := &node{g: g, machine: bfmachine.New()}
		n.Leader = &Leader{Replica: n, Source: n.machine}
		g.nodes[i] = n
	}
	return g
}

// elect makes a node the leader; the other one believes it still leads until its
// quorum lease ends.
func (g *group) elect(i int, lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term++
	g.nodes[i].cut = false
	g.nodes[1-i].cut = true
	g.nodes[i].lag = time.Now().Add(lag)
	g.nodes[i].status = briarferry.ReplicaStatus{IsLeader: true, Term: g.term, LeaderSince: time.Now(), LeaseUntil: time.Now().Add(time.Second)}
}

func (n *node) Status() briarferry.ReplicaStatus {
	n.g.mu.Lock()
	defer n.g.mu.Unlock()
	if !n.cut && n.status.IsLeader {
		n.status.LeaseUntil = time.Now().Add(time.Second)
	}
	n.catchUp()
	s := n.status
	s.Applied = uint64(n.applied)
	return s
}

func (n *node) catchUp() {
	if n.cut || time.Now().Before(n.lag) {
		return
	}
	for ; n.applied < len(n.g.log); n.applied++ {
		n.machine.Apply(uint64(n.applied+1), n.g.log[n.applied])
	}
}

func (n *node) ReadIndex(context.Context) (uint64, error) {
	n.g.mu.Lock()
	defer n.g.mu.Unlock()
	if n.cut {
		return 0, errors.New("no quorum")
	}
	return uint64(len(n.g.log)), nil
}

func (n *node) Propose(_ context.Context, cmd []byte) ([]byte, error) {
	n.g.mu.Lock()
	defer n.g.mu.Unlock()
	if n.cut || !n.status.IsLeader {
		return nil, briarferry.ErrNotLeader
	}
	n.g.log = append(n.g.log, cmd)
	n.catchUp()
	return nil, nil
}

// change commits a configuration at the node and waits until it is in force.
func (n *node) change(ctx context.Context, i int) (uint64, error) {
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

func (g *group) newClient(ctx context.Context, i int) *client {
	c := &client{g: g}
	c.Holder = &Holder{Name: fmt.Sprint("e", i), Incarnation: 1, Transport: c}
	c.Tick(time.Now())
	g.wg.Go(func() {
		for ctx.Err() == nil {
			c.gate()
			c.Tick(time.Now())
			time.Sleep(tickInterval)
		}
	})
	g.wg.Go(func() { c.runSyncs(ctx) })
	return c
}

// gate stops the calling goroutine while the process is frozen.
func (c *client) gate() {
	c.mu.Lock()
	frozen := c.frozen
	c.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (c *client) freeze() { c.mu.Lock(); c.frozen = make(chan struct{}); c.mu.Unlock() }
func (c *client) thaw()   { c.mu.Lock(); close(c.frozen); c.frozen = nil; c.mu.Unlock() }

func (c *client) isFrozen() bool { c.mu.Lock(); defer c.mu.Unlock(); return c.frozen != nil }

func (c *client) setCut(cut bool) { c.mu.Lock(); c.cut = cut; c.mu.Unlock() }

func (c *client) Sync(ctx context.Context, r SyncRequest) (SyncReply, error) {
	c.gate()
	c.mu.Lock()
	target, cut := c.target, c.cut
	c.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	if cut {
		<-ctx.Done()
		return SyncReply{}, ctx.Err()
	}
	reply, err := c.g.nodes[target].Sync(ctx, r)
	time.Sleep(time.Duration(rand.N(20)) * time.Millisecond)
	c.gate()
	if err != nil {
		c.mu.Lock()
		c.target = 1 - target
		c.mu.Unlock()
	}
	return reply, err
}

func inBubble(t *testing.T, f func(ctx context.Context, g *group, clients []*client)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := newGroup()
		g.elect(0, 0)
		clients := make([]*client, 3)
		for i := range clients {
			clients[i] = g.newClient(ctx, i)
		}
		if _, err := g.nodes[0].change(ctx, 0); err != nil {
			t.Error(err)
		}
		f(ctx, g, clients)
		cancel()
		for _, c := range clients {
			if c.isFrozen() {
				c.thaw()
			}
		}
		g.wg.Wait()
	})
}

// TestChangeIsFast guards against a change that waits for leases although every
// entry has acknowledged it.
func TestChangeIsFast(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *group, clients []*client) {
		start := time.Now()
		revision, err := g.nodes[0].change(ctx, 1)
		if err != nil || time.Since(start) > 100*time.Millisecond {
			t.Errorf("change took %s: %v", time.Since(start), err)
		}
		for _, c := range clients {
			if _, _, ok := c.Current(); !ok || c.State().Revision != revision {
				t.Errorf("%s has revision %d, lease %t", c.Name, c.State().Revision, ok)
			}
		}
	})
}

// TestFrozenEntry guards against a change that is accepted while a frozen entry
// can wake up with a lease under the older one.
func TestFrozenEntry(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *group, clients []*client) {
		time.Sleep(time.Second)
		clients[1].freeze()
		start := time.Now()
		if _, err := g.nodes[0].change(ctx, 1); err != nil {
			t.Error(err)
		}
		if took := time.Since(start); took < 2*time.Second || took > leaderDuration {
			t.Errorf("change was accepted after %s", took)
		}
		clients[1].thaw()
		if _, _, ok := clients[1].Current(); ok {
			t.Error("a frozen entry woke up with a lease")
		}
		time.Sleep(time.Second)
		if _, _, ok := clients[1].Current(); !ok {
			t.Error("the entry did not get a new lease")
		}
	})
}

// TestShortFreeze guards against work on a lease from before a freeze that is
// shorter than the lease, and against a reply from before it that renews it.
func TestShortFreeze(t *testing.T) {
	inBubble(t, func(ctx context.Context, _ *group, clients []*client) {
		time.Sleep(time.Second)
		clients[0].freeze()
		time.Sleep(600 * time.Millisecond)
		if _, _, ok := clients[0].Current(); ok {
			t.Error("lease outlives a freeze")
		}
		clients[0].thaw()
		time.Sleep(time.Millisecond)
		if _, _, ok := clients[0].Current(); ok {
			t.Error("a reply from before the freeze renewed the lease")
		}
	})
}

// TestCutOffLeader guards against grants of a leader without a quorum, and
// against a new leader that accepts changes before the old leases have ended.
func TestCutOffLeader(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *group, clients []*client) {
		time.Sleep(time.Second)
		for _, c := range clients {
			c.setCut(true)
		}
		g.elect(1, 50*time.Millisecond)
		start := time.Now()
		if _, err := g.nodes[1].change(ctx, 1); err != nil {
			t.Error(err)
		}
		if took := time.Since(start); took < leaderDuration || took > leaderDuration+time.Second {
			t.Errorf("new leader accepted a change after %s", took)
		}
		if _, err := g.nodes[0].Sync(ctx, SyncRequest{Entry: "e9", Full: true}); !errors.Is(err, briarferry.ErrNotLeader) {
			t.Errorf("leader without a quorum answered %v", err)
		}
	})
}

// TestNewLeaderAppliesFirst guards against a new leader that hands a restarted
// entry a state from before a change that an earlier leader finished.
func TestNewLeaderAppliesFirst(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *group, _ []*client) {
		revision, err := g.nodes[0].change(ctx, 1)
		if err != nil {
			t.Error(err)
		}
		g.elect(1, 2*time.Second)
		reply, err := g.nodes[1].Sync(ctx, SyncRequest{Entry: "e9", Full: true})
		if err != nil || reply.Revision < revision {
			t.Errorf("new leader grants revision %d after %d: %v", reply.Revision, revision, err)
		}
	})
}

// TestRandomFaults guards against any order of freezes, cuts, leader changes and
// changes in which an accepted revision is concurrent with work under an older one.
func TestRandomFaults(t *testing.T) {
	seeds := 60
	if testing.Short() {
		seeds = 10
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			inBubble(t, func(ctx context.Context, g *group, clients []*client) {
				randomFaults(ctx, t, g, clients, rand.New(rand.NewPCG(uint64(seed), 1)))
			})
		})
	}
}

func randomFaults(ctx context.Context, t *testing.T, g *group, clients []*client, rng *rand.Rand) {
	var mu sync.Mutex
	faults := rand.New(rand.NewPCG(rng.Uint64(), 2))
	accepted, done := uint64(0), make(chan struct{})
	check := func() {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range clients {
			if c.isFrozen() {
				continue
			}
			if _, _, ok := c.Current(); ok && c.State().Revision < accepted {
				t.Errorf("%s works under revision %d after %d was accepted", c.Name, c.State().Revision, accepted)
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
		c := clients[faults.IntN(len(clients))]
		switch faults.IntN(60) {
		case 0:
			leader = 1 - leader
			time.Sleep(time.Duration(faults.IntN(2000)) * time.Millisecond)
			g.elect(leader, time.Duration(faults.IntN(300))*time.Millisecond)
		case 1, 2, 3:
			c.setCut(faults.IntN(2) == 0)
		case 4, 5, 6:
			if c.isFrozen() {
				c.thaw()
			} else {
				c.freeze()
			}
		}
	}
}
