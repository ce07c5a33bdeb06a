package bfentry

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bfadmission"
	"briarferry/internal/coordination/bfbalancer"
	"briarferry/internal/transport/bfupstream"
)

type (
	// testServers simulates the backend servers of one service. It assigns their slots with
	// the real balancer.
	testServers struct {
		balancer briarferry.Balancer
		freed    chan struct{}

		mu      sync.Mutex
		servers []*testServer
		runs    int
	}

	testServer struct {
		backend  briarferry.Backend
		inFlight int
		runs     int
		// gone is true if the server refuses connections.
		gone bool
		// answer handles a request; if nil, the server answers after testServiceTime.
		answer testAnswer
	}

	testAnswer func(ctx context.Context, r *briarferry.Request) (*briarferry.Answer, *briarferry.TryError)

	testSlot struct {
		pool    *testServers
		s       *testServer
		backend briarferry.Backend
	}
)

const (
	testService     = "orders"
	testServiceTime = 20 * time.Millisecond
)

func newTestServers(n, slots int, seed uint64) *testServers {
	t := &testServers{balancer: &bfbalancer.Balancer{Seed: seed}, freed: make(chan struct{}, 1)}
	for i := range n {
		t.servers = append(t.servers, &testServer{backend: briarferry.Backend{
			Announcement: briarferry.Announcement{
				Service: testService, FailureDomain: fmt.Sprintf("domain%d", i%4), Slots: slots,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 80),
				State:   briarferry.StateReady,
			},
			HeardAt: time.Now(),
		}})
	}
	return t
}

func (t *testServers) TryAcquire(_ string, avoid []briarferry.BackendID) (briarferry.Slot, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, skip := range [][]briarferry.BackendID{avoid, nil} {
		var free []*testServer
		var candidates []briarferry.Candidate
		for _, s := range t.servers {
			s.backend.HeardAt = time.Now()
			if s.inFlight < s.backend.Slots && !slices.Contains(skip, s.backend.ID()) {
				free = append(free, s)
				candidates = append(candidates, briarferry.Candidate{Backend: s.backend, InFlight: s.inFlight, HeldSlots: s.backend.Slots})
			}
		}
		if i := t.balancer.Pick(time.Now(), candidates); i >= 0 {
			free[i].inFlight++
			return &testSlot{t, free[i], free[i].backend}, true
		}
	}
	return nil, false
}

func (t *testServers) Capacity(string) int {
	n := 0
	for _, s := range t.servers {
		n += s.backend.Slots
	}
	return n
}

func (t *testServers) SetDemand(string, map[int]int)    {}
func (t *testServers) SlotFreed(string) <-chan struct{} { return t.freed }

func (s *testSlot) Backend() briarferry.Backend { return s.backend }

func (s *testSlot) Done(r briarferry.TryReport) {
	s.pool.balancer.Report(time.Now(), s.s.backend.ID(), r)
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.s.inFlight--
}

// Do runs the request on a server.
func (t *testServers) Do(ctx context.Context, b briarferry.Backend, r *briarferry.Request) (*briarferry.Answer, error) {
	t.mu.Lock()
	i := slices.IndexFunc(t.servers, func(s *testServer) bool { return s.backend.ID() == b.ID() })
	s := t.servers[i]
	if s.gone {
		t.mu.Unlock()
		return nil, &briarferry.TryError{Backend: b.ID(), ServerRefusedConnection: true, Err: errors.New("connection refused")}
	}
	s.runs++
	t.runs++
	t.mu.Unlock()
	answer := s.answer
	if answer == nil {
		answer = answerAfter(testServiceTime)
	}
	a, err := answer(ctx, r)
	if err != nil {
		err.Backend = b.ID()
		return nil, err
	}
	return a, nil
}

// answerAfter answers after the delay, or fails when the context of the try ends.
func answerAfter(d time.Duration) testAnswer {
	return func(ctx context.Context, _ *briarferry.Request) (*briarferry.Answer, *briarferry.TryError) {
		select {
		case <-time.After(d):
			return &briarferry.Answer{Status: 200}, nil
		case <-ctx.Done():
			silent := errors.Is(ctx.Err(), context.DeadlineExceeded)
			return nil, &briarferry.TryError{Dispatched: true, TimedOut: silent, Err: ctx.Err()}
		}
	}
}

// failWith fails every try with a copy of the error.
func failWith(e briarferry.TryError) testAnswer {
	return func(context.Context, *briarferry.Request) (*briarferry.Answer, *briarferry.TryError) {
		copied := e
		return nil, &copied
	}
}

var (
	frozen     = answerAfter(time.Hour)
	shedding   = failWith(briarferry.TryError{Err: bfupstream.ErrShed})
	mismatched = failWith(briarferry.TryError{Dispatched: true, Err: bfupstream.ErrAnswerMismatch})
	truncated  = failWith(briarferry.TryError{Dispatched: true, ConnectionLost: true, Err: bfupstream.ErrTruncated})
)

func newTestPipeline(t *testServers) *Pipeline {
	return &Pipeline{
		Claims: &MemoryClaims{}, Admitter: &bfadmission.Admitter{Pool: t}, Upstream: t, Counters: &Counters{},
	}
}

func newTestRequest(id string, timeout time.Duration) *briarferry.Request {
	return &briarferry.Request{
		ID: id, Service: testService, Method: "GET", Target: "/" + id,
		Class: briarferry.PriorityClass{Name: "urgent"}, Deadline: time.Now().Add(timeout),
	}
}

// checkOutcome checks that err is a refusal with the given outcome.
func checkOutcome(t *testing.T, err error, want briarferry.Outcome) {
	t.Helper()
	var refusal *briarferry.Refusal
	if !errors.As(err, &refusal) || refusal.Outcome != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

// fixedMembers is a membership that never changes.
type fixedMembers struct {
	Own briarferry.VM
	All []briarferry.VM
}

func (f fixedMembers) Self() briarferry.VM { return f.Own }

func (f fixedMembers) Live() []briarferry.VM { return f.All }

func (f fixedMembers) Connected() bool { return true }
