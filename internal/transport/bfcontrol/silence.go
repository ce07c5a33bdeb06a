package bfcontrol

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"briarferry/internal/coordination/bfreplica"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bffleet"
	"briarferry/internal/transport/bfrpc"
)

const (
	// sweepInterval is the time between two looks for silent backend servers.
	sweepInterval = 30 * time.Second
	// silentAfter is the time without a report at any control VM after which a server is
	// removed; entries leave it out long before.
	silentAfter = 2 * time.Minute
	// maxSilentShare is the part of a service's servers that may be removed at once. Where
	// more are silent, the way from the servers to the control VMs is the likelier cause.
	maxSilentShare = 0.2
	heardTimeout   = time.Second
)

// reportTimes remembers when each server reported to this control VM.
type reportTimes struct {
	mu    sync.Mutex
	since time.Time
	last  map[string]time.Time
}

func (r *reportTimes) hear(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		r.last = map[string]time.Time{}
	}
	r.last[id] = now
}

// within returns the servers that reported in the last span and forgets those that were
// silent for long.
func (r *reportTimes) within(now time.Time, span time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, at := range r.last {
		switch age := now.Sub(at); {
		case age <= span:
			ids = append(ids, id)
		case age > 2*silentAfter:
			delete(r.last, id)
		}
	}
	return ids
}

// RecentReports tells the leader which servers reported here.
func (n *Node) RecentReports(_ context.Context, q *bfwire.RecentReportsQuery) (*bfwire.RecentReportsReply, error) {
	now := time.Now()
	return &bfwire.RecentReportsReply{Uptime: now.Sub(n.reports.since), InstanceIDs: n.reports.within(now, q.Within)}, nil
}

// sweepLoop removes silent servers while this VM leads.
func (n *Node) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if n.replica.Status().IsLeader {
			n.sweep(ctx, silentAfter)
		}
	}
}

func (n *Node) sweep(ctx context.Context, after time.Duration) {
	heard, ok := n.heardByAll(ctx, after)
	if !ok {
		return
	}
	for _, srv := range silentServers(n.machine.State(), heard) {
		ctx, cancel := context.WithTimeout(ctx, heardTimeout)
		r, err := n.propose(ctx, bffleet.Command{Expire: &bffleet.Expire{ID: srv.ID, Revision: srv.Revision}})
		cancel()
		n.Log.Info().Err(err).Str("instance", srv.ID).Str("service", srv.Service).Dur("silent_ms", after).Str("code", string(r.Code)).
			Uint64("revision", r.Revision).Msg("silent backend server removed")
	}
}

// heardByAll returns the servers that reported to any control VM in the last span. It
// fails unless all control VMs answer and have run for that long.
func (n *Node) heardByAll(ctx context.Context, span time.Duration) (map[string]bool, bool) {
	s := n.replica.Status()
	return askAll(ctx, append(s.Voters, s.Learners...), span, func(ctx context.Context, id string) (*bfwire.RecentReportsReply, error) {
		return n.heardBy(ctx, id, span)
	})
}

// askAll asks all control VMs at the same time, as many distant ones one after the other
// would take too long.
func askAll(ctx context.Context, ids []string, span time.Duration, ask func(ctx context.Context, id string) (*bfwire.RecentReportsReply, error)) (map[string]bool, bool) {
	ctx, cancel := context.WithTimeout(ctx, heardTimeout)
	defer cancel()
	var mu sync.Mutex
	heard, complete := map[string]bool{}, true
	var group sync.WaitGroup
	for _, id := range ids {
		group.Go(func() {
			reply, err := ask(ctx, id)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || reply.Uptime < span {
				complete = false
				return
			}
			for _, srv := range reply.InstanceIDs {
				heard[srv] = true
			}
		})
	}
	group.Wait()
	return heard, complete
}

func (n *Node) heardBy(ctx context.Context, id string, span time.Duration) (*bfwire.RecentReportsReply, error) {
	to, ok := n.resolve(bfreplica.VMOf(id))
	if !ok {
		return nil, ErrUnavailable
	}
	q := &bfwire.RecentReportsQuery{Within: span}
	if to == netip.AddrPortFrom(n.Address, n.RPC.Port()) {
		return n.RecentReports(ctx, q)
	}
	client := n.leaders.client(to)
	reply, err := bfrpc.QueryRecentReports(ctx, client, to, q)
	if err != nil {
		n.leaders.drop(to, client)
	}
	return reply, err
}

// silentServers returns the servers that nobody heard, for each service only where they
// are few.
func silentServers(s *bffleet.State, heard map[string]bool) []bffleet.Server {
	all, silent := map[string]int{}, map[string][]bffleet.Server{}
	for _, srv := range s.Servers {
		all[srv.Service]++
		if !heard[srv.ID] {
			silent[srv.Service] = append(silent[srv.Service], srv)
		}
	}
	var out []bffleet.Server
	for service, list := range silent {
		if len(list) <= max(1, int(maxSilentShare*float64(all[service]))) {
			out = append(out, list...)
		}
	}
	return out
}
