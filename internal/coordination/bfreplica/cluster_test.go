package bfreplica

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"briarferry/internal/coordination/bfraft"
	"briarferry/internal/state/bfcodec"
	"briarferry/internal/state/bfstorage"
)

type (
	// recorder is a state machine that records all commands in their order.
	recorder struct {
		mu   sync.Mutex
		cmds []string
		// snapshotDelay is the time that a snapshot takes.
		snapshotDelay time.Duration
		// applyDelay is the time that a command takes.
		applyDelay time.Duration
	}

	// member is a replica of the cluster.
	member struct {
		vm      string
		node    *Node
		machine *recorder
		fs      bfstorage.FS
		stop    context.CancelFunc
		// done is closed when Run has returned.
		done chan struct{}
		err  error
	}

	// cluster connects the nodes of one process by links with a delay.
	cluster struct {
		t         testing.TB
		ctx       context.Context
		cancel    context.CancelFunc
		delay     time.Duration
		mu        sync.Mutex
		rng       *rand.Rand
		members   map[string]*member
		links     map[[2]string]chan delivery
		cutLinks  map[[2]string]bool
		dropRate  float64
		group     sync.WaitGroup
		configure func(n *Node)
	}

	// delivery is a message on a link and the time at which it arrives.
	delivery struct {
		due     time.Time
		message bfraft.Message
	}

	// endpoint is a node's access to the cluster's network.
	endpoint struct {
		c  *cluster
		vm string
	}
)

func (r *recorder) Apply(_ uint64, cmd []byte) []byte {
	time.Sleep(r.applyDelay)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cmds = append(r.cmds, string(cmd))
	return cmd
}

func (r *recorder) Snapshot() ([]byte, error) {
	time.Sleep(r.snapshotDelay)
	r.mu.Lock()
	defer r.mu.Unlock()
	return bfcodec.Marshal(r.cmds)
}

func (r *recorder) Restore(b []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cmds = nil
	return bfcodec.Unmarshal(b, &r.cmds)
}

func (r *recorder) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.cmds)
}

var (
	vms = []string{"a", "b", "c"}
	// allVMs adds the VMs that may join an open group.
	allVMs = []string{"a", "b", "c", "d", "e"}
	// spareVMs replace others under new addresses.
	spareVMs = []string{"f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p"}
)

// newCluster starts replicas on the VMs "a", "b" and "c".
func newCluster(t testing.TB, seed uint64, delay time.Duration, fs func(vm string) bfstorage.FS, configure func(*Node)) *cluster {
	c := &cluster{t: t, delay: delay, rng: rand.New(rand.NewPCG(seed, 3)), members: map[string]*member{},
		links: map[[2]string]chan delivery{}, cutLinks: map[[2]string]bool{}, configure: configure}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for _, vm := range vms {
		c.start(vm, fs(vm))
	}
	return c
}

func memoryFS(seed uint64) func(string) bfstorage.FS {
	return func(vm string) bfstorage.FS {
		return bfstorage.NewMemoryFS(rand.New(rand.NewPCG(seed, uint64(vm[0]))))
	}
}

func (c *cluster) start(vm string, fs bfstorage.FS) {
	p := &endpoint{c: c, vm: vm}
	m := &member{vm: vm, machine: &recorder{}, fs: fs, done: make(chan struct{})}
	m.node = &Node{VM: vm, Control: vms, Dir: "data", FS: fs, Machine: m.machine, Transport: p, Discovery: p}
	c.mu.Lock()
	m.node.Rand = rand.New(rand.NewPCG(c.rng.Uint64(), 5))
	c.mu.Unlock()
	if c.configure != nil {
		c.configure(m.node)
	}
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	c.mu.Lock()
	c.members[vm] = m
	c.mu.Unlock()
	go func() {
		defer close(m.done)
		m.err = m.node.Run(ctx)
	}()
}

// startedVMs returns the VMs that were started, sorted.
func (c *cluster) startedVMs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.members))
}

func (c *cluster) close() {
	for _, vm := range c.startedVMs() {
		m := c.member(vm)
		m.stop()
		<-m.done
	}
	c.cancel()
	c.group.Wait()
}

