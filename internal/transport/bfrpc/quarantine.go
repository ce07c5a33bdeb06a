// Package bfrpc carries calls between the system's processes.
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
	pathQuarantine       = "/briarferry.Quarantine/"
	pathQuarantineLock   = pathQuarantine + "Lock"
	pathQuarantineUnlock = pathQuarantine + "Unlock"
	pathQuarantineShare  = pathQuarantine + "Share"
	pathQuarantineFetch  = pathQuarantine + "Fetch"
)

// QuarantinePeers implements bfquarantine.Peers over connect. Its fields are set
// before use.
type QuarantinePeers struct {
	HTTP connect.HTTPClient
	// Options choose the codec, among others.
	Options []connect.ClientOption
}

// Lock asks the VM for the only run of a fingerprint.
func (p QuarantinePeers) Lock(ctx context.Context, vm briarferry.VM, r bfquarantine.LockRequest) (bool, error) {
	reply, err := callQuarantine[bfwire.QuarantineLock, bfwire.QuarantineLockReply](ctx, p, vm, pathQuarantineLock, &r)
	if err != nil {
		return false, err
	}
	return reply.Granted, nil
}

// Unlock ends the run.
func (p QuarantinePeers) Unlock(ctx context.Context, vm briarferry.VM, r bfquarantine.LockRequest) error {
	_, err := callQuarantine[bfwire.QuarantineLock, bfwire.QuarantineDone](ctx, p, vm, pathQuarantineUnlock, &r)
	return err
}

// Share tells the VM about crashes and clearances.
func (p QuarantinePeers) Share(ctx context.Context, vm briarferry.VM, u bfquarantine.Update) error {
	_, err := callQuarantine[bfwire.QuarantineUpdate, bfwire.QuarantineDone](ctx, p, vm, pathQuarantineShare, &u)
	return err
}

// Fetch returns what the VM knows.
func (p QuarantinePeers) Fetch(ctx context.Context, vm briarferry.VM) (bfquarantine.Update, error) {
	u, err := callQuarantine[bfwire.QuarantineQuery, bfwire.QuarantineUpdate](ctx, p, vm, pathQuarantineFetch, &bfwire.QuarantineQuery{})
	if err != nil {
		return bfquarantine.Update{}, err
	}
	return *u, nil
}

func callQuarantine[Q, A any](ctx context.Context, p QuarantinePeers, vm briarferry.VM, path string, q *Q) (*A, error) {
	client := connect.NewClient[Q, A](p.HTTP, "http://"+vm.RPC.String()+path, p.Options...)
	reply, err := client.CallUnary(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, err
	}
	return reply.Msg, nil
}

// HandleQuarantine serves the calls of other entries' QuarantinePeers.
func HandleQuarantine(mux *http.ServeMux, q *bfquarantine.Quarantine, options ...connect.HandlerOption) {
	handleQuarantine(mux, pathQuarantineLock, options, func(r *bfwire.QuarantineLock) *bfwire.QuarantineLockReply {
		return &bfwire.QuarantineLockReply{Granted: q.Acquire(*r)}
	})
	handleQuarantine(mux, pathQuarantineUnlock, options, func(r *bfwire.QuarantineLock) *bfwire.QuarantineDone {
		q.Release(*r)
		return &bfwire.QuarantineDone{}
	})
	handleQuarantine(mux, pathQuarantineShare, options, func(u *bfwire.QuarantineUpdate) *bfwire.QuarantineDone {
		q.Receive(*u)
		return &bfwire.QuarantineDone{}
	})
	handleQuarantine(mux, pathQuarantineFetch, options, func(*bfwire.QuarantineQuery) *bfwire.QuarantineUpdate {
		u := q.Known()
		return &u
	})
}

func handleQuarantine[Q, A any](mux *http.ServeMux, path string, options []connect.HandlerOption, serve func(*Q) *A) {
	mux.Handle(path, connect.NewUnaryHandler(path, func(_ context.Context, r *connect.Request[Q]) (*connect.Response[A], error) {
		return connect.NewResponse(serve(r.Msg)), nil
	}, options...))
}
