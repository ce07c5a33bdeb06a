package bfquarantine

import (
	"fmt"
	"slices"
	"time"

	"briarferry"
)

const (
	// crashWindow joins reports about one crash, and bounds the time in which
	// servers of one failure domain count as lost together.
	crashWindow = 2 * time.Second
	// strikeLimit is the number of different servers after which a fingerprint is
	// quarantined.
	strikeLimit = 2
	maxCrashes  = 1024
	// maxInFlight bounds the fingerprints kept for one crash.
	maxInFlight = 256
	maxCleared  = 4096
	maxHolder   = 128
)

type (
	// Crash is the loss of a backend server with requests in flight.
	Crash struct {
		Backend       briarferry.BackendID `cbor:"1,keyasint"`
		FailureDomain string               `cbor:"2,keyasint"`
		// Age is how long ago it was. Clocks of VMs differ, so that no time is sent.
		Age time.Duration `cbor:"3,keyasint"`
		// Fingerprints are the requests that were in flight.
		Fingerprints []uint64 `cbor:"4,keyasint"`
	}

	// crash is a crash by this entry's clock.
	crash struct {
		backend briarferry.BackendID
		domain  string
		at      time.Time
		prints  []uint64
	}

	// explainer tells whether a crash has a known cause.
	explainer func(c *crash) bool

	// table holds crashes and decides from all of them whether a fingerprint is a
	// suspect or quarantined, whatever order they arrived in. It has no clock and
	// no lock.
	table struct {
		crashes []*crash
		byPrint map[uint64][]*crash
		cleared map[uint64]time.Time
	}
)

// Validate reports an update beyond the bounds of the table.
func (u *Update) Validate() briarferry.Findings {
	var f briarferry.Findings
	if len(u.Crashes) > maxCrashes {
		f.Add("crashes", "must have at most %d entries", maxCrashes)
	}
	if len(u.Cleared) > maxCleared {
		f.Add("cleared", "must have at most %d entries", maxCleared)
	}
	for i, c := range u.Crashes {
		if len(c.Fingerprints) == 0 || len(c.Fingerprints) > maxInFlight {
			f.Add(fmt.Sprintf("crashes[%d].fingerprints", i), "must have 1 to %d entries", maxInFlight)
		}
	}
	return f
}

// Validate reports a lock request that is out of range.
func (r *LockRequest) Validate() briarferry.Findings {
	var f briarferry.Findings
	if r.Holder == "" || len(r.Holder) > maxHolder {
		f.Add("holder", "must have 1 to %d characters", maxHolder)
	}
	return f
}

func newTable() *table {
	return &table{byPrint: map[uint64][]*crash{}, cleared: map[uint64]time.Time{}}
}

// add merges a crash with what is known about the same one.
func (t *table) add(now time.Time, reported Crash) {
	c := crash{
		backend: reported.Backend, domain: reported.FailureDomain,
		at: now.Add(-max(0, reported.Age)), prints: reported.Fingerprints,
	}
	known := t.same(c)
	if known == nil {
		if len(t.crashes) == maxCrashes {
			t.drop(t.crashes[0])
		}
		known = &crash{backend: c.backend, domain: c.domain, at: c.at}
		t.crashes = append(t.crashes, known)
	}
	for _, f := range c.prints {
		if len(known.prints) < maxInFlight && !slices.Contains(known.prints, f) {
			known.prints = append(known.prints, f)
			t.byPrint[f] = append(t.byPrint[f], known)
		}
	}
}

func (t *table) same(c crash) *crash {
	for _, known := range t.crashes {
		if known.backend == c.backend && near(known.at, c.at) {
			return known
		}
	}
	return nil
}

func near(a, b time.Time) bool { return a.Sub(b).Abs() <= crashWindow }

func (t *table) drop(c *crash) {
	t.crashes = slices.DeleteFunc(t.crashes, func(e *crash) bool { return e == c })
	for _, f := range c.prints {
		rest := slices.DeleteFunc(t.byPrint[f], func(e *crash) bool { return e == c })
		if len(rest) == 0 {
			delete(t.byPrint, f)
			delete(t.cleared, f)
			continue
		}
		t.byPrint[f] = rest
	}
}

