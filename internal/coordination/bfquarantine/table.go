package bfquarantine

import (
	"fmt"
	"slices"
	"time"

	"briarferry"
)

const (
	// crashWindow is the time within which reports about a server are merged into one
	// crash, and within which crashes of servers in one failure domain count as
	// simultaneous.
	crashWindow = 2 * time.Second
	// crashThreshold is the number of different crashed servers at which a fingerprint is
	// quarantined.
	crashThreshold = 2
	// crashingCallers is the number of callers with a quarantined request of the same content
	// from which on new callers of the content run one after the other.
	crashingCallers = 4
	maxCrashes      = 1024
	// maxFingerprints limits the fingerprints kept for one crash.
	maxFingerprints = 256
	maxCleared      = 4096
	maxHolderLength = 128
)

type (
	// Crash is the crash of a backend server with requests in flight.
	Crash struct {
		Backend       briarferry.BackendID `cbor:"1,keyasint"`
		FailureDomain string               `cbor:"2,keyasint"`
		// Age is the time since the crash. It is sent instead of a timestamp because the
		// clocks of VMs differ.
		Age time.Duration `cbor:"3,keyasint"`
		// Fingerprints identifies the requests that were in flight.
		Fingerprints []uint64 `cbor:"4,keyasint"`
	}

	// crash is a Crash with the time on this entry's clock.
	crash struct {
		backend       briarferry.BackendID
		failureDomain string
		at            time.Time
		fingerprints  []uint64
	}

	// causeFunc reports whether the cause of a crash is known.
	causeFunc func(c *crash) bool

	// crashTable holds crashes and decides which fingerprints are suspect or quarantined.
	// The result doesn't depend on the order in which crashes arrive. Callers pass the time
	// and hold the mutex.
	crashTable struct {
		crashes       []*crash
		byFingerprint map[uint64][]*crash
		// recurring holds, for each content, the fingerprints with at least crashThreshold
		// crashes.
		recurring map[uint32][]uint64
		cleared   map[uint64]time.Time
	}
)

// Validate returns a finding for each list that exceeds the limits of the table, and for
// each crash without fingerprints.
func (u *Update) Validate() briarferry.Findings {
	var f briarferry.Findings
	if len(u.Crashes) > maxCrashes {
		f.Add("crashes", "must have at most %d entries", maxCrashes)
	}
	if len(u.Cleared) > maxCleared {
		f.Add("cleared", "must have at most %d entries", maxCleared)
	}
	for i, c := range u.Crashes {
		if len(c.Fingerprints) == 0 || len(c.Fingerprints) > maxFingerprints {
			f.Add(fmt.Sprintf("crashes[%d].fingerprints", i), "must have 1 to %d entries", maxFingerprints)
		}
	}
	return f
}

// Validate returns a finding if the holder is empty or too long.
func (r *LockRequest) Validate() briarferry.Findings {
	var f briarferry.Findings
	if r.Holder == "" || len(r.Holder) > maxHolderLength {
		f.Add("holder", "must have 1 to %d characters", maxHolderLength)
	}
	return f
}

func newTable() *crashTable {
	return &crashTable{byFingerprint: map[uint64][]*crash{}, recurring: map[uint32][]uint64{}, cleared: map[uint64]time.Time{}}
}

// add merges a crash into the known crash of the same server, or adds it.
func (t *crashTable) add(now time.Time, reported Crash) {
	c := crash{
		backend: reported.Backend, failureDomain: reported.FailureDomain,
		at: now.Add(-max(0, reported.Age)), fingerprints: reported.Fingerprints,
	}
	known := t.find(c)
	if known == nil {
		if len(t.crashes) == maxCrashes {
			t.remove(t.leastUseful())
		}
		known = &crash{backend: c.backend, failureDomain: c.failureDomain, at: c.at}
		t.crashes = append(t.crashes, known)
	}
	for _, f := range c.fingerprints {
		if len(known.fingerprints) < maxFingerprints && !slices.Contains(known.fingerprints, f) {
			known.fingerprints = append(known.fingerprints, f)
			t.byFingerprint[f] = append(t.byFingerprint[f], known)
			if len(t.byFingerprint[f]) == crashThreshold {
				content := briarferry.FingerprintContent(f)
				t.recurring[content] = append(t.recurring[content], f)
			}
		}
	}
}

