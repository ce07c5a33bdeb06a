package bfcontrol

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"briarferry/internal/protocol/bfwire"
)

const (
	// entryExpiry is the time without a heartbeat after which an entry expires. Entries send
	// one every 500 ms, so three may be lost.
	entryExpiry = 1800 * time.Millisecond
	// maxLookupTTL is the longest time for which callers may cache a look-up. Callers may
	// use a stopped entry for up to entryExpiry plus this time.
	maxLookupTTL = 2 * time.Second
	maxEntries   = 4096
	// maxLookupEntries limits the entries in the answer to one look-up.
	maxLookupEntries = 64
)

type (
	// entryTable holds the entries that send heartbeats to this control VM.
	entryTable struct {
		// regions maps each failure domain to its region.
		regions   map[string]string
		log       zerolog.Logger
		spillover spillover

		mu      sync.Mutex
		entries map[string]*entryState
		lag     stateLag
		// liveDigest identifies the live entries until liveDigestUntil, the next time at which
		// one may expire. A zero time means that they have changed.
		liveDigest      uint64
		liveDigestUntil time.Time
	}

	entryState struct {
		info  bfwire.EntryInfo
		ready bool
		// utilization is the share of its link's bandwidth that the entry uses.
		utilization float64
		// revision is that of the fleet state that the entry has.
		revision      uint64
		sequence      uint64
		lastHeartbeat time.Time
		// expiryLogged is true once the entry's expiry was logged.
		expiryLogged bool
	}
)

// heartbeat records a heartbeat. It returns false for one that is outdated or ignored
// because the table is full. An entry whose wall clock was set back has a lower incarnation
// after a restart than before. Its heartbeats count once the earlier process is silent, as a
// datagram isn't delayed for that long.
func (t *entryTable) heartbeat(now time.Time, b *bfwire.EntryHeartbeat) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries = map[string]*entryState{}
	}
	e := t.entries[b.Entry.Name]
	switch {
	case e == nil && len(t.entries) >= maxEntries && !t.forgetExpired(now):
		return false
	case e != nil && b.Entry.Incarnation < e.info.Incarnation && now.Sub(e.lastHeartbeat) <= entryExpiry:
		return false
	case e != nil && b.Entry.Incarnation == e.info.Incarnation && b.Sequence <= e.sequence:
		return false
	}
	if e == nil || e.expiryLogged || e.ready != b.Ready || e.info.Incarnation != b.Entry.Incarnation {
		t.log.Info().Str("entry", b.Entry.Name).Bool("ready", b.Ready).Uint64("incarnation", b.Entry.Incarnation).
			Uint64("revision", b.Revision).Msg("entry added or changed")
	}
	if e == nil || !t.isLive(now, e) || e.info.HTTP != b.Entry.HTTP {
		t.liveDigestUntil = time.Time{}
	}
	t.entries[b.Entry.Name] = &entryState{info: b.Entry, ready: b.Ready, utilization: b.Load, revision: b.Revision, sequence: b.Sequence, lastHeartbeat: now}
	return true
}

// forgetExpired deletes the entries that have expired. It returns false if there are none.
func (t *entryTable) forgetExpired(now time.Time) bool {
	before := len(t.entries)
	maps.DeleteFunc(t.entries, func(_ string, e *entryState) bool { return !t.isLive(now, e) })
	return len(t.entries) < before
}

// isAt reports whether the entry is live and receives datagrams at the given address.
func (t *entryTable) isAt(now time.Time, name string, gossip netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[name]
	return e != nil && e.info.Gossip == gossip && t.isLive(now, e)
}

// lostRegions returns the regions that had entries, of which none is live any more.
func (t *entryTable) lostRegions(now time.Time) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := map[string]bool{}
	for _, e := range t.entries {
		if t.isLive(now, e) {
			lost[e.info.Region] = false
		} else if _, known := lost[e.info.Region]; !known {
			lost[e.info.Region] = true
		}
	}
	return lost
}

// live returns the entries that have not expired, sorted by name.
func (t *entryTable) live(now time.Time) []bfwire.EntryInfo {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.liveLocked(now)
}

func (t *entryTable) liveLocked(now time.Time) []bfwire.EntryInfo {
	var out []bfwire.EntryInfo
	for _, e := range t.entries {
		if t.isLive(now, e) {
			out = append(out, e.info)
		}
	}
	slices.SortFunc(out, func(a, b bfwire.EntryInfo) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// isLive reports whether the entry's last heartbeat is recent. It logs when the entry
// expires.
func (t *entryTable) isLive(now time.Time, e *entryState) bool {
	age := now.Sub(e.lastHeartbeat)
	if age <= entryExpiry {
		return true
	}
	if !e.expiryLogged {
		e.expiryLogged = true
		t.log.Warn().Str("entry", e.info.Name).Dur("silent_ms", age).Msg("no heartbeat from entry")
	}
	return false
}

// digest identifies the set of live entries. It is part of each heartbeat to each entry, so it
// is only computed when the set may have changed.
func (t *entryTable) digest(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.liveDigestUntil) {
		return t.liveDigest
	}
	d := xxhash.New()
	t.liveDigestUntil = now.Add(entryExpiry)
	for _, e := range t.liveLocked(now) {
		_, _ = d.WriteString(e.Name)
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(e.HTTP.String())
		// A live entry counts for entryExpiry after its heartbeat, that moment included.
		if expires := t.entries[e.Name].lastHeartbeat.Add(entryExpiry + 1); expires.Before(t.liveDigestUntil) {
			t.liveDigestUntil = expires
		}
	}
	t.liveDigest = d.Sum64()
	return t.liveDigest
}

// lookup returns the entries for a caller in a failure domain: the ready ones there, or
// else those of the region, or else all. If their links are busy, a share of the callers
// is sent to other entries. The answer has only entries that the limits of the host allow, and
// only those of the caller's region if the limits are outdated. These don't apply to a caller
// whose region has lost all its entries if no allowed one is ready: it would get no service.
func (t *entryTable) lookup(now time.Time, region, domain string, limits lookupLimits) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	if region == "" {
		region = t.regions[domain]
	}
	var ready, allowed []*entryState
	var newest uint64
	regionLost := region != ""
	for _, e := range t.entries {
		if !t.isLive(now, e) {
			continue
		}
		newest = max(newest, e.revision)
		regionLost = regionLost && e.info.Region != region
		if e.ready {
			ready = append(ready, e)
		}
	}
	if t.lag.exceeded(now, limits.revision, newest) {
		limits = lookupLimits{bound: true}
	}
	for _, e := range ready {
		if limits.allow(region, e.info.Region) {
			allowed = append(allowed, e)
		}
	}
	t.spillover.step(now, ready)
	if others := t.spillover.entries(allowed, region, domain, limits.bound); len(others) > 0 {
		return others
	}
	if len(allowed) == 0 && regionLost {
		allowed = ready
	}
	return nearest(allowed, region, domain)
}

func nearest(ready []*entryState, region, domain string) []netip.AddrPort {
	var inDomain, inRegion, all []netip.AddrPort
	for _, e := range ready {
		all = append(all, e.info.HTTP)
		if e.info.Region == region {
			inRegion = append(inRegion, e.info.HTTP)
		}
		if e.info.FailureDomain == domain {
			inDomain = append(inDomain, e.info.HTTP)
		}
	}
	for _, list := range [][]netip.AddrPort{inDomain, inRegion, all} {
		if len(list) > 0 {
			slices.SortFunc(list, netip.AddrPort.Compare)
			return list[:min(len(list), maxLookupEntries)]
		}
	}
	return nil
}
