package bfgossip

import (
	"context"
	"flag"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"briarferry"
)

type (
	// usage counts the requests in flight at each server and the maximum at any server.
	usage struct {
		mu            sync.Mutex
		inFlight      map[briarferry.BackendID]int
		maxInFlight   int
		servedByEntry map[int]int
		// requestsByServer counts the requests of each server.
		requestsByServer map[briarferry.BackendID]int
		waits            []time.Duration
	}

	// loadGenerator generates load at one entry and queues requests as admission does.
	loadGenerator struct {
		usage       *usage
		n           *simNode
		rng         *rand.Rand
		rate        func() float64
		urgency     int
		serviceTime time.Duration
		queue       []time.Time
	}
)

func newUsage() *usage {
	return &usage{inFlight: make(map[briarferry.BackendID]int), servedByEntry: make(map[int]int), requestsByServer: make(map[briarferry.BackendID]int)}
}

func (u *usage) start(id briarferry.BackendID, index int, waited time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight[id]++
	u.maxInFlight = max(u.maxInFlight, u.inFlight[id])
	u.servedByEntry[index]++
	u.requestsByServer[id]++
	u.waits = append(u.waits, waited)
}

func (u *usage) finish(id briarferry.BackendID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight[id]--
}

func (g *loadGenerator) run(ctx context.Context) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.n.pool.SlotFreed("desk"):
		case <-ticker.C:
			for p := g.rate() * 0.005; p > 0 && len(g.queue) < 50; p-- {
				if g.rng.Float64() < p {
					g.queue = append(g.queue, time.Now())
				}
			}
		}
		g.dispatch(ctx)
	}
}

func (g *loadGenerator) dispatch(ctx context.Context) {
	g.n.pool.SetDemand("desk", map[int]int{g.urgency: len(g.queue)})
	for len(g.queue) > 0 {
		s, ok := g.n.pool.TryAcquire("desk", nil)
		if !ok {
			break
		}
		id := s.Backend().ID()
		g.usage.start(id, g.n.index, time.Since(g.queue[0]))
		g.queue = g.queue[1:]
		hold := g.serviceTime/2 + time.Duration(g.rng.Int64N(int64(g.serviceTime)))
		go func() {
			select {
			case <-time.After(hold):
			case <-ctx.Done(): // the process crashed, which closes its connections
			}
			g.usage.finish(id)
			s.Done(briarferry.TryReport{Latency: hold})
		}()
	}
	g.n.pool.SetDemand("desk", map[int]int{g.urgency: len(g.queue)})
}

func (u *usage) check(t *testing.T, slots int) {
	t.Helper()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.maxInFlight > slots {
		t.Errorf("%d requests in flight at a server with %d slots", u.maxInFlight, slots)
	}
}

// served returns the number of requests, the number per entry and the maximum in flight at
// any server so far.
func (u *usage) served() (total int, byEntry map[int]int, maxInFlight int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, n := range u.servedByEntry {
		total += n
	}
	return total, maps.Clone(u.servedByEntry), u.maxInFlight
}

type (
	// fault is a crash of an entry, which is restarted after the duration, or a freeze.
	fault struct {
		delay, duration time.Duration
		entry           int
		freeze          bool
	}

	// simulation runs entries and servers under changing load while faults are injected.
	simulation struct {
		seed             uint64
		entries, servers int
		loss             float64
		faults           []fault

		net   *fakeNet
		usage *usage
		mu    sync.Mutex
		nodes []*simNode
		stops []context.CancelFunc
		// entryLocks serialize the faults of each entry. They are channels, as a goroutine
		// that waits for a mutex would stop the fake clock of synctest.
		entryLocks []chan struct{}
	}
)

// TestSlotLimitUnderFaults guards against a fourth request at a server with 3 slots when
// demand changes, and when restarts of entries change the owners of servers.
func TestSlotLimitUnderFaults(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		rng := rand.New(rand.NewPCG(seed, 7))
		s := &simulation{seed: seed, entries: 7, servers: 6, loss: 0.03 * float64(seed-1)}
		for range 5 {
			s.faults = append(s.faults, fault{delay: time.Duration(2000+rng.IntN(5000)) * time.Millisecond,
				duration: time.Duration(rng.IntN(4000)) * time.Millisecond, entry: rng.IntN(7)})
		}
		s.run(t)
		for i := range 7 {
			if s.usage.servedByEntry[i] == 0 {
				t.Errorf("e%d served nothing", i)
			}
		}
	}
}

