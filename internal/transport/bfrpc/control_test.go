package bfrpc

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/anishathalye/porcupine"

	"briarferry"
	"briarferry/internal/coordination/bflease"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bfcodec"
	"briarferry/internal/state/bfmachine"
)

// history records the operations of all clients for a linearizability check.
type history struct {
	mu   sync.Mutex
	base time.Time
	ops  []porcupine.Operation
}

// add records an operation. An operation without a reply may take effect at any later
// time.
func (h *history) add(client int, in any, start time.Time, out any, replied bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := time.Since(h.base).Nanoseconds()
	if !replied {
		end = time.Hour.Nanoseconds()
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: start.Sub(h.base).Nanoseconds(), Return: end})
}

func (h *history) check(t *testing.T, m porcupine.NondeterministicModel) {
	t.Helper()
	if r := porcupine.CheckOperationsTimeout(m.ToModel(), h.ops, 30*time.Second); r != porcupine.Ok {
		t.Errorf("history of %d operations: %s", len(h.ops), r)
	}
}

// changeLeaders changes the leader at random until ctx ends.
func (g *fakeGroup) changeLeaders(ctx context.Context) {
	for sleep(ctx, time.Duration(20+rand.IntN(300))*time.Millisecond) == nil {
		g.elect(rand.IntN(len(g.nodes)))
	}
}

// testConfig returns a configuration that the tests identify by its number of servers.
func testConfig(servers int) briarferry.Config {
	return briarferry.Config{
		Regions:  []briarferry.Region{{Name: "koshi", FailureDomains: []string{"k1"}, CapacityShare: 0.8}},
		Classes:  []briarferry.PriorityClass{{Name: "high", Target: 1}},
		Services: []briarferry.Service{{Name: "orders", Class: "high", Slots: 1, ExpectedLatency: 1, Servers: servers}},
		Limits:   briarferry.DefaultLimits(),
	}
}

type (
	registerState struct {
		version uint64
		servers int
	}

	registerInput struct {
		put  bool
		base uint64
		to   int
	}

	registerOutput struct {
		code  bfmachine.Code
		state registerState
	}
)

// registerModel models the configuration as a register. A change replaces the value if it
// is based on the current version.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(registerState), input.(registerInput), output.(registerOutput)
		next := registerState{s.version + 1, in.to}
		switch {
		case !in.put && out.state == s:
			return []any{s}
		case in.put && out.code == bfmachine.CodeOK && in.base == s.version && out.state.version == next.version:
			return []any{next}
		case in.put && out.code == bfmachine.CodeConflict && in.base != s.version && out.state.version == s.version:
			return []any{s}
		case in.put && out.code == "" && in.base == s.version:
			return []any{s, next}
		case in.put && out.code == "":
			return []any{s}
		}
		return nil
	},
}

// TestConfigLinearizability guards against changes that are lost, applied twice or seen
// in different orders by different clients, when replies are lost and the leader changes.
func TestConfigLinearizability(t *testing.T) {
	for seed := range 10 {
		t.Run(fmt.Sprint("run", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newFakeGroup(3)
				g.delay, g.lossRate = 5*time.Millisecond, 0.2
				h := &history{base: time.Now()}
				var clients, background sync.WaitGroup
				ctx, cancel := context.WithCancel(t.Context())
				background.Go(func() { g.changeLeaders(ctx) })
				for id := range 5 {
					clients.Go(func() { runRegisterClient(t, g.client(), id, h) })
				}
				clients.Wait()
				cancel()
				background.Wait()
				h.check(t, registerModel)
			})
		})
	}
}

