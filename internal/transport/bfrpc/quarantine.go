package bfrpc

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"briarferry"
	"briarferry/internal/coordination/bfquarantine"
	"briarferry/internal/protocol/bfwire"
)

const (
	quarantineLock   = "/briarferry.Quarantine/Lock"
	quarantineUnlock = "/briarferry.Quarantine/Unlock"
	quarantineShare  = "/briarferry.Quarantine/Share"
	quarantineFetch  = "/briarferry.Quarantine/Fetch"
)

// QuarantinePeers implements bfquarantine.Peers over connect. Its field is set
// before use.
type QuarantinePeers struct {
	HTTP connect.HTTPClient
}

// Lock asks the VM for the only run of a fingerprint.
func (p QuarantinePeers) Lock(ctx context.Context, vm briarferry.VM, r bfquarantine.LockRequest) (bool, error) {
	reply, err := NewCall[bfwire.QuarantineLock, bfwire.QuarantineLockReply](p.HTTP, rpcBase(vm), quarantineLock)(ctx, &r)
	if err != nil {
		return false, err
	}
	return reply.Granted, nil
}

// Unlock ends the run.
func (p QuarantinePeers) Unlock(ctx context.Context, vm briarferry.VM, r bfquarantine.LockRequest) error {
	_, err := NewCall[bfwire.QuarantineLock, Empty](p.HTTP, rpcBase(vm), quarantineUnlock)(ctx, &r)
	return err
}

// Share tells the VM about crashes and clearances.
func (p QuarantinePeers) Share(ctx context.Context, vm briarferry.VM, u bfquarantine.Update) error {
	_, err := NewCall[bfwire.QuarantineUpdate, Empty](p.HTTP, rpcBase(vm), quarantineShare)(ctx, &u)
	return err
}

// Fetch returns what the VM knows.
func (p QuarantinePeers) Fetch(ctx context.Context, vm briarferry.VM) (bfquarantine.Update, error) {
	u, err := NewCall[Empty, bfwire.QuarantineUpdate](p.HTTP, rpcBase(vm), quarantineFetch)(ctx, &Empty{})
	if err != nil {
		return bfquarantine.Update{}, err
	}
	return *u, nil
}

func rpcBase(vm briarferry.VM) string { return "http://" + vm.RPC.String() }

// HandleQuarantine serves the calls of other entries' QuarantinePeers.
func HandleQuarantine(mux *http.ServeMux, q *bfquarantine.Quarantine) {
	Handle(mux, quarantineLock, func(_ context.Context, r *bfwire.QuarantineLock) (*bfwire.QuarantineLockReply, error) {
		return &bfwire.QuarantineLockReply{Granted: q.Acquire(*r)}, nil
	})
	Handle(mux, quarantineUnlock, func(_ context.Context, r *bfwire.QuarantineLock) (*Empty, error) {
		q.Release(*r)
		return &Empty{}, nil
	})
	Handle(mux, quarantineShare, func(_ context.Context, u *bfwire.QuarantineUpdate) (*Empty, error) {
		q.Receive(*u)
		return &Empty{}, nil
	})
	Handle(mux, quarantineFetch, func(context.Context, *Empty) (*bfwire.QuarantineUpdate, error) {
		u := q.Known()
		return &u, nil
	})
}
