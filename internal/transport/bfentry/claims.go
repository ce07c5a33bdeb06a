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
	// releaseTimeout is the timeout for releasing or refusing a claim, during which the
	// caller waits.
	releaseTimeout = time.Second
	// completeTimeout is the total time for recording an answer, retries included. It is
	// several times as long as the election of a new leader.
	completeTimeout       = 30 * time.Second
	completeRetryInterval = 200 * time.Millisecond
	// maxPendingCompletions limits the answers that wait to be recorded while the control
	// group is unreachable. Answers beyond it are not recorded, and the outcome of their
	// claims stays "unknown".
	maxPendingCompletions = 1024
)

// runClaimed claims the key, so that the request runs at most once. It records the answer,
// or releases the claim if the request did not run. If the request may have run without a
// whole answer, the claim stays held.
func (p *Pipeline) runClaimed(ctx context.Context, st *requestState, lease briarferry.Lease) (*briarferry.Answer, error) {
	c := newClaim(st.request, lease)
	reply, err := p.claim(ctx, c)
	if err != nil {
		// The claim may still be committed later. Without a release it would stay held by
		// an attempt that has ended.
		go p.release(context.WithoutCancel(ctx), c)
		return nil, st.withReason("claim_unconfirmed", refuseUnknown("the claim could not be confirmed"))
	}
	if reply.Result != briarferry.ClaimGranted {
		return p.ungrantedClaimResult(ctx, st, c, reply)
	}
	a, err := p.runWithRetries(ctx, st)
	if err == nil {
		p.complete(ctx, st, c, a)
		return a, nil
	}
	if st.dispatched.Load() || !isNotRun(err) {
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

// release releases the claim and reports whether the release is committed.
func (p *Pipeline) release(ctx context.Context, c briarferry.Claim) bool {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	reply, err := p.Claims.Release(ctx, c)
	return err == nil && reply.Result == briarferry.ClaimReleased
}

// complete records the answer in the background. The caller doesn't wait for it, since the
// claim alone already prevents a second run of the request.
func (p *Pipeline) complete(ctx context.Context, st *requestState, c briarferry.Claim, a *briarferry.Answer) {
	if p.pendingCompletions.Add(1) > maxPendingCompletions {
		p.pendingCompletions.Add(-1)
		p.counters().add(st.request, countCompletionLost)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), completeTimeout)
	go func() {
		defer cancel()
		defer p.pendingCompletions.Add(-1)
		for p.Claims.Complete(ctx, c, *a) != nil {
			select {
			case <-time.After(completeRetryInterval):
			case <-ctx.Done():
				p.counters().add(st.request, countCompletionLost)
				return
			}
		}
	}()
}

// ungrantedClaimResult returns the answer or the refusal for a claim that was not granted.
// It says "not run" only after a committed release or refusal.
func (p *Pipeline) ungrantedClaimResult(ctx context.Context, st *requestState, c briarferry.Claim, reply briarferry.ClaimReply) (*briarferry.Answer, error) {
	switch reply.Result {
	case briarferry.ClaimCompleted:
		// Earlier builds recorded answers with any status.
		if reply.Answer != nil && briarferry.IsFinalStatus(reply.Answer.Status) {
			st.count(countReplayed)
			return reply.Answer, nil
		}
		return nil, st.withReason("claim_completed", refuseUnknown("the request ran before; its answer was not kept"))
	case briarferry.ClaimMismatch:
		return nil, st.withReason("claim_mismatch", refuseKeyMismatch())
	case briarferry.ClaimStale, briarferry.ClaimReleased:
		return nil, st.withReason("claim_stale", refuseNotRun("the key was refused while this attempt was under way"))
	case briarferry.ClaimFull:
		return nil, st.withReason("claim_full", p.refuseTableFull(ctx, c))
	default:
		return nil, st.withReason("claim_held", refuseUnknown("another attempt with the key may have run"))
	}
}

// refuseTableFull refuses a request because the claim table is full. It records the refusal,
// since a delayed attempt with the same key could still be granted once the table has room.
func (p *Pipeline) refuseTableFull(ctx context.Context, c briarferry.Claim) error {
	const reason = "the table of execution claims is full"
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if reply, err := p.Claims.Refuse(ctx, c); err == nil && reply.Result == briarferry.ClaimReleased {
		return refuseNotRun(reason)
	}
	return refuseUnknown(reason)
}

// Refuse refuses a request for whose class the placement has no capacity. If the request has
// a key, the caller is told "not run" only after the refusal is recorded.
func (p *Pipeline) Refuse(ctx context.Context, s briarferry.Service, r *briarferry.Request, lease briarferry.Lease) (*briarferry.Answer, error) {
	const reason = "no region has room for the request's priority class"
	st := &requestState{service: s, request: r, counters: p.counters()}
	a, err := p.refuseForPlacement(ctx, st, lease, reason)
	st.countResult(a, err)
	return a, err
}

// refuseForPlacement returns the refusal, or the answer of an earlier attempt with the key.
func (p *Pipeline) refuseForPlacement(ctx context.Context, st *requestState, lease briarferry.Lease, reason string) (*briarferry.Answer, error) {
	if st.request.Key == "" {
		return nil, st.withReason("placement", refuseNotRun(reason))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	c := newClaim(st.request, lease)
	reply, err := p.Claims.Refuse(ctx, c)
	switch {
	case err != nil:
		return nil, st.withReason("claim_unconfirmed", refuseUnknown("the refusal could not be recorded"))
	case reply.Result == briarferry.ClaimReleased:
		return nil, st.withReason("placement", refuseNotRun(reason))
	}
	return p.ungrantedClaimResult(ctx, st, c, reply)
}

// newClaim returns a claim with a new token for the request's key. Its digest covers the
// method, the target and the body.
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
