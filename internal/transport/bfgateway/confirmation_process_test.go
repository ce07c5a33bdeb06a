package bfgateway

import (
	"context"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/transport/bfgossip"
	"briarferry/internal/transport/bfloopback"
)

// startControls starts three control VMs in processes of their own, with the route table.
func startControls(t *testing.T, table *briarferry.RouteTable, gossipPort, rpcPort uint16) []*controlProcess {
	t.Helper()
	seeds := []netip.Addr{netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2"), netip.MustParseAddr("127.0.0.3")}
	var out []*controlProcess
	for _, a := range seeds {
		p := &controlProcess{RPC: netip.AddrPortFrom(a, rpcPort), Gossip: netip.AddrPortFrom(a, gossipPort), Seeds: seeds, DataDir: t.TempDir(), Table: table}
		p.start(t)
		t.Cleanup(p.kill)
		out = append(out, p)
	}
	return out
}

// runFleetSync runs the entry's exchange with the control VMs until the end of the test.
func (h *homesEntry) runFleetSync(seeds []netip.Addr, address netip.AddrPort, controlPort uint16) {
	f := h.node.fleet
	f.self.Gossip, f.self.HTTP, f.self.RPC, f.self.Incarnation = address, address, address, 1
	f.seeds, f.controlPort = func() []netip.Addr { return seeds }, controlPort
	f.gossip = &bfgossip.UDPNetwork{Listen: address, Log: zerolog.Nop(), Receive: f.receive}
	stop, err := f.gossip.Start()
	if err != nil {
		h.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.run(ctx) })
	h.t.Cleanup(func() {
		cancel()
		wg.Wait()
		stop()
	})
}

// TestTableWithoutQuorum guards against an entry that goes on using the homes of its table while
// the control VMs that it hears are no majority, and against one that never does again.
func TestTableWithoutQuorum(t *testing.T) {
	ports, err := bfloopback.FreeAddresses(3)
	if err != nil {
		t.Fatal(err)
	}
	h := newHomesEntry(t, []string{"q"}, answer(200, "X-Signature"))
	table := *h.state.Routes
	table.Version = 9
	controls := startControls(t, &table, ports[1].Port(), ports[0].Port())
	h.runFleetSync(controls[0].Seeds, netip.AddrPortFrom(controls[0].RPC.Addr(), ports[2].Port()), ports[1].Port())
	confirmed := func() bool {
		age, ok := h.node.fleet.confirmations.Age(h.node.fleet.clock())
		return h.node.routes.Load().Version == table.Version && ok && age < time.Second
	}
	within := func(d time.Duration, what string, done func() bool) {
		t.Helper()
		for end := time.Now().Add(d); !done(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: not within %v", what, d)
			}
		}
	}
	within(30*time.Second, "first confirmation", confirmed)
	for _, p := range controls[1:] {
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	}
	within(10*time.Second, "end of the last confirmation", func() bool { return !h.node.fleet.confirmations.IsCurrent(h.node.fleet.clock()) })
	for _, p := range controls[1:] {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}
	within(30*time.Second, "confirmation by a majority", confirmed)
}
