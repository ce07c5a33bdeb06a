package bfcontrol

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/coordination/bfplan"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bffleet"
	"briarferry/internal/transport/bfgossip"
	"briarferry/internal/transport/bfloopback"
)

var planDomains = map[string]string{"a": "r1", "b": "r1", "c": "r2"}

func planServer(id, domain string, slots int) bffleet.Server {
	return bffleet.Server{Instance: briarferry.Instance{ID: id, Service: "s", FailureDomain: domain, Slots: slots}}
}

// TestPlanSlots guards against requests that are planned for servers which drain, are
// evacuated, have lost their region, or are cold.
func TestPlanSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	state := &bffleet.State{Servers: []bffleet.Server{planServer("1", "a", 4), planServer("2", "b", 3), planServer("3", "c", 10)}}
	p := &planState{regions: regionNames(planDomains), domains: planDomains}
	check := func(name string, lost map[string]bool, r1, r2 float64) {
		t.Helper()
		if got := p.slots(now, state, lost)["s"]; got[0] != r1 || got[1] != r2 {
			t.Errorf("%s: %v slots, want %v and %v", name, got, r1, r2)
		}
	}
	check("all", nil, 7, 10)
	check("lost region", map[string]bool{"r2": true}, 7, 0)
	state.Evacuated = []string{"a"}
	check("evacuated", nil, 3, 10)
	state.Evacuated = nil
	state.Servers[1].Draining = true
	check("draining", nil, 4, 10)
	state.Servers[2].ColdRevision, state.Servers[2].ColdRemaining = 9, briarferry.Duration(3*time.Second)
	check("cold", nil, 4, 10*bfplan.ColdSlotShare)
	now = now.Add(2 * time.Second)
	check("still cold", nil, 4, 10*bfplan.ColdSlotShare)
	now = now.Add(2 * time.Second)
	check("warm again", nil, 4, 10)
}

// TestLeads guards against a leader that is cut off and goes on planning beside its successor,
// and against a single control VM that never plans.
func TestLeads(t *testing.T) {
	lease := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		status briarferry.ReplicaStatus
		want   bool
	}{
		"leader":          {briarferry.ReplicaStatus{IsLeader: true, LeaseUntil: lease, Voters: []string{"a", "b", "c"}}, true},
		"follower":        {briarferry.ReplicaStatus{Voters: []string{"a", "b", "c"}}, false},
		"cut off":         {briarferry.ReplicaStatus{IsLeader: true, Voters: []string{"a", "b", "c"}}, false},
		"single":          {briarferry.ReplicaStatus{IsLeader: true, Voters: []string{"a"}}, true},
		"single, no role": {briarferry.ReplicaStatus{Voters: []string{"a"}}, false},
	} {
		if got := leads(&c.status); got != c.want {
			t.Errorf("%s: leads %v, want %v", name, got, c.want)
		}
	}
}

// TestPlanNumbers guards against plans whose numbers start again in the same term, which
// entries would ignore, and against state of an earlier term in a later one.
func TestPlanNumbers(t *testing.T) {
	now := time.Unix(1000, 0)
	state := &bffleet.State{Servers: []bffleet.Server{planServer("1", "a", 4), planServer("2", "c", 10)}}
	p := &planState{regions: regionNames(planDomains), domains: planDomains, maxShift: 0.15, log: zerolog.Nop()}
	run := func(term uint64, length time.Duration) {
		for end := now.Add(length); now.Before(end); now = now.Add(bfplan.Interval) {
			p.step(now, term, state, nil)
		}
	}
	run(1, 5*time.Second)
	first := p.status()
	if first.Term != 1 || first.Sequence == 0 {
		t.Fatalf("no plan after 5 s: %+v", first)
	}
	// The lease had lapsed for a time.
	now = now.Add(3 * time.Second)
	run(1, time.Second)
	if got := p.status(); got.Term != 1 || got.Sequence < first.Sequence {
		t.Errorf("plan %d of term %d follows plan %d of term 1", got.Sequence, got.Term, first.Sequence)
	}
	run(2, 5*time.Second)
	if got := p.status(); got.Term != 2 || got.Sequence == 0 {
		t.Errorf("no plan of the second term: %+v", got)
	}
	p.stop()
	if got := p.status(); got.Term != 0 {
		t.Errorf("kept the plan of term %d after another VM became the leader", got.Term)
	}
}

// TestLostRegions guards against a region that counts as lost while one of its entries is live,
// or because it never had any.
func TestLostRegions(t *testing.T) {
	table := &entryTable{log: zerolog.Nop()}
	now := time.Unix(1000, 0)
	heartbeat := func(name, region string, sequence uint64) {
		table.heartbeat(now, &bfwire.EntryHeartbeat{Entry: bfwire.EntryInfo{Name: name, Region: region}, Sequence: sequence})
	}
	heartbeat("e1", "r1", 1)
	heartbeat("e2", "r1", 1)
	heartbeat("e3", "r2", 1)
	now = now.Add(entryExpiry + 1)
	heartbeat("e2", "r1", 2)
	if lost := table.lostRegions(now); lost["r1"] || !lost["r2"] || lost["r3"] {
		t.Errorf("lost regions: %v", lost)
	}
}

