package bfgateway

import (
	"net/netip"
	"testing"
	"time"

	"briarferry/internal/coordination/bfsteering"
	"briarferry/internal/protocol/bfwire"
)

// TestPlanTarget guards against an entry that keeps reporting to a control VM that sends no
// plan, and against one that ignores the named leader.
func TestPlanTarget(t *testing.T) {
	controls := []netip.Addr{netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2"), netip.MustParseAddr("127.0.0.3")}
	n := &Node{fleet: &fleetSync{seeds: func() []netip.Addr { return controls }, controlPort: 9}, steering: &bfsteering.Steering{}}
	p := &planSync{node: n}
	leader := netip.MustParseAddrPort("127.0.0.2:9")
	asked := map[netip.AddrPort]bool{}
	for range len(controls) {
		to, _, ok := p.target()
		if !ok {
			t.Fatal("no control VM to ask")
		}
		asked[to] = true
	}
	if len(asked) != len(controls) {
		t.Errorf("%d of %d control VMs were asked for the leader", len(asked), len(controls))
	}
	p.receive(time.Now(), &bfwire.PlanReply{Leader: leader})
	for range 10 {
		if to, _, _ := p.target(); to != leader {
			t.Fatalf("reported to %v, want the leader", to)
		}
		p.receive(time.Now(), &bfwire.PlanReply{Leader: leader, Term: 1})
	}
	asked = map[netip.AddrPort]bool{}
	for range maxUnansweredReports + len(controls) {
		to, _, _ := p.target()
		asked[to] = true
	}
	if len(asked) != len(controls) {
		t.Errorf("%d control VMs were asked after the leader stopped to answer, want %d", len(asked), len(controls))
	}
}
