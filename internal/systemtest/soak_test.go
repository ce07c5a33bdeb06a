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

// The promised bounds that the soak checks.
const (
	soakApply    = 2500 * time.Millisecond
	soakContact  = 4 * time.Second
	soakRecovery = 15 * time.Second
	// soakSlack covers the way of a request from an entry to a worker on a busy machine.
	soakSlack = time.Second
	// soakLength is the time under faults of a seed in CI.
	soakLength = 12 * time.Second
	// soakCatchUp is how long a control VM counts as lost after it is back.
	soakCatchUp = 6 * time.Second
	soakRate    = 0.95
)

// soakSeeds are played in each run: one ordinary seed, and every seed that ever failed.
var soakSeeds = []uint64{
	1,
}

// soak is a whole routed deployment under random faults.
type soak struct {
	t        *testing.T
	ledger   *ledger
	controls []*soakVM
	entries  []*soakVM
	seeds    []netip.Addr
	operator *operator
	// settling tells that the faults are over.
	settling atomic.Bool

	mu       sync.Mutex
	outcomes []outcome
	// disturbed is the end of the last fault so far, and active the number of those
	// under way.
	disturbed time.Time
	active    int
	// controlUntil is when the last lost control VM has caught up.
	controlUntil time.Time
}

// TestSoak guards against promises that are broken when faults of many kinds overlap:
// processes that are killed, stopped, frozen and lose their disks; connections that are
// delayed, reset, silenced and cut; workers that come and go; operators that race.
// BRIARFERRY_SOAK_SEED and BRIARFERRY_SOAK_COUNT select other seeds,
// BRIARFERRY_SOAK_FOR the time under faults, and BRIARFERRY_SOAK_VMS the size.
func TestSoak(t *testing.T) {
	seeds := soakSeeds
	if first := envNumber(t, "BRIARFERRY_SOAK_SEED", 0); first > 0 {
		seeds = nil
		for i := range envNumber(t, "BRIARFERRY_SOAK_COUNT", 1) {
			seeds = append(seeds, uint64(first+i))
		}
	}
	length := soakLength
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
	s.await(ctx, "the first route table is accepted", func() bool { return s.operator.put(ctx, 0, 1, 0) })
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	for i, service := range []string{"reads", "orders"} {
		for n := range 2 * len(soakZones) {
			group.Go(func() { s.live(ctx, service, n%len(soakZones), stream(uint64(100+10*i+n))) })
		}
	}
	for n := range 4 * len(soakZones) {
		group.Go(func() { s.call(ctx, n, stream(uint64(200+n))) })
	}
	group.Go(func() { s.operator.run(ctx, stream(300)) })
	group.Go(func() { s.operator.readAlong(ctx) })
	s.await(ctx, "requests are served", func() bool { return s.rate(time.Second) >= soakRate })
	s.disturb(ctx, stream(1), length)
	s.settle(ctx)
}

func newSoak(t *testing.T, dir string, vms int) *soak {
	s := &soak{t: t, ledger: newLedger(t)}
	controls := max(3, min(7, vms*3/7))
	for i := range controls {
		v := newSoakVM(t, dir, "control", i, nil)
		s.controls = append(s.controls, v)
		if i < 3 {
			s.seeds = append(s.seeds, v.address)
		}
	}
	for i := range max(3, vms-controls) {
		s.entries = append(s.entries, newSoakVM(t, dir, "entry", i, s.seeds))
	}
	for _, v := range s.controls {
		v.writeSettings(s.seeds, true)
	}
	for _, v := range append(s.controls, s.entries...) {
		v.start()
	}
	s.operator = &operator{soak: s, sent: map[uint64][]string{}}
	return s
}

func (s *soak) await(ctx context.Context, what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(readyWithin); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) || ctx.Err() != nil {
			s.t.Fatalf("not within %s: %s", readyWithin, what)
		}
	}
}

func (s *soak) note(o outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, o)
}

