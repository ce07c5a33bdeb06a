package bfquarantine

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
)

// of returns the fingerprint of a caller's request with the content.
func of(content, caller uint64) uint64 { return briarferry.NewFingerprint(content, caller) }

// crashFor crashes two servers for each of the callers, with a request of the content.
func crashFor(t *testing.T, s *fakeSystem, content uint64, callers ...uint64) {
	t.Helper()
	for _, caller := range callers {
		for i := range crashThreshold {
			startRun(t, s.entry(i), of(content, caller), 2*i)(briarferry.RunCrashed)
			time.Sleep(crashWindow + time.Second)
		}
	}
}

// TestEqualRequestsOfSeveralCallers guards against clean runs of other callers that clear the
// crashes of one caller's request, and against refusing or delaying the others because of it.
func TestEqualRequestsOfSeveralCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSystem(7)
		lost := 0
		for try := range 16 {
			for other := range uint64(28) {
				started := time.Now()
				startRun(t, s.entry(int(other)), of(7, 100+other), 1)(briarferry.RunAnswered)
				if waited := time.Since(started); waited > 0 {
					t.Fatalf("try %d: caller %d waited %v", try, other, waited)
				}
			}
			if isQuarantined(s.entry(try), of(7, 17)) {
				continue
			}
			lost++
			startRun(t, s.entry(try), of(7, 17), 2*(try%10))(briarferry.RunCrashed)
			time.Sleep(1500 * time.Millisecond)
		}
		if lost != crashThreshold {
			t.Errorf("%d servers crashed, want %d", lost, crashThreshold)
		}
	})
}

// TestInnocentRunsLostWithCrash guards against callers that stay suspect because their requests
// ran on servers that another one crashed.
func TestInnocentRunsLostWithCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSystem(7)
		for try := range 2 {
			other := startRun(t, s.entry(try+1), of(7, 100), 2*try)
			startRun(t, s.entry(try), of(7, 17), 2*try)(briarferry.RunCrashed)
			other(briarferry.RunCrashed)
			time.Sleep(3 * time.Second)
		}
		startRun(t, s.entry(3), of(7, 100), 8)(briarferry.RunAnswered)
		for i := range 7 {
			if !isQuarantined(s.entry(i), of(7, 17)) || isQuarantined(s.entry(i), of(7, 100)) || s.entry(i).table.isSuspect(of(7, 100)) {
				t.Errorf("entry %d: the crashing caller is not quarantined, or the other one is quarantined or suspect", i)
			}
		}
	})
}

// TestChangingCaller guards against servers crashed without end by a caller that changes its
// address, and against other callers that are refused because of it.
func TestChangingCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSystem(7)
		crashFor(t, s, 7, 1)
		for i := range 7 {
			startRun(t, s.entry(i), of(7, 1000), 19)(briarferry.RunAnswered)
		}
		crashFor(t, s, 7, 2, 3, 4)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		crashes := 0
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range 7 {
			wg.Go(func() {
				for caller := uint64(5000 + 1000*i); ctx.Err() == nil; caller++ {
					endRun, err := s.entry(i).StartRun(ctx, of(7, caller), server(2*i))
					if err != nil {
						continue
					}
					mu.Lock()
					crashes++
					mu.Unlock()
					endRun(briarferry.RunCrashed)
				}
			})
		}
		for i := range 60 {
			started := time.Now()
			startRun(t, s.entry(i), of(7, 1000), 19)(briarferry.RunAnswered)
			startRun(t, s.entry(i), of(8, 2000), 19)(briarferry.RunAnswered)
			if waited := time.Since(started); waited > 0 {
				t.Fatalf("a known caller or another content waited %v", waited)
			}
			time.Sleep(900 * time.Millisecond)
		}
		wg.Wait()
		if limit := int(time.Minute/contentCrashPause) + 1; crashes < 10 || crashes > limit {
			t.Errorf("%d servers crashed in a minute, want 10 to %d", crashes, limit)
		}
		startRun(t, s.entry(0), of(7, 3000), 18)(briarferry.RunAnswered)
		started := time.Now()
		startRun(t, s.entry(0), of(7, 3000), 18)(briarferry.RunAnswered)
		if waited := time.Since(started); waited > 0 {
			t.Errorf("a caller that has run the content waited %v", waited)
		}
	})
}

// TestEarlierBuildFingerprints guards against refusing callers because of the fingerprints of an
// earlier build, which stand for all callers of a content.
func TestEarlierBuildFingerprints(t *testing.T) {
	s := newFakeSystem(2)
	for i := range 4 {
		s.entry(0).Receive(Update{Crashes: []Crash{{Backend: server(2 * i).ID(), FailureDomain: fmt.Sprint(i), Fingerprints: []uint64{0xfeed_0000_0007}}}})
	}
	if err := s.entry(0).Check(of(7, 17)); err != nil {
		t.Error(err)
	}
	if key, ok := s.entry(0).lockKey(of(7, 17)); ok {
		t.Errorf("the run needs the lock %x", key)
	}
}

// TestFloodOfSuspects guards against a quarantine that ends because many other servers crashed,
// and against clean runs that are ignored because there were many.
func TestFloodOfSuspects(t *testing.T) {
	table, now := newTable(), time.Unix(1000, 0)
	for i := range crashThreshold {
		table.add(now, Crash{Backend: server(2 * i).ID(), FailureDomain: fmt.Sprint(i), Fingerprints: []uint64{of(7, 17)}})
	}
	for i := range uint64(maxCrashes + 100) {
		var callers []uint64
		for j := range uint64(5) {
			callers = append(callers, of(7, 1000+5*i+j))
		}
		now = now.Add(10 * time.Second)
		table.add(now, Crash{Backend: server(int(i % 20)).ID(), FailureDomain: "other", Fingerprints: callers})
		if !table.recordCleanRun(now.Add(time.Second), callers[0]) {
			t.Fatalf("crash %d: a clean run didn't clear the fingerprint", i)
		}
		for _, f := range callers[1:] {
			table.recordCleanRun(now.Add(time.Second), f)
		}
	}
	if !table.isQuarantined(of(7, 17)) {
		t.Error("the crashing request is no longer quarantined")
	}
	if len(table.crashes) > maxCrashes || len(table.cleared) > maxCleared || len(table.recurring) != 1 || len(table.recurring[7]) != 1 {
		t.Errorf("%d crashes, %d cleared, recurring %v", len(table.crashes), len(table.cleared), table.recurring)
	}
	k := knownCallers{}
	for i := range uint64(2 * maxKnownCallers) {
		k.add(i)
	}
	if len(k) != maxKnownCallers || !k.has(2*maxKnownCallers-1) {
		t.Errorf("%d known callers", len(k))
	}
	table.expire(now.Add(time.Hour))
	if n := len(table.byFingerprint) + len(table.recurring) + len(table.cleared); n != 0 {
		t.Errorf("%d entries remain after all crashes expired", n)
	}
}
