package bfrpc

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"briarferry"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bfclaim"
	"briarferry/internal/state/bfcodec"
	"briarferry/internal/state/bfmachine"
)

const (
	dialTimeout = time.Second
	// claimsInterval is the minimum time between the starts of two calls with claims;
	// claims that arrive in between share the next call. claimsInFlight limits the
	// calls in flight, and thereby the connections.
	claimsInterval = time.Millisecond / 2
	claimsInFlight = 128
	// attemptTimeout limits one attempt at one control VM, and thus the delay that an
	// unresponsive connection or a frozen leader can cause.
	attemptTimeout = time.Second
	// syncAttemptTimeout includes the time for which the leader holds a sync call while
	// it waits for a newer revision.
	syncAttemptTimeout = 1200 * time.Millisecond
	// changeAttemptTimeout includes the time until the leases on the previous
	// configuration have expired.
	changeAttemptTimeout = 6 * time.Second
	claimsTimeout        = 10 * time.Second
	minRetryDelay        = 10 * time.Millisecond
	maxRetryDelay        = 200 * time.Millisecond
)

type (
	// ControlClient calls the control plane. It first calls a random control VM and
	// follows redirects to the leader. It implements briarferry.Claimer, bflease.Transport
	// and bfplacement.Transport. The exported fields are set before use.
	ControlClient struct {
		// Targets are the RPC addresses of the control VMs.
		Targets []netip.AddrPort
		// OnIndex is called with the log index of each reply to a claim; nil ignores it.
		OnIndex func(index uint64)
		// HTTP is the client for the calls; nil creates one.
		HTTP *http.Client
		// Security secures the calls; nil means cleartext.
		Security *Security

		once   sync.Once
		claims *batcher[bfmachine.ClaimOp, bfmachine.ClaimReply]

		mu sync.Mutex
		// current is the control VM that is called next.
		current    netip.AddrPort
		procedures map[netip.AddrPort]*procedures
	}

	// NotLeaderError is the error of a call to a VM that is not the leader.
	NotLeaderError struct {
		// Leader is the leader's RPC address if the called VM knows it.
		Leader netip.AddrPort
	}

	unaryCall[Req, Res any] = func(context.Context, *Req) (*Res, error)

	// procedures holds the calls to one control VM.
	procedures struct {
		sync      unaryCall[bfwire.SyncRequest, bfwire.SyncReply]
		claims    unaryCall[bfwire.ClaimsRequest, bfwire.ClaimsReply]
		change    unaryCall[bfwire.ChangeRequest, bfwire.ChangeReply]
		config    unaryCall[bfwire.ConfigRequest, bfwire.ConfigReply]
		status    unaryCall[bfwire.ControlStatusRequest, bfwire.ControlStatus]
		placement unaryCall[bfwire.PlacementReport, bfwire.PlacementReply]
	}
)

// Error returns a message with the leader's address if it is known.
func (e *NotLeaderError) Error() string {
	if !e.Leader.IsValid() {
		return "bfrpc: VM is not the leader and knows none"
	}
	return fmt.Sprintf("bfrpc: VM is not the leader; the leader is %s", e.Leader)
}

// Unwrap returns briarferry.ErrNotLeader.
func (e *NotLeaderError) Unwrap() error { return briarferry.ErrNotLeader }

func (c *ControlClient) init() {
	if c.HTTP == nil {
		c.HTTP = c.Security.NewClient(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: claimsInFlight,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
		}, 0)
	}
	c.procedures = map[netip.AddrPort]*procedures{}
	c.claims = &batcher[bfmachine.ClaimOp, bfmachine.ClaimReply]{
		send: c.sendClaims, size: claimSize, interval: claimsInterval, maxInFlight: claimsInFlight,
		maxOps: bfwire.MaxClaimOps, maxBytes: maxEntryBytes, timeout: claimsTimeout,
	}
}

func claimSize(op bfmachine.ClaimOp) int { return opSize(bfmachine.Op{Claim: &op}) }

// Sync asks the leader for a configuration lease.
func (c *ControlClient) Sync(ctx context.Context, r bfwire.SyncRequest) (bfwire.SyncReply, error) {
	reply, err := call(ctx, c, syncAttemptTimeout, &r, func(p *procedures) unaryCall[bfwire.SyncRequest, bfwire.SyncReply] { return p.sync })
	if err != nil {
		return bfwire.SyncReply{}, err
	}
	return *reply, nil
}

