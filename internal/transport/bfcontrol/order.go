package bfcontrol

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"briarferry"
	"briarferry/internal/state/bffleet"
	"briarferry/internal/transport/bfcaller"
)

// statePollInterval is the interval at which catchUp looks at the applied index.
const statePollInterval = 5 * time.Millisecond

// errNotProposed means that no leader confirmed the state that an order needs.
var errNotProposed = eris.New("bfcontrol: order was not proposed")

// catchUp waits until this VM's state contains every change that was confirmed before the
// call. It fails unless a leader confirms the index.
func (n *Node) catchUp(ctx context.Context) error {
	index, err := n.replica.ReadIndex(ctx)
	if err != nil {
		return ErrUnavailable
	}
	for n.replica.Status().Applied < index {
		select {
		case <-ctx.Done():
			return ErrUnavailable
		case <-time.After(statePollInterval):
		}
	}
	return nil
}

// Evacuate starts the evacuation of a failure domain or withdraws it.
func (n *Node) Evacuate(ctx context.Context, domain string, withdraw bool) error {
	if _, ok := n.Regions[domain]; !ok {
		return ErrInvalid
	}
	started := time.Now()
	r, err := n.order(ctx, func(s *bffleet.State) bffleet.Command {
		return bffleet.Command{Evacuate: &bffleet.Evacuate{
			FailureDomain: domain, Withdraw: withdraw, Conditional: true, Base: s.EvacuationOrders[domain],
		}}
	})
	n.Log.Info().Err(err).Str("failure_domain", domain).Bool("withdraw", withdraw).Str("code", string(r.Code)).
		Uint64("revision", r.Revision).Dur("took_ms", time.Since(started)).Msg("evacuation change requested")
	if err != nil {
		return err
	}
	return codeError(r.Code)
}

// Deregister removes a backend server from the registry. Later reports of the same process
// don't register it again.
func (n *Node) Deregister(ctx context.Context, id string) error {
	if !briarferry.ValidName(id) {
		return ErrInvalid
	}
	started := time.Now()
	r, err := n.order(ctx, func(s *bffleet.State) bffleet.Command {
		known, _ := s.Server(id)
		return bffleet.Command{Leave: &bffleet.Leave{ID: id, Started: known.Started}}
	})
	n.Log.Info().Err(err).Str("instance", id).Str("code", string(r.Code)).Uint64("revision", r.Revision).
		Dur("took_ms", time.Since(started)).Msg("deregistration of backend server requested")
	if err != nil {
		return err
	}
	return codeError(r.Code)
}

// order commits an order that carries no version of its own. The order may have waited
// unread while this process was frozen, and its caller may have sent it to another control
// VM, and newer ones after it. So the command is made for the newest confirmed state, and it
// is proposed only if the caller still waits for the answer after that state was read: no
// newer order was confirmed before it then. The state machine rejects the command if one is
// confirmed later. Repeated attempts start anew.
func (n *Node) order(ctx context.Context, command func(s *bffleet.State) bffleet.Command) (bffleet.Result, error) {
	uncertain := false // whether an earlier attempt may have taken effect
	for {
		r, err := n.orderOnce(ctx, command)
		switch {
		case err == nil && r.Code != bffleet.CodeConflict:
			return r, nil
		case errors.Is(err, ErrCallerGone):
			counters.abandoned.Add(1)
			if uncertain {
				err = ErrUnavailable
			}
			return r, err
		case err != nil && !errors.Is(err, errNotProposed):
			uncertain = true
		}
		select {
		case <-ctx.Done():
			counters.unconfirmed.Add(1)
			return r, ErrUnavailable
		case <-time.After(proposeRetryDelay):
		}
	}
}

// orderOnce makes one attempt. Its error is ErrCallerGone or errNotProposed if the attempt
// certainly has no effect.
func (n *Node) orderOnce(ctx context.Context, command func(s *bffleet.State) bffleet.Command) (bffleet.Result, error) {
	caughtUp := n.catchUp(ctx)
	c := command(n.machine.State())
	if bfcaller.HasLeft(ctx) {
		return bffleet.Result{}, ErrCallerGone
	}
	if caughtUp != nil {
		return bffleet.Result{}, errNotProposed
	}
	cmd, err := c.Encode()
	if err != nil {
		return bffleet.Result{}, err
	}
	return n.proposeOnce(ctx, cmd)
}
