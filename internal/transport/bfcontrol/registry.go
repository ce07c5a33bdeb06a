package bfcontrol

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/state/bffleet"
)

const (
	// coldSlack is how much longer a server must report to stay cold than expected
	// before it counts as cold again.
	coldSlack = 700 * time.Millisecond
	maxCold   = 20_000
)

type (
	// registry remembers how long each server said that it stays cold.
	registry struct {
		log zerolog.Logger

		mu   sync.Mutex
		cold map[string]time.Time
	}
)

// Report takes what a backend server says about itself. It returns nil once that is
// certain to reach the entries; a report without news is confirmed at once.
func (n *Node) Report(ctx context.Context, in briarferry.Instance) error {
	counters.reports.Add(1)
	if err := in.Validate().Err(); err != nil {
		return err
	}
	n.reports.hear(time.Now(), in.ID)
	known, ok := n.machine.State().Server(in.ID)
	coldAgain := n.registry.coldAgain(time.Now(), in)
	switch {
	case ok && known.Started > in.Started:
		n.registry.log.Info().Str("instance", in.ID).Int64("started", in.Started).Int64("known", known.Started).Msg("report of an earlier start ignored")
		return nil
	case ok && known.SameStart(&in) && known.Draining == in.Draining && known.Slots == in.Slots && !coldAgain:
		return nil
	case ok && known.SameStart(&in) && known.Draining && !in.Draining && !coldAgain:
		// A report from before the drain arrived late.
		return nil
	}
	started := time.Now()
	r, err := n.propose(ctx, bffleet.Command{Register: &bffleet.Register{Instances: []briarferry.Instance{in}}})
	n.registry.log.Info().Err(err).Str("instance", in.ID).Str("service", in.Service).Str("backend", in.Address.String()).
		Str("failure_domain", in.FailureDomain).Bool("draining", in.Draining).Dur("cold_ms", in.ColdFor.Std()).Int64("started", in.Started).
		Uint64("sequence", in.Sequence).Str("code", string(r.Code)).Uint64("revision", r.Revision).Dur("took_ms", time.Since(started)).Msg("backend server reported")
	if err != nil {
		return err
	}
	return codeError(r.Code)
}

// Deregister removes a backend server for good.
func (n *Node) Deregister(ctx context.Context, id string) error {
	if !briarferry.ValidName(id) {
		return ErrInvalid
	}
	started := time.Now()
	r, err := n.propose(ctx, bffleet.Command{Leave: &bffleet.Leave{ID: id}})
	n.registry.log.Info().Err(err).Str("instance", id).Str("code", string(r.Code)).Uint64("revision", r.Revision).
		Dur("took_ms", time.Since(started)).Msg("backend server left")
	if err != nil {
		return err
	}
	return codeError(r.Code)
}

// coldAgain tells whether the server reports to be cold for longer than it said before.
func (r *registry) coldAgain(now time.Time, in briarferry.Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if in.ColdFor <= 0 {
		return false
	}
	if r.cold == nil || len(r.cold) > maxCold {
		r.cold = map[string]time.Time{}
	}
	until := now.Add(in.ColdFor.Std())
	if last, ok := r.cold[in.ID]; ok && until.Before(last.Add(coldSlack)) {
		return false
	}
	r.cold[in.ID] = until
	return true
}
