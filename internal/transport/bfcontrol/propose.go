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
	// proposePause is the wait before another try where no leader is known.
	proposePause = 40 * time.Millisecond
	// callTimeout bounds one call of the leader: four round trips between the most
	// distant regions, and a sync.
	callTimeout = 600 * time.Millisecond
)

var (
	// ErrUnavailable is returned where no leader answered in time; the change may or
	// may not be made.
	ErrUnavailable = eris.New("bfcontrol: no leader confirmed the request")
	// ErrConflict is returned for a change that is based on another version.
	ErrConflict = eris.New("bfcontrol: another version is in force")
	// ErrInvalid is returned for a change that is out of range.
	ErrInvalid = eris.New("bfcontrol: invalid change")
	// ErrTooLarge is returned for a change that no command can hold.
	ErrTooLarge = eris.New("bfcontrol: the change is too large")
)

// leaderCalls keeps a client for each control VM.
type leaderCalls struct {
	mu      sync.Mutex
	clients map[netip.AddrPort]*http.Client
}

func (l *leaderCalls) setup() { l.clients = map[netip.AddrPort]*http.Client{} }

func (l *leaderCalls) client(to netip.AddrPort) *http.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.clients[to]
	if c == nil {
		c = bfrpc.NewFleetClient()
		l.clients[to] = c
	}
	return c
}

// drop replaces a client after a failure, as its connections may have gone silent.
func (l *leaderCalls) drop(to netip.AddrPort, c *http.Client) {
	l.mu.Lock()
	if l.clients[to] == c {
		delete(l.clients, to)
	}
	l.mu.Unlock()
	c.CloseIdleConnections()
}

// propose has the leader run a command and returns its result. Commands give the same
// result when they are run again, so a try whose fate is unknown is repeated until the
// context ends.
func (n *Node) propose(ctx context.Context, c bffleet.Command) (bffleet.Result, error) {
	cmd, err := c.Encode()
	if err != nil {
		return bffleet.Result{}, err
	}
	for {
		r, err := n.proposeOnce(ctx, cmd)
		if err == nil {
			return r, nil
		}
		if errors.Is(err, bfreplica.ErrTooLarge) {
			return r, ErrTooLarge
		}
		select {
		case <-ctx.Done():
			counters.unconfirmed.Add(1)
			return r, ErrUnavailable
		case <-time.After(proposePause):
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
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := n.leaders.client(to)
	reply, err := bfrpc.ChangeFleet(ctx, client, to, &bfwire.FleetChange{Command: cmd})
	if err != nil {
		n.leaders.drop(to, client)
		return bffleet.Result{}, err
	}
	if reply.NotLeader {
		return bffleet.Result{}, briarferry.ErrNotLeader
	}
	return reply.Result, nil
}

// commit runs the command where this VM leads.
func (n *Node) commit(ctx context.Context, cmd []byte) (bffleet.Result, error) {
	data, err := n.replica.Propose(ctx, cmd)
	if err != nil {
		return bffleet.Result{}, err
	}
	return bffleet.DecodeResult(data)
}

// Change runs the command of another VM where this one leads.
func (n *Node) Change(ctx context.Context, c *bfwire.FleetChange) (*bfwire.FleetResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := n.commit(ctx, c.Command)
	if errors.Is(err, briarferry.ErrNotLeader) {
		return &bfwire.FleetResult{NotLeader: true}, nil
	}
	if err != nil {
		return nil, err
	}
	return &bfwire.FleetResult{Result: result}, nil
}

// Query returns what an entry lacks.
func (n *Node) Query(_ context.Context, q *bfwire.FleetQuery) (*bfwire.FleetReply, error) {
	reply := &bfwire.FleetReply{Update: *n.machine.State().UpdateSince(q.Revision)}
	if q.IncludeEntries {
		reply.Entries = n.entries.live(time.Now())
	}
	return reply, nil
}