// TestSlotLimitUnderRandomFaults searches for sequences of crashes, freezes and restarts
// that TestSlotLimitUnderFaults doesn't cover, such as several at once.
func TestSlotLimitUnderRandomFaults(t *testing.T) {
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		_ = checks.Value.Set("12") // each check simulates about 10 s
		defer func() { _ = checks.Value.Set(checks.DefValue) }()
	}
	rapid.Check(t, func(rt *rapid.T) {
		s := &simulation{seed: rapid.Uint64().Draw(rt, "seed"), entries: rapid.IntRange(2, 5).Draw(rt, "entries"), servers: 2,
			loss: rapid.SampledFrom([]float64{0, 0.03}).Draw(rt, "loss")}
		for range rapid.IntRange(0, 4).Draw(rt, "events") {
			s.faults = append(s.faults, fault{
				delay:    time.Duration(rapid.IntRange(0, 2500).Draw(rt, "delay")) * time.Millisecond,
				duration: time.Duration(rapid.IntRange(0, 2500).Draw(rt, "duration")) * time.Millisecond,
				entry:    rapid.IntRange(0, s.entries-1).Draw(rt, "entry"), freeze: rapid.Bool().Draw(rt, "freeze")})
		}
		s.run(t)
		if s.usage.maxInFlight > 3 {
			rt.Fatalf("%d requests in flight at a server with 3 slots", s.usage.maxInFlight)
		}
	})
}

func (s *simulation) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s.usage = newUsage()
		s.net, s.nodes = startCluster(s.seed, s.entries)
		s.stops, s.entryLocks = make([]context.CancelFunc, s.entries), make([]chan struct{}, s.entries)
		defer func() { stopAll(s.nodes) }()
		ctx, cancel := context.WithCancel(t.Context())
		s.net.mu.Lock()
		s.net.lossRate, s.net.duplicateRate = s.loss, s.loss
		s.net.mu.Unlock()
		for i := range s.servers {
			go announceEverySecond(ctx, t, func(round int) *simNode { return s.node((i + round) % s.entries) }, func() briarferry.Announcement { return testAnnouncement(i, 3) })
		}
		for i := range s.entries {
			s.entryLocks[i] = make(chan struct{}, 1)
			s.startLoad(ctx, i)
		}
		var busy sync.WaitGroup
		for _, f := range s.faults {
			time.Sleep(f.delay)
			busy.Go(func() { s.inject(ctx, f) })
		}
		busy.Wait()
		time.Sleep(4 * time.Second)
		s.usage.check(t, 3)
		total, byEntry, maxInFlight := s.usage.served()
		t.Logf("seed %d, loss %v, %d faults: %d requests, per entry %v, at most %d in flight at a server",
			s.seed, s.loss, len(s.faults), total, byEntry, maxInFlight)
		cancel()
		time.Sleep(time.Second)
	})
}

func (s *simulation) node(i int) *simNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[i]
}

func (s *simulation) inject(ctx context.Context, f fault) {
	s.entryLocks[f.entry] <- struct{}{}
	defer func() { <-s.entryLocks[f.entry] }()
	if f.freeze {
		s.node(f.entry).freeze()
		time.Sleep(f.duration)
		s.node(f.entry).resume()
		return
	}
	s.stops[f.entry]()
	s.node(f.entry).crash()
	time.Sleep(f.duration)
	n := s.net.start(f.entry, 0, 1)
	s.mu.Lock()
	s.nodes[f.entry] = n
	s.mu.Unlock()
	s.startLoad(ctx, f.entry)
}

// startLoad starts a load at an entry. The load alternates between a low rate and overload.
func (s *simulation) startLoad(ctx context.Context, i int) {
	ctx, s.stops[i] = context.WithCancel(ctx)
	rng := rand.New(rand.NewPCG(s.seed, uint64(i)))
	phase := time.Duration(1+rng.IntN(4)) * time.Second
	g := &loadGenerator{usage: s.usage, n: s.node(i), rng: rng, urgency: rng.IntN(3), serviceTime: 60 * time.Millisecond, rate: func() float64 {
		if time.Now().UnixNano()/int64(phase)%2 == 0 {
			return 10
		}
		return 120
	}}
	go g.run(ctx)
}