func runRegisterClient(t *testing.T, c *ControlClient, id int, h *history) {
	known := uint64(0)
	for i := range 10 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(30+rand.IntN(2000))*time.Millisecond)
		start := time.Now()
		if rand.IntN(2) == 0 {
			if s, err := c.Config(ctx); err == nil {
				out := registerOutput{state: registerState{version: s.Version()}}
				if s.Config != nil {
					out.state.servers = s.Config.Services[0].Servers
				}
				known = s.Version()
				h.add(id, registerInput{}, start, out, true)
			}
			cancel()
			continue
		}
		in := registerInput{put: true, base: known, to: id*100 + i}
		op := bfmachine.Op{PutConfig: &bfmachine.PutConfig{Base: known, Config: testConfig(in.to), Key: fmt.Sprint(id, "-", i)}}
		r, err := c.Change(ctx, op)
		cancel()
		known = max(known, r.Version)
		h.add(id, in, start, registerOutput{r.Code, registerState{version: r.Version}}, err == nil)
	}
}

type (
	claimState struct{ phase, token string }

	claimInput struct {
		kind       bfmachine.ClaimKind
		key, token string
	}
)

// claimModel ignores log indexes: it accepts ClaimStale whenever the key was released
// and no attempt holds it.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, op := range ops {
			key := op.Input.(claimInput).key
			parts[key] = append(parts[key], op)
		}
		var out [][]porcupine.Operation
		for _, p := range parts {
			out = append(out, p)
		}
		return out
	},
	Init: func() []any { return []any{claimState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(claimState), input.(claimInput), output.(briarferry.ClaimResult)
		after := map[briarferry.ClaimResult]claimState{}
		free := s.phase == "" || s.phase == "released"
		own := s.phase == "claimed" && s.token == in.token
		switch {
		case s.phase == "completed":
			after[briarferry.ClaimCompleted] = s
		case in.kind == bfmachine.OpComplete && own:
			after[briarferry.ClaimCompleted] = claimState{"completed", in.token}
		case in.kind == bfmachine.OpClaim && (free || own):
			after[briarferry.ClaimGranted] = claimState{"claimed", in.token}
			if s.phase == "released" {
				after[briarferry.ClaimStale] = s
			}
		case in.kind != bfmachine.OpComplete && (free || own):
			after[briarferry.ClaimReleased] = claimState{phase: "released"}
		default:
			after[briarferry.ClaimHeld] = s
		}
		if out != "" {
			if next, ok := after[out]; ok {
				return []any{next}
			}
			return nil
		}
		next := []any{s}
		for _, a := range after {
			next = append(next, a)
		}
		return next
	},
}

type (
	// notRunReply is a reply that says that the request was not executed; invoked is the start
	// of the call.
	notRunReply struct {
		key     string
		invoked time.Time
	}

	attemptLog struct {
		mu sync.Mutex
		// runs has the start times of the attempts that executed each key.
		runs   map[string][]time.Time
		notRun []notRunReply
	}
)

// TestClaims guards against a key that is executed twice, and against a not_run reply
// followed by an execution of an attempt that started earlier. Replies are lost, the
// leader changes, and entries freeze between claim and execution.
func TestClaims(t *testing.T) {
	for seed := range 10 {
		t.Run(fmt.Sprint("run", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testClaims(t) })
		})
	}
}

func testClaims(t *testing.T) {
	g := newFakeGroup(3)
	g.delay, g.lossRate = 5*time.Millisecond, 0.15
	h := &history{base: time.Now()}
	a := &attemptLog{runs: map[string][]time.Time{}}
	var clients, background sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	background.Go(func() { g.changeLeaders(ctx) })
	for id := range 6 {
		c, seen := g.client(), &atomic.Uint64{}
		c.OnIndex = seen.Store
		clients.Go(func() {
			for i := range 12 {
				runAttempt(t, c, id, fmt.Sprint("key", rand.IntN(6)), fmt.Sprint(id, "-", i), seen.Load(), h, a)
			}
		})
	}
	clients.Wait()
	time.Sleep(2 * claimsTimeout)
	cancel()
	background.Wait()
	h.check(t, claimModel)
	for key, runs := range a.runs {
		if len(runs) > 1 {
			t.Errorf("%s was executed %d times", key, len(runs))
		}
		for _, n := range a.notRun {
			if n.key == key && slices.ContainsFunc(runs, n.invoked.After) {
				t.Errorf("%s was executed by an attempt that started before the call with the not_run reply", key)
			}
		}
	}
}

