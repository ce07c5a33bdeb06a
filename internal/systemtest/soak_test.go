package systemtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The guaranteed limits that the soak test checks, and its parameters.
const (
	// soakApplyLimit is the time within which control VMs serve a confirmed route table.
	soakApplyLimit = 2500 * time.Millisecond
	// soakContactLimit is the time within which VMs are in contact again after a fault.
	soakContactLimit = 4 * time.Second
	// soakRecoveryLimit is the time within which requests are served after the last fault.
	soakRecoveryLimit = 15 * time.Second
	// soakDeliveryTime is an allowance for a request that is on its way from an entry to a
	// backend server on a busy machine.
	soakDeliveryTime = time.Second
	// soakDuration is the default time for which faults are injected with each seed.
	soakDuration = 12 * time.Second
	// soakCatchUpTime is the assumed time until a control VM has caught up after a fault or
	// a lost disk.
	soakCatchUpTime = 6 * time.Second
	// soakStopAfter is the time from the start of a control VM to the stop of the one that it
	// replaces, and soakSuccessorTime that after which the latter no longer counts as lost.
	soakStopAfter      = 2 * time.Second
	soakSuccessorTime  = 4500 * time.Millisecond
	soakMinServedShare = 0.95
)

// soakSeeds are the default seeds: an arbitrary one and every seed that ever failed.
var soakSeeds = []uint64{
	1,
}

// soak is a deployment of control and entry VMs with callers and backend servers, into
// which random faults are injected.
type soak struct {
	t         *testing.T
	requests  *requestLog
	controls  []*soakVM
	entries   []*soakVM
	seedAddrs []netip.Addr
	operator  *operator
	// successor is the control VM that takes the place of another one after the random faults.
	successor *soakVM
	// faultsOver is set after the last fault. From then on ready backend servers are not
	// replaced any more.
	faultsOver atomic.Bool
	// evacuatedAt is when the evacuation of each failure domain was confirmed, in Unix
	// nanoseconds, or 0.
	evacuatedAt [3]atomic.Int64

	mu      sync.Mutex
	results []requestResult
	// lastFaultEnd is when the latest fault ended; activeFaults counts those in progress.
	lastFaultEnd time.Time
	activeFaults int
	// controlRejoinedAt is the time by which the last control VM that lost its disk is
	// assumed to have caught up.
	controlRejoinedAt time.Time
}

// TestSoak guards against guarantees that are violated when different faults overlap: VMs
// that are killed, stopped, frozen or lose their disks; connections that are delayed,
// reset, stalled or blocked; backend servers that start, crash, drain, say that they leave
// or ask for a pause; and operators that send conflicting changes and evacuate failure
// domains, withdraw that and order it again; finally, a planned replacement of a control VM and
// the loss of another one's disk. BRIARFERRY_SOAK_SEED and BRIARFERRY_SOAK_COUNT select
// other seeds, BRIARFERRY_SOAK_FOR the time for which faults are injected, and
// BRIARFERRY_SOAK_VMS the number of VMs.
func TestSoak(t *testing.T) {
	seeds := soakSeeds
	if first := envNumber(t, "BRIARFERRY_SOAK_SEED", 0); first > 0 {
		seeds = nil
		for i := range envNumber(t, "BRIARFERRY_SOAK_COUNT", 1) {
			seeds = append(seeds, uint64(first+i))
		}
	}
	length := soakDuration
	if text := os.Getenv("BRIARFERRY_SOAK_FOR"); text != "" {
		var err error
		if length, err = time.ParseDuration(text); err != nil {
			t.Fatal(err)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, seed, length) })
	}
}

