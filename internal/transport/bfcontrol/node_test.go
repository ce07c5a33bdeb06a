package bfcontrol

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/transport/bfloopback"
)

type testNode struct {
	*Node
	stop  context.CancelFunc
	ended chan error
}

// startGroup starts three control VMs on loopback addresses with the same ports.
func startGroup(t *testing.T) []*testNode {
	t.Helper()
	return startGroupWith(t, func(*Node) {})
}

// startGroupWith starts the control VMs after a change of their settings.
func startGroupWith(t *testing.T, set func(n *Node)) []*testNode {
	t.Helper()
	seeds := []netip.Addr{netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2"), netip.MustParseAddr("127.0.0.3")}
	ports, err := bfloopback.FreeAddresses(2)
	if err != nil {
		t.Fatal(err)
	}
	var nodes []*testNode
	for _, a := range seeds {
		n := &testNode{ended: make(chan error, 1), Node: &Node{
			Address: a, RPC: netip.AddrPortFrom(a, ports[0].Port()), Gossip: netip.AddrPortFrom(a, ports[1].Port()), Bootstrap: true,
			Seeds: func() []netip.Addr { return seeds }, DataDir: t.TempDir(), Regions: map[string]string{"a": "r"}, Log: zerolog.Nop(),
		}}
		set(n.Node)
		n.Setup()
		var ctx context.Context
		ctx, n.stop = context.WithCancel(context.Background())
		go func() { n.ended <- n.Run(ctx) }()
		nodes = append(nodes, n)
	}
	t.Cleanup(func() {
		for _, n := range nodes {
			n.stop()
		}
		for _, n := range nodes {
			if err := <-n.ended; err != nil {
				t.Errorf("%s: %v", n.Address, err)
			}
		}
	})
	return nodes
}

// eventually repeats the call while it returns ErrUnavailable, at most 30 times.
func eventually(t *testing.T, call func(ctx context.Context) error) error {
	t.Helper()
	var err error
	for range 30 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err = call(ctx)
		cancel()
		if !errors.Is(err, ErrUnavailable) {
			return err
		}
	}
	return err
}

func testTable(version uint64) *briarferry.RouteTable {
	return &briarferry.RouteTable{Version: version, Services: []briarferry.RouteService{{Name: "s", ConnectionLimit: 1}}}
}