// runAttempt sends the calls that an entry makes for one request with an idempotency key.
func runAttempt(t *testing.T, c *ControlClient, id int, key, token string, seen uint64, h *history, a *attemptLog) {
	invoked := time.Now()
	claim := briarferry.Claim{Service: "orders", Key: key, Token: token, SeenIndex: seen}
	send := func(kind bfmachine.ClaimKind, timeout time.Duration) briarferry.ClaimResult {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		start := time.Now()
		r, err := c.claim(ctx, bfmachine.ClaimOp{Kind: kind, Claim: claim})
		h.add(id, claimInput{kind, key, token}, start, r.Result, err == nil)
		if err == nil && kind != bfmachine.OpClaim && r.Result != briarferry.ClaimReleased {
			// The client repeats a call whose reply was lost: an earlier attempt of the
			// call may have taken effect although the reply to the last one is ClaimHeld.
			h.add(id, claimInput{kind, key, token}, start, briarferry.ClaimResult(""), true)
		}
		if r.Result == briarferry.ClaimReleased || r.Result == briarferry.ClaimStale {
			a.mu.Lock()
			a.notRun = append(a.notRun, notRunReply{key, start})
			a.mu.Unlock()
		}
		return r.Result
	}
	switch send(bfmachine.OpClaim, time.Duration(10+rand.IntN(1000))*time.Millisecond) {
	case briarferry.ClaimGranted:
	case "":
		// An entry does not dispatch a request whose claim got no reply.
		send(bfmachine.OpRefuse, time.Second)
		return
	default:
		return
	}
	time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
	if rand.IntN(2) == 0 {
		send(bfmachine.OpRelease, time.Second)
		return
	}
	a.mu.Lock()
	a.runs[key] = append(a.runs[key], invoked)
	a.mu.Unlock()
	send(bfmachine.OpComplete, time.Second)
}

// TestSyncOverRPC guards against leases and configuration changes that are lost or
// altered when they are sent over RPC.
func TestSyncOverRPC(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup(3)
		g.delay = 10 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		holder := &bflease.Holder{Name: "e1", Incarnation: 7, Transport: g.client()}
		var wg sync.WaitGroup
		wg.Go(func() { holder.Run(ctx) })
		for i := range 3 {
			r, err := g.client().Change(ctx, bfmachine.Op{PutConfig: &bfmachine.PutConfig{Base: uint64(i), Config: testConfig(i), Key: fmt.Sprint(i)}})
			if err != nil || r.Code != bfmachine.CodeOK {
				t.Errorf("change %d: %+v, %v", i, r, err)
			}
			if cfg, lease, ok := holder.Current(); i > 0 && (!ok || lease.Version != uint64(i+1) || cfg.Services[0].Servers != i) {
				t.Errorf("after change %d: lease %+v, %t", i, lease, ok)
			}
			time.Sleep(time.Second)
		}
		g.elect(2)
		time.Sleep(4 * time.Second)
		if _, _, ok := holder.Current(); !ok || holder.Rejected.Load() > 0 {
			t.Errorf("lease after a leader change: %t, %d replies rejected", ok, holder.Rejected.Load())
		}
		cancel()
		wg.Wait()
		time.Sleep(time.Minute)
	})
}

