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
	// coldTolerance is how far the reported end of a server's cold phase may move without
	// counting as a new cold phase.
	coldTolerance = 700 * time.Millisecond
	// maxClockLead is how far a server's start time may lie in the future by this VM's clock.
	// A report with a later one doesn't come from a server's process; registered, it would
	// outrank every later report of the server with its ID or address.
	maxClockLead = time.Hour
	// maxColdServers is the number of records above which all of them are dropped.
	maxColdServers = 20_000
)

type (
	// coldTracker records when each server's cold phase ends, according to its reports.
	coldTracker struct {
		log zerolog.Logger

		mu        sync.Mutex
		coldUntil map[string]time.Time
	}
)

// Report handles a backend server's heartbeat. It returns nil only after a change is
// committed, so that the change is certain to reach the entries. A report without changes is
// confirmed at once.
func (n *Node) Report(ctx context.Context, in briarferry.Instance) error {
	counters.reports.Add(1)
	now := time.Now()
	if err := checkReport(now, in); err != nil {
		return err
	}
	n.reports.record(now, in.ID)
	known, ok := n.machine.State().Server(in.ID)
	newlyCold := n.cold.isNewPhase(now, in)
	switch {
	case ok && known.Started > in.Started:
		n.cold.log.Info().Str("instance", in.ID).Int64("started", in.Started).Int64("known", known.Started).Msg("ignored a report from before the server's restart")
		return nil
	case ok && known.SameProcess(&in) && known.Draining == in.Draining && known.Slots == in.Slots && !newlyCold:
		return nil
	case ok && known.SameProcess(&in) && known.Draining && !in.Draining && !newlyCold:
		// The report was sent before the server started to drain and arrived late.
		return nil
	}
	started := time.Now()
	r, err := n.propose(ctx, bffleet.Command{Register: &bffleet.Register{Instances: []briarferry.Instance{in}}})
	n.cold.log.Info().Err(err).Str("instance", in.ID).Str("service", in.Service).Str("backend", in.Address.String()).
		Str("failure_domain", in.FailureDomain).Bool("draining", in.Draining).Dur("cold_ms", in.ColdRemaining.Std()).Int64("started", in.Started).
		Uint64("sequence", in.Sequence).Str("code", string(r.Code)).Uint64("revision", r.Revision).Dur("took_ms", time.Since(started)).Msg("registration of backend server requested")
	if err != nil {
		return err
	}
	if newlyCold {
		n.cold.record(now, in)
	}
	return codeError(r.Code)
}

// checkReport returns the findings in a report.
func checkReport(now time.Time, in briarferry.Instance) error {
	f := in.Validate()
	if in.Started > now.Add(maxClockLead).UnixMilli() {
		f.Add("started", "must not be more than %v in the future: %d", maxClockLead, in.Started)
	}
	return f.Err()
}

// isNewPhase reports whether the server has entered a new cold phase: one that ends at least
// coldTolerance after the last recorded one.
func (c *coldTracker) isNewPhase(now time.Time, in briarferry.Instance) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if in.ColdRemaining <= 0 {
		return false
	}
	last, ok := c.coldUntil[in.ID]
	return !ok || !now.Add(in.ColdRemaining.Std()).Before(last.Add(coldTolerance))
}

// record records the end of a phase whose start is committed. A phase whose proposal failed
// is not recorded, so that the server's next report proposes it again.
func (c *coldTracker) record(now time.Time, in briarferry.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.coldUntil == nil || len(c.coldUntil) > maxColdServers {
		c.coldUntil = map[string]time.Time{}
	}
	until := now.Add(in.ColdRemaining.Std())
	if until.After(c.coldUntil[in.ID]) {
		c.coldUntil[in.ID] = until
	}
}
