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
	// ledger is a state machine that keeps every command in order.
	ledger struct {
		mu   sync.Mutex
		cmds []string
		// pause is the time that a snapshot takes.
		pause time.Duration
		// work is the time that a command takes.
		work time.Duration
	}

	member struct {
		vm      string
		node    *Node
		machine *ledger
		fs      bfstorage.FS
		stop    context.CancelFunc
		// ended is closed when Run has returned.
		ended chan struct{}
		err   error
	}

	// cluster connects nodes in one process, with a delay at the transport.
	cluster struct {
		t       testing.TB
		ctx     context.Context
		cancel  context.CancelFunc
		delay   time.Duration
		mu      sync.Mutex
		r       *rand.Rand
		members map[string]*member
		links   map[[2]string]chan parcel
		cut     map[[2]string]bool
		drop    float64
		group   sync.WaitGroup
		adjust  func(n *Node)
	}

	parcel struct {
		due time.Time
		m   bfraft.Message
	}

	// port is a node's access to the cluster's network.
	port struct {
		c  *cluster
		vm string
	}
)

func (l *ledger) Apply(_ uint64, cmd []byte) []byte {
	time.Sleep(l.work)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cmds = append(l.cmds, string(cmd))
	return cmd
}

func (l *ledger) Snapshot() ([]byte, error) {
	time.Sleep(l.pause)
	l.mu.Lock()
	defer l.mu.Unlock()
	return bfcodec.Marshal(l.cmds)
}

func (l *ledger) Restore(b []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cmds = nil
	return bfcodec.Unmarshal(b, &l.cmds)
}

func (l *ledger) list() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.cmds)
}

var (
	vms = []string{"a", "b", "c"}
	// allVMs adds those that an open group may grow by.
	allVMs = []string{"a", "b", "c", "d", "e"}
)

// newCluster starts replicas on the VMs "a", "b" and "c".
func newCluster(t testing.TB, seed uint64, delay time.Duration, fs func(vm string) bfstorage.FS, adjust func(*Node)) *cluster {
	c := &cluster{t: t, delay: delay, r: rand.New(rand.NewPCG(seed, 3)), members: map[string]*member{},
		links: map[[2]string]chan parcel{}, cut: map[[2]string]bool{}, adjust: adjust}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for _, from := range allVMs {
		for _, to := range allVMs {
			link := make(chan parcel, 8192)
			c.links[[2]string{from, to}] = link
			c.group.Go(func() { c.carry(link) })
		}
	}
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
	p := &port{c: c, vm: vm}
	m := &member{vm: vm, machine: &ledger{}, fs: fs, ended: make(chan struct{})}
	m.node = &Node{VM: vm, Control: vms, Dir: "data", FS: fs, Machine: m.machine, Transport: p, Discovery: p}
	c.mu.Lock()
	m.node.Rand = rand.New(rand.NewPCG(c.r.Uint64(), 5))
	c.mu.Unlock()
	if c.adjust != nil {
		c.adjust(m.node)
	}
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	c.mu.Lock()
	c.members[vm] = m
	c.mu.Unlock()
	go func() {
		defer close(m.ended)
		m.err = m.node.Run(ctx)
	}()
}

// names returns the VMs that were started, sorted.
func (c *cluster) names() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.members))
}

func (c *cluster) close() {
	for _, vm := range c.names() {
		m := c.member(vm)
		m.stop()
		<-m.ended
	}
	c.cancel()
	c.group.Wait()
}

func (c *cluster) member(vm string) *member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[vm]
}

func (c *cluster) carry(link chan parcel) {
	for {
		select {
		case <-c.ctx.Done():
			return
		case p := <-link:
			if wait := time.Until(p.due); wait > 0 {
				time.Sleep(wait)
			}
			if m := c.member(VMOf(p.m.To)); m != nil {
				m.node.Deliver(p.m)
			}
		}
	}
}

func (p *port) Send(_ context.Context, to string, m bfraft.Message) error {
	c, key := p.c, [2]string{p.vm, VMOf(to)}
	c.mu.Lock()
	lost := c.cut[key] || c.drop > 0 && c.r.Float64() < c.drop
	c.mu.Unlock()
	if lost {
		return nil
	}
	select {
	case c.links[key] <- parcel{due: time.Now().Add(c.delay), m: m}:
		return nil
	default:
		return errors.New("link is full")
	}
}

func (p *port) reach(vm string) (*member, error) {
	time.Sleep(2 * p.c.delay)
	m := p.c.member(vm)
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	if m == nil || p.c.cut[[2]string{p.vm, vm}] || p.c.cut[[2]string{vm, p.vm}] {
		return nil, errors.New("not reached")
	}
	if !m.running() {
		return nil, errors.New("down")
	}
	return m, nil
}

func (p *port) Info(_ context.Context, vm string) (Info, error) {
	m, err := p.reach(vm)
	if err != nil {
		return Info{}, err
	}
	return m.node.Info(), nil
}

func (p *port) Join(ctx context.Context, vm, id string) error {
	m, err := p.reach(vm)
	if err != nil {
		return err
	}
	return m.node.Join(ctx, id)
}

func (c *cluster) leader() *member {
	var best *member
	for _, vm := range c.names() {
		m := c.member(vm)
		if s := m.node.Status(); m.running() && s.IsLeader && (best == nil || s.Term > best.node.Status().Term) {
			best = m
		}
	}
	return best
}

// propose offers the command to leaders until it is committed; a VM may be left out.
func (c *cluster) propose(cmd string, without ...string) {
	c.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, vm := range c.names() {
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
	case <-m.ended:
		return false
	default:
		return true
	}
}

func (c *cluster) isolate(vm string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range allVMs {
		c.cut[[2]string{vm, other}], c.cut[[2]string{other, vm}] = cut, cut
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
	c.t.Fatalf("replicas hold %d, %d and %d commands", len(lists[0]), len(lists[1]), len(lists[2]))
	return nil
}
