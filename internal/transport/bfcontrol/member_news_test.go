package bfcontrol

import (
	"net/netip"
	"testing"
	"time"

	"briarferry/internal/protocol/bfwire"
)

// TestMemberNews guards against entries that don't learn new members, and against lists in
// every heartbeat.
func TestMemberNews(t *testing.T) {
	var n memberNews
	now := time.Now()
	first := []netip.Addr{netip.MustParseAddr("10.0.0.1")}
	if !n.due(now, 1, first) {
		t.Error("the first heartbeat of an entry lists no members")
	}
	now = now.Add(memberNewsTime)
	listed := 0
	for sequence := uint64(2); sequence < 2+10*bfwire.MemberListInterval; sequence++ {
		if n.due(now, sequence, first) {
			listed++
		}
	}
	if listed != 10 {
		t.Errorf("%d of %d heartbeats list unchanged members, want 10", listed, 10*bfwire.MemberListInterval)
	}
	changed := append(first, netip.MustParseAddr("10.0.0.2"))
	if !n.due(now, 4, changed) || !n.due(now.Add(memberNewsTime/2), 5, changed) {
		t.Error("heartbeats after a change don't list the members")
	}
}
