package bfentry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bfretry"
)

const maxTries = 4

type (
	// Pipeline takes a request through quarantine, claim, admission and tries at
	// backend servers. Its fields are set before use.
	Pipeline struct {
		Claims   briarferry.Claimer
		Admitter briarferry.Admitter
		Upstream briarferry.Upstream
		// Retry decides about further tries; nil means a policy of its own.
		Retry *bfretry.Policy
		// Quarantine may be nil.
		Quarantine briarferry.Quarantine
		// Config is asked again before each dispatch, since a process that was
		// frozen may have lost its lease while a request waited; nil skips this.
		Config briarferry.ConfigSource
		// Counters counts decisions; nil means those of the process.
		Counters *Counters

		retryOnce   sync.Once
		completions atomic.Int64
	}

	// run is one request on its way through the pipeline.
	run struct {
		service    briarferry.Service
		request    *briarferry.Request
		counters   *Counters
		dispatched atomic.Bool

		mu     sync.Mutex
		avoid  []briarferry.BackendID
		reason string
	}
)

// Run returns the whole answer, or the error that ends the request.
func (p *Pipeline) Run(ctx context.Context, s briarferry.Service, r *briarferry.Request, lease briarferry.Lease) (*briarferry.Answer, error) {
	t := &run{service: s, request: r, counters: p.counters()}
	p.policy().RecordRequest(s.Name, p.retryShare())
	a, err := p.start(ctx, t, lease)
	t.countResult(a, err)
	return a, err
}

func (p *Pipeline) start(ctx context.Context, t *run, lease briarferry.Lease) (*briarferry.Answer, error) {
	if err := p.checkQuarantine(t); err != nil {
		return nil, err
	}
	if t.request.Key == "" {
		return p.runTries(ctx, t)
	}
	return p.runClaimed(ctx, t, lease)
}

// checkQuarantine refuses a quarantined request before it costs a claim or a slot.
// With a key the outcome is unknown: an earlier attempt may have run.
func (p *Pipeline) checkQuarantine(t *run) error {
	if p.Quarantine == nil {
		return nil
	}
	err := p.Quarantine.Check(t.request.Fingerprint)
	if err == nil {
		return nil
	}
	if t.request.Key != "" {
		err = refuseUnknown("the request is quarantined, since it crashed backend servers")
	}
	return t.refuse("quarantine", err)
}

// runTries tries the request until it is answered or no further try is allowed.
func (p *Pipeline) runTries(ctx context.Context, t *run) (*briarferry.Answer, error) {
	for try := 1; ; try++ {
		a, err := p.hedged(ctx, t)
		if err == nil && !t.retryable(a) {
			return a, nil
		}
		if t.refused(err) || !p.again(ctx, t, err, try) {
			return a, t.lastError(err)
		}
		t.count(countRetried)
	}
}

// again waits until the next try; it is false where there must be none.
func (p *Pipeline) again(ctx context.Context, t *run, err error, try int) bool {
	var tryErr *briarferry.TryError
	if errors.As(err, &tryErr) && tryErr.Dispatched && t.request.Key != "" {
		return false
	}
	if try == maxTries || ctx.Err() != nil {
		return false
	}
	pause, ok := p.policy().Backoff(t.service.Name, try, time.Now(), t.request.Deadline, 0)
	if !ok {
		return false
	}
	if !p.policy().Spend(t.service.Name) {
		t.count(countNoBudget)
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// retryable tells whether another server may give a better answer: the server
// said that it, or one behind it, is not available.
func (t *run) retryable(a *briarferry.Answer) bool {
	if t.request.Key != "" {
		return false
	}
	switch a.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func (t *run) refused(err error) bool {
	var refusal *briarferry.Refusal
	return errors.As(err, &refusal)
}

// lastError describes the end of a request without a usable answer.
func (t *run) lastError(err error) error {
	if err == nil {
		return nil
	}
	if t.dispatched.Load() {
		return refuseUnknown("no backend server gave a whole answer in time")
	}
	if t.refused(err) {
		return err
	}
	return refuseNotRun("no backend server took the request")
}

func (t *run) count(decision string) { t.counters.add(t.request, decision) }

// refuse keeps the reason of a refusal for the counters; it counts only where the
// refusal ends the request.
func (t *run) refuse(reason string, err error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reason = reason
	return err
}

func (t *run) countResult(a *briarferry.Answer, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch late := time.Now().After(t.request.Deadline); {
	case late:
		t.count(countLate)
	case err != nil && t.reason != "" && !t.dispatched.Load():
		t.count(countRefused + t.reason)
	case err != nil || a.Status >= http.StatusInternalServerError:
		t.count(countFailed)
	default:
		t.count(countAnswered)
	}
}

// addAvoid keeps further tries away from a server.
func (t *run) addAvoid(id briarferry.BackendID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.avoid = append(t.avoid, id)
}

func (t *run) avoided() []briarferry.BackendID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]briarferry.BackendID(nil), t.avoid...)
}

// TryTimeout returns how long a try of the named service usually may take, or 0
// where the service is not known.
func (p *Pipeline) TryTimeout(service string) time.Duration {
	if p.Config == nil {
		return 0
	}
	cfg, _, ok := p.Config.Current()
	if !ok {
		return 0
	}
	s, ok := cfg.Service(service)
	if !ok {
		return 0
	}
	return p.policy().TryTimeout(time.Now(), s)
}

func (p *Pipeline) policy() *bfretry.Policy {
	p.retryOnce.Do(func() {
		if p.Retry == nil {
			p.Retry = &bfretry.Policy{Seed: uint64(time.Now().UnixNano())}
		}
	})
	return p.Retry
}

func (p *Pipeline) retryShare() float64 {
	if p.Config != nil {
		if cfg, _, ok := p.Config.Current(); ok {
			return cfg.Limits.RetryShare
		}
	}
	return briarferry.DefaultLimits().RetryShare
}

func (p *Pipeline) counters() *Counters {
	if p.Counters != nil {
		return p.Counters
	}
	return published
}

func isNotRun(err error) bool {
	var refusal *briarferry.Refusal
	return errors.As(err, &refusal) && refusal.Outcome == briarferry.OutcomeNotRun
}
