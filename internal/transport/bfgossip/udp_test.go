package bfgossip

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/coordination/bfmember"
	"briarferry/internal/coordination/bfslot"
	"briarferry/internal/state/bfbackend"
)

// udpNode is a VM with its gossip node and slot pool over UDP on loopback.
type udpNode struct {
	members *bfmember.Members
	table   *bfbackend.Table
	gossip  *Node
	pool    *bfslot.Pool
}

func freeAddresses(t testing.TB, n int) []netip.AddrPort {
	var list []netip.AddrPort
	for range n {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		list = append(list, c.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	return list
}

func startUDPNodes(ctx context.Context, t testing.TB, n int) (nodes []*udpNode, wait func()) {
	addresses := freeAddresses(t, n)
	var wg sync.WaitGroup
	for i := range n {
		vm := simVM(i)
		vm.Gossip, vm.Incarnation = addresses[i], uint64(time.Now().UnixMicro())
		r := &udpNode{members: bfmember.NewMembers(vm, addresses[:min(n, 3)]), table: &bfbackend.Table{Origin: vm.Name}}
		g := &UDPNetwork{Listen: vm.Gossip, Log: zerolog.Nop()}
		r.gossip = &Node{Members: r.members, Table: r.table, Network: g}
		r.pool = &bfslot.Pool{Members: r.members, Table: r.table, Balancer: firstBalancer{}, Sender: r.gossip}
		r.gossip.Slots, g.Receive = r.pool, r.gossip.Receive
		stop, err := g.Start()
		if err != nil {
			t.Fatal(err)
		}
		wg.Go(func() { _ = r.pool.Run(ctx) })
		wg.Go(func() { _ = r.gossip.Run(ctx); stop() })
		nodes = append(nodes, r)
	}
	return nodes, wg.Wait
}

func eventually(d time.Duration, ok func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

// TestOverUDP guards against faults that the in-memory network can't show: in sockets, in
// the event loops of gnet and when they stop.
func TestOverUDP(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	nodes, wait := startUDPNodes(ctx, t, 3)
	if !eventually(10*time.Second, func() bool { return len(nodes[0].members.Live()) == 3 && nodes[2].gossip.Synced() }) {
		t.Fatal("the VMs did not discover each other")
	}
	got := eventually(10*time.Second, func() bool {
		if _, err := nodes[1].table.Announce(time.Now(), testAnnouncement(0, 3)); err != nil {
			t.Fatal(err)
		}
		nodes[2].pool.SetDemand("desk", map[int]int{1: 1})
		time.Sleep(100 * time.Millisecond)
		s, ok := nodes[2].pool.TryAcquire("desk", nil)
		if ok {
			s.Done(briarferry.TryReport{})
		}
		return ok
	})
	if !got {
		t.Error("no slot was granted at a server that announced itself to another entry")
	}
	cancel()
	wait()
}

// BenchmarkNodes reports the cost of gossip per node in systems of several sizes, with 132
// backend servers that announce themselves every second.
func BenchmarkNodes(b *testing.B) {
	for _, n := range []int{7, 20, 50} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			for b.Loop() {
				benchmarkNodes(b, n, 5*time.Second)
			}
		})
	}
}

func benchmarkNodes(b *testing.B, n int, d time.Duration) {
	before := heapBytes()
	ctx, cancel := context.WithCancel(b.Context())
	nodes, wait := startUDPNodes(ctx, b, n)
	ticker := time.NewTicker(time.Second / 132)
	defer ticker.Stop()
	announce := func(until time.Time) {
		for i := 0; time.Now().Before(until); i++ {
			<-ticker.C
			_, _ = nodes[i%132%n].table.Announce(time.Now(), testAnnouncement(i%132, 9))
		}
	}
	announce(time.Now().Add(4 * time.Second))
	live, bytes, cpu, start := len(nodes[0].members.Live()), counters.bytesOut.Value(), cpuTime(), time.Now()
	announce(start.Add(d))
	elapsed := time.Since(start).Seconds()
	b.ReportMetric(float64(counters.bytesOut.Value()-bytes)/elapsed/float64(n), "B/s/node")
	b.ReportMetric(100*(cpuTime()-cpu)/elapsed/float64(n), "%core/node")
	b.ReportMetric(float64(heapBytes()-before)/float64(n)/1024, "KB/node")
	b.ReportMetric(float64(live), "live")
	b.ReportMetric(float64(knownServers(&simNode{table: nodes[0].table})), "servers")
	cancel()
	wait()
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func cpuTime() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}