// Placement sends an entry's load measurements to the leader and returns its reply.
func (c *ControlClient) Placement(ctx context.Context, r bfwire.PlacementReport) (bfwire.PlacementReply, error) {
	reply, err := call(ctx, c, attemptTimeout, &r, func(p *procedures) unaryCall[bfwire.PlacementReport, bfwire.PlacementReply] { return p.placement })
	if err != nil {
		return bfwire.PlacementReply{}, err
	}
	return *reply, nil
}

// Change commits an operator's change and returns once it is in force. The operation
// carries an idempotency key, so that it is safe to repeat.
func (c *ControlClient) Change(ctx context.Context, op bfmachine.Op) (bfmachine.OpResult, error) {
	reply, err := call(ctx, c, changeAttemptTimeout, &bfwire.ChangeRequest{Op: op}, func(p *procedures) unaryCall[bfwire.ChangeRequest, bfwire.ChangeReply] { return p.change })
	if err != nil {
		return bfmachine.OpResult{}, err
	}
	return reply.Result, nil
}

// Config returns the newest committed configuration state.
func (c *ControlClient) Config(ctx context.Context) (*bfmachine.ConfigState, error) {
	reply, err := call(ctx, c, attemptTimeout, &bfwire.ConfigRequest{}, func(p *procedures) unaryCall[bfwire.ConfigRequest, bfwire.ConfigReply] { return p.config })
	if err != nil {
		return nil, err
	}
	return &reply.State, nil
}

// Status returns the status of the first replica that replies.
func (c *ControlClient) Status(ctx context.Context) (*bfwire.ControlStatus, error) {
	return call(ctx, c, attemptTimeout, &bfwire.ControlStatusRequest{}, func(p *procedures) unaryCall[bfwire.ControlStatusRequest, bfwire.ControlStatus] {
		return p.status
	})
}

// Claim claims the right to execute a request.
func (c *ControlClient) Claim(ctx context.Context, claim briarferry.Claim) (briarferry.ClaimReply, error) {
	return c.claim(ctx, bfmachine.ClaimOp{Kind: bfmachine.OpClaim, Claim: claim})
}

// Release releases the claim on a request that is known not to have been dispatched.
func (c *ControlClient) Release(ctx context.Context, claim briarferry.Claim) (briarferry.ClaimReply, error) {
	return c.claim(ctx, bfmachine.ClaimOp{Kind: bfmachine.OpRelease, Claim: claim})
}

// Refuse records that an attempt without a claim will not be executed.
func (c *ControlClient) Refuse(ctx context.Context, claim briarferry.Claim) (briarferry.ClaimReply, error) {
	return c.claim(ctx, bfmachine.ClaimOp{Kind: bfmachine.OpRefuse, Claim: claim})
}

// Complete marks a claim as completed and stores the answer, unless the answer is too
// large.
func (c *ControlClient) Complete(ctx context.Context, claim briarferry.Claim, a briarferry.Answer) error {
	answer, err := bfcodec.Marshal(a)
	if err != nil {
		return err
	}
	if len(answer) > bfclaim.MaxAnswerBytes {
		answer = nil
	}
	reply, err := c.claim(ctx, bfmachine.ClaimOp{Kind: bfmachine.OpComplete, Claim: claim, Answer: answer})
	if err == nil && reply.Result != briarferry.ClaimCompleted {
		err = fmt.Errorf("bfrpc: complete: claim is %s", reply.Result)
	}
	return err
}

func (c *ControlClient) claim(ctx context.Context, op bfmachine.ClaimOp) (briarferry.ClaimReply, error) {
	if err := op.Validate().Err(); err != nil {
		return briarferry.ClaimReply{}, fmt.Errorf("bfrpc: %s: %w", op.Kind, err)
	}
	c.once.Do(c.init)
	results, err := c.claims.do(ctx, op)
	if err != nil {
		return briarferry.ClaimReply{}, err
	}
	reply := briarferry.ClaimReply{Result: results[0].Result}
	if len(results[0].Answer) > 0 {
		reply.Answer = &briarferry.Answer{}
		if err := bfcodec.Unmarshal(results[0].Answer, reply.Answer); err != nil {
			return briarferry.ClaimReply{}, fmt.Errorf("bfrpc: decode stored answer: %w", err)
		}
	}
	return reply, nil
}