// TestOperatorCalls guards against changes that only the leader accepts, refusing repeated
// changes, accepting two different changes with the same base, stale reads, and losing
// changes when the leader stops.
func TestOperatorCalls(t *testing.T) {
	nodes := startGroup(t)
	put := func(n *testNode, base, version uint64, text string) error {
		return eventually(t, func(ctx context.Context) error { return n.PutRoutes(ctx, base, testTable(version), []byte(text)) })
	}
	read := func(n *testNode) (string, uint64) {
		var source []byte
		var version uint64
		err := eventually(t, func(ctx context.Context) (err error) {
			source, version, err = n.Routes(ctx)
			return err
		})
		if err != nil {
			t.Error(err)
		}
		return string(source), version
	}
	for i, n := range nodes {
		version := uint64(i + 1)
		text := fmt.Sprint("table ", version)
		if err := put(n, version-1, version, text); err != nil {
			t.Fatal(err)
		}
		for _, other := range nodes {
			if err := put(other, version-1, version, text); err != nil {
				t.Errorf("repeated change: %v", err)
			}
			if err := put(other, version-1, version, "another"); !errors.Is(err, ErrConflict) {
				t.Errorf("other change with the same base: %v, want ErrConflict", err)
			}
			if got, v := read(other); got != text || v != version {
				t.Errorf("read %q at %d after %q was confirmed", got, v, text)
			}
		}
	}
	in := briarferry.Instance{ID: "i-1", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:80"), FailureDomain: "a", Slots: 1, Started: 5, Sequence: 1}
	if err := eventually(t, func(ctx context.Context) error { return nodes[1].Report(ctx, in) }); err != nil {
		t.Error(err)
	}
	if err := eventually(t, func(ctx context.Context) error { return nodes[2].Evacuate(ctx, "a", false) }); err != nil {
		t.Error(err)
	}
	if err := nodes[2].Evacuate(context.Background(), "none", false); !errors.Is(err, ErrInvalid) {
		t.Errorf("evacuation of an unknown failure domain: %v", err)
	}
	leader := slices.IndexFunc(nodes, func(n *testNode) bool { return n.replica.Status().IsLeader })
	if leader < 0 {
		t.Fatal("no leader")
	}
	nodes[leader].stop()
	nodes[leader].ended <- <-nodes[leader].ended
	rest := nodes[(leader+1)%3]
	if err := put(rest, 3, 9, "after"); err != nil {
		t.Errorf("after the leader has stopped: %v", err)
	}
	if got, _ := read(nodes[(leader+2)%3]); got != "after" {
		t.Errorf("read %q", got)
	}
	s := rest.machine.State()
	if _, ok := s.Server("i-1"); !ok || len(s.Evacuated) != 1 {
		t.Errorf("%d servers registered, evacuated %v; want 1 server and 1 failure domain", len(s.Servers), s.Evacuated)
	}
}

func testHeartbeat(name, region, domain string, sequence uint64, ready bool) *bfwire.EntryHeartbeat {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	if name != "one" {
		address = netip.MustParseAddrPort("10.0.0.2:80")
	}
	return &bfwire.EntryHeartbeat{Sequence: sequence, Ready: ready, Entry: bfwire.EntryInfo{
		Name: name, Region: region, FailureDomain: domain, HTTP: address, Gossip: address, Incarnation: 1,
	}}
}

// TestLookup guards against answers with entries that are expired, not ready or farther away
// than others.
func TestLookup(t *testing.T) {
	now := time.Now()
	table := &entryTable{regions: map[string]string{"a": "r", "b": "r", "c": "q"}, log: zerolog.Nop()}
	table.heartbeat(now, testHeartbeat("one", "r", "a", 1, true))
	table.heartbeat(now, testHeartbeat("two", "r", "b", 1, true))
	check := func(what, region, domain string, at time.Time, want ...string) {
		t.Helper()
		var got []string
		for _, a := range table.lookup(at, region, domain, lookupLimits{}) {
			got = append(got, a.String())
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	one, two := "10.0.0.1:80", "10.0.0.2:80"
	check("own failure domain", "r", "a", now, one)
	check("own region", "r", "none", now, one, two)
	check("region of the failure domain", "", "b", now, two)
	check("all", "q", "c", now, one, two)
	table.heartbeat(now, testHeartbeat("one", "r", "a", 2, false))
	check("not ready", "r", "a", now, two)
	table.heartbeat(now, testHeartbeat("one", "r", "a", 1, true))
	check("outdated heartbeat", "r", "a", now, two)
	later := now.Add(entryExpiry + time.Millisecond)
	check("expired", "r", "a", later)
	table.heartbeat(later, testHeartbeat("one", "r", "a", 3, true))
	check("heartbeat after expiry", "r", "b", later, one)
}

// TestEntryWithEarlierClock guards against a control VM that ignores an entry for as long as
// it runs, as its wall clock was set back before its last restart.
func TestEntryWithEarlierClock(t *testing.T) {
	now := time.Now()
	table := &entryTable{regions: map[string]string{"a": "r"}, log: zerolog.Nop()}
	first := testHeartbeat("one", "r", "a", 9, true)
	first.Entry.Incarnation = 5
	table.heartbeat(now, first)
	restarted := testHeartbeat("one", "r", "a", 1, true)
	restarted.Entry.Incarnation = 4
	if table.heartbeat(now.Add(time.Second), restarted) {
		t.Error("a delayed heartbeat of an earlier process was accepted")
	}
	later := now.Add(entryExpiry + time.Millisecond)
	if !table.heartbeat(later, restarted) || len(table.live(later)) != 1 {
		t.Error("the restarted entry is ignored")
	}
	if table.heartbeat(later, restarted) {
		t.Error("a repeated heartbeat was accepted")
	}
}

// TestUncommittedColdPhase guards against a server that turned cold while no leader answered
// and counts as warm afterwards, as the report that could not be committed is remembered.
func TestUncommittedColdPhase(t *testing.T) {
	address := netip.MustParseAddr("127.0.0.1")
	n := &Node{Address: address, Seeds: func() []netip.Addr { return []netip.Addr{address} }, DataDir: t.TempDir(), Log: zerolog.Nop()}
	n.Setup()
	in := briarferry.Instance{ID: "i-1", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:80"), FailureDomain: "a", Slots: 1, Started: 5, Sequence: 1}
	in.ColdRemaining = briarferry.Duration(30 * time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	// The replica doesn't run, so nothing is committed.
	if err := n.Report(ctx, in); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("report without a leader: %v, want ErrUnavailable", err)
	}
	if !n.cold.isNewPhase(time.Now(), in) {
		t.Error("the server's next report of the phase would be confirmed without a proposal")
	}
}

// TestReportFromTheFuture guards against a report that isn't a server's own and replaces the
// server at its address, as it claims a start time that no process has.
func TestReportFromTheFuture(t *testing.T) {
	nodes := startGroup(t)
	in := briarferry.Instance{ID: "i-1", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:80"), FailureDomain: "a", Slots: 1, Started: time.Now().UnixMilli(), Sequence: 1}
	if err := eventually(t, func(ctx context.Context) error { return nodes[0].Report(ctx, in) }); err != nil {
		t.Fatal(err)
	}
	odd := in
	odd.ID, odd.Started = "odd", math.MaxInt64
	if err := nodes[0].Report(t.Context(), odd); HTTPStatus(err) != http.StatusBadRequest {
		t.Errorf("report from the future: %v", err)
	}
	if err := nodes[0].catchUp(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, ok := nodes[0].machine.State().Server("i-1"); !ok {
		t.Error("the server was replaced")
	}
}

// TestNewColdPhase guards against missing that a server is cold again, and against taking
// repeated reports of the same cold phase for a new one.
func TestNewColdPhase(t *testing.T) {
	var tracker coldTracker
	now := time.Now()
	in := briarferry.Instance{ID: "i", ColdRemaining: briarferry.Duration(3 * time.Second)}
	steps := []struct {
		after time.Duration
		cold  time.Duration
		want  bool
	}{{0, 3 * time.Second, true}, {time.Second, 2 * time.Second, false}, {2 * time.Second, 1200 * time.Millisecond, false}, {4 * time.Second, 0, false}, {6 * time.Second, 3 * time.Second, true}}
	for _, s := range steps {
		in.ColdRemaining = briarferry.Duration(s.cold)
		got := tracker.isNewPhase(now.Add(s.after), in)
		if got != s.want {
			t.Errorf("cold for %v reported after %v: new phase %v", s.cold, s.after, got)
		}
		if got && !tracker.isNewPhase(now.Add(s.after), in) {
			t.Error("a phase that was not committed counts as known")
		}
		if got {
			tracker.record(now.Add(s.after), in)
		}
	}
}
