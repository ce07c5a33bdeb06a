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

const drainInterval = 200 * time.Millisecond

// drains applies the drains in force to this entry's choices.
type drains struct {
	tracker *bfdrain.Tracker
	sharing *Sharing
	// inForce returns the drains that the configuration lease covers.
	inForce func() []briarferry.Drain
	// serving counts the requests that this VM has in flight.
	serving *atomic.Int64
	log     zerolog.Logger
}

// newDrains connects the drains in force with the table of backend servers.
func (n *Node) newDrains(c *control, s *Sharing, serving *atomic.Int64) *drains {
	d := &drains{
		tracker: bfdrain.NewTracker(bfdrain.DefaultLimits()), sharing: s, inForce: c.drains, serving: serving, log: n.Log,
	}
	s.Table.IsDrained = func(b briarferry.Backend) bool { return !d.tracker.MayTakeBackend(b) }
	return d
}

// Run follows the drains until ctx ends.
func (d *drains) Run(ctx context.Context) error {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		if err := d.tracker.Update(now, d.inForce(), d.readings(now)); err != nil {
			d.log.Warn().Err(err).Msg("a drain is not followed")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// readings returns what this VM knows of every target. The load that a server
// announces may mislead, so requests that this entry has in flight always count.
func (d *drains) readings(now time.Time) []bfdrain.Target {
	own := d.sharing.Slots.InFlight()
	var out []bfdrain.Target
	d.sharing.Table.ForEach(now, func(_ uint64, b briarferry.Backend, _ time.Time) {
		announced := int(math.Round(b.Load * float64(b.Slots)))
		out = append(out, bfdrain.Target{
			Kind: briarferry.DrainBackend, Name: b.Address.String(), Service: b.Service, Region: b.Region,
			FailureDomain: b.FailureDomain, Capacity: b.Slots, InFlight: max(own[b.ID()], announced), Age: now.Sub(b.HeardAt),
		})
	})
	for _, vm := range d.sharing.Members.Live() {
		t := bfdrain.Target{Kind: briarferry.DrainVM, Name: vm.Name, Region: vm.Region, FailureDomain: vm.FailureDomain}
		if vm.Name == d.sharing.VM.Name {
			t.InFlight = int(d.serving.Load())
		}
		out = append(out, t)
	}
	return out
}

// mayTakeWork tells whether look-ups may name a VM.
func (d *drains) mayTakeWork(vm briarferry.VM) bool {
	return d.sharing.MayTakeWork(vm) && d.tracker.MayTakeVM(vm)
}

// describe adds all drains, also those that came after the last update: an
// operator's order is answered once it is in force, so status must show it then.
func (d *drains) describe(s *bfapi.VMStatus) {
	if err := d.tracker.SetDrains(d.inForce()); err != nil {
		d.log.Warn().Err(err).Msg("a drain is not followed")
	}
	for _, p := range d.tracker.Progress(time.Now()) {
		s.Drains = append(s.Drains, bfapi.DrainStatus{
			ID: p.ID, Kind: string(p.Kind), Target: p.Target, State: string(p.State), InFlight: p.InFlight,
			Targets: p.Targets, Empty: p.Empty, InsufficientCapacity: p.BreaksLimit,
		})
	}
}
