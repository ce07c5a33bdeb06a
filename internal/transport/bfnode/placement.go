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

// startPlacement starts the reports to the leader, and the planner if this VM can become the
// leader. Without a control group it only counts requests.
func (n *Node) startPlacement(ctx context.Context, group *errgroup.Group, c *control, s *SharedState, d *drainMonitor, placementEntry *bfplacement.EntrySelector) *bfplacement.EntryAgent {
	f := &bfplacement.EntryAgent{
		VM: n.VM, Selector: placementEntry, Transport: c.placement, Config: c.config,
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

// siteState returns the placement state of a live VM. A VM that takes no new work keeps its
// blocks until the planner has moved them within its limits on shifted load.
func (d *drainMonitor) siteState(vm briarferry.VM) bfplacement.SiteState {
	if d.mayTakeWork(vm) {
		return bfplacement.SiteUp
	}
	return bfplacement.SiteDraining
}

// regionCapacity returns the part of the region's slots that the placement may use.
func (s *SharedState) regionCapacity(now time.Time, cfg *briarferry.Config) bfplacement.Rate {
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

// addPlacementStatus adds the placement's version, and on the leader the summary of its planner.
func addPlacementStatus(s *bfapi.VMStatus, planner *bfplacement.Coordinator, f *bfplacement.EntryAgent) {
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
			Region: r.Name, Capacity: toSlots(r.Capacity), Planned: toSlots(r.Planned), Measured: toSlots(r.Measured),
			Shifted: toSlots(r.Shifted), ShiftCap: toSlots(r.ShiftCap), StaleSites: r.StaleSites,
		})
	}
	for _, h := range sum.Held {
		p.Held = append(p.Held, bfapi.ConstrainedLoad{Region: sum.Regions[h.Region].Name, Reason: h.Reason.String(), Blocks: h.Blocks, Load: toSlots(h.Rate)})
	}
	for _, r := range sum.Refused {
		p.Refused = append(p.Refused, bfapi.ConstrainedLoad{Region: sum.Regions[r.Region].Name, Reason: fmt.Sprint(r.Urgency), Load: toSlots(r.Rate)})
	}
	s.Placement = p
}

// toSlots converts a rate in thousandths of a slot to slots.
func toSlots(r bfplacement.Rate) float64 { return float64(r) / 1000 }