func (c *ControlClient) sendClaims(ctx context.Context, ops []bfmachine.ClaimOp) ([]bfmachine.ClaimReply, error) {
	reply, err := call(ctx, c, attemptTimeout, &bfwire.ClaimsRequest{Ops: ops}, func(p *procedures) unaryCall[bfwire.ClaimsRequest, bfwire.ClaimsReply] { return p.claims })
	if err != nil {
		return nil, err
	}
	if c.OnIndex != nil {
		c.OnIndex(reply.Index)
	}
	results := make([]bfmachine.ClaimReply, len(reply.Results))
	for i, r := range reply.Results {
		results[i] = *r.Claim
	}
	return results, nil
}

// call sends a request to one control VM after another until one of them replies or ctx
// ends. Every request is safe to repeat: claims carry a token, changes carry an
// idempotency key, and the other requests are idempotent.
func call[Req, Res any](ctx context.Context, c *ControlClient, timeout time.Duration, r *Req, procedure func(*procedures) unaryCall[Req, Res]) (*Res, error) {
	c.once.Do(c.init)
	if len(c.Targets) == 0 {
		return nil, fmt.Errorf("bfrpc: no control VM is configured")
	}
	delay := minRetryDelay
	for {
		target, p := c.target()
		res, err := callOnce(ctx, timeout, r, procedure(p))
		if err == nil {
			return res, nil
		}
		if connect.CodeOf(err) == connect.CodeInvalidArgument {
			return nil, fmt.Errorf("bfrpc: call %s: %w", target, err)
		}
		if c.redirect(target, err) {
			delay = minRetryDelay
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("bfrpc: call %s: %w", target, err)
		case <-time.After(delay/2 + rand.N(delay/2)):
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

func callOnce[Req, Res any](ctx context.Context, timeout time.Duration, r *Req, send unaryCall[Req, Res]) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res, err := send(ctx, r)
	if err == nil {
		return res, nil
	}
	var connectErr *connect.Error
	if errors.As(err, &connectErr) && connectErr.Code() == connect.CodeFailedPrecondition {
		leader, _ := netip.ParseAddrPort(connectErr.Meta().Get(headerLeader))
		return nil, &NotLeaderError{Leader: leader}
	}
	return nil, err
}

// target returns the control VM to call next.
func (c *ControlClient) target() (netip.AddrPort, *procedures) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.current.IsValid() {
		c.current = c.Targets[rand.IntN(len(c.Targets))]
	}
	p := c.procedures[c.current]
	if p == nil {
		p = newProcedures(c.HTTP, c.Security.baseURL(c.current))
		c.procedures[c.current] = p
	}
	return c.current, p
}

// redirect chooses the next control VM after a failed call. It reports whether the
// called VM named the leader.
func (c *ControlClient) redirect(failed netip.AddrPort, err error) bool {
	var notLeader *NotLeaderError
	leaderKnown := errors.As(err, &notLeader) && notLeader.Leader.IsValid() && notLeader.Leader != failed
	if notLeader == nil {
		// The connection may be dead without having been closed; the same may then be
		// true of the idle ones.
		c.HTTP.CloseIdleConnections()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.current != failed:
	case leaderKnown:
		c.current = notLeader.Leader
	default:
		c.current = c.Targets[(slices.Index(c.Targets, failed)+1)%len(c.Targets)]
	}
	return leaderKnown
}

func newProcedures(h *http.Client, base string) *procedures {
	return &procedures{
		sync:      NewCall[bfwire.SyncRequest, bfwire.SyncReply](h, base, procedureSync),
		claims:    NewCall[bfwire.ClaimsRequest, bfwire.ClaimsReply](h, base, procedureClaims),
		change:    NewCall[bfwire.ChangeRequest, bfwire.ChangeReply](h, base, procedureChange),
		config:    NewCall[bfwire.ConfigRequest, bfwire.ConfigReply](h, base, procedureConfig),
		status:    NewCall[bfwire.ControlStatusRequest, bfwire.ControlStatus](h, base, procedureStatus),
		placement: NewCall[bfwire.PlacementReport, bfwire.PlacementReply](h, base, procedurePlacement),
	}
}
