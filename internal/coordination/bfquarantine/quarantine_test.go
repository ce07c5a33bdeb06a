package bfquarantine

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"briarferry"
)

type (
	// fakeSystem is a set of entries that call each other with a delay.
	fakeSystem struct {
		vms     []briarferry.VM
		entries map[string]*Quarantine
	}

	fakeMembers struct {
		system *fakeSystem
		self   int
	}
)

const fakeLatency = 5 * time.Millisecond

func newFakeSystem(n int) *fakeSystem {
	s := &fakeSystem{entries: map[string]*Quarantine{}}
	for i := range n {
		vm := briarferry.VM{Name: fmt.Sprintf("vm%d", i)}
		s.vms = append(s.vms, vm)
		s.entries[vm.Name] = &Quarantine{Members: fakeMembers{s, i}, Peers: s}
	}
	return s
}

func (s *fakeSystem) entry(i int) *Quarantine { return s.entries[s.vms[i%len(s.vms)].Name] }

func (m fakeMembers) Self() briarferry.VM   { return m.system.vms[m.self] }
func (m fakeMembers) Live() []briarferry.VM { return m.system.vms }
func (m fakeMembers) Connected() bool       { return true }

func (s *fakeSystem) Lock(_ context.Context, vm briarferry.VM, r LockRequest) (bool, error) {
	time.Sleep(fakeLatency)
	return s.entries[vm.Name].AcquireLock(r), nil
}

func (s *fakeSystem) Unlock(_ context.Context, vm briarferry.VM, r LockRequest) error {
	time.Sleep(fakeLatency)
	s.entries[vm.Name].ReleaseLock(r)
	return nil
}

func (s *fakeSystem) Share(_ context.Context, vm briarferry.VM, u Update) error {
	time.Sleep(fakeLatency)
	s.entries[vm.Name].Receive(u)
	return nil
}

func (s *fakeSystem) Fetch(_ context.Context, vm briarferry.VM) (Update, error) {
	return s.entries[vm.Name].KnownCrashes(), nil
}

// server returns the nth of 20 servers in ten failure domains of two servers each.
func server(n int) briarferry.Backend {
	return briarferry.Backend{Announcement: briarferry.Announcement{
		Service: "orders", FailureDomain: fmt.Sprintf("domain%d", n/2),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n + 1)}), 80),
	}}
}

func startRun(t *testing.T, q *Quarantine, fingerprint uint64, n int) func(briarferry.RunResult) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	endRun, err := q.StartRun(ctx, fingerprint, server(n))
	if err != nil {
		t.Fatalf("fingerprint %d at server %d: %v", fingerprint, n, err)
	}
	return endRun
}

func isQuarantined(q *Quarantine, f uint64) bool {
	var refusal *briarferry.Refusal
	return errors.As(q.Check(f), &refusal)
}

// TestCrashingRequestIsQuarantined guards against a third server lost to a request that its
// caller sends again through one entry after the other, on idle and on busy servers.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for _, others := range []int{0, 1, 5} {
		t.Run(fmt.Sprintf("%d others in flight", others), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeSystem(7)
				lost := 0
				for try := range 7 {
					q := s.entry(try)
					if isQuarantined(q, 1) {
						continue
					}
					var endOthers []func(briarferry.RunResult)
					for i := range others {
						endOthers = append(endOthers, startRun(t, s.entry(try+i%2), uint64(100*try+10+i), 3*try))
					}
					endRun := startRun(t, q, 1, 3*try)
					lost++
					endRun(briarferry.RunCrashed)
					for _, l := range endOthers {
						l(briarferry.RunCrashed)
					}
				}
				if lost != 2 {
					t.Errorf("%d servers crashed, want 2", lost)
				}
				for i := range 7 {
					for f := range uint64(700) {
						if isQuarantined(s.entry(i), f) != (f == 1) {
							t.Fatalf("entry %d: fingerprint %d: quarantined is %v", i, f, f != 1)
						}
					}
				}
				time.Sleep(11 * time.Minute)
				s.entry(0).Receive(Update{})
				if isQuarantined(s.entry(0), 1) {
					t.Error("the fingerprint is still quarantined after the retention period")
				}
			})
		})
	}
}