// leastUseful returns the crash that makes room for another one: the oldest one of the older
// half without a recurring fingerprint, so that many single crashes don't end a quarantine, or
// the oldest one.
func (t *crashTable) leastUseful() *crash {
	for _, c := range t.crashes[:len(t.crashes)/2] {
		if !slices.ContainsFunc(c.fingerprints, func(f uint64) bool { return len(t.byFingerprint[f]) >= crashThreshold }) {
			return c
		}
	}
	return t.crashes[0]
}

func (t *crashTable) find(c crash) *crash {
	for _, known := range t.crashes {
		if known.backend == c.backend && withinCrashWindow(known.at, c.at) {
			return known
		}
	}
	return nil
}

func withinCrashWindow(a, b time.Time) bool { return a.Sub(b).Abs() <= crashWindow }

func (t *crashTable) remove(c *crash) {
	t.crashes = slices.DeleteFunc(t.crashes, func(e *crash) bool { return e == c })
	for _, f := range c.fingerprints {
		rest := slices.DeleteFunc(t.byFingerprint[f], func(e *crash) bool { return e == c })
		if len(rest) == crashThreshold-1 {
			t.removeRecurring(f)
		}
		if len(rest) == 0 {
			delete(t.byFingerprint, f)
			delete(t.cleared, f)
			continue
		}
		t.byFingerprint[f] = rest
	}
}

func (t *crashTable) removeRecurring(f uint64) {
	content := briarferry.FingerprintContent(f)
	rest := slices.DeleteFunc(t.recurring[content], func(g uint64) bool { return g == f })
	if len(rest) == 0 {
		delete(t.recurring, content)
		return
	}
	t.recurring[content] = rest
}

// expire removes crashes before the given time.
func (t *crashTable) expire(before time.Time) {
	for _, c := range slices.Clone(t.crashes) {
		if c.at.Before(before) {
			t.remove(c)
		}
	}
}

// recordCleanRun records a run without a crash and reports whether the fingerprint is no
// longer suspect because of it.
func (t *crashTable) recordCleanRun(now time.Time, f uint64) bool {
	if !t.isSuspect(f) {
		return false
	}
	if _, ok := t.cleared[f]; !ok && len(t.cleared) >= maxCleared {
		t.removeOldestCleared()
	}
	t.cleared[f] = now
	return !t.isSuspect(f)
}

// removeOldestCleared makes room for a further clean run. The fingerprint that it removes may be
// suspect again until its next clean run.
func (t *crashTable) removeOldestCleared() {
	var oldest uint64
	var at time.Time
	for f, cleared := range t.cleared {
		if at.IsZero() || cleared.Before(at) {
			oldest, at = f, cleared
		}
	}
	delete(t.cleared, oldest)
}

// isRecurringContent reports whether the fingerprint's content was in flight in crashes of
// several servers for one caller.
func (t *crashTable) isRecurringContent(f uint64) bool {
	return len(t.recurring[briarferry.FingerprintContent(f)]) > 0
}

// isCrashingContent reports whether requests with the fingerprint's content are quarantined for
// at least crashingCallers callers.
func (t *crashTable) isCrashingContent(f uint64) bool {
	recurring, n := t.recurring[briarferry.FingerprintContent(f)], 0
	if len(recurring) < crashingCallers {
		return false
	}
	for _, g := range recurring {
		if t.isQuarantined(g) {
			n++
		}
		if n == crashingCallers {
			return true
		}
	}
	return false
}

