package bfgossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bfmember"
	"briarferry/internal/coordination/bfslot"
	"briarferry/internal/state/bfbackend"
)

var regionNames = []string{"recife", "fortaleza", "salvador"}

type (
	// fakeNet carries datagrams in memory, with delay, loss, repetition and cuts.
	fakeNet struct {
		mu         sync.Mutex
		rng        *rand.Rand
		nodes      map[netip.AddrPort]*simNode
		loss, twin float64
		// lossy limits the loss to some links; nil stands for all.
		lossy     func(from, to int) bool
		cut       func(from, to int) bool
		bytes     int64
		datagrams int64
	}

	// simNode is one VM with all that this package and bfslot run on it.
	simNode struct {
		net    *fakeNet
		index  int
		vm     briarferry.VM
		m      *bfmember.Members
		table  *bfbackend.Table
		gossip *Node
		pool   *bfslot.Pool
		cancel context.CancelFunc
		done   sync.WaitGroup
		dead   bool
		frozen chan struct{}
	}

	firstBalancer struct{}
)

func (firstBalancer) Pick(time.Time, []briarferry.Candidate) int                   { return 0 }
func (firstBalancer) Report(time.Time, briarferry.BackendID, briarferry.TryReport) {}

func newNet(seed uint64) *fakeNet {
	return &fakeNet{rng: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[netip.AddrPort]*simNode),
		cut: func(int, int) bool { return false }}
}

func simVM(i int) briarferry.VM {
	return briarferry.VM{Name: fmt.Sprintf("e%d", i), Region: regionNames[i%3], FailureDomain: regionNames[i%3] + "-a",
		Gossip: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)}
}

func (f *fakeNet) start(i int, seeds ...int) *simNode {
	n := &simNode{net: f, index: i, vm: simVM(i)}
	n.vm.Incarnation = uint64(time.Now().UnixNano())
	var addrs []netip.AddrPort
	for _, s := range seeds {
		addrs = append(addrs, simVM(s).Gossip)
	}
	n.m = bfmember.NewMembers(n.vm, addrs)
	n.table = &bfbackend.Table{Origin: n.vm.Name}
	n.gossip = &Node{Members: n.m, Table: n.table, Network: n}
	n.pool = &bfslot.Pool{Members: n.m, Table: n.table, Balancer: firstBalancer{}, Sender: n.gossip}
	n.gossip.Slots = n.pool
	f.mu.Lock()
	f.nodes[n.vm.Gossip] = n
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.done.Go(func() { _ = n.gossip.Run(ctx) })
	n.done.Go(func() { _ = n.pool.Run(ctx) })
	return n
}

// Send delivers the datagram later, or not at all.
func (n *simNode) Send(to netip.AddrPort, data []byte) {
	n.net.mu.Lock()
	if gate := n.frozen; gate != nil {
		n.net.mu.Unlock()
		<-gate
		n.net.mu.Lock()
	}
	defer n.net.mu.Unlock()
	f := n.net
	peer := f.nodes[to]
	if n.dead || peer == nil || f.cut(n.index, peer.index) || f.loses(n.index, peer.index) {
		return
	}
	f.bytes += int64(len(data))
	f.datagrams++
	for copies := 1; copies > 0; copies-- {
		if f.rng.Float64() < f.twin {
			copies++
		}
		delay := time.Millisecond
		if n.vm.Region != peer.vm.Region {
			delay = 55 * time.Millisecond
		}
		if f.loss > 0 {
			delay += time.Duration(f.rng.IntN(40)) * time.Millisecond
		}
		time.AfterFunc(delay, func() { f.deliver(to, data) })
	}
}

func (f *fakeNet) loses(from, to int) bool {
	return f.rng.Float64() < f.loss && (f.lossy == nil || f.lossy(from, to))
}

func (f *fakeNet) deliver(to netip.AddrPort, data []byte) {
	f.mu.Lock()
	n := f.nodes[to]
	var gate chan struct{}
	if n != nil {
		gate = n.frozen
	}
	f.mu.Unlock()
	if gate != nil {
		<-gate // datagrams wait in the socket of a frozen process
	}
	f.mu.Lock()
	dead := n == nil || n.dead
	f.mu.Unlock()
	if !dead {
		n.gossip.Receive(data)
	}
}

func (n *simNode) crash() {
	n.net.mu.Lock()
	n.dead = true
	delete(n.net.nodes, n.vm.Gossip)
	n.net.mu.Unlock()
	n.cancel()
	n.done.Wait()
}

func (n *simNode) isDead() bool {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	return n.dead
}

func (n *simNode) freeze() {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	n.frozen = make(chan struct{})
}

func (n *simNode) thaw() {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	close(n.frozen)
	n.frozen = nil
}

func (f *fakeNet) setCut(cut func(from, to int) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

func startCluster(seed uint64, n int) (*fakeNet, []*simNode) {
	f := newNet(seed)
	var nodes []*simNode
	for i := range n {
		nodes = append(nodes, f.start(i, 0, 1))
	}
	time.Sleep(3 * time.Second)
	return f, nodes
}

func stopAll(nodes []*simNode) {
	for _, n := range nodes {
		if n != nil && !n.isDead() {
			n.crash()
		}
	}
}

func backend(i, slots int) briarferry.Announcement {
	return briarferry.Announcement{Service: "desk", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 80),
		Region: regionNames[i%3], FailureDomain: regionNames[i%3] + "-a", Slots: slots, ConnectionLimit: 400, State: briarferry.StateReady}
}

// announce repeats announcements every second at changing entries until the context ends.
func announce(ctx context.Context, t *testing.T, at func(round int) *simNode, a func() briarferry.Announcement) {
	for round := 0; ctx.Err() == nil; round++ {
		if n := at(round); n != nil && !n.isDead() {
			if _, err := n.table.Announce(time.Now(), a()); err != nil {
				t.Error(err)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}