// envNumber returns the number in an environment variable, or the fallback if it is not
// set.
func envNumber(t *testing.T, name string, fallback int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// runSoak runs the soak test with one seed.
func runSoak(t *testing.T, seed uint64, length time.Duration) {
	dir, err := os.MkdirTemp("", "briarferry-soak")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d: logs and data are in %s", seed, dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	s := newSoak(t, dir, envNumber(t, "BRIARFERRY_SOAK_VMS", 7))
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	s.waitFor(ctx, "the first route table is accepted", func() bool { return s.operator.put(ctx, 0, 1, 0) })
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	for i, service := range []string{"reads", "orders"} {
		for n := range 2 * len(soakFailureDomains) {
			group.Go(func() { s.replaceBackends(ctx, service, n%len(soakFailureDomains), stream(uint64(100+10*i+n))) })
		}
	}
	for n := range 4 * len(soakFailureDomains) {
		group.Go(func() { s.runCaller(ctx, n, stream(uint64(200+n))) })
	}
	changesCtx, cancelChanges := context.WithCancel(ctx)
	var changes sync.WaitGroup
	changes.Go(func() { s.operator.run(changesCtx, stream(300)) })
	changes.Go(func() { s.evacuations(changesCtx, stream(400)) })
	stopChanges := func() {
		cancelChanges()
		changes.Wait()
	}
	defer stopChanges()
	group.Go(func() { s.operator.readPeriodically(ctx) })
	s.waitFor(ctx, "requests are served", func() bool { return s.servedShare(time.Second) >= soakMinServedShare })
	s.injectFaults(ctx, stream(1), length)
	s.replaceControlVM(ctx, stream(2))
	s.checkRecovery(ctx, stopChanges)
}

// newSoak starts the VMs. At least three, and at most seven, of them are control VMs.
func newSoak(t *testing.T, dir string, vms int) *soak {
	s := &soak{t: t, requests: newRequestLog(t)}
	controls := max(3, min(7, vms*3/7))
	for i := range controls {
		v := newSoakVM(t, dir, "control", i, nil)
		s.controls = append(s.controls, v)
		if i < 3 {
			s.seedAddrs = append(s.seedAddrs, v.address)
		}
	}
	s.successor = newSoakVM(t, dir, "control", controls, s.seedAddrs)
	s.successor.writeSettings(s.seedAddrs, false)
	for i := range max(3, vms-controls) {
		s.entries = append(s.entries, newSoakVM(t, dir, "entry", i, s.seedAddrs))
	}
	for _, v := range s.controls {
		v.writeSettings(s.seedAddrs, true)
	}
	for _, v := range append(s.controls, s.entries...) {
		v.start()
	}
	s.operator = &operator{soak: s, documents: map[uint64][]string{}}
	return s
}

// waitFor polls until ok returns true.
func (s *soak) waitFor(ctx context.Context, condition string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(readyTimeout); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) || ctx.Err() != nil {
			s.t.Fatalf("condition not met within %s: %s", readyTimeout, condition)
		}
	}
}

func (s *soak) addResult(o requestResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, o)
}

// servedShare returns the share of requests that were served, out of those that were sent
// within the last span and have ended. It is 0 for fewer than 20 requests.
func (s *soak) servedShare(span time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, served := 0, 0
	for _, o := range s.results {
		if time.Since(o.sent) <= span {
			all++
			if o.served {
				served++
			}
		}
	}
	if all < 20 {
		return 0
	}
	return float64(served) / float64(all)
}

// undisturbed reports whether no fault was in progress within the last span.
func (s *soak) undisturbed(span time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeFaults == 0 && time.Since(s.lastFaultEnd) > span
}

// runFault runs one fault in the background.
func (s *soak) runFault(group *sync.WaitGroup, f func()) {
	s.mu.Lock()
	s.activeFaults++
	s.mu.Unlock()
	group.Go(func() {
		f()
		s.mu.Lock()
		s.activeFaults--
		s.lastFaultEnd = time.Now()
		s.mu.Unlock()
	})
}

// injectFaults starts random faults, which may overlap, with random pauses between them.
func (s *soak) injectFaults(ctx context.Context, r *rand.Rand, length time.Duration) {
	all := append(append([]*soakVM{}, s.controls...), s.entries...)
	busy := map[*soakVM]*atomic.Bool{}
	for _, v := range all {
		busy[v] = &atomic.Bool{}
	}
	var group sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; {
		v, kind, span := all[r.IntN(len(all))], r.IntN(9), 200*time.Millisecond+time.Duration(r.Int64N(int64(3*time.Second)))
		source := rand.New(rand.NewPCG(r.Uint64(), 0))
		if busy[v].CompareAndSwap(false, true) {
			s.runFault(&group, func() {
				defer busy[v].Store(false)
				s.injectFault(v, kind, span, source)
			})
		}
		time.Sleep(time.Duration(r.Int64N(int64(1200 * time.Millisecond))))
	}
	group.Wait()
}

