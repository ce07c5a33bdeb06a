package bfsteering

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"briarferry/internal/coordination/bfplan"
)

// minReportedRate is the rate of requests per second from which on a service is reported.
const minReportedRate = 1.0 / bfplan.RateScale

// PlanReports returns the entry's reports to the leader, without their sender and sequence. It
// has to be called once in each bfplan.Interval. There is none where requests aren't planned.
func (s *Steering) PlanReports(now time.Time) []bfplan.Report {
	usable := s.usablePercents(now)
	p := &s.plan
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.enabled() {
		return nil
	}
	rows := p.reportRows(now, usable)
	head := bfplan.Report{RegionSet: bfplan.RegionSet(p.regions), Region: uint8(p.own)}
	if p.whole {
		head.Term, head.PlanSequence = p.term, p.sequence
	}
	for _, region := range p.regions {
		head.RTTMillis = append(head.RTTMillis, uint16(min(math.MaxUint16, s.rtts.measured(region, s.Region).Milliseconds())))
	}
	reports := []bfplan.Report{}
	for first := true; first || len(rows) > 0; first = false {
		n := min(len(rows), bfplan.MaxRows)
		report := head
		report.Rows, rows = rows[:n], rows[n:]
		reports = append(reports, report)
	}
	return reports
}

// usablePercents returns, for each service, the part of its slots in this entry's region that
// the entry can use.
func (s *Steering) usablePercents(now time.Time) map[string]uint8 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := map[string]uint8{}
	for name, v := range s.services {
		v.mu.Lock()
		out[name] = v.usablePercent(now, s.Region)
		v.mu.Unlock()
	}
	return out
}

// reportRows averages the counts since the last report and returns a row for each service in
// use, those with the most requests first.
func (p *regionPlan) reportRows(now time.Time, usable map[string]uint8) []bfplan.ReportRow {
	elapsed := now.Sub(p.reportedAt)
	if p.reportedAt.IsZero() || elapsed <= 0 {
		elapsed = bfplan.Interval
	}
	p.reportedAt = now
	var rows []bfplan.ReportRow
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		t := p.services[name]
		t.average(elapsed)
		percent, registered := usable[name]
		if !registered {
			delete(p.services, name)
			continue
		}
		row := bfplan.ReportRow{
			Service: name, Rate: scaledRate(t.rate), SlotMillis: uint32(min(math.MaxUint32, t.slotTime.value.Milliseconds())), UsablePercent: percent,
		}
		fixed := 0.0
		for _, rate := range t.fixedRates {
			fixed += rate
		}
		if fixed >= minReportedRate {
			for _, rate := range t.fixedRates {
				row.Fixed = append(row.Fixed, scaledRate(rate))
			}
		}
		if shares := t.inForce(); shares != nil {
			row.InForce = bfplan.EncodeShares(shares)
		}
		if t.rate+fixed >= minReportedRate {
			rows = append(rows, row)
		}
	}
	slices.SortStableFunc(rows, func(a, b bfplan.ReportRow) int { return cmp.Compare(b.Rate, a.Rate) })
	return rows[:min(len(rows), bfplan.MaxServices)]
}

func scaledRate(rate float64) uint32 {
	return uint32(min(math.MaxUint32, max(0, rate)*bfplan.RateScale+0.5))
}

// ApplyPlan takes over a plan, or one of its parts. It ignores plans that are older than the
// one the entry has, unless that one has expired: the terms of a control group start again
// after the loss of all its disks.
func (s *Steering) ApplyPlan(now time.Time, r *bfplan.Reply) {
	p := &s.plan
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Term == 0 || !p.enabled() || r.RegionSet != bfplan.RegionSet(p.regions) {
		return
	}
	expired := now.Sub(p.heardAt) > bfplan.PlanLifetime
	switch c := cmp.Or(cmp.Compare(r.Term, p.term), cmp.Compare(r.Sequence, p.sequence)); {
	case c < 0 && !expired:
		return
	case c != 0:
		p.term, p.sequence, p.whole = r.Term, r.Sequence, false
		clear(p.received)
	}
	p.heardAt = now
	if r.Parts == 0 {
		return
	}
	p.received[r.Part] = true
	for _, row := range r.Rows {
		if shares := bfplan.DecodeShares(row.Shares); len(shares) == len(p.regions) {
			p.rows[row.Service] = plannedRow{shares: shares, term: r.Term, sequence: r.Sequence, forced: row.Forced}
		}
	}
	p.whole = len(p.received) >= int(r.Parts)
	if p.whole {
		maps.DeleteFunc(p.rows, func(_ string, row plannedRow) bool { return row.term != p.term || row.sequence != p.sequence })
	}
}

// PlanStatus describes the plan that the entry has.
type PlanStatus struct {
	Follows        bool                 `json:"follows"`
	Term           uint64               `json:"term"`
	Sequence       uint64               `json:"sequence"`
	AgeMillis      int64                `json:"age_ms"`
	Shares         map[string][]float64 `json:"shares"`
	Regions        []string             `json:"regions"`
	Followed       int64                `json:"followed"`
	Remote         int64                `json:"remote"`
	NoServerInTime int64                `json:"no_server_in_time"`
	NoUsableServer int64                `json:"no_usable_server"`
	Refused        int64                `json:"refused"`
}

// PlanStatus returns the state of the plan for operators.
func (s *Steering) PlanStatus(now time.Time) PlanStatus {
	c := &s.PlanCounts
	out := PlanStatus{
		Followed: c.Followed.Load(), Remote: c.Remote.Load(), NoServerInTime: c.NoServerInTime.Load(),
		NoUsableServer: c.NoUsableServer.Load(), Refused: c.Refused.Load(), Shares: map[string][]float64{},
	}
	p := &s.plan
	p.mu.Lock()
	defer p.mu.Unlock()
	out.Follows, out.Term, out.Sequence, out.Regions = p.demand.follows, p.term, p.sequence, p.regions
	if !p.heardAt.IsZero() {
		out.AgeMillis = now.Sub(p.heardAt).Milliseconds()
	}
	for name, t := range p.services {
		if len(out.Shares) < bfplan.MaxServices && t.follower.Shares != nil {
			out.Shares[name] = slices.Clone(t.follower.Shares)
		}
	}
	return out
}
