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
	// Pipeline processes a request: the quarantine check, the claim of its key, admission
	// and the tries at backend servers. Its fields must be set before use.
	Pipeline struct {
		Claims   briarferry.Claimer
		Admitter briarferry.Admitter
		Upstream briarferry.Upstream
		// Retry decides about retries and hedges; if nil, a new policy is used.
		Retry *bfretry.Policy
		// Quarantine may be nil.
		Quarantine briarferry.Quarantine
		// Config is checked again before each dispatch, since a process that was frozen may
		// have lost its lease while a request waited. If nil, the check is skipped.
		Config briarferry.ConfigSource
		// Counters counts events; if nil, those of the process are used.
		Counters *Counters

		retryOnce          sync.Once
		pendingCompletions atomic.Int64
	}

	// requestState is the state of one request in the pipeline.
	requestState struct {
		service    briarferry.Service
		request    *briarferry.Request
		counters   *Counters
		dispatched atomic.Bool

		mu            sync.Mutex
		avoid         []briarferry.BackendID
		refusalReason string
	}
)

// Run runs the request and returns the complete answer, or the error that ended it.
func (p *Pipeline) Run(ctx context.Context, s briarferry.Service, r *briarferry.Request, lease briarferry.Lease) (*briarferry.Answer, error) {
	st := &requestState{service: s, request: r, counters: p.counters()}
	p.retryPolicy().RecordRequest(s.Name, p.retryShare())
	a, err := p.execute(ctx, st, lease)
	st.countResult(a, err)
	return a, err
}

// execute runs the request with a claim if it has a key and without one otherwise.
func (p *Pipeline) execute(ctx context.Context, st *requestState, lease briarferry.Lease) (*briarferry.Answer, error) {
	if err := p.checkQuarantine(st); err != nil {
		return nil, err
	}
	if st.request.Key == "" {
		return p.runWithRetries(ctx, st)
	}
	return p.runClaimed(ctx, st, lease)
}

// checkQuarantine refuses a quarantined request before it takes a claim or a slot. With a key
// the outcome is unknown, since an earlier attempt may have run.
func (p *Pipeline) checkQuarantine(st *requestState) error {
	if p.Quarantine == nil {
		return nil
	}
	err := p.Quarantine.Check(st.request.Fingerprint)
	if err == nil {
		return nil
	}
	if st.request.Key != "" {
		err = refuseUnknown("the request is quarantined, since it crashed backend servers")
	}
	return st.withReason("quarantine", err)
}

// runWithRetries tries the request until it has a usable answer or no further try is allowed.
func (p *Pipeline) runWithRetries(ctx context.Context, st *requestState) (*briarferry.Answer, error) {
	for try := 1; ; try++ {
		a, err := p.tryWithHedge(ctx, st)
		if err == nil && !st.retryable(a) {
			return a, nil
		}
		if st.isRefusal(err) || !p.waitForRetry(ctx, st, err, try) {
			return a, st.finalError(err)
		}
		st.count(countRetried)
	}
}

// waitForRetry waits for the backoff before the next try. It returns false if the request
// must not be tried again.
func (p *Pipeline) waitForRetry(ctx context.Context, st *requestState, err error, try int) bool {
	var tryErr *briarferry.TryError
	if errors.As(err, &tryErr) && tryErr.Dispatched && st.request.Key != "" {
		return false
	}
	if try == maxTries || ctx.Err() != nil {
		return false
	}
	pause, ok := p.retryPolicy().Backoff(st.service.Name, try, time.Now(), st.request.Deadline, 0)
	if !ok {
		return false
	}
	if !p.retryPolicy().Spend(st.service.Name) {
		st.count(countRetryBudgetSpent)
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

// retryable reports whether another try may get a better answer, because the status says that
// the server or one behind it is unavailable. An answer to a request with a key is final.
func (st *requestState) retryable(a *briarferry.Answer) bool {
	if st.request.Key != "" {
		return false
	}
	switch a.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func (st *requestState) isRefusal(err error) bool {
	var refusal *briarferry.Refusal
	return errors.As(err, &refusal)
}

// finalError returns the error for a request that got no usable answer.
func (st *requestState) finalError(err error) error {
	if err == nil {
		return nil
	}
	if st.dispatched.Load() {
		return refuseUnknown("no backend server gave a whole answer in time")
	}
	if st.isRefusal(err) {
		return err
	}
	return refuseNotRun("no backend server took the request")
}

func (st *requestState) count(event string) { st.counters.add(st.request, event) }

// withReason stores the reason of a refusal for the counters and returns err. The reason is
// counted only if the refusal ends the request.
func (st *requestState) withReason(reason string, err error) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.refusalReason = reason
	return err
}

// countResult counts how the request ended.
func (st *requestState) countResult(a *briarferry.Answer, err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	switch late := time.Now().After(st.request.Deadline); {
	case late:
		st.count(countLate)
	case err != nil && st.refusalReason != "" && !st.dispatched.Load():
		st.count(countRefusedPrefix + st.refusalReason)
	case err != nil || a.Status >= http.StatusInternalServerError:
		st.count(countFailed)
	default:
		st.count(countAnswered)
	}
}

// avoidServer makes further tries use other servers if possible.
func (st *requestState) avoidServer(id briarferry.BackendID) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.avoid = append(st.avoid, id)
}

func (st *requestState) avoidedServers() []briarferry.BackendID {
	st.mu.Lock()
	defer st.mu.Unlock()
	return append([]briarferry.BackendID(nil), st.avoid...)
}

// TryTimeout returns the current timeout of a try for the named service, or 0 if the service
// is unknown.
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
	return p.retryPolicy().TryTimeout(time.Now(), s)
}

func (p *Pipeline) retryPolicy() *bfretry.Policy {
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
	return processCounters
}

func isNotRun(err error) bool {
	var refusal *briarferry.Refusal
	return errors.As(err, &refusal) && refusal.Outcome == briarferry.OutcomeNotRun
}
