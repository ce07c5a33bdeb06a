package bfquota

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarferry"
)

const (
	// settledTime is how long the list of entries must not have grown before requests are
	// admitted in advance. After a restart of all control VMs the list is short at first, and
	// each entry would take too large a part of the tolerance.
	settledTime = time.Second
	// maxKnownEntries limits the names of entries that are remembered.
	maxKnownEntries = 4096
)

type (
	// knownEntries are the entries among which the tolerance is divided: all that were ever
	// live, as those that are cut off may still admit requests.
	knownEntries struct {
		// version changes with the names.
		version atomic.Uint64

		mu      sync.Mutex
		names   map[string]bool
		grownAt time.Duration
	}

	// advance is a request that was admitted before its token came.
	advance struct {
		// asked is the sequence of the report that asked for its token, or 0.
		asked   uint64
		askedAt time.Duration
		// token is the one that came for it, or nil.
		token *Token
	}
)

// SetEntries adds the live entries, this one included, to those among which the tolerance is
// divided.
func (h *Holder) SetEntries(now time.Duration, names []string) {
	k := &h.entries
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.names == nil {
		k.names = map[string]bool{}
	}
	for _, name := range names {
		if !k.names[name] && len(k.names) < maxKnownEntries {
			k.names[name] = true
			k.grownAt = now
			k.version.Add(1)
		}
	}
}

// maxAdvances returns how many requests of the organisation this entry may admit in advance,
// and the version of the entries for which this holds. It is 0 while the entries aren't known.
// The parts of all entries add up to the tolerance at most.
func (h *Holder) maxAdvances(now time.Duration, key uint64, q briarferry.Quota) (int, uint64) {
	k := &h.entries
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.names[h.Entry] || now-k.grownAt < settledTime {
		return 0, 0
	}
	tokens := int(min(h.Tolerance.tokens(q), float64(maxWaiting*len(k.names))))
	part, rest := tokens/len(k.names), tokens%len(k.names)
	own, before := rankOf(h.Entry, key), 0
	for name := range k.names {
		if r := rankOf(name, key); r < own || r == own && name < h.Entry {
			before++
		}
	}
	if before < rest {
		part++
	}
	return part, k.version.Load()
}

// rankOf orders the entries differently for each organisation, so that the remainder of
// a division goes to different ones.
func rankOf(entry string, key uint64) uint64 { return xxhash.Sum64String(entry) ^ key }

// admitInAdvance returns a token that is still to come, or nil. An entry that has not heard an
// owner for the time of a lease admits none, as the others may divide the tolerance without it.
func (h *held) admitInAdvance(now time.Duration) *Token {
	if now-time.Duration(h.holder.heardAt.Load()) > LeaseDuration {
		return nil
	}
	if h.holder.entries.version.Load() != h.advanceVersion {
		h.maxAdvances, h.advanceVersion = h.holder.maxAdvances(now, h.key, h.quota)
	}
	if len(h.advances) >= h.maxAdvances {
		return nil
	}
	a := &advance{}
	h.advances = append(h.advances, a)
	h.urgent = true
	return &Token{h: h, clock: h.clock, at: now, advance: a}
}

// settleAdvances uses tokens for requests that were admitted in advance. Those for which a grant
// had none, up to the given sequence, ask again after the given time.
func (h *held) settleAdvances(now time.Duration, sequence uint64, retry time.Duration) {
	kept := h.advances[:0]
	empty := false
	for _, a := range h.advances {
		if !empty {
			if a.token = h.take(now); a.token != nil {
				continue
			}
			empty = true
		}
		if a.asked != 0 && a.asked <= sequence {
			a.askedAt = now + max(retry, retryDelay) - askTimeout
		}
		kept = append(kept, a)
	}
	clear(h.advances[len(kept):])
	h.advances = kept
}

// returnAdvance takes back a token that had not come yet. It returns false for one that has.
func (h *held) returnAdvance(a *advance) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, other := range h.advances {
		if other == a {
			h.advances = append(h.advances[:i], h.advances[i+1:]...)
			return true
		}
	}
	return false
}
