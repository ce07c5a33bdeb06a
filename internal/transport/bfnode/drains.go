package bfnode

import (
	"context"
	"math"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/coordination/bfdrain"
	"briarferry/internal/protocol/bfapi"
)

const (
	drainInterval = 250 * time.Millisecond

	// VMs do not tell each other their requests in flight. Each counts as half used,
	// so that the drain of a region leaves more than half of all VMs, and none counts
	// as empty here.
	vmCapacity = 2
	vmInFlight = 1
)

type (
	// drains applies the drains in force to look-ups and dispatches of this entry.
	drains struct {
		tracker *bfdrain.Tracker
		list    func() []briarferry.Drain
		sharing *Sharing
		log     zerolog.Logger
	}

	// drainBalancer offers no backend server that drains.
	drainBalancer struct {
		briarferry.Balancer
		may func(briarferry.Backend) bool
	}
)

func newDrains(c *control, log zerolog.Logger) *drains {
	return &drains{tracker: bfdrain.NewTracker(bfdrain.DefaultLimits()), list: c.drains, log: log}
}

// run follows the drains in force until the context ends.
func (d *drains) run(ctx context.Context) error {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	failed := false
	for {
		err := d.tracker.Update(time.Now(), d.list(), d.readings(time.Now()))
		if err != nil && !failed {
			d.log.Error().Err(err).Msg("drain is not followed")
		}
		failed = err != nil
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *drains) readings(now time.Time) []bfdrain.Target {
	var out []bfdrain.Target
	d.sharing.Table.All(now, func(_ uint64, b briarferry.Backend, _ time.Time) {
		t := bfdrain.BackendTarget(b)
		t.Capacity, t.Age = b.Slots, now.Sub(b.HeardAt)
		t.InFlight = int(math.Ceil(b.Load * float64(b.Slots)))
		out = append(out, t)
	})
	for _, vm := range d.sharing.Members.Live() {
		t := bfdrain.VMTarget(vm)
		t.Capacity, t.InFlight = vmCapacity, vmInFlight
		out = append(out, t)
	}
	return out
}

func (d *drains) mayTakeVM(vm briarferry.VM) bool {
	return d.sharing.MayTakeWork(vm) && d.tracker.MayTakeVM(vm)
}

// describe adds the progress of drains to this VM's status. The requests in flight
// are the ones that backend servers report to all VMs, so only the first live VM
// tells them, since the status page sums the VMs' numbers.
func (d *drains) describe(s *bfapi.VMStatus) {
	live := d.sharing.Members.Live()
	first := len(live) > 0 && live[0].Name == s.Name
	for _, p := range d.tracker.Progress(time.Now()) {
		for i := range s.Drains {
			if s.Drains[i].ID != p.ID {
				continue
			}
			s.Drains[i].State = string(p.State)
			if first && p.Kind != briarferry.DrainVM {
				s.Drains[i].InFlight = p.InFlight
			}
		}
	}
}

// Pick chooses among the candidates that do not drain.
func (b *drainBalancer) Pick(now time.Time, candidates []briarferry.Candidate) int {
	var kept []briarferry.Candidate
	var index []int
	for i, c := range candidates {
		if !b.may(c.Backend) {
			continue
		}
		kept, index = append(kept, c), append(index, i)
	}
	if len(kept) == 0 {
		return -1
	}
	i := b.Balancer.Pick(now, kept)
	if i < 0 || i >= len(index) {
		return -1
	}
	return index[i]
}
