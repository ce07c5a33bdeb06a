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
	// expireInterval is the interval at which the leader removes expired backend servers.
	expireInterval = 30 * time.Second
	// serverExpiry is the time without a report to any control VM after which a server is
	// removed. Entries stop using an unreachable server long before.
	serverExpiry = 2 * time.Minute
	// maxExpiredShare is the largest share of a service's servers that is removed at once.
	// If more have expired, a network failure between the servers and the control VMs is
	// the likelier cause.
	maxExpiredShare = 0.2
	// expireTimeout limits the query of all control VMs, and each removal.
	expireTimeout = time.Second
)

// reportTimes holds the time of each server's last report to this control VM.
type reportTimes struct {
	mu sync.Mutex
	// since is when recording started.
	since time.Time
	last  map[string]time.Time
}

func (r *reportTimes) record(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		r.last = map[string]time.Time{}
	}
	r.last[id] = now
}

// within returns the servers that reported within the last span. It deletes servers without
// a report for twice serverExpiry.
func (r *reportTimes) within(now time.Time, span time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, at := range r.last {
		switch age := now.Sub(at); {
		case age <= span:
			ids = append(ids, id)
		case age > 2*serverExpiry:
			delete(r.last, id)
		}
	}
	return ids
}

// RecentReports answers the leader's query for the servers that recently reported to this
// control VM.
func (n *Node) RecentReports(_ context.Context, q *bfwire.FleetHeard) (*bfwire.RecentReportsReply, error) {
	now := time.Now()
	return &bfwire.RecentReportsReply{Uptime: now.Sub(n.reports.since), InstanceIDs: n.reports.within(now, q.Within)}, nil
}

// expireLoop removes expired servers while this VM is the leader.
func (n *Node) expireLoop(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if n.replica.Status().IsLeader {
			n.removeExpired(ctx, serverExpiry)
		}
	}
}

// removeExpired removes the servers that have not reported to any control VM within the
// given time.
func (n *Node) removeExpired(ctx context.Context, after time.Duration) {
	reported, ok := n.reportedToAny(ctx, after)
	if !ok {
		return
	}
	for _, srv := range expiredServers(n.machine.State(), reported) {
		ctx, cancel := context.WithTimeout(ctx, expireTimeout)
		r, err := n.propose(ctx, bffleet.Command{Expire: &bffleet.Expire{ID: srv.ID, Revision: srv.Revision}})
		cancel()
		n.Log.Info().Err(err).Str("instance", srv.ID).Str("service", srv.Service).Dur("silent_ms", after).Str("code", string(r.Code)).
			Uint64("revision", r.Revision).Msg("removal of expired backend server requested")
	}
}

// reportedToAny returns the servers that reported to any control VM within the last span.
// It returns false unless all control VMs answer and have been running for that long.
func (n *Node) reportedToAny(ctx context.Context, span time.Duration) (map[string]bool, bool) {
	s := n.replica.Status()
	return queryReports(ctx, append(s.Voters, s.Learners...), span, func(ctx context.Context, id string) (*bfwire.RecentReportsReply, error) {
		return n.queryReportsFrom(ctx, id, span)
	})
}

// queryReports queries all control VMs concurrently and merges their answers. Querying many
// distant ones in sequence would exceed expireTimeout.
func queryReports(ctx context.Context, ids []string, span time.Duration, query func(ctx context.Context, id string) (*bfwire.RecentReportsReply, error)) (map[string]bool, bool) {
	ctx, cancel := context.WithTimeout(ctx, expireTimeout)
	defer cancel()
	var mu sync.Mutex
	reported, complete := map[string]bool{}, true
	var group sync.WaitGroup
	for _, id := range ids {
		group.Go(func() {
			reply, err := query(ctx, id)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || reply.Uptime < span {
				complete = false
				return
			}
			for _, srv := range reply.InstanceIDs {
				reported[srv] = true
			}
		})
	}
	group.Wait()
	return reported, complete
}

func (n *Node) queryReportsFrom(ctx context.Context, id string, span time.Duration) (*bfwire.RecentReportsReply, error) {
	to, ok := n.resolve(bfreplica.VMOf(id))
	if !ok {
		return nil, ErrUnavailable
	}
	q := &bfwire.FleetHeard{Within: span}
	if to == netip.AddrPortFrom(n.Address, n.RPC.Port()) {
		return n.RecentReports(ctx, q)
	}
	client := n.clients.client(to)
	reply, err := bfrpc.QueryRecentReports(ctx, client, to, q)
	if err != nil {
		n.clients.drop(to, client)
	}
	return reply, err
}

// expiredServers returns the servers that are not among those that reported. It leaves out
// services of which more than maxExpiredShare, and more than one server, have expired.
func expiredServers(s *bffleet.State, reported map[string]bool) []bffleet.Server {
	total, expired := map[string]int{}, map[string][]bffleet.Server{}
	for _, srv := range s.Servers {
		total[srv.Service]++
		if !reported[srv.ID] {
			expired[srv.Service] = append(expired[srv.Service], srv)
		}
	}
	var out []bffleet.Server
	for service, list := range expired {
		if len(list) <= max(1, int(maxExpiredShare*float64(total[service]))) {
			out = append(out, list...)
		}
	}
	return out
}
