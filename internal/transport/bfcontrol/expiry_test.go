package bfcontrol

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bffleet"
)

// TestSilentServers guards against servers that stay registered for ever, and against a
// service that loses its servers since their reports don't arrive.
func TestSilentServers(t *testing.T) {
	cases := []struct {
		servers, silent, removed int
	}{{10, 0, 0}, {10, 1, 1}, {10, 2, 2}, {10, 3, 0}, {10, 10, 0}, {2, 1, 1}, {1, 1, 1}, {2, 2, 0}}
	for _, c := range cases {
		s, heard := &bffleet.State{}, map[string]bool{}
		for i := range c.servers {
			id := fmt.Sprint("i", i)
			s.Servers = append(s.Servers, bffleet.Server{Instance: briarferry.Instance{ID: id, Service: "s"}})
			heard[id] = i >= c.silent
		}
		if got := len(silentServers(s, heard)); got != c.removed {
			t.Errorf("%d of %d silent: %d removed, want %d", c.silent, c.servers, got, c.removed)
		}
	}
}

// TestAskAll guards against a sweep that never completes since many control VMs are far
// away, and against one that counts although one of them did not answer.
func TestAskAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ids := make([]string, 11)
		for i := range ids {
			ids[i] = fmt.Sprint("vm", i)
		}
		ask := func(ctx context.Context, id string) (*bfwire.FleetHeardReply, error) {
			select {
			case <-time.After(220 * time.Millisecond):
				return &bfwire.FleetHeardReply{Up: time.Hour, Servers: []string{"of-" + id}}, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		if heard, ok := askAll(t.Context(), ids, time.Minute, ask); !ok || len(heard) != len(ids) {
			t.Errorf("%d servers heard, complete: %v", len(heard), ok)
		}
		silent := func(ctx context.Context, id string) (*bfwire.FleetHeardReply, error) {
			if id == "vm3" {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return ask(ctx, id)
		}
		if _, ok := askAll(t.Context(), ids, time.Minute, silent); ok {
			t.Error("complete without the answer of a control VM")
		}
	})
}

// TestSweep guards against a server that is removed although it reports to another control
// VM than the leader, or while a control VM that may hear it doesn't answer.
func TestSweep(t *testing.T) {
	nodes := startGroup(t)
	for i, n := range nodes[:2] {
		in := briarferry.Instance{ID: fmt.Sprint("i-", i), Service: "s", Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 81+i)), FailureDomain: "a", Slots: 1, Started: 5, Sequence: 1}
		if err := eventually(t, func(ctx context.Context) error { return n.Report(ctx, in) }); err != nil {
			t.Fatal(err)
		}
	}
	leader := slices.IndexFunc(nodes, func(n *testNode) bool { return n.replica.Status().IsLeader })
	if leader < 0 {
		t.Fatal("no leader")
	}
	registered := func() int { return len(nodes[leader].machine.State().Servers) }
	ctx := context.Background()
	nodes[leader].sweep(ctx, time.Hour)
	if registered() != 2 {
		t.Fatal("removed before the control VMs had run for long enough")
	}
	const after = 300 * time.Millisecond
	for _, n := range nodes {
		n.reports.hear(time.Now(), "other")
	}
	time.Sleep(2 * after)
	nodes[1].reports.hear(time.Now(), "i-1")
	nodes[leader].sweep(ctx, after)
	if _, ok := nodes[leader].machine.State().Server("i-1"); !ok || registered() != 1 {
		t.Errorf("%d registered, the one that reports among them: %v", registered(), ok)
	}
	other := nodes[(leader+1)%len(nodes)]
	other.stop()
	err := <-other.ended
	other.ended <- err
	time.Sleep(2 * after)
	nodes[leader].sweep(ctx, after)
	if registered() != 1 {
		t.Error("removed while a control VM did not answer")
	}
}