func (c *cluster) member(vm string) *member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[vm]
}

// deliver passes the messages of a link to their receivers when they are due.
func (c *cluster) deliver(link chan delivery) {
	for {
		select {
		case <-c.ctx.Done():
			return
		case d := <-link:
			if wait := time.Until(d.due); wait > 0 {
				time.Sleep(wait)
			}
			if m := c.member(VMOf(d.message.To)); m != nil {
				m.node.Deliver(d.message)
			}
		}
	}
}

func (p *endpoint) Send(_ context.Context, to string, m bfraft.Message) error {
	c, key := p.c, [2]string{p.vm, VMOf(to)}
	c.mu.Lock()
	lost := c.cutLinks[key] || c.dropRate > 0 && c.rng.Float64() < c.dropRate
	link := c.links[key]
	if link == nil {
		link = make(chan delivery, 8192)
		c.links[key] = link
		c.group.Go(func() { c.deliver(link) })
	}
	c.mu.Unlock()
	if lost {
		return nil
	}
	select {
	case link <- delivery{due: time.Now().Add(c.delay), message: m}:
		return nil
	default:
		return errors.New("link is full")
	}
}

// contact returns the running replica on a VM after a round trip.
func (p *endpoint) contact(vm string) (*member, error) {
	time.Sleep(2 * p.c.delay)
	m := p.c.member(vm)
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	if m == nil || p.c.cutLinks[[2]string{p.vm, vm}] || p.c.cutLinks[[2]string{vm, p.vm}] {
		return nil, errors.New("VM is unreachable")
	}
	if !m.running() {
		return nil, errors.New("replica is not running")
	}
	return m, nil
}

func (p *endpoint) Info(_ context.Context, vm string) (Info, error) {
	m, err := p.contact(vm)
	if err != nil {
		return Info{}, err
	}
	return m.node.Info(), nil
}

func (p *endpoint) Join(ctx context.Context, vm, id string) error {
	m, err := p.contact(vm)
	if err != nil {
		return err
	}
	return m.node.Join(ctx, id)
}

func (p *endpoint) Leave(ctx context.Context, vm, id string) (bool, error) {
	m, err := p.contact(vm)
	if err != nil {
		return false, err
	}
	return m.node.Leave(ctx, id)
}

func (p *endpoint) Pledge(ctx context.Context, vm, former string) (Info, error) {
	m, err := p.contact(vm)
	if err != nil {
		return Info{}, err
	}
	return m.node.Pledge(ctx, former)
}

func (c *cluster) leader() *member {
	var best *member
	for _, vm := range c.startedVMs() {
		m := c.member(vm)
		if s := m.node.Status(); m.running() && s.IsLeader && (best == nil || s.Term > best.node.Status().Term) {
			best = m
		}
	}
	return best
}

// propose proposes the command to the leader until it is committed. It ignores leaders on
// the VMs in without.
func (c *cluster) propose(cmd string, without ...string) {
	c.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, vm := range c.startedVMs() {
			m := c.member(vm)
			if slices.Contains(without, vm) || !m.running() || !m.node.Status().IsLeader {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			_, err := m.node.Propose(ctx, []byte(cmd))
			cancel()
			if err == nil {
				return
			}
		}
	}
	c.t.Fatalf("%q was not committed", cmd)
}

func (m *member) running() bool {
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

// isolate cuts all links of a VM, or restores them.
func (c *cluster) isolate(vm string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range slices.Concat(allVMs, spareVMs) {
		c.cutLinks[[2]string{vm, other}], c.cutLinks[[2]string{other, vm}] = cut, cut
	}
}

// converge waits until all replicas have applied the same commands.
func (c *cluster) converge() []string {
	c.t.Helper()
	var lists [3][]string
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for i, vm := range vms {
			lists[i] = c.member(vm).machine.list()
		}
		if slices.Equal(lists[0], lists[1]) && slices.Equal(lists[1], lists[2]) {
			return lists[0]
		}
	}
	c.t.Fatalf("replicas did not converge: they applied %d, %d and %d commands", len(lists[0]), len(lists[1]), len(lists[2]))
	return nil
}
