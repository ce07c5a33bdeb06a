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

// TestExpiredServers guards against keeping dead servers registered forever, and against
// removing a service's servers because a network failure stops their reports.
func TestExpiredServers(t *testing.T) {
	cases := []struct {
		servers, silent, removed int
	}{{10, 0, 0}, {10, 1, 1}, {10, 2, 2}, {10, 3, 0}, {10, 10, 0}, {2, 1, 1}, {1, 1, 1}, {2, 2, 0}}
	for _, c := range cases {
		s, reported := &bffleet.State{}, map[string]bool{}
		for i := range c.servers {
			id := fmt.Sprint("i", i)
			s.Servers = append(s.Servers, bffleet.Server{Instance: briarferry.Instance{ID: id, Service: "s"}})
			reported[id] = i >= c.silent
		}
		if got := len(expiredServers(s, reported)); got != c.removed {
			t.Errorf("%d of %d silent: %d removed, want %d", c.silent, c.servers, got, c.removed)
		}
	}
}

// TestQueryReports guards against a query of many distant control VMs that exceeds its time
// limit, and against one that succeeds although one of them did not answer.
func TestQueryReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ids := make([]string, 11)
		for i := range ids {
			ids[i] = fmt.Sprint("vm", i)
		}
		query := func(ctx context.Context, id string) (*bfwire.RecentReportsReply, error) {
			select {
			case <-time.After(220 * time.Millisecond):
				return &bfwire.RecentReportsReply{Uptime: time.Hour, InstanceIDs: []string{"of-" + id}}, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		if reported, ok := queryReports(t.Context(), ids, time.Minute, query); !ok || len(reported) != len(ids) {
			t.Errorf("reports of %d servers, complete: %v", len(reported), ok)
		}
		silent := func(ctx context.Context, id string) (*bfwire.RecentReportsReply, error) {
			if id == "vm3" {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return query(ctx, id)
		}
		if _, ok := queryReports(t.Context(), ids, time.Minute, silent); ok {
			t.Error("complete without the answer of a control VM")
		}
	})
}

// TestRemoveExpired guards against removing a server that reports to another control VM than
// the leader, or that may report to one that doesn't answer, and against removing servers
// before the control VMs have run long enough to receive their reports.
func TestRemoveExpired(t *testing.T) {
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
	nodes[leader].removeExpired(ctx, time.Hour)
	if registered() != 2 {
		t.Fatal("a server was removed before the control VMs had run for long enough")
	}
	const after = 300 * time.Millisecond
	for _, n := range nodes {
		n.reports.record(time.Now(), "other")
	}
	time.Sleep(2 * after)
	nodes[1].reports.record(time.Now(), "i-1")
	nodes[leader].removeExpired(ctx, after)
	if _, ok := nodes[leader].machine.State().Server("i-1"); !ok || registered() != 1 {
		t.Errorf("%d servers registered, the reporting one among them: %v; want 1, true", registered(), ok)
	}
	other := nodes[(leader+1)%len(nodes)]
	other.stop()
	err := <-other.ended
	other.ended <- err
	time.Sleep(2 * after)
	nodes[leader].removeExpired(ctx, after)
	if registered() != 1 {
		t.Error("a server was removed while a control VM did not answer")
	}
}
