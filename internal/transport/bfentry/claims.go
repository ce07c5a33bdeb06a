package bfentry

import (
	"context"
	"crypto/sha256"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
)

const (
	// settleTimeout bounds the wait for a release, which the caller waits for.
	settleTimeout = time.Second
	// completeTimeout bounds the attempts to record an answer; it outlasts the
	// election of a new leader several times.
	completeTimeout = 30 * time.Second
	completePause   = 200 * time.Millisecond
	// maxCompletions bounds the answers that wait to be recorded while the control
	// group is unreachable; the claims of those beyond it stay "unknown".
	maxCompletions = 1024
)

// runClaimed claims the key, so that the request runs at most once, and records
// what became of it.
func (p *Pipeline) runClaimed(ctx context.Context, t *run, lease briarferry.Lease) (*briarferry.Answer, error) {
	c := newClaim(t.request, lease)
	reply, err := p.claim(ctx, c)
	if err != nil {
		// The claim may be recorded later, and would be held for an attempt that has
		// ended.
		go p.release(context.WithoutCancel(ctx), c)
		return nil, t.refuse("claim_unconfirmed", refuseUnknown("the claim could not be confirmed"))
	}
	if reply.Result != briarferry.ClaimGranted {
		return p.claimAnswer(ctx, t, c, reply)
	}
	a, err := p.runTries(ctx, t)
	if err == nil {
		p.complete(ctx, t, c, a)
		return a, nil
	}
	if t.dispatched.Load() || !isNotRun(err) {
		return nil, refuseUnknown("the request may have run")
	}
	if !p.release(context.WithoutCancel(ctx), c) {
		return nil, refuseUnknown("the claim could not be released")
	}
	return nil, err
}

func (p *Pipeline) claim(ctx context.Context, c briarferry.Claim) (briarferry.ClaimReply, error) {
	ctx, span := tracer.Start(ctx, "claim")
	defer span.End()
	reply, err := p.Claims.Claim(ctx, c)
	span.SetAttributes(attribute.String("result", string(reply.Result)))
	if err != nil {
		span.RecordError(err)
	}
	return reply, err
}

// release gives the claim back and tells whether that is committed.
func (p *Pipeline) release(ctx context.Context, c briarferry.Claim) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	reply, err := p.Claims.Release(ctx, c)
	return err == nil && reply.Result == briarferry.ClaimReleased
}

// complete records the answer without letting the caller wait for it: the claim
// itself already keeps the request from running again.
func (p *Pipeline) complete(ctx context.Context, t *run, c briarferry.Claim, a *briarferry.Answer) {
	if p.completions.Add(1) > maxCompletions {
		p.completions.Add(-1)
		p.counters().add(t.request, countCompletion)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), completeTimeout)
	go func() {
		defer cancel()
		defer p.completions.Add(-1)
		for p.Claims.Complete(ctx, c, *a) != nil {
			select {
			case <-time.After(completePause):
			case <-ctx.Done():
				p.counters().add(t.request, countCompletion)
				return
			}
		}
	}()
}

// claimAnswer turns a claim that was not granted into the caller's answer. Only a
// committed release or refusal lets it say that the request did not run.
func (p *Pipeline) claimAnswer(ctx context.Context, t *run, c briarferry.Claim, reply briarferry.ClaimReply) (*briarferry.Answer, error) {
	switch reply.Result {
	case briarferry.ClaimCompleted:
		if reply.Answer != nil {
			t.count(countReplayed)
			return reply.Answer, nil
		}
		return nil, t.refuse("claim_completed", refuseUnknown("the request ran before; its answer was not kept"))
	case briarferry.ClaimMismatch:
		return nil, t.refuse("claim_mismatch", refuseMismatch())
	case briarferry.ClaimStale, briarferry.ClaimReleased:
		return nil, t.refuse("claim_stale", refuseNotRun("the key was refused while this attempt was under way"))
	case briarferry.ClaimFull:
		return nil, t.refuse("claim_full", p.refuseFull(ctx, c))
	default:
		return nil, t.refuse("claim_held", refuseUnknown("another attempt with the key may have run"))
	}
}

// refuseFull records the refusal, since a delayed attempt with the key could still
// be granted once the table has room again.
func (p *Pipeline) refuseFull(ctx context.Context, c briarferry.Claim) error {
	const reason = "the table of execution claims is full"
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if reply, err := p.Claims.Refuse(ctx, c); err == nil && reply.Result == briarferry.ClaimReleased {
		return refuseNotRun(reason)
	}
	return refuseUnknown(reason)
}

// Refuse ends a request whose class has no room. With a key, only a recorded refusal
// lets the caller be told that it did not run.
func (p *Pipeline) Refuse(ctx context.Context, s briarferry.Service, r *briarferry.Request, lease briarferry.Lease) (*briarferry.Answer, error) {
	const reason = "no region has room for the request's priority class"
	t := &run{service: s, request: r, counters: p.counters()}
	a, err := p.refuseRecorded(ctx, t, lease, reason)
	t.countResult(a, err)
	return a, err
}

func (p *Pipeline) refuseRecorded(ctx context.Context, t *run, lease briarferry.Lease, reason string) (*briarferry.Answer, error) {
	if t.request.Key == "" {
		return nil, t.refuse("placement", refuseNotRun(reason))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	c := newClaim(t.request, lease)
	reply, err := p.Claims.Refuse(ctx, c)
	switch {
	case err != nil:
		return nil, t.refuse("claim_unconfirmed", refuseUnknown("the refusal could not be recorded"))
	case reply.Result == briarferry.ClaimReleased:
		return nil, t.refuse("placement", refuseNotRun(reason))
	}
	return p.claimAnswer(ctx, t, c, reply)
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
