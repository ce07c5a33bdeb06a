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
	// claimsInterval lies between the starts of two calls with claims; claims that
	// come in between share the next one. claimsInFlight bounds the connections.
	claimsInterval = time.Millisecond / 2
	claimsInFlight = 128
	// attemptTimeout bounds one attempt at one control VM, so that a silent
	// connection or a frozen leader costs this much at most.
	attemptTimeout = time.Second
	// syncAttempt leaves room for the time that the leader holds a sync call.
	syncAttempt = 1200 * time.Millisecond
	// changeAttempt leaves room for leases to run out before a change is in force.
	changeAttempt = 6 * time.Second
	claimsTimeout = 10 * time.Second
	firstPause    = 10 * time.Millisecond
	longestPause  = 200 * time.Millisecond
)

type (
	// ControlClient calls the control plane through any control VM and follows the
	// leader. It implements briarferry.Claimer, bflease.Transport
	// and bfplacement.Transport. The exported
	// fields are set before use.
	ControlClient struct {
		// Targets are the RPC addresses of the control VMs.
		Targets []netip.AddrPort
		// OnIndex is called with the log index of each reply to a claim; nil ignores it.
		OnIndex func(index uint64)
		// HTTP carries the calls; nil stands for a client with own connections.
		HTTP *http.Client
		// Security protects the calls; nil stands for cleartext.
		Security *Security

		once   sync.Once
		claims *batcher[bfmachine.ClaimOp, bfmachine.ClaimReply]

		mu      sync.Mutex
		current netip.AddrPort
		clients map[netip.AddrPort]*procedures
	}

	// NotLeaderError says that the called VM does not lead.
	NotLeaderError struct {
		// Leader is the leader's RPC address where the VM knows it.
		Leader netip.AddrPort
	}

	rpc[Req, Res any] = func(context.Context, *Req) (*Res, error)

	procedures struct {
		sync      rpc[bfwire.SyncRequest, bfwire.SyncReply]
		claims    rpc[bfwire.ClaimsRequest, bfwire.ClaimsReply]
		change    rpc[bfwire.ChangeRequest, bfwire.ChangeReply]
		config    rpc[bfwire.ConfigRequest, bfwire.ConfigReply]
		status    rpc[bfwire.ControlStatusRequest, bfwire.ControlStatus]
		placement rpc[bfwire.PlacementReport, bfwire.PlacementReply]
	}
)

// Error returns the leader's address.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("bfrpc: VM does not lead; leader %s", e.Leader)
}

// Unwrap makes the error equal to briarferry.ErrNotLeader.
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
	c.clients = map[netip.AddrPort]*procedures{}
	c.claims = &batcher[bfmachine.ClaimOp, bfmachine.ClaimReply]{
		flush: c.sendClaims, size: claimSize, interval: claimsInterval, inFlight: claimsInFlight,
		maxOps: bfwire.MaxClaimOps, maxBytes: maxEntryBytes, timeout: claimsTimeout,
	}
}

func claimSize(op bfmachine.ClaimOp) int { return opSize(bfmachine.Op{Claim: &op}) }

// Sync makes one sync call.
func (c *ControlClient) Sync(ctx context.Context, r bfwire.SyncRequest) (bfwire.SyncReply, error) {
	reply, err := call(ctx, c, syncAttempt, &r, func(p *procedures) rpc[bfwire.SyncRequest, bfwire.SyncReply] { return p.sync })
	if err != nil {
		return bfwire.SyncReply{}, err
	}
	return *reply, nil
}

// Placement reports an entry's measurements to the leader.
func (c *ControlClient) Placement(ctx context.Context, r bfwire.PlacementReport) (bfwire.PlacementReply, error) {
	reply, err := call(ctx, c, attemptTimeout, &r, func(p *procedures) rpc[bfwire.PlacementReport, bfwire.PlacementReply] { return p.placement })
	if err != nil {
		return bfwire.PlacementReply{}, err
	}
	return *reply, nil
}

// Change makes an operator's change and returns once it is in force. The
// operation carries an idempotency key, so that repeating it is safe.
func (c *ControlClient) Change(ctx context.Context, op bfmachine.Op) (bfmachine.OpResult, error) {
	reply, err := call(ctx, c, changeAttempt, &bfwire.ChangeRequest{Op: op}, func(p *procedures) rpc[bfwire.ChangeRequest, bfwire.ChangeReply] { return p.change })
	if err != nil {
		return bfmachine.OpResult{}, err
	}
	return reply.Result, nil
}