// rate returns the share of the requests served that were sent in the last span, as far
// as they have ended; it is 0 for a few.
func (s *soak) rate(span time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, served := 0, 0
	for _, o := range s.outcomes {
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

// calm tells whether no fault was under way in the last span.
func (s *soak) calm(span time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active == 0 && time.Since(s.disturbed) > span
}

// fault runs one fault in the background.
func (s *soak) fault(group *sync.WaitGroup, f func()) {
	s.mu.Lock()
	s.active++
	s.mu.Unlock()
	group.Go(func() {
		f()
		s.mu.Lock()
		s.active--
		s.disturbed = time.Now()
		s.mu.Unlock()
	})
}

// disturb starts faults at random, so that they overlap and come in series.
func (s *soak) disturb(ctx context.Context, r *rand.Rand, length time.Duration) {
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
			s.fault(&group, func() {
				defer busy[v].Store(false)
				s.play(v, kind, span, source)
			})
		}
		time.Sleep(time.Duration(r.Int64N(int64(1200 * time.Millisecond))))
	}
	group.Wait()
}

// play disturbs one VM for a span.
func (s *soak) play(v *soakVM, kind int, span time.Duration, r *rand.Rand) {
	s.t.Logf("%s %s: fault %d for %s", time.Now().Format("15:04:05.000"), v.name, kind, span)
	switch kind {
	case 0:
		v.kill()
		if r.IntN(2) == 0 {
			v.tear(r)
		}
		time.Sleep(span)
		v.start()
	case 1:
		v.stop()
		time.Sleep(span / 4)
		v.start()
	case 2:
		v.freeze(span)
	case 3:
		v.relay.cut.Store(true)
		v.relay.cutOuter.Store(r.IntN(2) == 0)
		time.Sleep(2 * span)
		v.relay.cut.Store(false)
		v.relay.cutOuter.Store(false)
	case 4:
		v.relay.delay.Store(int64(span / 20))
		time.Sleep(span)
		v.relay.delay.Store(0)
	case 5:
		v.relay.reset()
	case 6:
		v.relay.silence()
	case 7:
		v.signal(syscall.SIGHUP, false)
	case 8:
		s.wipe(v, span)
	}
}

// wipe kills a VM, and takes the disk of a control VM unless another one may be lost at
// the time.
func (s *soak) wipe(v *soakVM, span time.Duration) {
	s.mu.Lock()
	allowed := v.role == "control" && s.active == 1 && time.Since(s.disturbed) > soakCatchUp && time.Now().After(s.controlUntil)
	if allowed {
		s.controlUntil = time.Now().Add(span + soakCatchUp)
	}
	s.mu.Unlock()
	v.kill()
	if allowed {
		v.wipe(s.seeds)
	}
	time.Sleep(span)
	v.start()
	if allowed {
		time.Sleep(soakCatchUp)
	}
}

// settle checks that service and the newest confirmed route table are back in time.
func (s *soak) settle(ctx context.Context) {
	s.settling.Store(true)
	started := time.Now()
	for s.rate(2*time.Second) < soakRate {
		if time.Since(started) > soakRecovery {
			s.t.Errorf("%.2f of the requests are served %s after the last fault", s.rate(2*time.Second), soakRecovery)
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Logf("service is back %s after the last fault", time.Since(started).Round(time.Millisecond))
	version, ok := uint64(0), false
	for end := time.Now().Add(soakRecovery); !ok && time.Now().Before(end); {
		version, ok = s.operator.read(ctx)
	}
	s.operator.mu.Lock()
	defer s.operator.mu.Unlock()
	for _, c := range s.operator.acked {
		if !ok || c.version > version {
			s.t.Errorf("version %d was confirmed; a read at the end gives %d (%v)", c.version, version, ok)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.t.Logf("%d requests, %d confirmed changes, logs in %s", len(s.outcomes), len(s.operator.acked), filepath.Dir(s.controls[0].dir))
}
