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
	procedureQuarantineLock   = "/briarferry.Quarantine/Lock"
	procedureQuarantineUnlock = "/briarferry.Quarantine/Unlock"
	procedureQuarantineShare  = "/briarferry.Quarantine/Share"
	procedureQuarantineFetch  = "/briarferry.Quarantine/Fetch"
)

// QuarantinePeers implements bfquarantine.Peers over connect. Its fields are set
// before use.
type QuarantinePeers struct {
	HTTP connect.HTTPClient
	// Security is the value whose NewClient created HTTP; nil means cleartext.
	Security *Security
}

// Lock asks the VM for the lock of a fingerprint, the exclusive right to run a request with
// that fingerprint.
func (p QuarantinePeers) Lock(ctx context.Context, vm briarferry.VM, r bfquarantine.LockRequest) (bool, error) {
	reply, err := callVM[bfwire.QuarantineLock, bfwire.QuarantineLockReply](ctx, p, vm, procedureQuarantineLock, &r)
	if err != nil {
		return false, err
	}
	return reply.Granted, nil
}

// Unlock releases the lock of a fingerprint.
func (p QuarantinePeers) Unlock(ctx context.Context, vm briarferry.VM, r bfquarantine.LockRequest) error {
	_, err := callVM[bfwire.QuarantineLock, bfwire.QuarantineAck](ctx, p, vm, procedureQuarantineUnlock, &r)
	return err
}

// Share sends crashes and cleared fingerprints to the VM.
func (p QuarantinePeers) Share(ctx context.Context, vm briarferry.VM, u bfquarantine.Update) error {
	_, err := callVM[bfwire.QuarantineUpdate, bfwire.QuarantineAck](ctx, p, vm, procedureQuarantineShare, &u)
	return err
}

// Fetch returns the crashes that the VM knows.
func (p QuarantinePeers) Fetch(ctx context.Context, vm briarferry.VM) (bfquarantine.Update, error) {
	u, err := callVM[bfwire.QuarantineQuery, bfwire.QuarantineUpdate](ctx, p, vm, procedureQuarantineFetch, &bfwire.QuarantineQuery{})
	if err != nil {
		return bfquarantine.Update{}, err
	}
	return *u, nil
}

func callVM[Req, Res any](ctx context.Context, p QuarantinePeers, vm briarferry.VM, procedure string, req *Req) (*Res, error) {
	return NewCall[Req, Res](p.HTTP, p.Security.baseURL(vm.RPC), procedure)(ctx, req)
}

// HandleQuarantine registers the procedures that the QuarantinePeers of other entries
// call.
func HandleQuarantine(mux *http.ServeMux, q *bfquarantine.Quarantine) {
	Handle(mux, procedureQuarantineLock, func(_ context.Context, r *bfwire.QuarantineLock) (*bfwire.QuarantineLockReply, error) {
		return &bfwire.QuarantineLockReply{Granted: q.AcquireLock(*r)}, nil
	})
	Handle(mux, procedureQuarantineUnlock, func(_ context.Context, r *bfwire.QuarantineLock) (*bfwire.QuarantineAck, error) {
		q.ReleaseLock(*r)
		return &bfwire.QuarantineAck{}, nil
	})
	Handle(mux, procedureQuarantineShare, func(_ context.Context, u *bfwire.QuarantineUpdate) (*bfwire.QuarantineAck, error) {
		q.Receive(*u)
		return &bfwire.QuarantineAck{}, nil
	})
	Handle(mux, procedureQuarantineFetch, func(context.Context, *bfwire.QuarantineQuery) (*bfwire.QuarantineUpdate, error) {
		u := q.KnownCrashes()
		return &u, nil
	})
}
