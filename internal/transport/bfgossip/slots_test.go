package bfgossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"briarferry"
)

type (
	// usage counts requests in flight at each server and their highest number.
	usage struct {
		mu     sync.Mutex
		now    map[briarferry.BackendID]int
		most   int
		served map[int]int
		waits  []time.Duration
	}

	// driver puts load on one entry, as its admission queue does.
	driver struct {
		u       *usage
		n       *simNode
		rng     *rand.Rand
		rate    func() float64
		urgency int
		service time.Duration
		queue   []time.Time
	}
)

func newUsage() *usage {
	return &usage{now: make(map[briarferry.BackendID]int), served: make(map[int]int)}
}

func (u *usage) enter(id briarferry.BackendID, index int, waited time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.now[id]++
	u.most = max(u.most, u.now[id])
	u.served[index]++
	u.waits = append(u.waits, waited)
}

func (u *usage) leave(id briarferry.BackendID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.now[id]--
}

func (d *driver) run(ctx context.Context) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.n.pool.Freed("desk"):
		case <-ticker.C:
			for p := d.rate() * 0.005; p > 0 && len(d.queue) < 50; p-- {
				if d.rng.Float64() < p {
					d.queue = append(d.queue, time.Now())
				}
			}
		}
		d.dispatch(ctx)
	}
}

func (d *driver) dispatch(ctx context.Context) {
	d.n.pool.SetDemand("desk", map[int]int{d.urgency: len(d.queue)})
	for len(d.queue) > 0 {
		s, ok := d.n.pool.TryAcquire("desk", nil)
		if !ok {
			break
		}
		id := s.Backend().ID()
		d.u.enter(id, d.n.index, time.Since(d.queue[0]))
		d.queue = d.queue[1:]
		hold := d.service/2 + time.Duration(d.rng.Int64N(int64(d.service)))
		go func() {
			select {
			case <-time.After(hold):
			case <-ctx.Done(): // the process died and its connections with it
			}
			d.u.leave(id)
			s.Done(briarferry.TryReport{Latency: hold})
		}()
	}
	d.n.pool.SetDemand("desk", map[int]int{d.urgency: len(d.queue)})
}

func (u *usage) check(t *testing.T, slots int) {
	t.Helper()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.most > slots {
		t.Errorf("%d requests in flight at a server with %d slots", u.most, slots)
	}
}

// TestNeverOverSlots guards against a fourth request at a server with 3 slots, through
// changes of demand, restarts of entries and the changes of home that they bring.
func TestNeverOverSlots(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		synctest.Test(t, func(t *testing.T) { runSlots(t, seed) })
	}
}

func runSlots(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	f, nodes := startCluster(seed, 7)
	defer func() { stopAll(nodes) }()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if seed%2 == 0 {
		f.mu.Lock()
		f.loss, f.twin = 0.03, 0.05
		f.mu.Unlock()
	}
	var mu sync.Mutex
	at := func(i int) *simNode { mu.Lock(); defer mu.Unlock(); return nodes[i%7] }
	for i := range 6 {
		go announce(ctx, t, func(round int) *simNode { return at(i + round) }, func() briarferry.Announcement { return backend(i, 3) })
	}
	u := newUsage()
	stops := make([]context.CancelFunc, 7)
	drive := func(i int) {
		c, stop := context.WithCancel(ctx)
		stops[i] = stop
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		phase := time.Duration(1+r.IntN(4)) * time.Second
		d := &driver{u: u, n: at(i), rng: r, urgency: r.IntN(3), service: 60 * time.Millisecond, rate: func() float64 {
			if time.Now().UnixNano()/int64(phase)%2 == 0 {
				return 10
			}
			return 120
		}}
		go d.run(c)
	}
	for i := range 7 {
		drive(i)
	}
	for range 5 {
		time.Sleep(time.Duration(2000+rng.IntN(5000)) * time.Millisecond)
		i := rng.IntN(7)
		stops[i]()
		at(i).crash()
		time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
		n := f.start(i, 0, 1)
		mu.Lock()
		nodes[i] = n
		mu.Unlock()
		drive(i)
	}
	time.Sleep(3 * time.Second)
	u.check(t, 3)
	total := 0
	for i := range 7 {
		total += u.served[i]
		if u.served[i] == 0 {
			t.Errorf("e%d served nothing", i)
		}
	}
	t.Logf("seed %d: %d requests, by entry %v, at most %d in flight", seed, total, u.served, u.most)
	cancel()
	time.Sleep(time.Second)
}