// TestFailedDomainCausesNoQuarantine guards against quarantining unrelated requests that
// are retried on further servers of a failure domain while it fails.
func TestFailedDomainCausesNoQuarantine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, now := newTable(), time.Unix(1000, 0)
		servers := rapid.IntRange(3, 8).Draw(rt, "servers")
		for n := range servers {
			b := server(n)
			c := Crash{Backend: b.ID(), FailureDomain: "same"}
			// Each request was in flight on at most half of the servers.
			for f := range uint64(10) {
				if int(f)%servers == n || (int(f)+1)%servers == n && servers > 3 {
					c.Fingerprints = append(c.Fingerprints, f)
				}
			}
			table.add(now.Add(time.Duration(rapid.IntRange(0, 1900).Draw(rt, "ms"))*time.Millisecond), c)
		}
		for f := range uint64(10) {
			if table.isQuarantined(f) || table.isSuspect(f) {
				rt.Fatalf("unrelated fingerprint %d: quarantined is %v, suspect is %v", f, table.isQuarantined(f), table.isSuspect(f))
			}
		}
	})
}

// TestTwoCrashingRequests guards against crashes of one request that hide those of another
// one in the same failure domains.
func TestTwoCrashingRequests(t *testing.T) {
	cases := []struct {
		name    string
		servers [2][2]int
		domains [2][2]string
	}{
		{"across domains", [2][2]int{{0, 2}, {1, 3}}, [2][2]string{{"a", "b"}, {"a", "b"}}},
		{"one within a domain", [2][2]int{{0, 2}, {1, 3}}, [2][2]string{{"a", "a"}, {"a", "b"}}},
	}
	for _, tc := range cases {
		table, now := newTable(), time.Unix(1000, 0)
		for f := range uint64(2) {
			for i, n := range tc.servers[f] {
				table.add(now, Crash{Backend: server(n).ID(), FailureDomain: tc.domains[f][i], Fingerprints: []uint64{f}})
			}
		}
		for f := range uint64(2) {
			if !table.isQuarantined(f) {
				t.Errorf("%s: fingerprint %d is not quarantined", tc.name, f)
			}
		}
	}
}

// TestVerdictDoesNotDependOnOrder guards against entries that reach different verdicts on a
// fingerprint because they received crashes in a different order.
func TestVerdictDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		var crashes []Crash
		for i := range rapid.IntRange(1, 8).Draw(rt, "crashes") {
			b := server(rapid.IntRange(0, 5).Draw(rt, "server"))
			fingerprints := rapid.SliceOfNDistinct(rapid.Uint64Range(0, 5), 1, 4, rapid.ID[uint64]).Draw(rt, "fingerprints")
			crashes = append(crashes, Crash{Backend: b.ID(), FailureDomain: b.FailureDomain, Age: time.Duration(i) * 5 * time.Second, Fingerprints: fingerprints})
		}
		inOrder, shuffled := newTable(), newTable()
		for _, c := range crashes {
			inOrder.add(now, c)
		}
		for _, c := range rapid.Permutation(crashes).Draw(rt, "order") {
			shuffled.add(now, c)
		}
		for f := range uint64(6) {
			if inOrder.attributedServers(f, inOrder.hasKnownCause) != shuffled.attributedServers(f, shuffled.hasKnownCause) || inOrder.isSuspect(f) != shuffled.isSuspect(f) {
				rt.Fatalf("fingerprint %d: %d and %d attributed servers", f, inOrder.attributedServers(f, inOrder.hasKnownCause), shuffled.attributedServers(f, shuffled.hasKnownCause))
			}
		}
	})
}

// TestSuspectRunsAlone guards against two servers that crash at once because of a suspect
// request, and against fingerprints that remain suspect after a clean run.
func TestSuspectRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSystem(7)
		other := startRun(t, s.entry(0), 2, 0)
		startRun(t, s.entry(0), 1, 0)(briarferry.RunCrashed)
		other(briarferry.RunCrashed)
		var running, most atomic.Int64
		var wg sync.WaitGroup
		run := func(i int, result briarferry.RunResult) {
			endRun, err := s.entry(i).StartRun(t.Context(), 1, server(2+i))
			if err != nil {
				return
			}
			most.Store(max(most.Load(), running.Add(1)))
			time.Sleep(50 * time.Millisecond)
			running.Add(-1)
			endRun(result)
		}
		for i := range 14 {
			wg.Go(func() { run(i, briarferry.RunFailed) })
		}
		wg.Wait()
		if most.Load() != 1 {
			t.Errorf("%d concurrent runs of a suspect fingerprint, want 1", most.Load())
		}
		run(3, briarferry.RunAnswered)
		for i := range 7 {
			if s.entry(i).table.isSuspect(1) {
				t.Errorf("entry %d: fingerprint 1 is suspect after a clean run", i)
			}
			if !s.entry(i).table.isSuspect(2) {
				t.Errorf("entry %d: fingerprint 2 is not suspect", i)
			}
		}
	})
}

