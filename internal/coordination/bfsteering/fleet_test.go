package bfsteering

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/state/bffleet"
)

const (
	warmTime = 250 * time.Millisecond
	coldTime = 900 * time.Millisecond
)

// fleet simulates backend servers that cache keys, with its own clock.
type fleet struct {
	t         testing.TB
	now       time.Time
	state     *bffleet.State
	steering  []*Steering
	caches    map[string]*lru
	cacheSize int
	inFlight  []pendingTry
	rand      *rand.Rand
}

// pendingTry is a try that its server has not finished.
type pendingTry struct {
	try       *Try
	endsAt    time.Time
	startedAt time.Time
}

func newFleet(t testing.TB, entries int, domains map[string]int, slots int) *fleet {
	f := &fleet{t: t, now: time.Unix(1000, 0), caches: map[string]*lru{}, cacheSize: 20, rand: rand.New(rand.NewPCG(7, 7))}
	f.state = &bffleet.State{Revision: 1, Routes: &briarferry.RouteTable{Version: 1, Services: []briarferry.RouteService{
		{Name: "prices", ConnectionLimit: 100, ColdStart: briarferry.Duration(3 * time.Second), ColdRate: 8},
	}}}
	n := 0
	for _, domain := range []string{"r1-a", "r1-b", "r2-a"} {
		for range domains[domain] {
			n++
			f.state.Servers = append(f.state.Servers, bffleet.Server{Instance: briarferry.Instance{
				ID: fmt.Sprintf("i-%02d", n), Service: "prices", FailureDomain: domain, Slots: slots, Started: 1,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
			}})
		}
	}
	for i := range entries {
		s := &Steering{
			Name: fmt.Sprint("entry-", i), Region: "r1", FailureDomain: []string{"r1-a", "r1-b"}[i%2], Log: zerolog.Nop(),
			Regions: map[string]string{"r1-a": "r1", "r1-b": "r1", "r2-a": "r2"},
			Entries: func() int { return entries }, RegionPeers: func() int { return entries - 1 },
			Limits: Limits{RetryShare: 0.2, RetrySlack: 64, RetryWindow: 10 * time.Second},
		}
		s.SetRoundTripTime("r2", 110*time.Millisecond)
		f.steering = append(f.steering, s)
	}
	f.updateEntries()
	return f
}

func (f *fleet) updateEntries() {
	for _, s := range f.steering {
		s.Update(f.now, f.state)
	}
}

func readRoute() *briarferry.Route {
	return &briarferry.Route{
		Name: "read", Idempotent: true, Affinity: true, MaxAttempts: 2,
		Timeout: briarferry.Duration(3 * time.Second), Target: briarferry.Duration(600 * time.Millisecond),
	}
}

func request(key string) Request {
	return Request{Route: readRoute(), Service: "prices", Key: key, Remaining: 3 * time.Second}
}

// serviceTime returns how long the server takes for a try, depending on whether it has the
// key cached.
func (f *fleet) serviceTime(t *Try) time.Duration {
	c := f.caches[t.Backend.InstanceID]
	if c == nil {
		c = &lru{}
		f.caches[t.Backend.InstanceID] = c
	}
	took := coldTime
	if c.has(t.key) {
		took = warmTime
	}
	return took + t.network
}

// finish ends a try with an answer. The server has the key cached afterwards.
func (f *fleet) finish(t *Try) {
	f.caches[t.Backend.InstanceID].touch(t.key, f.cacheSize)
	t.Done(f.now, Report{Outcome: Answered, HasLoad: true, Load: briarferry.ServerLoad{Running: t.server.inFlight, Slots: t.Backend.Slots}, Bytes: 1000})
}

// serve runs a load for the given time. It returns the share of requests answered on time
// and the number of cache misses.
func (f *fleet) serve(rate float64, keys int, length time.Duration, choose func(s *Steering, r Request) (*Try, error)) (onTime float64, cold int) {
	total, onTimeCount := 0, 0
	step := time.Duration(float64(time.Second) / rate)
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		kept := f.inFlight[:0]
		for _, x := range f.inFlight {
			if x.endsAt.After(f.now) {
				kept = append(kept, x)
				continue
			}
			f.finish(x.try)
			if x.endsAt.Sub(x.startedAt) <= 600*time.Millisecond {
				onTimeCount++
			}
		}
		f.inFlight = kept
		total++
		try, err := choose(f.steering[f.rand.IntN(len(f.steering))], request(fmt.Sprint("k", f.rand.IntN(keys))))
		if err != nil {
			continue
		}
		took := f.serviceTime(try)
		if took > coldTime {
			cold++
		}
		busy := 0
		for _, x := range f.inFlight {
			if x.try.Backend.InstanceID == try.Backend.InstanceID {
				busy++
			}
		}
		// A server with no free slot runs the request later.
		if over := busy + 1 - try.Backend.Slots; over > 0 {
			took += time.Duration(float64(over) / float64(try.Backend.Slots) * float64(took))
		}
		f.inFlight = append(f.inFlight, pendingTry{try: try, endsAt: f.now.Add(took), startedAt: f.now})
	}
	return float64(onTimeCount) / float64(total), cold
}

func (f *fleet) choose(s *Steering, r Request) (*Try, error) { return s.Choose(f.now, r) }

// leastLoaded chooses the server with the fewest requests of this entry in flight, like a
// balancer without affinity.
func (f *fleet) leastLoaded(s *Steering, r Request) (*Try, error) {
	v := s.service(r.Service)
	v.mu.Lock()
	defer v.mu.Unlock()
	best := v.servers[0]
	for _, srv := range v.servers {
		if srv.inFlight < best.inFlight {
			best = srv
		}
	}
	m := v.routeModel(r.Route.Name)
	return v.startTry(f.now, s, &r, m, v.assess(f.now, s, &r, m, best, position{order: 2})), nil
}
