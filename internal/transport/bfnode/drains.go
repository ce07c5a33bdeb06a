package bfnode

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/coordination/bfdrain"
	"briarferry/internal/protocol/bfapi"
)

const drainUpdateInterval = 200 * time.Millisecond

// drainMonitor tracks the progress of the drains in force and excludes drained VMs and backend
// servers from new requests.
type drainMonitor struct {
	tracker *bfdrain.Tracker
	shared  *SharedState
	// inForce returns the drains in the newest configuration state that this VM knows, with
	// or without a lease.
	inForce func() []briarferry.Drain
	// inFlight counts the requests in flight at this VM.
	inFlight *atomic.Int64
	log      zerolog.Logger
}

// newDrainMonitor returns a monitor and makes the table of backend servers skip drained ones.
func (n *Node) newDrainMonitor(c *control, s *SharedState, inFlight *atomic.Int64) *drainMonitor {
	d := &drainMonitor{
		tracker: bfdrain.NewTracker(bfdrain.DefaultLimits()), shared: s, inForce: c.drains, inFlight: inFlight, log: n.Log,
	}
	s.Table.IsDrained = func(b briarferry.Backend) bool { return !d.tracker.BackendMayTakeRequests(b) }
	return d
}

// Run updates the progress of the drains until ctx ends.
func (d *drainMonitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(drainUpdateInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		if err := d.tracker.Update(now, d.inForce(), d.targetLoads(now)); err != nil {
			d.log.Warn().Err(err).Msg("could not apply the list of drains")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// targetLoads returns the load of every drain target as known to this VM. The load that a server
// announces may be too low, so it is at least the number of requests that this entry has in
// flight there.
func (d *drainMonitor) targetLoads(now time.Time) []bfdrain.Target {
	own := d.shared.Slots.InFlight()
	var out []bfdrain.Target
	d.shared.Table.ForEach(now, func(_ uint64, b briarferry.Backend, _ time.Time) {
		announced := int(math.Round(b.Load * float64(b.Slots)))
		out = append(out, bfdrain.Target{
			Kind: briarferry.DrainBackend, Name: b.Address.String(), Service: b.Service, Region: b.Region,
			FailureDomain: b.FailureDomain, Capacity: b.Slots, InFlight: max(own[b.ID()], announced), Age: now.Sub(b.HeardAt),
		})
	})
	for _, vm := range d.shared.Members.Live() {
		t := bfdrain.Target{Kind: briarferry.DrainVM, Name: vm.Name, Region: vm.Region, FailureDomain: vm.FailureDomain}
		if vm.Name == d.shared.VM.Name {
			t.InFlight = int(d.inFlight.Load())
		}
		out = append(out, t)
	}
	return out
}

// mayTakeRequests reports whether a VM may get new requests: it reports itself as ready, and no
// drain excludes it.
func (d *drainMonitor) mayTakeRequests(vm briarferry.VM) bool {
	return d.shared.MayTakeRequests(vm) && d.tracker.VMMayTakeRequests(vm)
}

// addStatus adds all drains, including those that came into force after the last update. An
// operator's drain is confirmed once it is in force, and the status must show it from then on.
func (d *drainMonitor) addStatus(s *bfapi.VMStatus) {
	if err := d.tracker.SetDrains(d.inForce()); err != nil {
		d.log.Warn().Err(err).Msg("could not apply the list of drains")
	}
	for _, p := range d.tracker.Progress(time.Now()) {
		s.Drains = append(s.Drains, bfapi.DrainStatus{
			ID: p.ID, Kind: string(p.Kind), Target: p.Target, State: string(p.State), InFlight: p.InFlight,
			Targets: p.Targets, Empty: p.Empty, InsufficientCapacity: p.InsufficientCapacity,
		})
	}
}