// TestLargeAnswer guards against answers that are altered in transit, and against an
// answer above the size limit that prevents the completion of its claim.
func TestLargeAnswer(t *testing.T) {
	g := newFakeGroup(1)
	c := g.client()
	for size, kept := range map[int]bool{1000: true, 20_000: false} {
		claim := briarferry.Claim{Service: "orders", Key: fmt.Sprint(size), Token: "t"}
		if r, err := c.Claim(t.Context(), claim); err != nil || r.Result != briarferry.ClaimGranted {
			t.Fatal(r, err)
		}
		if err := c.Complete(t.Context(), claim, briarferry.Answer{Status: 201, Body: bytes.Repeat([]byte{1}, size)}); err != nil {
			t.Fatal(err)
		}
		claim.Token = "other"
		r, err := c.Claim(t.Context(), claim)
		if err != nil || r.Result != briarferry.ClaimCompleted || (r.Answer != nil) != kept || kept && len(r.Answer.Body) != size {
			t.Errorf("answer of %d bytes: %+v, %v", size, r, err)
		}
	}
}

// FuzzMessages guards against messages that make the receiver panic.
func FuzzMessages(f *testing.F) {
	for i, v := range []any{
		bfwire.SyncRequest{Entry: "e1", Revision: 3},
		bfwire.SyncReply{Revision: 3, Full: &bfmachine.ConfigState{Revision: 3}},
		bfwire.ClaimsRequest{Ops: []bfmachine.ClaimOp{{Kind: bfmachine.OpClaim, Claim: briarferry.Claim{Service: "s", Key: "k", Token: "t"}}}},
		bfwire.ClaimsReply{Index: 4, Results: []bfmachine.OpResult{{Claim: &bfmachine.ClaimReply{}}}},
		bfwire.ChangeRequest{Op: bfmachine.Op{RemoveDrain: &bfmachine.RemoveDrain{ID: "d"}}},
		bfwire.ConfigReply{State: bfmachine.ConfigState{}},
	} {
		data, err := bfcodec.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(byte(i), data)
	}
	f.Fuzz(func(t *testing.T, kind byte, data []byte) {
		messages := []any{&bfwire.SyncRequest{}, &bfwire.SyncReply{}, &bfwire.ClaimsRequest{}, &bfwire.ClaimsReply{}, &bfwire.ChangeRequest{}, &bfwire.ConfigReply{}}
		message := messages[int(kind)%len(messages)]
		if (Codec{}).Unmarshal(data, message) != nil {
			return
		}
		if r, ok := message.(*bfwire.SyncReply); ok && r.Delta != nil {
			cfg := testConfig(1)
			_, _ = (&bfmachine.ConfigState{Revision: r.Delta.Base, Config: &cfg}).Patch(r.Delta)
		}
		if _, err := (Codec{}).Marshal(message); err != nil {
			t.Fatal(err)
		}
	})
}

// BenchmarkClaims measures the claims of concurrent requests with one-way delays between
// the entry, the leader and a majority of the replicas.
func BenchmarkClaims(b *testing.B) {
	for _, delay := range []time.Duration{time.Millisecond, 55 * time.Millisecond} {
		for _, callers := range []int{32, 512} {
			b.Run(fmt.Sprintf("delay=%s/callers=%d", delay, callers), func(b *testing.B) {
				benchmarkClaims(b, delay, callers)
			})
		}
	}
}

func benchmarkClaims(b *testing.B, delay time.Duration, callers int) {
	g := newFakeGroup(3)
	g.delay = delay
	c := g.client()
	hist, mu := hdrhistogram.New(1, 60_000_000, 3), sync.Mutex{}
	var next atomic.Int64
	var wg sync.WaitGroup
	// The first call finds the leader.
	if _, err := c.Claim(b.Context(), briarferry.Claim{Service: "orders", Key: "first", Token: "t"}); err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	for range callers {
		wg.Go(func() {
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				start := time.Now()
				r, err := c.Claim(b.Context(), briarferry.Claim{Service: "orders", Key: fmt.Sprint("key", i), Token: "t"})
				if err != nil || r.Result != briarferry.ClaimGranted {
					b.Errorf("claim: %+v, %v", r, err)
					return
				}
				mu.Lock()
				_ = hist.RecordValue(time.Since(start).Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(hist.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(hist.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(len(g.log)), "entries")
}
