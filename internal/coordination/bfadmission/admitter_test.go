package bfadmission

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
)

type (
	// fakePool is a pool of slots at one server.
	fakePool struct {
		mu     sync.Mutex
		slots  int
		busy   int
		demand map[int]int
		freed  chan struct{}
		// pendingGrants is the number of slots that the pool gains 100 ms after the first
		// demand.
		pendingGrants int
	}

	fakeSlot struct{ pool *fakePool }

	classLoad struct {
		class         briarferry.PriorityClass
		ratePerSecond float64
		deadline      time.Duration
	}

	// outcomeCounts counts requests. inWindow excludes answers after the end of the load,
	// as they use capacity that the shares don't cover.
	outcomeCounts struct{ sent, inTime, inWindow, late, refused int }
)

func newFakePool(slots int) *fakePool {
	return &fakePool{slots: slots, freed: make(chan struct{}, 1)}
}

func (p *fakePool) TryAcquire(string, []briarferry.BackendID) (briarferry.Slot, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy >= p.slots {
		return nil, false
	}
	p.busy++
	return fakeSlot{p}, true
}

func (p *fakePool) Capacity(string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slots
}

func (p *fakePool) SetDemand(_ string, d map[int]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand = d
	if len(d) > 0 && p.pendingGrants > 0 {
		grants := p.pendingGrants
		p.pendingGrants = 0
		time.AfterFunc(100*time.Millisecond, func() { p.grow(grants) })
	}
}

func (p *fakePool) grow(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots += n
	p.freed <- struct{}{}
}

func (p *fakePool) SlotFreed(string) <-chan struct{} { return p.freed }

func (s fakeSlot) Backend() briarferry.Backend { return briarferry.Backend{} }
func (s fakeSlot) Done(briarferry.TryReport) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.pool.busy--
}

const (
	testSlots           = 10
	testHoldTime        = 20 * time.Millisecond
	testDurationSeconds = 10
	// testRate is the number of requests per second that the slots can handle.
	testRate = float64(testSlots) / 0.02
)

var testClasses = []briarferry.PriorityClass{
	{Name: "urgent", Urgency: 0},
	{Name: "normal", Urgency: 1, FloorShare: 0.1},
	{Name: "batch", Urgency: 2, FloorShare: 0.1},
}

// runLoads generates the loads for the test duration and counts the outcomes.
func runLoads(a *Admitter, loads []classLoad) []outcomeCounts {
	counts := make([]outcomeCounts, len(loads))
	var wg sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(testDurationSeconds * time.Second)
	for i, load := range loads {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(7, uint64(i)))
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rng.ExpFloat64() / load.ratePerSecond * float64(time.Second)))
				hold := time.Duration((0.5 + rng.Float64()) * float64(testHoldTime))
				wg.Go(func() {
					inTime, err := request(a, load, hold)
					mu.Lock()
					defer mu.Unlock()
					counts[i].add(inTime, err, !time.Now().After(end))
				})
			}
		})
	}
	wg.Wait()
	return counts
}

func (t *outcomeCounts) add(inTime bool, err error, inWindow bool) {
	t.sent++
	switch {
	case err != nil:
		t.refused++
	case inTime:
		t.inTime++
		if inWindow {
			t.inWindow++
		}
	default:
		t.late++
	}
}

func request(a *Admitter, load classLoad, hold time.Duration) (bool, error) {
	deadline := time.Now().Add(load.deadline)
	s, err := a.Acquire(context.Background(), briarferry.Ticket{
		Service: "orders", Class: load.class, Deadline: deadline, Expected: testHoldTime,
	})
	if err != nil {
		return false, err
	}
	time.Sleep(hold)
	s.Done(briarferry.TryReport{Latency: hold})
	return !time.Now().After(deadline), nil
}

// TestClassOverload guards against urgent requests that wait behind an overload of another
// class, against slots spent on requests that will be late anyway, and against floor shares
// that aren't honoured.
func TestClassOverload(t *testing.T) {
	urgent, normal, batch := testClasses[0], testClasses[1], testClasses[2]
	cases := []struct {
		name  string
		loads []classLoad
		// minShares is the minimum share of capacity that each class must get.
		minShares []float64
		// minInTime is the minimum share of the first class's requests answered in time.
		minInTime float64
	}{
		{"least urgent class at 10 times the capacity", []classLoad{
			{urgent, 0.4 * testRate, 100 * time.Millisecond},
			{normal, 0.2 * testRate, 200 * time.Millisecond},
			{batch, 10 * testRate, 500 * time.Millisecond},
		}, []float64{0.38, 0.18, 0.1}, 0.99},
		{"most urgent class at 10 times the capacity", []classLoad{
			{urgent, 10 * testRate, 100 * time.Millisecond},
			{normal, 0.2 * testRate, 500 * time.Millisecond},
			{batch, 0.2 * testRate, 500 * time.Millisecond},
		}, []float64{0.7, 0.09, 0.09}, 0},
		{"middle class at 10 times the capacity", []classLoad{
			{urgent, 0.4 * testRate, 100 * time.Millisecond},
			{normal, 10 * testRate, 200 * time.Millisecond},
			{batch, 0.2 * testRate, 500 * time.Millisecond},
		}, []float64{0.38, 0.3, 0.09}, 0.99},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &Admitter{Pool: newFakePool(testSlots)}
				total := 0.0
				for i, got := range runLoads(a, tc.loads) {
					share := float64(got.inWindow) / testRate / testDurationSeconds
					total += share
					t.Logf("seed 7: %-6s %+v, share of capacity %.3f", tc.loads[i].class.Name, got, share)
					if share < tc.minShares[i] {
						t.Errorf("%s got %.3f of capacity, want at least %.3f", tc.loads[i].class.Name, share, tc.minShares[i])
					}
					if inTimeShare := float64(got.inTime) / float64(got.sent); i == 0 && inTimeShare < tc.minInTime {
						t.Errorf("%.4f of the urgent requests were in time, want at least %.2f", inTimeShare, tc.minInTime)
					}
				}
				if total < 0.95 {
					t.Errorf("goodput is %.3f of capacity, want at least 0.95", total)
				}
				// Wait until the dispatch loop stops, which it does once the demand has decayed.
				time.Sleep(10 * time.Second)
				synctest.Wait()
			})
		})
	}
}

