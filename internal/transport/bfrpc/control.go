package bfrpc

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"briarferry"
	"briarferry/internal/coordination/bflease"
	"briarferry/internal/coordination/bfplacement"
	"briarferry/internal/coordination/bfreplica"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bfmachine"
)

// Procedures of the control service.
const (
	procedureSync      = "/briarferry.Control/Sync"
	procedureClaims    = "/briarferry.Control/Claims"
	procedureChange    = "/briarferry.Control/Change"
	procedureConfig    = "/briarferry.Control/Config"
	procedureStatus    = "/briarferry.Control/Status"
	procedurePlacement = "/briarferry.Control/Placement"

	// headerLeader carries the leader's RPC address in the error of a replica that is
	// not the leader.
	headerLeader = "Leader-Rpc"

	// proposalInterval is the minimum time between two proposals with claims, so that
	// under load a log entry carries many claims and none of them waits long.
	proposalInterval  = time.Millisecond
	proposalsInFlight = 256
	// maxEntryBytes is half of the maximum size of a command of the replica.
	maxEntryBytes    = 512 << 10
	proposeTimeout   = 5 * time.Second
	readPollInterval = time.Millisecond
)

// Control serves the procedures of the control plane on a control VM. The exported
// fields are set before Register.
type Control struct {
	Replica briarferry.Replica
	Machine *bfmachine.Machine
	Leases  *bflease.Leader
	// Placement handles the reports of entries; if it is nil, they are rejected with
	// ErrNotLeader.
	Placement *bfplacement.Coordinator
	// Address returns the RPC address of a replica.
	Address func(id string) (netip.AddrPort, bool)

	claims *batcher[bfmachine.Op, indexedResult]
}

type indexedResult struct {
	index  uint64
	result bfmachine.OpResult
}

// Register registers the procedures on the mux.
func (c *Control) Register(mux *http.ServeMux) {
	c.claims = &batcher[bfmachine.Op, indexedResult]{
		send: c.propose, size: opSize, interval: proposalInterval, maxInFlight: proposalsInFlight,
		maxOps: bfmachine.MaxOps, maxBytes: maxEntryBytes, timeout: proposeTimeout,
	}
	handle(mux, procedureSync, c, c.sync)
	handle(mux, procedureClaims, c, c.serveClaims)
	handle(mux, procedureChange, c, c.change)
	handle(mux, procedureConfig, c, c.config)
	handle(mux, procedureStatus, c, c.status)
	handle(mux, procedurePlacement, c, c.placement)
}

func handle[Req, Res any](mux *http.ServeMux, procedure string, c *Control, fn func(context.Context, *Req) (*Res, error)) {
	Handle(mux, procedure, func(ctx context.Context, r *Req) (*Res, error) {
		res, err := fn(ctx, r)
		if err != nil {
			return nil, c.connectError(err)
		}
		return res, nil
	})
}

// connectError adds the connect code to an error, and the leader's address to
// ErrNotLeader.
func (c *Control) connectError(err error) error {
	switch {
	case errors.Is(err, briarferry.ErrNotLeader):
		connectErr := connect.NewError(connect.CodeFailedPrecondition, err)
		if address, ok := c.Address(c.Replica.Status().Leader); ok {
			connectErr.Meta().Set(headerLeader, address.String())
		}
		return connectErr
	case errors.Is(err, bfreplica.ErrTooLarge):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

func (c *Control) sync(ctx context.Context, r *bfwire.SyncRequest) (*bfwire.SyncReply, error) {
	reply, err := c.Leases.Sync(ctx, *r)
	return &reply, err
}

func (c *Control) placement(_ context.Context, r *bfwire.PlacementReport) (*bfwire.PlacementReply, error) {
	if c.Placement == nil {
		return nil, briarferry.ErrNotLeader
	}
	reply, err := c.Placement.Exchange(time.Now(), *r)
	return &reply, err
}

func (c *Control) serveClaims(ctx context.Context, r *bfwire.ClaimsRequest) (*bfwire.ClaimsReply, error) {
	if !c.Replica.Status().IsLeader {
		return nil, briarferry.ErrNotLeader
	}
	ops := make([]bfmachine.Op, len(r.Ops))
	for i := range r.Ops {
		ops[i].Claim = &r.Ops[i]
	}
	results, err := c.claims.do(ctx, ops...)
	if err != nil {
		return nil, err
	}
	reply := &bfwire.ClaimsReply{Results: make([]bfmachine.OpResult, len(results))}
	for i, r := range results {
		reply.Results[i] = r.result
		reply.Index = max(reply.Index, r.index)
	}
	return reply, nil
}

// propose commits operations as one log entry.
func (c *Control) propose(ctx context.Context, ops []bfmachine.Op) ([]indexedResult, error) {
	cmd, err := bfmachine.Encode(time.Now().UnixMilli(), ops...)
	if err != nil {
		return nil, err
	}
	data, err := c.Replica.Propose(ctx, cmd)
	if err != nil {
		return nil, fmt.Errorf("bfrpc: propose: %w", err)
	}
	r, err := bfmachine.DecodeResult(data, len(ops))
	if err != nil {
		return nil, err
	}
	results := make([]indexedResult, len(ops))
	for i, op := range r.Ops {
		results[i] = indexedResult{r.Index, op}
	}
	return results, nil
}

// change commits an operator's change and replies once it is in force. A request that is
// sent again after a lost reply gets the result of the first one, and also waits until
// the change is in force.
func (c *Control) change(ctx context.Context, r *bfwire.ChangeRequest) (*bfwire.ChangeReply, error) {
	results, err := c.propose(ctx, []bfmachine.Op{r.Op})
	if err != nil {
		return nil, err
	}
	result := results[0].result
	if result.Code == bfmachine.CodeOK {
		if err := c.Leases.WaitInForce(ctx, result.Revision); err != nil {
			return nil, err
		}
	}
	return &bfwire.ChangeReply{Result: result}, nil
}

func (c *Control) config(ctx context.Context, _ *bfwire.ConfigRequest) (*bfwire.ConfigReply, error) {
	if !c.Replica.Status().IsLeader {
		return nil, briarferry.ErrNotLeader
	}
	index, err := c.Replica.ReadIndex(ctx)
	if err != nil {
		return nil, fmt.Errorf("bfrpc: read index: %w", err)
	}
	for c.Replica.Status().Applied < index {
		select {
		case <-time.After(readPollInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return &bfwire.ConfigReply{State: *c.Machine.State()}, nil
}

func (c *Control) status(context.Context, *bfwire.ControlStatusRequest) (*bfwire.ControlStatus, error) {
	s := c.Machine.State()
	return &bfwire.ControlStatus{
		Replica: c.Replica.Status(), Version: s.Version(), Revision: s.Revision,
		Checksum: s.Checksum(), Claims: c.Machine.ClaimCount(),
	}, nil
}

func opSize(op bfmachine.Op) int {
	const overhead = 128
	return overhead + len(op.Claim.Answer) + len(op.Claim.Claim.Key) + len(op.Claim.Claim.Service)
}