// expire drops crashes from before the given time.
func (t *table) expire(before time.Time) {
	for _, c := range slices.Clone(t.crashes) {
		if c.at.Before(before) {
			t.drop(c)
		}
	}
}

// clear notes a run without a crash; it is true where that lifts a suspicion.
func (t *table) clear(now time.Time, f uint64) bool {
	if !t.suspect(f) || len(t.cleared) >= maxCleared {
		return false
	}
	t.cleared[f] = now
	return !t.suspect(f)
}

// suspect tells whether the fingerprint was in flight in a crash that counts.
func (t *table) suspect(f uint64) bool {
	return slices.ContainsFunc(t.byPrint[f], func(c *crash) bool { return t.counts(c, f, t.explained) })
}

func (t *table) quarantined(f uint64) bool {
	return len(t.byPrint[f]) >= strikeLimit && t.strikes(f, t.explained) >= strikeLimit
}

// strikes returns the number of servers whose crash is put down to the fingerprint.
// Where several were in flight, a single crash is nobody's strike; it becomes one
// only for a fingerprint that alone among them was in flight in a second crash.
// Without this rule a crashing request would never be found on busy servers.
func (t *table) strikes(f uint64, explained explainer) int {
	var servers []briarferry.BackendID
	for _, c := range t.byPrint[f] {
		if !t.counts(c, f, explained) || slices.Contains(servers, c.backend) {
			continue
		}
		if len(c.prints) == 1 || t.onlyRecurring(c, f, explained) {
			servers = append(servers, c.backend)
		}
	}
	return len(servers)
}

func (t *table) onlyRecurring(c *crash, f uint64, explained explainer) bool {
	return t.recurring(f, explained) && !slices.ContainsFunc(c.prints, func(g uint64) bool {
		return g != f && t.recurring(g, explained)
	})
}

// recurring tells whether the fingerprint was in flight in crashes of two servers.
func (t *table) recurring(f uint64, explained explainer) bool {
	var first *crash
	for _, c := range t.byPrint[f] {
		switch {
		case !t.counts(c, f, explained):
		case first == nil:
			first = c
		case c.backend != first.backend:
			return true
		}
	}
	return false
}

// counts tells whether the crash may speak against the fingerprint at all.
func (t *table) counts(c *crash, f uint64, explained explainer) bool {
	// A request that crashes its servers does so each time; a clean run clears it
	// of crashes that others may have caused.
	if len(c.prints) > 1 && !c.at.After(t.cleared[f]) {
		return false
	}
	return !t.mass(c, f, explained)
}

// mass tells whether the failure domain lost another server at the same time on
// which the fingerprint was not in flight: the domain has failed then. Losses that
// all had the fingerprint in flight are those of a request that is tried again, and
// a loss that another crashing request explains is no sign of a failed domain.
func (t *table) mass(c *crash, f uint64, explained explainer) bool {
	for _, other := range t.crashes {
		if other.backend != c.backend && other.domain == c.domain &&
			near(other.at, c.at) && !slices.Contains(other.prints, f) && !explained(other) {
			return true
		}
	}
	return false
}

// explained tells whether another crashing request is known to have caused the
// crash: one that was in flight in crashes of several domains, or one with enough
// strikes of its own.
func (t *table) explained(c *crash) bool {
	return t.acrossDomains(c) || slices.ContainsFunc(c.prints, func(g uint64) bool {
		return t.strikes(g, t.acrossDomains) >= strikeLimit
	})
}

// acrossDomains tells whether a request was in flight that was also in flight in
// crashes of other failure domains. Innocent requests that are tried again while
// one domain dies stay within it.
func (t *table) acrossDomains(c *crash) bool {
	return slices.ContainsFunc(c.prints, func(g uint64) bool {
		return slices.ContainsFunc(t.byPrint[g], func(e *crash) bool { return e.domain != c.domain })
	})
}
