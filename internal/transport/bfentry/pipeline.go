package bfentry

import (
	"context"
	"crypto/sha256"
	"errors"
	"time"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
)

const maxTries = 3

// Pipeline takes a request through claim, admission and tries at backend servers.
type Pipeline struct {
	Claims   briarferry.Claimer
	Admitter briarferry.Admitter
	Upstream briarferry.Upstream
}

// Run returns the whole answer, or the error that ends the request.
func (p *Pipeline) Run(ctx context.Context, s briarferry.Service, r *briarferry.Request, lease briarferry.Lease) (*briarferry.Answer, error) {
	if r.Key == "" {
		return p.runTries(ctx, s, r)
	}
	return p.runClaimed(ctx, s, r, lease)
}

// runClaimed claims the key, so that the request runs at most once, and records
// what became of it.
func (p *Pipeline) runClaimed(ctx context.Context, s briarferry.Service, r *briarferry.Request, lease briarferry.Lease) (*briarferry.Answer, error) {
	c := newClaim(r, lease)
	reply, err := p.Claims.Claim(ctx, c)
	if err != nil {
		return nil, refuseUnknown("the claim could not be confirmed")
	}
	if reply.Result != briarferry.ClaimGranted {
		return claimAnswer(reply)
	}
	a, err := p.runTries(ctx, s, r)
	if err == nil {
		return a, p.complete(ctx, c, a)
	}
	if !isNotRun(err) {
		return nil, refuseUnknown("the request may have run")
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if _, releaseErr := p.Claims.Release(ctx, c); releaseErr != nil {
		return nil, refuseUnknown("the claim could not be released")
	}
	return nil, err
}

func (p *Pipeline) complete(ctx context.Context, c briarferry.Claim, a *briarferry.Answer) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
	go func() {
		defer cancel()
		_ = p.Claims.Complete(ctx, c, *a)
	}()
	return nil
}

func claimAnswer(reply briarferry.ClaimReply) (*briarferry.Answer, error) {
	switch reply.Result {
	case briarferry.ClaimCompleted:
		if reply.Answer != nil {
			return reply.Answer, nil
		}
		return nil, refuseUnknown("the request ran before; its answer was not kept")
	case briarferry.ClaimMismatch:
		return nil, refuseMismatch()
	case briarferry.ClaimStale, briarferry.ClaimReleased:
		return nil, refuseNotRun("the key was refused while this attempt was under way")
	case briarferry.ClaimFull:
		return nil, refuseNotRun("the table of execution claims is full")
	default:
		return nil, refuseUnknown("another attempt with the key may have run")
	}
}

func newClaim(r *briarferry.Request, lease briarferry.Lease) briarferry.Claim {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Target} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	c := briarferry.Claim{Service: r.Service, Key: r.Key, Token: bfapi.NewRequestID(), SeenIndex: lease.CommitIndex}
	h.Sum(c.Digest[:0])
	return c
}

func (p *Pipeline) runTries(ctx context.Context, s briarferry.Service, r *briarferry.Request) (*briarferry.Answer, error) {
	var avoid []briarferry.BackendID
	for try := 1; ; try++ {
		slot, err := p.Admitter.Acquire(ctx, briarferry.Ticket{
			Service: s.Name, Class: r.Class, Deadline: r.Deadline, Expected: s.Expected.Std(), Avoid: avoid,
		})
		if err != nil {
			return nil, err
		}
		a, err := p.try(ctx, slot, r)
		if err == nil {
			return a, nil
		}
		var tryErr *briarferry.TryError
		if !errors.As(err, &tryErr) {
			return nil, refuseUnknown(err.Error())
		}
		avoid = append(avoid, tryErr.Backend)
		if tryErr.Dispatched && r.Key != "" {
			return nil, refuseUnknown("the backend server gave no whole answer")
		}
		if try == maxTries || ctx.Err() != nil {
			return nil, lastRefusal(r, tryErr)
		}
	}
}

func lastRefusal(r *briarferry.Request, tryErr *briarferry.TryError) error {
	if tryErr.Dispatched {
		return refuseUnknown("no backend server gave a whole answer in time")
	}
	return refuseNotRun("no backend server took the request")
}

func (p *Pipeline) try(ctx context.Context, slot briarferry.Slot, r *briarferry.Request) (*briarferry.Answer, error) {
	ctx, span := tracer.Start(ctx, "attempt")
	defer span.End()
	start := time.Now()
	a, err := p.Upstream.Do(ctx, slot.Backend(), r)
	slot.Done(briarferry.TryReport{
		Latency:   time.Since(start),
		Failed:    err != nil || a.Status >= 500,
		Cancelled: errors.Is(ctx.Err(), context.Canceled),
	})
	return a, err
}

func isNotRun(err error) bool {
	var refusal *briarferry.Refusal
	return errors.As(err, &refusal) && refusal.Outcome == briarferry.OutcomeNotRun
}
