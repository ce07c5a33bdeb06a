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
	// entryExpiry is the time without a beat after which an entry isn't named any
	// more: three beats at 500 ms may be lost.
	entryExpiry = 1800 * time.Millisecond
	// maxLookupTTL is how long callers may use the answer of a look-up at most: a dead
	// entry is in use for this time and entryExpiry.
	maxLookupTTL = 2 * time.Second
	maxEntries   = 4096
	// maxNamed bounds the entries of one answer.
	maxNamed = 64
)

type (
	// entryTable holds the entries that this control VM hears from.
	entryTable struct {
		regions map[string]string
		log     zerolog.Logger
		spread  spread

		mu      sync.Mutex
		entries map[string]*entryState
	}

	entryState struct {
		info  bfwire.EntryInfo
		ready bool
		// load is the share of its link that the entry uses.
		load  float64
		seq   uint64
		heard time.Time
		// lost tells that the loss was logged.
		lost bool
	}
)

// hear takes a beat and tells whether it was news.
func (t *entryTable) hear(now time.Time, b *bfwire.EntryHeartbeat) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries = map[string]*entryState{}
	}
	e := t.entries[b.Entry.Name]
	switch {
	case e == nil && len(t.entries) >= maxEntries:
		return false
	case e != nil && (b.Entry.Incarnation < e.info.Incarnation || b.Entry.Incarnation == e.info.Incarnation && b.Sequence <= e.seq):
		return false
	}
	if e == nil || e.lost || e.ready != b.Ready || e.info.Incarnation != b.Entry.Incarnation {
		t.log.Info().Str("entry", b.Entry.Name).Bool("ready", b.Ready).Uint64("incarnation", b.Entry.Incarnation).
			Uint64("revision", b.Revision).Msg("entry changed")
	}
	t.entries[b.Entry.Name] = &entryState{info: b.Entry, ready: b.Ready, load: b.Load, seq: b.Sequence, heard: now}
	return true
}

// live returns the entries that were heard of lately, sorted by name.
func (t *entryTable) live(now time.Time) []bfwire.EntryInfo {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []bfwire.EntryInfo
	for _, e := range t.entries {
		if t.alive(now, e) {
			out = append(out, e.info)
		}
	}
	slices.SortFunc(out, func(a, b bfwire.EntryInfo) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (t *entryTable) alive(now time.Time, e *entryState) bool {
	age := now.Sub(e.heard)
	if age <= entryExpiry {
		return true
	}
	if !e.lost {
		e.lost = true
		t.log.Warn().Str("entry", e.info.Name).Dur("silent_ms", age).Msg("entry lost")
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

// lookup returns the entries for callers in a failure domain: the ready ones there, or
// else those of the region, or else all. Where these are busy, a part of the callers gets
// others; stay keeps it in the region.
func (t *entryTable) lookup(now time.Time, region, domain string, stay bool) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	if region == "" {
		region = t.regions[domain]
	}
	var ready []*entryState
	for _, e := range t.entries {
		if t.alive(now, e) && e.ready {
			ready = append(ready, e)
		}
	}
	t.spread.step(now, ready)
	if away := t.spread.away(ready, region, domain, stay); len(away) > 0 {
		return away
	}
	return nearest(ready, region, domain)
}

func nearest(ready []*entryState, region, domain string) []netip.AddrPort {
	var near, inRegion, all []netip.AddrPort
	for _, e := range ready {
		all = append(all, e.info.HTTP)
		if e.info.Region == region {
			inRegion = append(inRegion, e.info.HTTP)
		}
		if e.info.FailureDomain == domain {
			near = append(near, e.info.HTTP)
		}
	}
	for _, list := range [][]netip.AddrPort{near, inRegion, all} {
		if len(list) > 0 {
			slices.SortFunc(list, netip.AddrPort.Compare)
			return list[:min(len(list), maxNamed)]
		}
	}
	return nil
}
