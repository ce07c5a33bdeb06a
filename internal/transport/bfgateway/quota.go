package bfgateway

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/coordination/bfquota"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/transport/bfclock"
)

const (
	// quotaReportInterval is the time between two reports of all active organisations, and
	// quotaFlushInterval the shortest time between two reports of some.
	quotaReportInterval = 500 * time.Millisecond
	quotaFlushInterval  = 20 * time.Millisecond
	// ownerTimeout is the time without a reply after which the owner of the quotas is looked
	// for. It is above twice the longest round trip of 110 ms.
	ownerTimeout = 300 * time.Millisecond
	// probeDelay is the time between two searches for the owner, and slowProbeDelay that after
	// fastProbes of them, which cover an election.
	probeDelay     = 150 * time.Millisecond
	slowProbeDelay = 2 * time.Second
	fastProbes     = 30
)

// quotaSync exchanges the entry's reports and grants of the organisations' quotas with their owner.
// It implements briarferry.Quotas.
type quotaSync struct {
	holder bfquota.Holder
	// clock also counts the suspension of the VM.
	clock func() time.Duration
	// controls returns the addresses of the control VMs, and send sends a datagram to one.
	controls func() []netip.Addr
	send     func(to netip.Addr, data []byte)
	log      zerolog.Logger
	wake     chan struct{}

	mu    sync.Mutex
	owner netip.Addr
	term  uint64
	// unanswered is when the first report since the owner's last grant was sent, or 0.
	unanswered time.Duration
	// lost is set while the owner is looked for.
	lost      bool
	probes    int
	nextProbe time.Duration
}

func newQuotaSync(n *Node) *quotaSync {
	q := &quotaSync{
		clock: bfclock.SinceBoot, controls: n.fleet.controlTargets, log: n.Log, wake: make(chan struct{}, signalBuffer),
		send: func(to netip.Addr, data []byte) {
			n.fleet.gossip.Send(netip.AddrPortFrom(to, n.ControlGossipPort), data)
		},
	}
	q.holder.Entry, q.holder.Incarnation, q.holder.ReplyTo = n.VM.Name, n.VM.Incarnation, n.VM.Gossip
	q.holder.Tolerance = n.QuotaTolerance
	q.holder.Wake = func() { signal(q.wake) }
	return q
}

// update applies the quotas of a route table.
func (q *quotaSync) update(t *briarferry.RouteTable) {
	quotas := map[string]briarferry.Quota{}
	for i := range t.Organisations {
		quotas[t.Organisations[i].Name] = t.Organisations[i].Quota
	}
	q.holder.SetQuotas(quotas)
}

// setEntries passes the live entries on.
func (q *quotaSync) setEntries(vms []briarferry.VM) {
	names := make([]string, len(vms))
	for i, vm := range vms {
		names[i] = vm.Name
	}
	q.holder.SetEntries(q.clock(), names)
}

// Acquire implements briarferry.Quotas.
func (q *quotaSync) Acquire(ctx context.Context, organisation string) (briarferry.QuotaToken, error) {
	token, waiter, refusal := q.holder.Acquire(q.clock, organisation)
	if refusal != nil {
		return nil, refusal
	}
	if waiter == nil {
		return token, nil
	}
	select {
	case d := <-waiter.Done:
		if d.Refusal != nil {
			return nil, d.Refusal
		}
		return d.Token, nil
	case <-ctx.Done():
		waiter.Cancel()
		return nil, &briarferry.Refusal{Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun, Reason: "the organisation's quota had no token in time", RetryAfter: shedRetryAfter}
	}
}

// run sends reports until the context ends.
func (q *quotaSync) run(ctx context.Context) {
	report := time.NewTicker(quotaReportInterval)
	defer report.Stop()
	flush := time.NewTicker(quotaFlushInterval)
	defer flush.Stop()
	var lastFlush time.Duration
	for {
		all := false
		select {
		case <-ctx.Done():
			return
		case <-report.C:
			all = true
		case <-flush.C:
		case <-q.wake:
			// A request after a pause is reported at once, further ones with the next tick.
			if q.clock()-lastFlush < quotaFlushInterval {
				continue
			}
		}
		if !q.holder.Limited() {
			continue
		}
		now := q.clock()
		q.holder.Tick(now)
		if all || q.holder.Due(now) {
			lastFlush = now
			q.report(now, all)
		}
		q.findOwner(now)
	}
}

