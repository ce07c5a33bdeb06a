package bfgateway

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/transport/bfrpc"
)

const (
	// fetchTimeout limits one fetch. A control VM from which a fetch failed is skipped for the
	// same time. After a timeout the limit is doubled, up to fetchTimeout<<maxFetchDoublings:
	// the table of 5,000 organisations with two keys each has 560 KB, which take a second at
	// 4.7 Mbit/s.
	fetchTimeout      = 800 * time.Millisecond
	maxFetchDoublings = 2
)

func (f *fleetSync) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.fetchNow:
		}
		for ctx.Err() == nil && f.fetch(ctx) {
		}
	}
}

// fetch gets changes from the nearest control VM that has any. It reports whether it
// tried, in which case there may be more.
func (f *fleetSync) fetch(ctx context.Context) bool {
	from, announced, ok := f.selectSource(time.Now())
	if !ok {
		return false
	}
	current := f.state.Load()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout<<min(f.timeouts, maxFetchDoublings))
	defer cancel()
	started := time.Now()
	entriesChanged := f.entriesDiffer(announced)
	reply, err := bfrpc.QueryFleet(ctx, f.client, from, &bfwire.FleetQuery{Revision: current.Revision, IncludeEntries: entriesChanged, AcceptsRouteChange: !f.needsWholeTable})
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			f.timeouts++
		}
		f.fetchFailed(from, err)
		return true
	}
	f.timeouts = 0
	if reply.ConfirmsTables {
		f.confirmations.Require()
	}
	next, newer := current.Apply(&reply.Update)
	// A change of another table than this entry's can't be applied.
	f.needsWholeTable = !newer && reply.Update.RouteChange != nil && reply.Update.Revision > current.Revision
	if f.needsWholeTable {
		f.log.Warn().Str("control", from.String()).Uint64("version", current.RoutesVersion()).Uint64("base", reply.Update.RouteChange.Base).Msg("change of another route table ignored; fetching the whole table")
	}
	if newer {
		f.log.Info().Str("control", from.String()).Uint64("from", current.Revision).Uint64("to", next.Revision).Uint64("version", next.RoutesVersion()).
			Int("servers", len(next.Servers)).Strs("evacuated", next.Evacuated).Bool("whole_table", reply.Update.Routes != nil).Dur("took_ms", time.Since(started)).Msg("fleet state updated")
		f.state.Store(next)
		f.onChange(next)
	}
	if !f.replyIsAsAnnounced(from, announced, reply.Update.Revision) {
		return true
	}
	if entriesChanged {
		f.setLiveEntries(reply.Entries)
		f.mu.Lock()
		f.entriesDigest = announced.entriesDigest
		f.mu.Unlock()
	}
	return true
}

// entriesDiffer reports whether the control VM announced other live entries than those that
// were fetched last. The list is only fetched then, as it is most of a reply on large
// deployments.
func (f *fleetSync) entriesDiffer(a announcedState) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return a.entriesDigest != f.entriesDigest
}

// replyIsAsAnnounced reports whether the reply has the revision that the control VM's heartbeats
// announced. A control VM that has restarted since may have an older state, or none after the
// loss of its disk, until it has caught up. It is not asked again before it announces more, as
// other control VMs may have the newer state, and its list of entries isn't used.
func (f *fleetSync) replyIsAsAnnounced(from netip.AddrPort, announced announcedState, replied uint64) bool {
	if replied >= announced.revision {
		return true
	}
	f.log.Warn().Str("control", from.String()).Uint64("announced", announced.revision).Uint64("revision", replied).Msg("control VM has an older state than it announced")
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.controls[from]; c != nil && c.revision == announced.revision {
		c.revision = replied
	}
	return false
}

// selectSource returns the control VM to fetch from and what it announced. It returns
// false if none has changes.
func (f *fleetSync) selectSource(now time.Time) (netip.AddrPort, announcedState, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	revision := f.state.Load().Revision
	var nearest, nearestNewer netip.AddrPort
	for from, c := range f.controls {
		if now.Sub(c.lastHeartbeat) > controlExpiry || now.Sub(c.lastFailure) < fetchTimeout {
			continue
		}
		if best := f.controls[nearest]; best == nil || c.rtt < best.rtt {
			nearest = from
		}
		if c.revision <= revision {
			continue
		}
		if best := f.controls[nearestNewer]; best == nil || c.rtt < best.rtt {
			nearestNewer = from
		}
	}
	if c := f.controls[nearestNewer]; c != nil {
		return nearestNewer, c.announced(), true
	}
	// Control VMs may know different entries for a while, so only the nearest one's digest
	// is compared.
	if c := f.controls[nearest]; c != nil && c.entriesDigest != f.entriesDigest && c.revision >= revision {
		return nearest, c.announced(), true
	}
	return netip.AddrPort{}, announcedState{}, false
}

func (f *fleetSync) fetchFailed(from netip.AddrPort, err error) {
	f.log.Warn().Str("control", from.String()).Err(err).Msg("fetching fleet state failed")
	// The other end of idle connections may be unreachable without having closed them.
	f.client.CloseIdleConnections()
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.controls[from]; c != nil {
		c.lastFailure = time.Now()
	}
}
