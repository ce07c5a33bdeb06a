package bfsteering

import (
	"slices"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bfplan"
	"briarferry/internal/state/bffleet"
)

// plannedEntry returns an entry of the second region that follows a plan which sends the given
// part of its requests to the first region.
func plannedEntry(first float64) (*planSim, *Steering) {
	s := newPlanSim(1, []int{12, 12, 12}, 36, true, func(int, time.Duration) float64 { return 0 })
	e := s.entries[1]
	e.ApplyPlan(s.now, planReply(1, 1, first, 0))
	return s, e
}

func planReply(term, sequence uint64, first float64, forced uint64) *bfplan.Reply {
	return &bfplan.Reply{
		Term: term, Sequence: sequence, RegionSet: bfplan.RegionSet([]string{"r1", "r2", "r3"}), Parts: 1,
		Rows: []bfplan.ReplyRow{{Service: "prices", Shares: bfplan.EncodeShares([]float64{first, 1 - first, 0}), Forced: forced}},
	}
}

// sendAll sends requests for the given time at 6 a second, and returns the part of them that
// ran in the first region and the reasons for it.
func sendAll(t *testing.T, s *planSim, e *Steering, length time.Duration, each func()) (float64, map[LeaveReason]int) {
	t.Helper()
	first, all, reasons := 0.0, 0.0, map[LeaveReason]int{}
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(time.Second / 6) {
		if each != nil {
			each()
		}
		r := request(string(rune('a' + s.rng.IntN(26))))
		try, err := e.Choose(s.now, r)
		if err != nil {
			continue
		}
		all++
		first += indicator(try.Backend.Region == "r1")
		reasons[try.LeaveReason]++
		try.Done(s.now.Add(100*time.Millisecond), Report{Outcome: Answered})
	}
	return first / all, reasons
}

// TestFollowsPlan guards against an entry of few requests that ignores the plan, and against
// requests that leave their region without a reason.
func TestFollowsPlan(t *testing.T) {
	s, e := plannedEntry(0.5)
	share, reasons := sendAll(t, s, e, 4*time.Second, nil)
	if share < 0.35 || share > 0.65 || reasons[LeftPlanned] == 0 || reasons[LeftOwnChoice] > 0 {
		t.Errorf("%.2f of the requests ran in the planned region, want 0.5: %v", share, reasons)
	}
}

// TestEntryCutOff guards against an entry that drops its plan at once when it hears of no
// plan, and against one that follows it forever.
func TestEntryCutOff(t *testing.T) {
	s, e := plannedEntry(0.5)
	share, _ := sendAll(t, s, e, bfplan.PlanLifetime, nil)
	if share < 0.35 {
		t.Errorf("%.2f of the requests ran in the planned region while the plan was valid, want 0.5", share)
	}
	sendAll(t, s, e, 45*time.Second, nil)
	if share, reasons := sendAll(t, s, e, 5*time.Second, nil); share > 0.2 || reasons[LeftPlanned] > 0 {
		t.Errorf("%.2f of the requests ran in another region 50 s after the last plan: %v", share, reasons)
	}
}

// TestNoPlan guards against an entry that never gets a plan, as with control VMs of an older
// release, and doesn't return to its own choice.
func TestNoPlan(t *testing.T) {
	s, _ := plannedEntry(0.5)
	e := s.entries[4]
	sendAll(t, s, e, 45*time.Second, nil)
	if _, reasons := sendAll(t, s, e, 5*time.Second, nil); reasons[LeftPlanned] > 0 {
		t.Errorf("requests left their region by a plan that never came: %v", reasons)
	}
}

// TestPlanOfNewLeader guards against an entry that ignores a new leader, or goes back to the
// plan of an earlier one.
func TestPlanOfNewLeader(t *testing.T) {
	s, e := plannedEntry(0.5)
	sendAll(t, s, e, 2*time.Second, nil)
	e.ApplyPlan(s.now, planReply(2, 1, 0.5, 0))
	e.ApplyPlan(s.now, planReply(1, 9, 0, 0))
	if got := e.PlanStatus(s.now); got.Term != 2 || got.Sequence != 1 {
		t.Errorf("the entry has plan %d of term %d, want 1 of term 2", got.Sequence, got.Term)
	}
	share, _ := sendAll(t, s, e, 4*time.Second, nil)
	if share < 0.35 {
		t.Errorf("%.2f of the requests ran in the planned region, want 0.5", share)
	}
	// A control group that lost all disks starts with the first term.
	s.now = s.now.Add(bfplan.PlanLifetime + 1)
	e.ApplyPlan(s.now, planReply(1, 1, 0.5, 0))
	if got := e.PlanStatus(s.now); got.Term != 1 {
		t.Errorf("the entry keeps the expired plan of term %d after the control group was formed again", got.Term)
	}
}