// TestRefusalsAndCancellation guards against waiters that stay queued after they were
// cancelled or have expired, against unbounded queues and against demand that isn't
// withdrawn.
func TestRefusalsAndCancellation(t *testing.T) {
	cases := []struct {
		name           string
		deadline       time.Duration
		cancel         time.Duration
		otherWaiters   int
		othersDeadline time.Duration
		want           string
		after          time.Duration
	}{
		{"cancelled", time.Second, 100 * time.Millisecond, 0, 0, ReasonCancelled, 100 * time.Millisecond},
		{"expired", time.Second, time.Hour, 0, 0, ReasonExpired, time.Second - testHoldTime},
		{"no time left", testHoldTime / 2, time.Hour, 0, 0, ReasonDeadline, 0},
		{"queue full", time.Second, time.Hour, 4, 300 * time.Millisecond, ReasonQueueFull, 0},
		{"wait too long", 75 * time.Millisecond, time.Hour, 2, 70 * time.Millisecond, ReasonDeadline, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pool := newFakePool(1)
				a := &Admitter{Pool: pool, MaxWaiting: 4, Slots: func(string) int { return 1 }}
				ctx, cancel := context.WithTimeout(context.Background(), tc.cancel)
				defer cancel()
				ticket := briarferry.Ticket{
					Service: "orders", Class: testClasses[0],
					Deadline: time.Now().Add(time.Second), Expected: testHoldTime,
				}
				if _, err := a.Acquire(ctx, ticket); err != nil {
					t.Fatal(err)
				}
				for range tc.otherWaiters {
					ticket.Deadline = time.Now().Add(tc.othersDeadline)
					go func() { _, _ = a.Acquire(context.Background(), ticket) }()
					synctest.Wait()
				}
				ticket.Deadline = time.Now().Add(tc.deadline)
				start := time.Now()
				_, err := a.Acquire(ctx, ticket)
				var refused *briarferry.Refusal
				if !errors.As(err, &refused) || refused.Reason != tc.want {
					t.Fatalf("got %v, want %s", err, tc.want)
				}
				if took := time.Since(start); took != tc.after {
					t.Errorf("Acquire returned after %v, want %v", took, tc.after)
				}
				time.Sleep(10 * time.Second)
				synctest.Wait()
				if len(pool.demand) != 0 || a.Waiting("orders") != 0 {
					t.Errorf("demand is %v with %d waiters, want none", pool.demand, a.Waiting("orders"))
				}
			})
		})
	}
}

// TestGrowingPool guards against refusing the first requests after an idle period, when the
// entry holds few slots and is about to get more.
func TestGrowingPool(t *testing.T) {
	for _, held := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			pool := newFakePool(held)
			pool.pendingGrants = 20
			a := &Admitter{Pool: pool, Slots: func(string) int { return 100 }}
			var wg sync.WaitGroup
			for range 100 {
				wg.Go(func() {
					if ok, err := request(a, classLoad{testClasses[0], 0, 250 * time.Millisecond}, testHoldTime); !ok {
						t.Errorf("with %d slots held at the start, a request was refused or late: %v", held, err)
					}
				})
			}
			wg.Wait()
			time.Sleep(10 * time.Second)
			synctest.Wait()
		})
	}
}

// TestTimeoutsDoNotRaiseAnswerTime guards against refusing requests that have enough time
// because tries to an unresponsive server take long.
func TestTimeoutsDoNotRaiseAnswerTime(t *testing.T) {
	var e slotEstimate
	for i := range 100 {
		e.observe(time.Unix(int64(i), 0), testHoldTime, false)
		e.observe(time.Unix(int64(i), 0), 10*testHoldTime, true)
	}
	if needed := e.requiredTime(testHoldTime); needed > 11*testHoldTime/10 {
		t.Errorf("required time is %v for answers that take %v", needed, testHoldTime)
	}
	if held := e.holdSeconds(testHoldTime); held < 3*testHoldTime.Seconds() {
		t.Errorf("mean hold time is %.3f s, which excludes the timeouts", held)
	}
}

// TestRecoveryFromSlowdown guards against an estimate that refuses all requests forever
// after the servers were slow for a while.
func TestRecoveryFromSlowdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Admitter{Pool: newFakePool(testSlots)}
		f := classLoad{testClasses[0], 0, 100 * time.Millisecond}
		for range 50 {
			_, _ = request(a, f, 400*time.Millisecond)
		}
		answered := 0
		for range 200 {
			if ok, err := request(a, f, testHoldTime); ok && err == nil {
				answered++
			}
			time.Sleep(50 * time.Millisecond)
		}
		if answered < 150 {
			t.Fatalf("%d of 200 requests answered after the servers recovered, want at least 150", answered)
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
	})
}