// isSuspect reports whether there is a crash that is evidence against the fingerprint.
func (t *crashTable) isSuspect(f uint64) bool {
	return slices.ContainsFunc(t.byFingerprint[f], func(c *crash) bool { return t.isEvidence(c, f, t.hasKnownCause) })
}

func (t *crashTable) isQuarantined(f uint64) bool {
	return len(t.byFingerprint[f]) >= crashThreshold && t.attributedServers(f, t.hasKnownCause) >= crashThreshold
}

// attributedServers returns the number of servers whose crash is attributed to the
// fingerprint. A crash with several fingerprints in flight is attributed to the only one of
// them that was also in flight in a crash of another server, or to none if there is not
// exactly one. Without this rule a crashing request would never be identified on busy
// servers. isExplained decides whether a crash has another known cause.
func (t *crashTable) attributedServers(f uint64, isExplained causeFunc) int {
	var servers []briarferry.BackendID
	for _, c := range t.byFingerprint[f] {
		if !t.isEvidence(c, f, isExplained) || slices.Contains(servers, c.backend) {
			continue
		}
		if len(c.fingerprints) == 1 || t.isOnlyRecurring(c, f, isExplained) {
			servers = append(servers, c.backend)
		}
	}
	return len(servers)
}

func (t *crashTable) isOnlyRecurring(c *crash, f uint64, isExplained causeFunc) bool {
	return t.isRecurring(f, isExplained) && !slices.ContainsFunc(c.fingerprints, func(g uint64) bool {
		return g != f && t.isRecurring(g, isExplained)
	})
}

// isRecurring reports whether the fingerprint was in flight in crashes of two servers.
func (t *crashTable) isRecurring(f uint64, isExplained causeFunc) bool {
	var first *crash
	for _, c := range t.byFingerprint[f] {
		switch {
		case !t.isEvidence(c, f, isExplained):
		case first == nil:
			first = c
		case c.backend != first.backend:
			return true
		}
	}
	return false
}

// isEvidence reports whether the crash may count against the fingerprint.
func (t *crashTable) isEvidence(c *crash, f uint64, isExplained causeFunc) bool {
	// A request that crashes servers does so each time, so a clean run clears the
	// fingerprint of all earlier crashes, also of those with no other one in flight.
	if !c.at.After(t.cleared[f]) {
		return false
	}
	return !t.isDomainFailure(c, f, isExplained)
}

// isDomainFailure reports whether another server of the failure domain crashed at the same
// time without the fingerprint in flight, which indicates a failure of the domain. If all
// crashed servers had it in flight, a retried request may have crashed them. A crash caused
// by another request does not indicate a domain failure.
func (t *crashTable) isDomainFailure(c *crash, f uint64, isExplained causeFunc) bool {
	for _, other := range t.crashes {
		if other.backend != c.backend && other.failureDomain == c.failureDomain &&
			withinCrashWindow(other.at, c.at) && !slices.Contains(other.fingerprints, f) && !isExplained(other) {
			return true
		}
	}
	return false
}

// hasKnownCause reports whether another crashing request is known to have caused the crash:
// one that was in flight in crashes of several failure domains, or one to which the crashes
// of at least crashThreshold servers are attributed.
func (t *crashTable) hasKnownCause(c *crash) bool {
	return t.spansDomains(c) || slices.ContainsFunc(c.fingerprints, func(g uint64) bool {
		return t.attributedServers(g, t.spansDomains) >= crashThreshold
	})
}

// spansDomains reports whether one of the fingerprints was also in flight in crashes of
// other failure domains. Unrelated requests that are retried while one domain fails stay
// within it.
func (t *crashTable) spansDomains(c *crash) bool {
	return slices.ContainsFunc(c.fingerprints, func(g uint64) bool {
		return slices.ContainsFunc(t.byFingerprint[g], func(e *crash) bool { return e.failureDomain != c.failureDomain })
	})
}