// TestPlannedRegionIsLost guards against requests that are refused while the region of their
// plan has no usable server: lost ones, those of an evacuated region, or restarted ones that
// accept few requests.
func TestPlannedRegionIsLost(t *testing.T) {
	t.Run("evacuated", func(t *testing.T) {
		s, e := plannedEntry(0.5)
		sendAll(t, s, e, 2*time.Second, nil)
		state := *s.state
		state.Evacuated = []string{"r1-a", "r1-b"}
		e.Update(s.now, &state)
		checkLostRegion(t, s, e)
	})
	t.Run("lost", func(t *testing.T) {
		s, e := plannedEntry(0.5)
		sendAll(t, s, e, 2*time.Second, nil)
		v := e.service("prices")
		for _, srv := range v.servers {
			if srv.region == "r1" {
				e.eject(s.now, srv, "connection refused")
			}
		}
		checkLostRegion(t, s, e)
	})
	t.Run("restarted", func(t *testing.T) {
		s, e := plannedEntry(1)
		sendAll(t, s, e, 2*time.Second, nil)
		state := *s.state
		state.Servers = slices.Clone(s.state.Servers)
		for i := range state.Servers {
			if srv := &state.Servers[i]; srv.FailureDomain[:2] == "r1" {
				srv.Started, srv.ColdRevision, srv.ColdRemaining = 2, 2, briarferry.Duration(3*time.Second)
			}
		}
		e.Update(s.now, &state)
		refused := 0
		for range 18 {
			s.now = s.now.Add(time.Second / 6)
			try, err := e.Choose(s.now, request(string(rune('a'+s.rng.IntN(26)))))
			if err != nil {
				refused++
				continue
			}
			try.Done(s.now.Add(100*time.Millisecond), Report{Outcome: Answered})
		}
		if refused > 0 {
			t.Errorf("%d of 18 requests were refused while the servers of the planned region were cold", refused)
		}
	})
	t.Run("removed", func(t *testing.T) {
		s, e := plannedEntry(0.5)
		state := *s.state
		state.Servers = nil
		for _, srv := range s.state.Servers {
			if srv.FailureDomain[:2] != "r1" {
				state.Servers = append(state.Servers, srv)
			}
		}
		e.Update(s.now, &bffleet.State{Revision: 2, Routes: state.Routes, Servers: state.Servers})
		checkLostRegion(t, s, e)
	})
}

func checkLostRegion(t *testing.T, s *planSim, e *Steering) {
	t.Helper()
	refused := 0
	for range 40 {
		s.now = s.now.Add(time.Second / 6)
		try, err := e.Choose(s.now, request(string(rune('a'+s.rng.IntN(26)))))
		if err != nil {
			refused++
			continue
		}
		if try.Backend.Region == "r1" {
			t.Error("a request was sent to the lost region")
		}
		try.Done(s.now.Add(100*time.Millisecond), Report{Outcome: Answered})
	}
	if refused > 0 {
		t.Errorf("%d of 40 requests were refused", refused)
	}
}

// TestBoundRequestsAreNotPlanned guards against requests that leave their home region.
func TestBoundRequestsAreNotPlanned(t *testing.T) {
	s, e := plannedEntry(1)
	for range 20 {
		r := request("k")
		r.Route.HomeRegions = []string{"r2"}
		try, err := e.Choose(s.now, r)
		if err != nil {
			t.Fatal(err)
		}
		if try.Backend.Region != "r2" || try.PlannedRegion != "" {
			t.Errorf("ran in %s, planned for %q", try.Backend.Region, try.PlannedRegion)
		}
		try.Done(s.now.Add(100*time.Millisecond), Report{Outcome: Answered})
	}
	if rows := e.PlanReports(s.now); len(rows) != 1 || len(rows[0].Rows) != 1 || rows[0].Rows[0].Fixed[1] == 0 || rows[0].Rows[0].Rate != 0 {
		t.Errorf("reported %+v", rows)
	}
}

// TestBusyEntriesChooseThemselves guards against a plan that replaces the limit on shifts of
// entries which see enough requests, and against entries that change between the two often.
func TestBusyEntriesChooseThemselves(t *testing.T) {
	for name, c := range map[string]struct {
		entries int
		rates   []float64
		want    []bool
	}{
		"few busy entries":        {7, []float64{60, 60, 40}, []bool{false, false, false}},
		"many entries":            {109, []float64{6, 6}, []bool{true, true}},
		"many busy entries":       {36, []float64{60, 60}, []bool{false, false}},
		"many entries, busy soon": {36, []float64{12, 60}, []bool{true, false}},
		"few entries, few calls":  {7, []float64{4, 4}, []bool{true, true}},
		"around the limit":        {7, []float64{60, 12, 12, 4, 12, 12}, []bool{false, false, false, true, true, true}},
		"pauses say nothing":      {7, []float64{60, 0, 60}, []bool{false, false, false}},
		"many entries at a pause": {109, []float64{0, 6}, []bool{false, true}},
	} {
		var d demandMeter
		now := time.Unix(1000, 0)
		for i, rate := range c.rates {
			for end := now.Add(8 * time.Second); now.Before(end); {
				if rate == 0 {
					now = end
					break
				}
				d.add(now, c.entries)
				now = now.Add(time.Duration(float64(time.Second) / rate))
			}
			if d.follows != c.want[i] {
				t.Errorf("%s: follows %v after %v requests a second, want %v", name, d.follows, c.rates[:i+1], c.want[i])
			}
		}
	}
}

// TestPlanParts guards against an entry that takes a part of a plan for the whole.
func TestPlanParts(t *testing.T) {
	s, e := plannedEntry(0.5)
	r := planReply(1, 2, 0.4, 0)
	r.Parts = 2
	e.ApplyPlan(s.now, r)
	if got := e.PlanReports(s.now)[0]; got.PlanSequence == 2 {
		t.Error("reported a plan of which a part is missing")
	}
	r.Part = 1
	e.ApplyPlan(s.now, r)
	if got := e.PlanReports(s.now)[0]; got.Term != 1 || got.PlanSequence != 2 {
		t.Errorf("reported plan %d of term %d, want 2 of term 1", got.PlanSequence, got.Term)
	}
}