// lostGrants is a system in which locks are granted but the answer is lost.
type lostGrants struct {
	*fakeSystem
	lost int
}

func (s *lostGrants) Lock(ctx context.Context, vm briarferry.VM, r LockRequest) (bool, error) {
	if _, err := s.fakeSystem.Lock(ctx, vm, r); err != nil {
		return false, err
	}
	s.lost++
	return false, context.Canceled
}

// TestLostGrant guards against a lock that stays held, for as long as a request may take, after
// its holder gave up before it learned that it had the lock.
func TestLostGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSystem(7)
		startRun(t, s.entry(0), 1, 0)(briarferry.RunCrashed)
		faulty := &lostGrants{fakeSystem: s}
		coordinator := s.entry(0).coordinator(1)
		var holder, next *Quarantine
		for _, q := range s.entries {
			switch {
			case q.Members.Self().Name == coordinator.Name:
			case holder == nil:
				holder = q
			default:
				next = q
			}
		}
		holder.Peers = faulty
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if _, err := holder.StartRun(ctx, 1, server(2)); err == nil || faulty.lost == 0 {
			t.Fatalf("the run started, %v; %d grants were lost", err, faulty.lost)
		}
		started := time.Now()
		startRun(t, next, 1, 4)(briarferry.RunAnswered)
		if waited := time.Since(started); waited > 2*time.Second {
			t.Errorf("the next run waited %v for the lock", waited)
		}
	})
}

// TestCleanRunBetweenCrashes guards against refusing a harmless request that was alone in
// flight at two servers that crashed for another reason, and ran well in between.
func TestCleanRunBetweenCrashes(t *testing.T) {
	for _, runsBetween := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeSystem(3)
			startRun(t, s.entry(0), 1, 0)(briarferry.RunCrashed)
			time.Sleep(10 * time.Second)
			if runsBetween {
				startRun(t, s.entry(1), 1, 3)(briarferry.RunAnswered)
				time.Sleep(10 * time.Second)
			}
			startRun(t, s.entry(2), 1, 6)(briarferry.RunCrashed)
			for i := range 3 {
				if got := isQuarantined(s.entry(i), 1); got == runsBetween {
					t.Errorf("entry %d: a run without a crash in between %v, quarantined %v", i, runsBetween, got)
				}
			}
		})
	}
}

// TestTableLimits guards against tables that grow without limit.
func TestTableLimits(t *testing.T) {
	table, now := newTable(), time.Unix(1000, 0)
	for i := range maxCrashes + 100 {
		c := Crash{Backend: server(i % 100).ID(), Fingerprints: make([]uint64, 2)}
		if i%100 == 0 {
			c.Fingerprints = make([]uint64, 2*maxFingerprints)
		}
		for j := range c.Fingerprints {
			c.Fingerprints[j] = uint64(i*1000 + j)
		}
		table.add(now.Add(time.Duration(i)*time.Second), c)
	}
	if len(table.crashes) > maxCrashes || len(table.byFingerprint) > maxCrashes*maxFingerprints {
		t.Errorf("%d crashes, %d fingerprints", len(table.crashes), len(table.byFingerprint))
	}
	l := locks{}
	for i := range uint64(3 * maxLocks) {
		l.acquire(now, LockRequest{Fingerprint: i, Holder: "a", TTL: time.Minute})
	}
	if len(l) > maxLocks || !l.acquire(now.Add(time.Hour), LockRequest{Fingerprint: 1 << 40, Holder: "b"}) {
		t.Errorf("%d locks are too many, or none was acquired after the others expired", len(l))
	}
}
