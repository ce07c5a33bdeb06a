package bfgossip

import (
	"context"
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"briarferry"
)

type (
	// usage counts requests in flight at each server and their highest number.
	usage struct {
		mu     sync.Mutex
		now    map[briarferry.BackendID]int
		most   int
		served map[int]int
		// total counts the requests of each server.
		total map[briarferry.BackendID]int
		waits []time.Duration
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
	return &usage{now: make(map[briarferry.BackendID]int), served: make(map[int]int), total: make(map[briarferry.BackendID]int)}
}

func (u *usage) enter(id briarferry.BackendID, index int, waited time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.now[id]++
	u.most = max(u.most, u.now[id])
	u.served[index]++
	u.total[id]++
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
		case <-d.n.pool.SlotFreed("desk"):
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

type (
	// disturbance is one event of a run: an entry crashes and is started again, or
	// freezes, for a while.
	disturbance struct {
		after, lasts time.Duration
		entry        int
		freeze       bool
	}

	// trial is a run of some entries under changing load.
	trial struct {
		seed             uint64
		entries, servers int
		loss             float64
		events           []disturbance

		f     *fakeNet
		u     *usage
		mu    sync.Mutex
		nodes []*simNode
		stops []context.CancelFunc
		// one holds back events of an entry that is still disturbed. A mutex would
		// stop the runtime's fake clock.
		one []chan struct{}
	}
)

// TestNeverOverSlots guards against a fourth request at a server with 3 slots, through
// changes of demand, restarts of entries and the changes of home that they bring.
func TestNeverOverSlots(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		rng := rand.New(rand.NewPCG(seed, 7))
		r := &trial{seed: seed, entries: 7, servers: 6, loss: 0.03 * float64(seed-1)}
		for range 5 {
			r.events = append(r.events, disturbance{after: time.Duration(2000+rng.IntN(5000)) * time.Millisecond,
				lasts: time.Duration(rng.IntN(4000)) * time.Millisecond, entry: rng.IntN(7)})
		}
		r.run(t)
		for i := range 7 {
			if r.u.served[i] == 0 {
				t.Errorf("e%d served nothing", i)
			}
		}
	}
}

// TestNeverOverSlotsRapid looks for sequences of crashes, freezes and restarts that
// TestNeverOverSlots doesn't have, such as several at once.
func TestNeverOverSlotsRapid(t *testing.T) {
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		_ = checks.Value.Set("12") // each check simulates some 10 s
		defer func() { _ = checks.Value.Set(checks.DefValue) }()
	}
	rapid.Check(t, func(rt *rapid.T) {
		r := &trial{seed: rapid.Uint64().Draw(rt, "seed"), entries: rapid.IntRange(2, 5).Draw(rt, "entries"), servers: 2,
			loss: rapid.SampledFrom([]float64{0, 0.03}).Draw(rt, "loss")}
		for range rapid.IntRange(0, 4).Draw(rt, "events") {
			r.events = append(r.events, disturbance{
				after: time.Duration(rapid.IntRange(0, 2500).Draw(rt, "after")) * time.Millisecond,
				lasts: time.Duration(rapid.IntRange(0, 2500).Draw(rt, "lasts")) * time.Millisecond,
				entry: rapid.IntRange(0, r.entries-1).Draw(rt, "entry"), freeze: rapid.Bool().Draw(rt, "freeze")})
		}
		r.run(t)
		if r.u.most > 3 {
			rt.Fatalf("%d requests in flight at a server with 3 slots", r.u.most)
		}
	})
}

func (r *trial) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r.u = newUsage()
		r.f, r.nodes = startCluster(r.seed, r.entries)
		r.stops, r.one = make([]context.CancelFunc, r.entries), make([]chan struct{}, r.entries)
		defer func() { stopAll(r.nodes) }()
		ctx, cancel := context.WithCancel(t.Context())
		r.f.mu.Lock()
		r.f.loss, r.f.twin = r.loss, r.loss
		r.f.mu.Unlock()
		for i := range r.servers {
			go announce(ctx, t, func(round int) *simNode { return r.at((i + round) % r.entries) }, func() briarferry.Announcement { return backend(i, 3) })
		}
		for i := range r.entries {
			r.one[i] = make(chan struct{}, 1)
			r.drive(ctx, i)
		}
		var busy sync.WaitGroup
		for _, e := range r.events {
			time.Sleep(e.after)
			busy.Go(func() { r.disturb(ctx, e) })
		}
		busy.Wait()
		time.Sleep(4 * time.Second)
		r.u.check(t, 3)
		total := 0
		for i := range r.entries {
			total += r.u.served[i]
		}
		t.Logf("seed %d, loss %v, %d events: %d requests, by entry %v, at most %d in flight",
			r.seed, r.loss, len(r.events), total, r.u.served, r.u.most)
		cancel()
		time.Sleep(time.Second)
	})
}

func (r *trial) at(i int) *simNode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nodes[i]
}

func (r *trial) disturb(ctx context.Context, e disturbance) {
	r.one[e.entry] <- struct{}{}
	defer func() { <-r.one[e.entry] }()
	if e.freeze {
		r.at(e.entry).freeze()
		time.Sleep(e.lasts)
		r.at(e.entry).thaw()
		return
	}
	r.stops[e.entry]()
	r.at(e.entry).crash()
	time.Sleep(e.lasts)
	n := r.f.start(e.entry, 0, 1)
	r.mu.Lock()
	r.nodes[e.entry] = n
	r.mu.Unlock()
	r.drive(ctx, e.entry)
}

// drive puts load on an entry that changes between little and too much.
func (r *trial) drive(ctx context.Context, i int) {
	ctx, r.stops[i] = context.WithCancel(ctx)
	rng := rand.New(rand.NewPCG(r.seed, uint64(i)))
	phase := time.Duration(1+rng.IntN(4)) * time.Second
	d := &driver{u: r.u, n: r.at(i), rng: rng, urgency: rng.IntN(3), service: 60 * time.Millisecond, rate: func() float64 {
		if time.Now().UnixNano()/int64(phase)%2 == 0 {
			return 10
		}
		return 120
	}}
	go d.run(ctx)
}
