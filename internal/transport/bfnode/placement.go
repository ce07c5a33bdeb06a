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

// startPlacement returns the entry's placement agent. With a control group, it starts the agent's
// reports to the leader, and the coordinator if this VM can become the leader. Without a control
// group, the agent only counts requests.
func (n *Node) startPlacement(ctx context.Context, group *errgroup.Group, c *control, s *SharedState, d *drainMonitor, selector *bfplacement.EntrySelector) *bfplacement.EntryAgent {
	agent := &bfplacement.EntryAgent{
		VM: n.VM, Selector: selector, Transport: c.placement, Config: c.config,
		Capacity: func(cfg *briarferry.Config) bfplacement.Rate { return s.regionCapacity(time.Now(), cfg) },
	}
	if c.placement == nil {
		return agent
	}
	publishPlacement(agent)
	group.Go(func() error { return agent.Run(ctx) })
	if c.coordinator != nil {
		c.coordinator.Members = s.Members
		c.coordinator.State = d.placementState
		group.Go(func() error { return c.coordinator.Run(ctx) })
	}
	return agent
}

// placementState returns the placement state of a live VM. A VM that may get no new requests keeps
// its blocks until the planner has moved them within its limits on shifted load.
func (d *drainMonitor) placementState(vm briarferry.VM) bfplacement.SiteState {
	if d.mayTakeRequests(vm) {
		return bfplacement.SiteUp
	}
	return bfplacement.SiteDraining
}

// regionCapacity returns the part of the slots of the region's ready backend servers that the
// placement may use, in thousandths of a slot.
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

func publishPlacement(agent *bfplacement.EntryAgent) {
	publish("bfplacement", func() any {
		return map[string]uint64{
			"version": agent.Selector.Version(), "reports": agent.Reports.Load(), "failures": agent.Failures.Load(),
			"deltas": agent.Deltas.Load(), "wholes": agent.FullAssignments.Load(), "rejected": agent.RejectedAssignments.Load(), "refused": agent.RefusedRequests.Load(),
		}
	})
}

// addPlacementStatus adds the placement's version, and on the leader the coordinator's summary.
func addPlacementStatus(s *bfapi.VMStatus, coordinator *bfplacement.Coordinator, agent *bfplacement.EntryAgent) {
	s.PlacementVersion, s.PlacementRefused = agent.Selector.Version(), agent.RefusedRequests.Load()
	if coordinator == nil {
		return
	}
	sum, ok := coordinator.Summary()
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
