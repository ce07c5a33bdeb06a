package bfgateway

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"briarferry/internal/coordination/bfplan"
	"briarferry/internal/protocol/bfwire"
)

// maxUnansweredReports is the number of reports without a plan after which another control VM
// gets the next one.
const maxUnansweredReports = 2

// planSync reports the entry's demand to the leader of the control group and takes over its
// plan.
type planSync struct {
	node *Node

	mu sync.Mutex
	// leader is the address that gets the reports; an invalid one means that it is unknown.
	leader     netip.AddrPort
	unanswered int
	// next selects the control VM that is asked while the leader is unknown.
	next     int
	sequence uint64
}

// run sends reports until the context ends.
func (p *planSync) run(ctx context.Context) {
	ticker := time.NewTicker(bfplan.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.report(time.Now())
	}
}

// report sends the reports about the entry's demand.
func (p *planSync) report(now time.Time) {
	reports := p.node.steering.PlanReports(now)
	if len(reports) == 0 {
		return
	}
	to, sequence, ok := p.target()
	if !ok {
		return
	}
	vm := p.node.VM
	for i := range reports {
		r := &reports[i]
		r.Entry, r.Gossip, r.Incarnation, r.Sequence = vm.Name, vm.Gossip, vm.Incarnation, sequence
		data, err := bfwire.Encode(r)
		if err != nil {
			p.node.Log.Error().Err(err).Msg("encoding demand report failed")
			return
		}
		counters.planReports.Add(1)
		p.node.fleet.gossip.Send(to, data)
	}
}

// target returns the address that gets the next reports, and their sequence. A leader that
// doesn't answer is forgotten, and other control VMs are asked in turn.
func (p *planSync) target() (netip.AddrPort, uint64, bool) {
	controls := p.node.fleet.controlGossip()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	p.unanswered++
	if p.leader.IsValid() && p.unanswered <= maxUnansweredReports {
		return p.leader, p.sequence, true
	}
	p.leader = netip.AddrPort{}
	if len(controls) == 0 {
		return netip.AddrPort{}, 0, false
	}
	p.next++
	return controls[p.next%len(controls)], p.sequence, true
}

// receive takes over a reply.
func (p *planSync) receive(now time.Time, r *bfwire.PlanReply) {
	p.mu.Lock()
	if r.Term > 0 {
		p.unanswered = 0
	}
	if r.Leader.IsValid() && r.Leader != p.leader {
		p.leader, p.unanswered = r.Leader, 0
	}
	p.mu.Unlock()
	p.node.steering.ApplyPlan(now, r)
}

// controlGossip returns the addresses at which the known control VMs receive datagrams.
func (f *fleetSync) controlGossip() []netip.AddrPort {
	f.mu.Lock()
	addrs := slices.Concat(f.seeds(), f.controlAddrs)
	f.mu.Unlock()
	slices.SortFunc(addrs, netip.Addr.Compare)
	var out []netip.AddrPort
	for _, a := range slices.Compact(addrs) {
		out = append(out, netip.AddrPortFrom(a, f.controlPort))
	}
	return out
}
