package bfwire

import (
	"fmt"
	"net/netip"
	"testing"

	"briarferry/internal/coordination/bfplan"
)

func planReport(services int) *PlanReport {
	r := &PlanReport{
		Entry: "frontend-fortaleza-b-17", Gossip: netip.MustParseAddrPort("10.3.64.38:9100"), Incarnation: 1764990000000000000, Sequence: 4000,
		RegionSet: 1 << 31, Region: 2, Term: 7, PlanSequence: 900, RTTMillis: []uint16{110, 110, 0},
	}
	for i := range services {
		r.Rows = append(r.Rows, bfplan.ReportRow{Service: fmt.Sprintf("jeye3a%d", i), Rate: 60, SlotMillis: 350, InForce: []uint16{400, 350, 250}, UsablePercent: 100})
	}
	return r
}

func planReply(services int) *PlanReply {
	r := &PlanReply{Leader: netip.MustParseAddrPort("10.3.64.38:9100"), Term: 7, Sequence: 900, RegionSet: 1 << 31, Parts: 1}
	for i := range services {
		r.Rows = append(r.Rows, bfplan.ReplyRow{Service: fmt.Sprintf("jeye3a%d", i), Shares: []uint16{400, 350, 250}, Forced: 800})
	}
	return r
}

// TestPlanMessageSizes guards against messages about the plan of regions that don't fit into a
// network packet, and against a cost at the leader that grows faster than the entries.
func TestPlanMessageSizes(t *testing.T) {
	size := func(m any) int {
		data, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	for _, services := range []int{3, 10, bfplan.MaxRows} {
		report, reply, short := size(planReport(services)), size(planReply(services)), size(&PlanReply{Leader: netip.MustParseAddrPort("10.3.64.38:9100"), Term: 7, Sequence: 900, RegionSet: 1 << 31})
		if report > 1400 || reply > 1400 {
			t.Errorf("%d services: a report has %d bytes and a reply %d, want at most 1,400", services, report, reply)
		}
		for _, entries := range []int{22, 109, 520} {
			t.Logf("%d services, %d entries: report %d, whole reply %d, short reply %d bytes; at the leader %d messages/s each way, %d B/s in, %d to %d B/s out",
				services, entries, report, reply, short, 2*entries, 2*entries*report, 2*entries*short, 2*entries*reply)
		}
	}
}

// TestPlanKinds guards against a change of the kinds' numbers, which would make releases
// misread each other.
func TestPlanKinds(t *testing.T) {
	for _, c := range []struct {
		message any
		kind    byte
	}{{planReport(1), 20}, {planReply(1), 21}} {
		data, err := Encode(c.message)
		if err != nil || data[0] != c.kind {
			t.Errorf("%T has kind %d, want %d: %v", c.message, data[0], c.kind, err)
		}
	}
}
