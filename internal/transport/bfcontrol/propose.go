package bfcontrol

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"briarferry"
	"briarferry/internal/coordination/bfreplica"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bffleet"
	"briarferry/internal/transport/bfrpc"
)

const (
	// proposeRetryDelay is the delay before a failed proposal is repeated.
	proposeRetryDelay = 40 * time.Millisecond
	// leaderCallTimeout limits one call to the leader. It covers four round trips between
	// the most distant regions and a disk sync.
	leaderCallTimeout = 600 * time.Millisecond
)

var (
	// ErrUnavailable is returned if no leader answered in time. The change may or may not
	// take effect.
	ErrUnavailable = eris.New("bfcontrol: no leader confirmed the request")
	// ErrCallerGone is returned for an order whose caller has closed the connection. The
	// order has no effect.
	ErrCallerGone = eris.New("bfcontrol: the caller gave up the order")
	// ErrConflict is returned for a change whose base version is not the current one.
	ErrConflict = eris.New("bfcontrol: another version is in force")
	// ErrInvalid is returned for a change with invalid content.
	ErrInvalid = eris.New("bfcontrol: invalid change")
	// ErrTooLarge is returned for a change that exceeds the size limit of commands.
	ErrTooLarge = eris.New("bfcontrol: the change is too large")
)

// fleetClients keeps an HTTP client for each control VM.
type fleetClients struct {
	mu      sync.Mutex
	clients map[netip.AddrPort]*http.Client
}

func (f *fleetClients) setup() { f.clients = map[netip.AddrPort]*http.Client{} }

func (f *fleetClients) client(to netip.AddrPort) *http.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.clients[to]
	if c == nil {
		c = bfrpc.NewFleetClient()
		f.clients[to] = c
	}
	return c
}

// drop discards a client after a failed call, as the other end of its connections may be
// unreachable without having closed them.
func (f *fleetClients) drop(to netip.AddrPort, c *http.Client) {
	f.mu.Lock()
	if f.clients[to] == c {
		delete(f.clients, to)
	}
	f.mu.Unlock()
	c.CloseIdleConnections()
}

// propose commits a command through the leader and returns its result. Commands are
// idempotent, so a proposal with an unknown outcome is repeated until the context ends.
func (n *Node) propose(ctx context.Context, c bffleet.Command) (bffleet.Result, error) {
	cmd, err := c.Encode()
	if err != nil {
		return bffleet.Result{}, err
	}
	if len(cmd) > bfreplica.MaxCommandBytes {
		// The leader's refusal would look like a failed call.
		return bffleet.Result{}, ErrTooLarge
	}
	for {
		r, err := n.proposeOnce(ctx, cmd)
		if err == nil {
			return r, nil
		}
		select {
		case <-ctx.Done():
			counters.unconfirmed.Add(1)
			return r, ErrUnavailable
		case <-time.After(proposeRetryDelay):
		}
	}
}

func (n *Node) proposeOnce(ctx context.Context, cmd []byte) (bffleet.Result, error) {
	s := n.replica.Status()
	if s.IsLeader {
		return n.commit(ctx, cmd)
	}
	to, ok := n.resolve(bfreplica.VMOf(s.Leader))
	if !ok {
		return bffleet.Result{}, ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	client := n.clients.client(to)
	reply, err := bfrpc.ChangeFleet(ctx, client, to, &bfwire.FleetChange{Command: cmd})
	if err != nil {
		n.clients.drop(to, client)
		return bffleet.Result{}, err
	}
	if reply.NotLeader {
		return bffleet.Result{}, briarferry.ErrNotLeader
	}
	return reply.Result, nil
}

// commit commits the command if this VM is the leader.
func (n *Node) commit(ctx context.Context, cmd []byte) (bffleet.Result, error) {
	data, err := n.replica.Propose(ctx, cmd)
	if err != nil {
		return bffleet.Result{}, err
	}
	return bffleet.DecodeResult(data)
}

// Change commits the command of another control VM if this one is the leader.
func (n *Node) Change(ctx context.Context, c *bfwire.FleetChange) (*bfwire.FleetChangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	result, err := n.commit(ctx, c.Command)
	if errors.Is(err, briarferry.ErrNotLeader) {
		return &bfwire.FleetChangeReply{NotLeader: true}, nil
	}
	if err != nil {
		return nil, err
	}
	return &bfwire.FleetChangeReply{Result: result}, nil
}

// Query returns the changes since an entry's revision and, if asked for, the live entries.
func (n *Node) Query(_ context.Context, q *bfwire.FleetQuery) (*bfwire.FleetReply, error) {
	reply := &bfwire.FleetReply{Update: *n.machine.State().UpdateSince(q.Revision, q.AcceptsRouteChange), ConfirmsTables: true}
	if q.IncludeEntries {
		reply.Entries = n.entries.live(time.Now())
	}
	return reply, nil
}
