package bfcontrol

import (
	"context"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/transport/bfclock"
)

// confirmedAfter waits until a VM has confirmed the version after the given time, for at most the
// given number of confirmations.
func confirmedAfter(nodes []*testNode, version uint64, at time.Duration, confirmations int) bool {
	for range confirmations {
		for _, n := range nodes {
			if c, ok := n.confirmer.confirmation(bfclock.SinceBoot(), 1); ok && c.Version == version && bfclock.SinceBoot()-c.Age > at {
				return true
			}
		}
		time.Sleep(confirmInterval)
	}
	return false
}

// TestLeaderWithoutMajority guards against a leader that is cut off from the other control VMs and
// goes on confirming its route table as the newest, and against none that confirms it.
func TestLeaderWithoutMajority(t *testing.T) {
	nodes := startGroup(t)
	table := testTable(1)
	table.Routes = []briarferry.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: briarferry.Duration(time.Second), MaxAttempts: 1, HomeRegions: []string{"r"}, Split: []briarferry.SplitPart{{Service: "s", Weight: 1}}}}
	if err := eventually(t, func(ctx context.Context) error { return nodes[0].PutRoutes(ctx, 0, table, []byte("one")) }); err != nil {
		t.Fatal(err)
	}
	if !confirmedAfter(nodes, 1, bfclock.SinceBoot(), 60) {
		t.Fatal("no VM confirmed the route table")
	}
	var leader *testNode
	for _, n := range nodes {
		if n.replica.Status().IsLeader {
			leader = n
		}
	}
	if leader == nil {
		t.Fatal("no leader")
	}
	for _, n := range nodes {
		if n != leader {
			n.stop()
			err := <-n.ended
			n.ended <- err
		}
	}
	if confirmedAfter([]*testNode{leader}, 1, bfclock.SinceBoot(), 10) {
		t.Error("a leader without a majority confirmed its route table")
	}
}

// TestTableWithoutHomes guards against confirmations where no table needs them.
func TestTableWithoutHomes(t *testing.T) {
	nodes := startGroup(t)
	if err := eventually(t, func(ctx context.Context) error { return nodes[0].PutRoutes(ctx, 0, testTable(1), []byte("one")) }); err != nil {
		t.Fatal(err)
	}
	if confirmedAfter(nodes, 1, 0, 5) {
		t.Error("a table without home regions was confirmed")
	}
}
