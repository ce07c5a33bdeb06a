package bfcontrol

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/protocol/bfwire"
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

// newHomesGroup starts a group of control VMs whose table has homes. It returns them and the
// leader, which has confirmed the table.
func newHomesGroup(t *testing.T) (nodes []*testNode, leader *testNode) {
	t.Helper()
	nodes = startGroup(t)
	table := testTable(1)
	table.Routes = []briarferry.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: briarferry.Duration(time.Second), MaxAttempts: 1, HomeRegions: []string{"r"}, Split: []briarferry.SplitPart{{Service: "s", Weight: 1}}}}
	if err := eventually(t, func(ctx context.Context) error { return nodes[0].PutRoutes(ctx, 0, table, []byte("one")) }); err != nil {
		t.Fatal(err)
	}
	if !confirmedAfter(nodes, 1, bfclock.SinceBoot(), 60) {
		t.Fatal("no VM confirmed the route table")
	}
	for _, n := range nodes {
		if n.replica.Status().IsLeader {
			return nodes, n
		}
	}
	t.Fatal("no leader")
	return nil, nil
}

// TestUnansweredConfirmation guards against a confirmation that counts although no majority has
// answered the leader's question, also at a VM that was the leader until then.
func TestUnansweredConfirmation(t *testing.T) {
	nodes, leader := newHomesGroup(t)
	for _, n := range nodes {
		if n != leader {
			n.stop()
			err := <-n.ended
			n.ended <- err
		}
	}
	asked := bfclock.SinceBoot()
	leader.confirmTable(t.Context())
	if c, ok := leader.confirmer.confirmation(bfclock.SinceBoot(), 1); ok && bfclock.SinceBoot()-c.Age > asked {
		t.Error("a question without an answer confirmed the route table")
	}
}

// TestConfirmationCountsFromBeforeQuestion guards against a confirmation that counts from the
// answer of the majority, as a newer table may be accepted after that majority's reply.
func TestConfirmationCountsFromBeforeQuestion(t *testing.T) {
	_, leader := newHomesGroup(t)
	for range 20 {
		asked := bfclock.SinceBoot()
		leader.confirmTable(t.Context())
		answered := bfclock.SinceBoot()
		c, _ := leader.confirmer.confirmation(answered, 1)
		if at := answered - c.Age; at > asked && at-asked < answered-at {
			return
		}
	}
	t.Error("no confirmation of 20 counts from before the question")
}

// TestConfirmationAnswersHeartbeat guards against an entry that gets no confirmation with the
// answers to its heartbeats, or one that names another heartbeat, and against replies that don't
// say that tables are confirmed.
func TestConfirmationAnswersHeartbeat(t *testing.T) {
	_, leader := newHomesGroup(t)
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	h := entryHeartbeat(1, 1, 7)
	h.Entry.Gossip = netip.MustParseAddrPort(conn.LocalAddr().String())
	data, err := bfwire.Encode(h)
	if err != nil {
		t.Fatal(err)
	}
	leader.receive(data)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if err != nil {
			t.Fatalf("no confirmation: %v", err)
		}
		m, err := bfwire.Decode(buffer[:n])
		if err != nil {
			t.Fatal(err)
		}
		if c, ok := m.(*bfwire.TableConfirmation); ok {
			if c.EchoSequence != 7 || c.Version != 1 {
				t.Errorf("confirmation of version %d for heartbeat %d, want 1 and 7", c.Version, c.EchoSequence)
			}
			break
		}
	}
	reply, err := leader.Query(t.Context(), &bfwire.FleetQuery{})
	if err != nil || !reply.ConfirmsTables {
		t.Errorf("the reply to a query doesn't announce confirmations: %+v, %v", reply, err)
	}
}

// TestConfirmationsWithoutLink guards against entries that refuse requests with home regions while
// the control VM that leads doesn't confirm tables to them: the link to it is cut, or its version
// is an earlier one.
func TestConfirmationsWithoutLink(t *testing.T) {
	nodes, leader := newHomesGroup(t)
	for _, n := range nodes {
		if n != leader && !confirmedAfter([]*testNode{n}, 1, bfclock.SinceBoot(), 30) {
			t.Errorf("%s, which doesn't lead, confirms nothing", n.Address)
		}
	}
}
