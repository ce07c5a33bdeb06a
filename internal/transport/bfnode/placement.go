package bfnode

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"briarferry"
	"briarferry/internal/coordination/bfplacement"
	"briarferry/internal/protocol/bfapi"
)

// startPlacement starts the reports to the leader, and the planner where this VM can
// lead. Without a control group requests are counted only.
func (n *Node) startPlacement(ctx context.Context, group *errgroup.Group, c *control, s *Sharing, d *drains, placed *bfplacement.EntrySelector) *bfplacement.EntryAgent {
	f := &bfplacement.EntryAgent{
		VM: n.VM, Selector: placed, Transport: c.placement, Config: c.config,
		Capacity: func(cfg *briarferry.Config) bfplacement.Rate { return s.regionCapacity(time.Now(), cfg) },
	}
	if c.placement == nil {
		return f
	}
	publishPlacement(f)
	group.Go(func() error { return f.Run(ctx) })
	if c.planner != nil {
		c.planner.Members = s.Members
		c.planner.State = d.siteState
		group.Go(func() error { return c.planner.Run(ctx) })
	}
	return f
}

// siteState returns the state of a live VM's site. A VM that takes no new work keeps
// its blocks until they have moved under the caps.
func (d *drains) siteState(vm briarferry.VM) bfplacement.SiteState {
	if d.mayTakeWork(vm) {
		return bfplacement.SiteUp
	}
	return bfplacement.SiteDraining
}

// regionCapacity returns the share of the region's slots that steering may fill.
func (s *Sharing) regionCapacity(now time.Time, cfg *briarferry.Config) bfplacement.Rate {
	slots := 0
	s.Table.ForEach(now, func(_ uint64, b briarferry.Backend, _ time.Time) {
		if b.Region == s.VM.Region && b.State == briarferry.StateReady {
			slots += b.Slots
		}
	})
	for _, r := range cfg.Regions {
		if r.Name == s.VM.Region {
			return bfplacement.Rate(float64(slots) * 1000 * r.CapacityShare)
		}
	}
	return 0
}

func publishPlacement(f *bfplacement.EntryAgent) {
	publish("bfplacement", func() any {
		return map[string]uint64{
			"version": f.Selector.Version(), "reports": f.Reports.Load(), "failures": f.Failures.Load(),
			"deltas": f.Deltas.Load(), "wholes": f.FullAssignments.Load(), "rejected": f.RejectedAssignments.Load(), "refused": f.RefusedRequests.Load(),
		}
	})
}

func describePlacement(s *bfapi.VMStatus, planner *bfplacement.Coordinator, f *bfplacement.EntryAgent) {
	s.PlacementVersion, s.PlacementRefused = f.Selector.Version(), f.RefusedRequests.Load()
	if planner == nil {
		return
	}
	sum, ok := planner.Summary()
	if !ok {
		return
	}
	p := &bfapi.PlacementStatus{
		Version: sum.Version, Blocks: sum.Blocks, OversizeBlocks: sum.OversizeBlocks, StepMillis: float64(sum.StepTime.Microseconds()) / 1000,
	}
	for _, r := range sum.Regions {
		p.Regions = append(p.Regions, bfapi.PlacementRegion{
			Region: r.Name, Capacity: slots(r.Capacity), Planned: slots(r.Planned), Measured: slots(r.Measured),
			Shifted: slots(r.Shifted), ShiftCap: slots(r.ShiftCap), SilentSites: r.StaleSites,
		})
	}
	for _, h := range sum.Held {
		p.Held = append(p.Held, bfapi.ConstrainedLoad{Region: sum.Regions[h.Region].Name, Reason: h.Reason.String(), Blocks: h.Blocks, Load: slots(h.Rate)})
	}
	for _, r := range sum.Refused {
		p.Refused = append(p.Refused, bfapi.ConstrainedLoad{Region: sum.Regions[r.Region].Name, Reason: fmt.Sprint(r.Urgency), Load: slots(r.Rate)})
	}
	s.Placement = p
}

func slots(r bfplacement.Rate) float64 { return float64(r) / 1000 }
