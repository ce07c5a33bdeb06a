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
	// fakeNet is a network in memory that delays, loses and duplicates datagrams and can
	// block links.
	fakeNet struct {
		mu                      sync.Mutex
		rng                     *rand.Rand
		nodes                   map[netip.AddrPort]*simNode
		lossRate, duplicateRate float64
		// isLossy reports whether a link loses datagrams; nil means that all links do.
		isLossy func(from, to int) bool
		// isBlocked reports whether a link loses all datagrams.
		isBlocked func(from, to int) bool
		bytes     int64
		datagrams int64
	}

	// simNode is one VM with its gossip node and slot pool.
	simNode struct {
		net     *fakeNet
		index   int
		vm      briarferry.VM
		members *bfmember.Members
		table   *bfbackend.Table
		gossip  *Node
		pool    *bfslot.Pool
		cancel  context.CancelFunc
		done    sync.WaitGroup
		crashed bool
		// resumed is nil unless the process is frozen; it is closed when the process resumes.
		resumed chan struct{}
	}

	firstBalancer struct{}
)

func (firstBalancer) Pick(time.Time, []briarferry.Candidate) int                   { return 0 }
func (firstBalancer) Report(time.Time, briarferry.BackendID, briarferry.TryReport) {}

func newFakeNet(seed uint64) *fakeNet {
	return &fakeNet{rng: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[netip.AddrPort]*simNode),
		isBlocked: func(int, int) bool { return false }}
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
	n.members = bfmember.NewMembers(n.vm, addrs)
	n.table = &bfbackend.Table{Origin: n.vm.Name}
	n.gossip = &Node{Members: n.members, Table: n.table, Network: n}
	n.pool = &bfslot.Pool{Members: n.members, Table: n.table, Balancer: firstBalancer{}, Sender: n.gossip}
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

// Send delivers the datagram after a delay, or drops it.
func (n *simNode) Send(to netip.AddrPort, data []byte) {
	n.net.mu.Lock()
	if resumed := n.resumed; resumed != nil {
		n.net.mu.Unlock()
		<-resumed
		n.net.mu.Lock()
	}
	defer n.net.mu.Unlock()
	f := n.net
	peer := f.nodes[to]
	if n.crashed || peer == nil || f.isBlocked(n.index, peer.index) || f.drops(n.index, peer.index) {
		return
	}
	f.bytes += int64(len(data))
	f.datagrams++
	for copies := 1; copies > 0; copies-- {
		if f.rng.Float64() < f.duplicateRate {
			copies++
		}
		delay := time.Millisecond
		if n.vm.Region != peer.vm.Region {
			delay = 55 * time.Millisecond
		}
		if f.lossRate > 0 {
			delay += time.Duration(f.rng.IntN(40)) * time.Millisecond
		}
		time.AfterFunc(delay, func() { f.deliver(to, data) })
	}
}

func (f *fakeNet) drops(from, to int) bool {
	return f.rng.Float64() < f.lossRate && (f.isLossy == nil || f.isLossy(from, to))
}

func (f *fakeNet) deliver(to netip.AddrPort, data []byte) {
	f.mu.Lock()
	n := f.nodes[to]
	var resumed chan struct{}
	if n != nil {
		resumed = n.resumed
	}
	f.mu.Unlock()
	if resumed != nil {
		<-resumed // datagrams wait in the socket buffer of a frozen process
	}
	f.mu.Lock()
	crashed := n == nil || n.crashed
	f.mu.Unlock()
	if !crashed {
		n.gossip.Receive(data)
	}
}

func (n *simNode) crash() {
	n.net.mu.Lock()
	n.crashed = true
	delete(n.net.nodes, n.vm.Gossip)
	n.net.mu.Unlock()
	n.cancel()
	n.done.Wait()
}

func (n *simNode) hasCrashed() bool {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	return n.crashed
}

func (n *simNode) freeze() {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	n.resumed = make(chan struct{})
}

func (n *simNode) resume() {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	close(n.resumed)
	n.resumed = nil
}

func (f *fakeNet) blockLinks(isBlocked func(from, to int) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isBlocked = isBlocked
}

func startCluster(seed uint64, n int) (*fakeNet, []*simNode) {
	f := newFakeNet(seed)
	var nodes []*simNode
	for i := range n {
		nodes = append(nodes, f.start(i, 0, 1))
	}
	time.Sleep(3 * time.Second)
	return f, nodes
}

func stopAll(nodes []*simNode) {
	for _, n := range nodes {
		if n != nil && !n.hasCrashed() {
			n.crash()
		}
	}
}

func testAnnouncement(i, slots int) briarferry.Announcement {
	return briarferry.Announcement{Service: "desk", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 80),
		Region: regionNames[i%3], FailureDomain: regionNames[i%3] + "-a", Slots: slots, ConnectionLimit: 400, State: briarferry.StateReady}
}

// announceEverySecond sends an announcement to an entry every second until the context
// ends; at returns the entry for each round.
func announceEverySecond(ctx context.Context, t *testing.T, at func(round int) *simNode, a func() briarferry.Announcement) {
	for round := 0; ctx.Err() == nil; round++ {
		if n := at(round); n != nil && !n.hasCrashed() {
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
