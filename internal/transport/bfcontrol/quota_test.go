package bfcontrol

import (
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"briarferry"
	"briarferry/internal/coordination/bfquota"
)

// TestQuotaOwnership guards against grants of a VM that isn't the leader, has no quorum lease or was
// suspended, and against replies that don't name the owner.
func TestQuotaOwnership(t *testing.T) {
	address, other := netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")
	var suspended time.Duration
	started := time.Now()
	status := briarferry.ReplicaStatus{Leader: other.String() + "/disk"}
	table := &briarferry.RouteTable{Organisations: []briarferry.Organisation{{Name: "o", Quota: briarferry.Quota{Rate: 10, Burst: 10}}}}
	q := &quotaOwner{
		address: address, log: zerolog.Nop(), lines: rate.NewLimiter(1, 1),
		clock:  func() time.Duration { return time.Since(started) + suspended + time.Hour },
		status: func() briarferry.ReplicaStatus { return status },
		routes: func() *briarferry.RouteTable { return table },
	}
	sequence := uint64(0)
	ask := func() bfquota.Grant {
		sequence++
		return q.handle(&bfquota.Report{
			Entry: "e", Incarnation: 1, Sequence: sequence, Term: 3, ReplyTo: netip.AddrPortFrom(address, 1),
			Items: []bfquota.Demand{{Key: bfquota.Key("o"), Born: 1, Waiting: 1}},
		})
	}
	if g := ask(); g.Term != 0 || len(g.Items) > 0 || g.Owner != other {
		t.Errorf("not the leader: %+v", g)
	}
	status = briarferry.ReplicaStatus{Leader: address.String() + "/disk", IsLeader: true, Term: 3, LeaderSince: started.Add(-time.Minute), LeaseUntil: time.Now().Add(time.Minute)}
	if g := ask(); g.Term != 3 || g.Owner != address || len(g.Items) != 1 || g.Items[0].Tokens != 1 {
		t.Errorf("owner: %+v", g)
	}
	suspended = time.Second
	if g := ask(); g.Term != 0 || len(g.Items) > 0 {
		t.Errorf("after a suspension: %+v", g)
	}
	q.distrustUntil = time.Time{}
	if g := ask(); len(g.Items) != 1 {
		t.Errorf("once the quorum lease is newer than the suspension: %+v", g)
	}
	status.LeaseUntil = time.Time{}
	if g := ask(); g.Term != 0 || len(g.Items) > 0 || g.Owner.IsValid() {
		t.Errorf("without a quorum lease: %+v", g)
	}
	status = briarferry.ReplicaStatus{Leader: other.String() + "/disk", Term: 4}
	if g := ask(); g.Owner != other || q.owner.Term() != 0 {
		t.Errorf("after another was elected: %+v, term %d", g, q.owner.Term())
	}
}
