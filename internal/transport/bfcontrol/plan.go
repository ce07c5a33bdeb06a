package bfcontrol

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/coordination/bfplan"
	"briarferry/internal/coordination/bfreplica"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bffleet"
)

// maxLoggedRows limits the rows of a plan in one log line.
const maxLoggedRows = 8

type (
	// planState plans the regions in which requests run while this VM leads the control
	// group.
	planState struct {
		regions []string
		// domains maps each failure domain to its region.
		domains  map[string]string
		maxShift float64
		log      zerolog.Logger

		mu        sync.Mutex
		collector *bfplan.Collector
		planner   *bfplan.Planner
		plan      *bfplan.Plan
		// coldUntil holds the ends of the cold phases of servers that turned cold while this VM
		// planned.
		coldUntil map[string]coldPhase
	}

	coldPhase struct {
		revision uint64
		until    time.Time
	}

	// planStatus describes the plan in the metrics.
	planStatus struct {
		Term     uint64                 `json:"term"`
		Sequence uint64                 `json:"sequence"`
		Regions  []string               `json:"regions"`
		Shares   map[string][][]float64 `json:"shares"`
	}
)

// enabled reports whether requests are planned at all.
func (p *planState) enabled() bool {
	return p.maxShift > 0 && len(p.regions) > 1 && len(p.regions) <= bfplan.MaxRegions
}

// regionNames returns the names of all regions, sorted.
func regionNames(regions map[string]string) []string {
	return slices.Compact(slices.Sorted(maps.Values(regions)))
}

// planLoop updates the plan while this VM is the leader.
func (n *Node) planLoop(ctx context.Context) {
	if !n.plan.enabled() {
		return
	}
	ticker := time.NewTicker(bfplan.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		s := n.replica.Status()
		switch {
		case !s.IsLeader:
			n.plan.stop()
		case leads(&s):
			n.plan.step(now, s.Term, n.machine.State(), n.entries.lostRegions(now))
		}
	}
}

// leads reports whether the replica is the leader and no other one can be. A replica without
// others needs no lease. A leader whose lease has lapsed keeps its plan: it may get another
// lease in the same term, in which the plans' numbers must go on.
func leads(s *briarferry.ReplicaStatus) bool {
	return s.IsLeader && (!s.LeaseUntil.IsZero() || len(s.Voters) == 1)
}

// stop drops what this VM knows as the leader.
func (p *planState) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.planner != nil {
		p.log.Info().Uint64("term", p.planner.Term).Msg("planning of regions ended")
	}
	p.collector, p.planner, p.plan, p.coldUntil = nil, nil, nil, nil
}

// step computes the next plan. Servers in the lost regions don't count.
func (p *planState) step(now time.Time, term uint64, state *bffleet.State, lost map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.planner == nil || p.planner.Term != term {
		p.planner = &bfplan.Planner{Term: term, Regions: p.regions, MaxShift: p.maxShift}
		p.collector, p.plan, p.coldUntil = &bfplan.Collector{Regions: p.regions}, nil, nil
		p.log.Info().Uint64("term", term).Strs("regions", p.regions).Msg("planning of regions started")
	}
	plan, changed := p.planner.Step(now, p.collector.Observe(now, p.slots(now, state, lost)))
	if plan == nil {
		return
	}
	if changed || p.plan == nil {
		p.logChanges(plan)
	}
	p.plan = plan
}

// logChanges logs the rows of a plan that have changed, the largest changes first.
func (p *planState) logChanges(plan *bfplan.Plan) {
	changes := plan.Changes(p.plan)
	if len(changes) == 0 {
		return
	}
	rows, forced := zerolog.Arr(), false
	for i, c := range changes {
		forced = forced || c.Forced
		if i < maxLoggedRows {
			rows = rows.Dict(zerolog.Dict().Str("service", c.Service).Str("from", p.regions[c.Region]).Floats64("shares", c.Shares).Float64("moved", c.Moved).Bool("forced", c.Forced))
		}
	}
	p.log.Info().Uint64("term", plan.Term).Uint64("sequence", plan.Sequence).Int("changed", len(changes)).Bool("forced", forced).Array("rows", rows).Msg("plan of regions changed")
}

// slots returns the usable slots of each service by region.
func (p *planState) slots(now time.Time, state *bffleet.State, lost map[string]bool) map[string][]float64 {
	out := map[string][]float64{}
	first := p.coldUntil == nil
	phases := make(map[string]coldPhase, len(state.Servers))
	for i := range state.Servers {
		srv := &state.Servers[i]
		list := out[srv.Service]
		if list == nil {
			list = make([]float64, len(p.regions))
			out[srv.Service] = list
		}
		phase, known := p.coldUntil[srv.ID]
		switch {
		case first:
			// How long ago these servers turned cold is unknown; most are warm.
			phase = coldPhase{revision: srv.ColdRevision}
		case !known || phase.revision != srv.ColdRevision:
			phase = coldPhase{revision: srv.ColdRevision, until: now.Add(srv.ColdRemaining.Std())}
		}
		phases[srv.ID] = phase
		region := slices.Index(p.regions, p.domains[srv.FailureDomain])
		if region < 0 || srv.Draining || slices.Contains(state.Evacuated, srv.FailureDomain) || lost[p.regions[region]] {
			continue
		}
		slots := float64(srv.Slots)
		if now.Before(phase.until) {
			slots *= bfplan.ColdSlotShare
		}
		list[region] += slots
	}
	p.coldUntil = phases
	return out
}

// receivePlanReport answers an entry's report: with the plan, or with the leader's address.
func (n *Node) receivePlanReport(now time.Time, r *bfwire.PlanReport) {
	if !n.plan.enabled() || !n.entries.isAt(now, r.Entry, r.Gossip) {
		counters.planReportsIgnored.Add(1)
		return
	}
	counters.planReports.Add(1)
	s := n.replica.Status()
	replies := []bfwire.PlanReply{{Leader: n.gossipOf(s.Leader)}}
	if leads(&s) {
		replies = n.plan.answer(now, r, replies[0])
	}
	for i := range replies {
		data, err := bfwire.Encode(&replies[i])
		if err != nil {
			n.Log.Error().Err(err).Msg("encoding plan failed")
			return
		}
		n.gossip.Send(r.Gossip, data)
	}
}

// answer records a report and returns the replies to it.
func (p *planState) answer(now time.Time, r *bfwire.PlanReport, head bfwire.PlanReply) []bfwire.PlanReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.collector == nil || !p.collector.Add(now, r) || p.plan == nil {
		return []bfwire.PlanReply{head}
	}
	replies := p.plan.Replies(r, bfplan.RegionSet(p.regions))
	for i := range replies {
		replies[i].Leader = head.Leader
	}
	return replies
}

// gossipOf returns the address at which a replica receives reports, or an invalid one if its ID
// is empty.
func (n *Node) gossipOf(id string) netip.AddrPort {
	a, ok := n.resolve(bfreplica.VMOf(id))
	if !ok {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(a.Addr(), n.Gossip.Port())
}

// status returns the plan for the metrics.
func (p *planState) status() planStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := planStatus{Regions: p.regions, Shares: map[string][][]float64{}}
	if p.plan == nil {
		return out
	}
	out.Term, out.Sequence = p.plan.Term, p.plan.Sequence
	for name, rows := range p.plan.Services {
		for _, row := range rows {
			out.Shares[name] = append(out.Shares[name], row.Shares)
		}
	}
	return out
}