// planClient is an entry that sends heartbeats and reports to control VMs.
type planClient struct {
	network *bfgossip.UDPNetwork
	info    bfwire.EntryInfo
	nodes   []*testNode

	mu      sync.Mutex
	replies []bfwire.PlanReply
}

func (c *planClient) receive(data []byte) {
	m, err := bfwire.Decode(data)
	if r, ok := m.(*bfwire.PlanReply); ok && err == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.replies = append(c.replies, *r)
	}
}

// send sends a heartbeat and a report to each of the control VMs.
func (c *planClient) send(t *testing.T, sequence uint64) {
	t.Helper()
	for _, m := range []any{
		&bfwire.EntryHeartbeat{Entry: c.info, Ready: true, Sequence: sequence},
		&bfwire.PlanReport{
			Entry: c.info.Name, Gossip: c.info.Gossip, Incarnation: 1, Sequence: sequence, RegionSet: bfplan.RegionSet([]string{"r1", "r2"}),
			Rows: []bfplan.ReportRow{{Service: "s", Rate: 100, SlotMillis: 100, InForce: []uint16{700, 300}, UsablePercent: 100}},
		},
	} {
		data, err := bfwire.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		for _, n := range c.nodes {
			c.network.Send(n.Gossip, data)
		}
	}
}

// await reports until a reply satisfies the condition, for at most 10 s.
func (c *planClient) await(t *testing.T, sequence *uint64, what string, ok func(r *bfwire.PlanReply) bool) bfwire.PlanReply {
	t.Helper()
	for range 40 {
		*sequence++
		c.send(t, *sequence)
		time.Sleep(250 * time.Millisecond)
		c.mu.Lock()
		for i := range c.replies {
			if r := c.replies[i]; ok(&r) {
				c.replies = nil
				c.mu.Unlock()
				return r
			}
		}
		c.replies = nil
		c.mu.Unlock()
	}
	t.Fatalf("no reply with %s within 10 s", what)
	return bfwire.PlanReply{}
}

// TestPlanOfLeader guards against a leader that sends no plan, control VMs that don't name the
// leader, a new leader that starts from other shares than those in force, and answers to
// senders that are no entries.
func TestPlanOfLeader(t *testing.T) {
	nodes := startPlanGroup(t)
	free, err := bfloopback.FreeAddresses(1)
	if err != nil {
		t.Fatal(err)
	}
	c := &planClient{nodes: nodes, info: bfwire.EntryInfo{Name: "e1", Region: "r1", FailureDomain: "a", HTTP: free[0], RPC: free[0], Gossip: free[0], Incarnation: 1}}
	c.network = &bfgossip.UDPNetwork{Listen: free[0], Receive: c.receive, Log: zerolog.Nop()}
	stop, err := c.network.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	for i, domain := range []string{"a", "c"} {
		in := briarferry.Instance{ID: domain, Service: "s", Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(80+i)), FailureDomain: domain, Slots: 6, Started: 5, Sequence: 1}
		if err := eventually(t, func(ctx context.Context) error { return nodes[0].Report(ctx, in) }); err != nil {
			t.Fatal(err)
		}
	}
	sequence := uint64(0)
	hasPlan := func(r *bfwire.PlanReply) bool { return r.Term > 0 && len(r.Rows) > 0 }
	first := c.await(t, &sequence, "a plan", hasPlan)
	if len(first.Rows[0].Shares) != 2 || first.Rows[0].Service != "s" {
		t.Fatalf("the plan is %+v", first)
	}
	redirect := c.await(t, &sequence, "the leader's address", func(r *bfwire.PlanReply) bool { return r.Term == 0 && r.Leader.IsValid() })
	if redirect.Leader != first.Leader {
		t.Errorf("a control VM names %v as the leader, want %v", redirect.Leader, first.Leader)
	}
	for i, n := range nodes {
		if n.Gossip == first.Leader {
			n.stop()
			c.nodes = append(append([]*testNode(nil), nodes[:i]...), nodes[i+1:]...)
		}
	}
	next := c.await(t, &sequence, "a plan of a new leader", func(r *bfwire.PlanReply) bool { return r.Term > first.Term && len(r.Rows) > 0 })
	if got := next.Rows[0].Shares[0]; got < 650 || got > 750 {
		t.Errorf("the new leader starts with %d of 1000 in the own region, want the 700 in force", got)
	}
}

func startPlanGroup(t *testing.T) []*testNode {
	t.Helper()
	return startGroupWith(t, func(n *Node) { n.Regions, n.MaxShift = planDomains, 0.15 })
}