// injectFault injects a fault of one kind into a VM. The span sets how long the fault lasts
// if its kind has a duration.
func (s *soak) injectFault(v *soakVM, kind int, span time.Duration, r *rand.Rand) {
	s.t.Logf("%s %s: fault %d for %s", time.Now().Format("15:04:05.000"), v.name, kind, span)
	switch kind {
	case 0: // crash, in half of the cases with an incomplete frame in the log
		v.kill()
		if r.IntN(2) == 0 {
			v.appendIncompleteFrame(r)
		}
		time.Sleep(span)
		v.start()
	case 1: // orderly stop
		v.stop()
		time.Sleep(span / 4)
		v.start()
	case 2: // suspended process
		v.freeze(span)
	case 3: // blocked traffic from other VMs, in half of the cases from clients as well
		v.relay.blockInternal.Store(true)
		v.relay.blockExternal.Store(r.IntN(2) == 0)
		time.Sleep(2 * span)
		v.relay.blockInternal.Store(false)
		v.relay.blockExternal.Store(false)
	case 4: // network delay
		v.relay.delay.Store(int64(span / 20))
		time.Sleep(span)
		v.relay.delay.Store(0)
	case 5: // reset connections
		v.relay.resetConnections()
	case 6: // stalled connections
		v.relay.stallConnections()
	case 7: // reload signal
		v.signal(syscall.SIGHUP, false)
	case 8: // lost disk
		s.wipeDisk(v, span)
	}
}

// wipeDisk kills a VM. It also wipes the disk of a control VM, unless another fault is in
// progress or another control VM may not have caught up yet.
func (s *soak) wipeDisk(v *soakVM, span time.Duration) {
	s.mu.Lock()
	allowed := v.role == "control" && s.activeFaults == 1 && time.Since(s.lastFaultEnd) > soakCatchUpTime && time.Now().After(s.controlRejoinedAt)
	if allowed {
		s.controlRejoinedAt = time.Now().Add(span + soakCatchUpTime)
	}
	s.mu.Unlock()
	v.kill()
	if allowed {
		v.wipe(s.seedAddrs)
	}
	time.Sleep(span)
	v.start()
	if allowed {
		time.Sleep(soakCatchUpTime)
	}
}

// replaceControlVM waits until all control VMs have caught up and replaces one as planned by
// one under a new address. As soon as the old one no longer counts as lost, another one loses
// its disk.
func (s *soak) replaceControlVM(ctx context.Context, r *rand.Rand) {
	time.Sleep(soakCatchUpTime)
	order := r.Perm(len(s.controls))
	old, wiped := s.controls[order[0]], s.controls[order[1]]
	s.t.Logf("%s %s: replaced, then %s: lost disk", time.Now().Format("15:04:05.000"), old.name, wiped.name)
	var group sync.WaitGroup
	s.runFault(&group, func() {
		started := time.Now()
		s.successor.start()
		time.Sleep(soakStopAfter)
		old.stop()
		time.Sleep(time.Until(started.Add(soakSuccessorTime)))
		wiped.kill()
		wiped.wipe(s.seedAddrs)
		wiped.start()
		time.Sleep(soakCatchUpTime)
	})
	group.Wait()
	s.waitFor(ctx, "the route table is read after the replacement", func() bool {
		_, ok := s.operator.read(ctx)
		return ok
	})
}

// checkRecovery checks that requests are served and the latest confirmed route table is in
// force within the limit after the last fault. stopChanges stops the operator's changes and
// returns once the one in progress has ended.
func (s *soak) checkRecovery(ctx context.Context, stopChanges func()) {
	s.faultsOver.Store(true)
	started := time.Now()
	for s.servedShare(2*time.Second) < soakMinServedShare {
		if time.Since(started) > soakRecoveryLimit {
			s.t.Errorf("the share of served requests is only %.2f, %s after the last fault", s.servedShare(2*time.Second), soakRecoveryLimit)
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Logf("the wait for served requests ended %s after the last fault", time.Since(started).Round(time.Millisecond))
	// A read may return an older version than a change that is confirmed while the read is in
	// flight, so the operator stops before the final read.
	stopChanges()
	s.watchEvacuation(ctx)
	version, ok := uint64(0), false
	for end := time.Now().Add(soakRecoveryLimit); !ok && time.Now().Before(end); {
		version, ok = s.operator.read(ctx)
	}
	s.operator.mu.Lock()
	defer s.operator.mu.Unlock()
	for _, c := range s.operator.confirmed {
		if !ok || c.version > version {
			s.t.Errorf("version %d was confirmed, but a read after the last fault returns version %d (ok: %v)", c.version, version, ok)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.t.Logf("%d requests, %d confirmed changes, logs in %s", len(s.results), len(s.operator.confirmed), filepath.Dir(s.controls[0].dir))
}