// Config returns the newest committed configuration state.
func (c *ControlClient) Config(ctx context.Context) (*bfmachine.ConfigState, error) {
	reply, err := call(ctx, c, attemptTimeout, &bfwire.ConfigRequest{}, func(p *procedures) rpc[bfwire.ConfigRequest, bfwire.ConfigReply] { return p.config })
	if err != nil {
		return nil, err
	}
	return &reply.State, nil
}

// Status describes the replica that answers first.
func (c *ControlClient) Status(ctx context.Context) (*bfwire.ControlStatus, error) {
	return call(ctx, c, attemptTimeout, &bfwire.ControlStatusRequest{}, func(p *procedures) rpc[bfwire.ControlStatusRequest, bfwire.ControlStatus] {
		return p.status
	})
}

// Claim asks for the right to run.
func (c *ControlClient) Claim(ctx context.Context, claim briarferry.Claim) (briarferry.ClaimReply, error) {
	return c.claim(ctx, bfmachine.ClaimOp{Kind: bfmachine.OpClaim, Claim: claim})
}

// Release gives back a claim that certainly was not dispatched.
func (c *ControlClient) Release(ctx context.Context, claim briarferry.Claim) (briarferry.ClaimReply, error) {
	return c.claim(ctx, bfmachine.ClaimOp{Kind: bfmachine.OpRelease, Claim: claim})
}

// Refuse records that an attempt that holds no claim will not run.
func (c *ControlClient) Refuse(ctx context.Context, claim briarferry.Claim) (briarferry.ClaimReply, error) {
	return c.claim(ctx, bfmachine.ClaimOp{Kind: bfmachine.OpRefuse, Claim: claim})
}

// Complete records the answer of a claim, without it where it is too large.
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
			return briarferry.ClaimReply{}, fmt.Errorf("bfrpc: recorded answer: %w", err)
		}
	}
	return reply, nil
}

func (c *ControlClient) sendClaims(ctx context.Context, ops []bfmachine.ClaimOp) ([]bfmachine.ClaimReply, error) {
	reply, err := call(ctx, c, attemptTimeout, &bfwire.ClaimsRequest{Ops: ops}, func(p *procedures) rpc[bfwire.ClaimsRequest, bfwire.ClaimsReply] { return p.claims })
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

// call repeats a request at one control VM after another until one answers or
// ctx ends. Every request is safe to repeat: claims carry a token, changes an
// idempotency key, and the others change nothing.
func call[Req, Res any](ctx context.Context, c *ControlClient, attempt time.Duration, r *Req, procedure func(*procedures) rpc[Req, Res]) (*Res, error) {
	c.once.Do(c.init)
	if len(c.Targets) == 0 {
		return nil, fmt.Errorf("bfrpc: no control VM is configured")
	}
	pause := firstPause
	for {
		target, p := c.target()
		res, err := callOnce(ctx, attempt, r, procedure(p))
		if err == nil {
			return res, nil
		}
		if connect.CodeOf(err) == connect.CodeInvalidArgument {
			return nil, fmt.Errorf("bfrpc: call %s: %w", target, err)
		}
		if c.redirect(target, err) {
			pause = firstPause
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("bfrpc: call %s: %w", target, err)
		case <-time.After(pause/2 + rand.N(pause/2)):
		}
		pause = min(2*pause, longestPause)
	}
}

func callOnce[Req, Res any](ctx context.Context, attempt time.Duration, r *Req, send rpc[Req, Res]) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, attempt)
	defer cancel()
	res, err := send(ctx, r)
	if err == nil {
		return res, nil
	}
	var wire *connect.Error
	if errors.As(err, &wire) && wire.Code() == connect.CodeFailedPrecondition {
		leader, _ := netip.ParseAddrPort(wire.Meta().Get(headerLeader))
		return nil, &NotLeaderError{Leader: leader}
	}
	return nil, err
}

// target returns the VM to call next.
func (c *ControlClient) target() (netip.AddrPort, *procedures) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.current.IsValid() {
		c.current = c.Targets[rand.IntN(len(c.Targets))]
	}
	p := c.clients[c.current]
	if p == nil {
		p = newProcedures(c.HTTP, c.Security.base(c.current))
		c.clients[c.current] = p
	}
	return c.current, p
}

// redirect chooses another VM after a failed call. It tells whether the failed
// one named the leader.
func (c *ControlClient) redirect(failed netip.AddrPort, err error) bool {
	var notLeader *NotLeaderError
	known := errors.As(err, &notLeader) && notLeader.Leader.IsValid() && notLeader.Leader != failed
	if notLeader == nil {
		// A connection may have gone silent; its siblings are as old.
		c.HTTP.CloseIdleConnections()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.current != failed:
	case known:
		c.current = notLeader.Leader
	default:
		c.current = c.Targets[(slices.Index(c.Targets, failed)+1)%len(c.Targets)]
	}
	return known
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