func (q *quotaSync) report(now time.Duration, all bool) {
	to := q.currentOwner()
	for _, r := range q.holder.Reports(now, all) {
		q.sendReport(to, &r)
		q.mu.Lock()
		if q.unanswered == 0 {
			q.unanswered = now
		}
		q.mu.Unlock()
	}
}

func (q *quotaSync) currentOwner() netip.Addr {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.owner
}

func (q *quotaSync) sendReport(to netip.Addr, r *bfquota.Report) {
	if !to.IsValid() {
		return
	}
	data, err := bfwire.Encode(r)
	if err != nil {
		q.log.Error().Err(err).Msg("encoding quota report failed")
		return
	}
	q.send(to, data)
}

// findOwner asks all control VMs for the owner if it doesn't answer.
func (q *quotaSync) findOwner(now time.Duration) {
	q.mu.Lock()
	silent := q.unanswered != 0 && now-q.unanswered > ownerTimeout
	known := q.owner.IsValid()
	if known && !silent || !known && !q.holder.Limited() || now < q.nextProbe {
		q.mu.Unlock()
		return
	}
	if known && !q.lost {
		q.lost = true
		q.log.Warn().Str("owner", q.owner.String()).Uint64("term", q.term).Dur("silent_ms", now-q.unanswered).Msg("owner of the organisations' quotas doesn't answer")
	}
	q.nextProbe = now + probeDelay
	if q.probes++; q.probes > fastProbes {
		q.nextProbe = now + slowProbeDelay
	}
	q.mu.Unlock()
	counters.quotaOwnerProbes.Add(1)
	probe := q.holder.Probe()
	for _, to := range q.controls() {
		q.sendReport(to, &probe)
	}
}

// receive applies a grant, or follows the address of the owner.
func (q *quotaSync) receive(g *bfquota.Grant) {
	now := q.clock()
	if !q.holder.Apply(now, g) {
		q.redirect(g)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.owner != g.Owner || q.term != g.Term || q.lost {
		q.log.Info().Str("owner", g.Owner.String()).Uint64("term", g.Term).Msg("following the owner of the organisations' quotas")
		signal(q.wake)
	}
	q.owner, q.term, q.lost = g.Owner, g.Term, false
	q.unanswered, q.probes, q.nextProbe = 0, 0, 0
}

// redirect follows the address of the owner that another control VM knows.
func (q *quotaSync) redirect(g *bfquota.Grant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if g.Term != 0 || !g.Owner.IsValid() || q.owner == g.Owner {
		return
	}
	if q.owner.IsValid() && q.unanswered == 0 {
		return
	}
	q.owner = g.Owner
	// Later searches keep their delay: while control VMs disagree, each reply would start one.
	if q.probes <= 1 {
		q.nextProbe = 0
	}
}

// forwardWithinQuota forwards a request once it has a token of its organisation's quota. The token
// is given back if the request certainly didn't run.
func (n *Node) forwardWithinQuota(ctx context.Context, c *call) (*briarferry.Answer, error) {
	if c.request.Organisation == "" {
		return n.forward(ctx, c)
	}
	token, err := n.quotas.Acquire(ctx, c.request.Organisation)
	if err != nil {
		return nil, err
	}
	answer, err := n.forward(ctx, c)
	var refusal *briarferry.Refusal
	if answer == nil && errors.As(err, &refusal) && refusal.Outcome == briarferry.OutcomeNotRun {
		token.Return()
	}
	return answer, err
}

// controlTargets returns the addresses of the control VMs.
func (f *fleetSync) controlTargets() []netip.Addr {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := slices.Concat(f.seeds(), f.controlAddrs)
	slices.SortFunc(targets, netip.Addr.Compare)
	return slices.Compact(targets)
}
