package bfcontrol

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"briarferry"
	"briarferry/internal/coordination/bfquota"
	"briarferry/internal/coordination/bfreplica"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/transport/bfclock"
)

const (
	// quotaCheckInterval is the time between two checks whether this VM owns the quotas.
	quotaCheckInterval = 50 * time.Millisecond
	// maxClockDrift is the difference between the clocks with and without suspension, since
	// the last check, from which the VM counts as having been suspended. A quorum lease from
	// before then isn't trusted for distrustTime, which is longer than any quorum lease.
	maxClockDrift = 50 * time.Millisecond
	distrustTime  = 1500 * time.Millisecond
	// limitedLogRate and limitedLogBurst bound the log lines about limited organisations.
	limitedLogRate  = 2
	limitedLogBurst = 50
)

// quotaOwner divides the organisations' quotas while this VM is the leader of the control group
// and its quorum lease holds.
type quotaOwner struct {
	address netip.Addr
	status  func() briarferry.ReplicaStatus
	routes  func() *briarferry.RouteTable
	// clock also counts the suspension of the VM.
	clock func() time.Duration
	log   zerolog.Logger

	mu    sync.Mutex
	owner bfquota.Owner
	// table is the route table whose quotas the owner has.
	table *briarferry.RouteTable
	names map[uint64]string
	// started is the start of the process by the runtime's clock, and drift the difference
	// of the two clocks at the last check.
	started       time.Time
	drift         time.Duration
	distrustUntil time.Time
	lines         *rate.Limiter
	skippedLines  int
}

func newQuotaOwner(n *Node) *quotaOwner {
	q := &quotaOwner{
		address: n.Address, clock: bfclock.SinceBoot, log: n.Log, lines: rate.NewLimiter(limitedLogRate, limitedLogBurst),
		status: func() briarferry.ReplicaStatus { return n.replica.Status() },
		routes: func() *briarferry.RouteTable { return n.machine.State().Routes },
	}
	q.owner.Limited, q.owner.Tolerance = q.logLimited, n.QuotaTolerance
	return q
}

// run keeps the state up to date until the context ends.
func (q *quotaOwner) run(ctx context.Context) {
	ticker := time.NewTicker(quotaCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		q.mu.Lock()
		if now, ok := q.check(); ok {
			q.owner.Sweep(now)
		}
		q.mu.Unlock()
	}
}

// check reports whether this VM is the owner now, and returns the time. mu is held.
func (q *quotaOwner) check() (time.Duration, bool) {
	wall := time.Now()
	now := q.clock()
	// Clocks that are read too far apart can't be compared.
	if time.Since(wall) < maxClockDrift/2 {
		q.checkSuspension(now, wall)
	}
	s := q.status()
	if !s.IsLeader {
		q.resign()
		return now, false
	}
	if !beforeBoth(wall, s.LeaseUntil) || wall.Before(q.distrustUntil) {
		return now, false
	}
	if term := q.owner.Term(); term != s.Term {
		q.resign()
		q.owner.Lead(s.Term, now-wall.Sub(s.LeaderSince))
		q.table = nil
		q.log.Info().Uint64("term", s.Term).Time("since", s.LeaderSince).Msg("owning the organisations' quotas")
	}
	q.updateQuotas(now)
	return now, true
}

func (q *quotaOwner) resign() {
	term := q.owner.Term()
	if term == 0 {
		return
	}
	organisations, pairs := q.owner.Counts()
	q.owner.Resign()
	q.log.Info().Uint64("term", term).Int("organisations", organisations).Int("pairs", pairs).Msg("no longer owning the organisations' quotas")
}

// checkSuspension notices that the VM was suspended: the runtime's clock, by which the quorum lease
// ends, stood still meanwhile.
func (q *quotaOwner) checkSuspension(now time.Duration, wall time.Time) {
	if q.started.IsZero() {
		q.started, q.drift = wall, now
		return
	}
	drift := now - wall.Sub(q.started)
	if drift-q.drift > maxClockDrift {
		q.distrustUntil = wall.Add(distrustTime)
		q.log.Warn().Dur("suspended_ms", drift-q.drift).Msg("VM was suspended")
	}
	q.drift = drift
}

func (q *quotaOwner) updateQuotas(now time.Duration) {
	table := q.routes()
	if table == nil || table == q.table {
		return
	}
	q.table = table
	quotas := make(map[uint64]briarferry.Quota, len(table.Organisations))
	q.names = make(map[uint64]string, len(table.Organisations))
	for i := range table.Organisations {
		o := &table.Organisations[i]
		if o.Quota.Limited() {
			key := bfquota.Key(o.Name)
			quotas[key], q.names[key] = o.Quota, o.Name
		}
	}
	q.owner.SetQuotas(now, quotas)
}

// handle returns the reply to an entry's report.
func (q *quotaOwner) handle(r *bfquota.Report) bfquota.Grant {
	q.mu.Lock()
	defer q.mu.Unlock()
	counters.quotaReports.Add(1)
	if now, ok := q.check(); ok {
		g := q.owner.Handle(now, r)
		// The lease may have ended meanwhile.
		if _, ok := q.check(); ok && g.Term == q.owner.Term() {
			g.Owner = q.address
			for i := range g.Items {
				counters.quotaTokens.Add(int64(g.Items[i].Tokens))
			}
			return g
		}
	}
	counters.quotaRedirects.Add(1)
	return bfquota.Grant{Sequence: r.Sequence, Owner: q.leader()}
}

// leader returns the address of the leader if it is another VM, or an invalid one.
func (q *quotaOwner) leader() netip.Addr {
	a, err := netip.ParseAddr(bfreplica.VMOf(q.status().Leader))
	if err != nil || a == q.address {
		return netip.Addr{}
	}
	return a
}

// logLimited logs that an organisation begins or ends to be limited. mu is held.
func (q *quotaOwner) logLimited(key uint64, limited bool) {
	if limited {
		counters.quotaLimited.Add(1)
	} else {
		counters.quotaLimited.Add(-1)
	}
	if !q.lines.Allow() {
		q.skippedLines++
		return
	}
	q.log.Info().Str("organisation", q.names[key]).Bool("limited", limited).Int("skipped", q.skippedLines).Msg("organisation's quota")
	q.skippedLines = 0
}

// metrics returns the term and the numbers of organisations and pairs for the metrics.
func (q *quotaOwner) metrics() any {
	q.mu.Lock()
	defer q.mu.Unlock()
	organisations, pairs := q.owner.Counts()
	return map[string]any{"term": q.owner.Term(), "organisations": organisations, "pairs": pairs}
}

// beforeBoth reports whether now is before end by both the monotonic and the wall clock: the
// monotonic clock stops while a VM is suspended, and the wall clock can be set back.
func beforeBoth(now, end time.Time) bool {
	return now.Before(end) && now.Round(0).Before(end.Round(0))
}

// receiveReport replies to an entry's report of its quotas.
func (n *Node) receiveReport(r *bfquota.Report) {
	g := n.quotas.handle(r)
	data, err := bfwire.Encode(&g)
	if err != nil {
		n.Log.Error().Err(err).Msg("encoding quota grant failed")
		return
	}
	n.gossip.Send(r.ReplyTo, data)
}

// OwnsQuotas reports whether this VM owns the organisations' quotas now.
func (n *Node) OwnsQuotas() bool {
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	_, ok := n.quotas.check()
	return ok
}
