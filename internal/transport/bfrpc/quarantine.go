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

// QuarantinePeers implements bfquarantine.Peers over connect. Its fields are set
// before use.
type QuarantinePeers struct {
	HTTP connect.HTTPClient
	// Security is the one that HTTP was made by; nil stands for cleartext.
	Security *Security
}

// Lock asks the VM for the only run of a fingerprint.
func (p QuarantinePeers) Lock(ctx context.Context, vm briarferry.VM, r bfquarantine.LockRequest) (bool, error) {
	reply, err := callVM[bfwire.QuarantineLock, bfwire.QuarantineLockReply](ctx, p, vm, quarantineLock, &r)
	if err != nil {
		return false, err
	}
	return reply.Granted, nil
}

// Unlock ends the run.
func (p QuarantinePeers) Unlock(ctx context.Context, vm briarferry.VM, r bfquarantine.LockRequest) error {
	_, err := callVM[bfwire.QuarantineLock, bfwire.QuarantineAck](ctx, p, vm, quarantineUnlock, &r)
	return err
}

// Share tells the VM about crashes and clearances.
func (p QuarantinePeers) Share(ctx context.Context, vm briarferry.VM, u bfquarantine.Update) error {
	_, err := callVM[bfwire.QuarantineUpdate, bfwire.QuarantineAck](ctx, p, vm, quarantineShare, &u)
	return err
}

// Fetch returns what the VM knows.
func (p QuarantinePeers) Fetch(ctx context.Context, vm briarferry.VM) (bfquarantine.Update, error) {
	u, err := callVM[bfwire.QuarantineQuery, bfwire.QuarantineUpdate](ctx, p, vm, quarantineFetch, &bfwire.QuarantineQuery{})
	if err != nil {
		return bfquarantine.Update{}, err
	}
	return *u, nil
}

func callVM[Req, Res any](ctx context.Context, p QuarantinePeers, vm briarferry.VM, procedure string, req *Req) (*Res, error) {
	return NewCall[Req, Res](p.HTTP, p.Security.base(vm.RPC), procedure)(ctx, req)
}

// HandleQuarantine serves the calls of other entries' QuarantinePeers.
func HandleQuarantine(mux *http.ServeMux, q *bfquarantine.Quarantine) {
	Handle(mux, quarantineLock, func(_ context.Context, r *bfwire.QuarantineLock) (*bfwire.QuarantineLockReply, error) {
		return &bfwire.QuarantineLockReply{Granted: q.AcquireLock(*r)}, nil
	})
	Handle(mux, quarantineUnlock, func(_ context.Context, r *bfwire.QuarantineLock) (*bfwire.QuarantineAck, error) {
		q.ReleaseLock(*r)
		return &bfwire.QuarantineAck{}, nil
	})
	Handle(mux, quarantineShare, func(_ context.Context, u *bfwire.QuarantineUpdate) (*bfwire.QuarantineAck, error) {
		q.Receive(*u)
		return &bfwire.QuarantineAck{}, nil
	})
	Handle(mux, quarantineFetch, func(context.Context, *bfwire.QuarantineQuery) (*bfwire.QuarantineUpdate, error) {
		u := q.KnownCrashes()
		return &u, nil
	})
}
