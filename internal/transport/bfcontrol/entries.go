package bfcontrol

import (
	"cmp"
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
	}

	entryState struct {
		info  bfwire.EntryInfo
		ready bool
		// utilization is the share of its link's bandwidth that the entry uses.
		utilization   float64
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
	case e == nil && len(t.entries) >= maxEntries:
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
	t.entries[b.Entry.Name] = &entryState{info: b.Entry, ready: b.Ready, utilization: b.Load, sequence: b.Sequence, lastHeartbeat: now}
	return true
}

// live returns the entries that have not expired, sorted by name.
func (t *entryTable) live(now time.Time) []bfwire.EntryInfo {
	t.mu.Lock()
	defer t.mu.Unlock()
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

// digest identifies the set of live entries.
func (t *entryTable) digest(now time.Time) uint64 {
	d := xxhash.New()
	for _, e := range t.live(now) {
		_, _ = d.WriteString(e.Name)
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(e.HTTP.String())
	}
	return d.Sum64()
}

// lookup returns the entries for a caller in a failure domain: the ready ones there, or
// else those of the region, or else all. If their links are busy, a share of the callers
// is sent to other entries; regionOnly limits these to the caller's region.
func (t *entryTable) lookup(now time.Time, region, domain string, regionOnly bool) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	if region == "" {
		region = t.regions[domain]
	}
	var ready []*entryState
	for _, e := range t.entries {
		if t.isLive(now, e) && e.ready {
			ready = append(ready, e)
		}
	}
	t.spillover.step(now, ready)
	if others := t.spillover.entries(ready, region, domain, regionOnly); len(others) > 0 {
		return others
	}
	return nearest(ready, region, domain)
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
