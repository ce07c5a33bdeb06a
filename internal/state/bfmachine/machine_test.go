package bfmachine

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briarferry"
)

func testConfig(servers int) briarferry.Config {
	return briarferry.Config{
		Regions: []briarferry.Region{{Name: "koshi", FailureDomains: []string{"k1", "k2"}, CapacityShare: 0.8}},
		Classes: []briarferry.PriorityClass{{Name: "high", Target: briarferry.Duration(time.Second)}},
		Services: []briarferry.Service{
			{Name: "orders", Class: "high", Slots: 3, Servers: servers, ExpectedLatency: 1},
			{Name: "quotes", Class: "high", Slots: 9, ExpectedLatency: 1, Idempotent: true},
		},
		Limits: briarferry.DefaultLimits(),
	}
}

// model is a reference implementation of the state machine that keeps results and claims
// in plain maps.
type model struct {
	now      int64
	revision uint64
	version  uint64
	drains   []string
	results  map[string]modelChange
	claims   map[string]modelClaim
	// expiredIndex is the highest index of an expired claim, by partition.
	expiredIndex map[byte]uint64
}

type modelChange struct {
	op     string
	result OpResult
}

type modelClaim struct {
	state, token string
	digest       byte
	index        uint64
	changedAt    int64
}

func partitionOf(key string) byte { return sha256.Sum256([]byte("orders\x00" + key))[0] }

func (m *model) claim(index uint64, kind ClaimKind, key, token string, digest byte, seen uint64) briarferry.ClaimResult {
	for k, c := range m.claims {
		keep := int64(7 * 24 * 3600_000)
		if c.state == "released" {
			keep = 75_000
		}
		if partitionOf(k) == partitionOf(key) && m.now-c.changedAt > keep {
			delete(m.claims, k)
			m.expiredIndex[partitionOf(k)] = max(m.expiredIndex[partitionOf(k)], c.index)
		}
	}
	c, known := m.claims[key]
	set := func(state, token string, digest byte, r briarferry.ClaimResult) briarferry.ClaimResult {
		m.claims[key] = modelClaim{state: state, token: token, digest: digest, index: index, changedAt: m.now}
		return r
	}
	switch {
	case kind == OpComplete && (!known || c.token != token):
		return "held"
	case kind == OpComplete && c.state == "completed":
		return "completed"
	case kind == OpComplete:
		return set("completed", token, c.digest, "completed")
	case !known && seen < m.expiredIndex[partitionOf(key)]:
		return "held"
	case !known && kind == OpClaim:
		return set("claimed", token, digest, "granted")
	case !known:
		return set("released", token, digest, "released")
	case c.digest != digest:
		return "mismatch"
	case c.state == "completed":
		return "completed"
	case c.state == "claimed" && c.token != token:
		return "held"
	case kind != OpClaim:
		return set("released", c.token, c.digest, "released")
	case c.state == "claimed":
		return "granted"
	case seen < c.index:
		return set("released", c.token, c.digest, "stale")
	}
	return set("claimed", token, c.digest, "granted")
}

func (m *model) change(index uint64, key, op string, run func() OpResult) OpResult {
	if r, ok := m.results[key]; ok {
		if r.op != op {
			return OpResult{Code: CodeKeyReused, Version: m.version}
		}
		return r.result
	}
	r := run()
	m.results[key] = modelChange{op, r}
	return r
}

func (m *model) put(index, base uint64) OpResult {
	if base != m.version {
		return OpResult{Code: CodeConflict, Version: m.version, Revision: m.revision}
	}
	m.version++
	m.revision = index
	return OpResult{Code: CodeOK, Version: m.version, Revision: index}
}

// TestAgainstModel guards against differences between the state machine and the model,
// including those that appear after a snapshot is restored.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		ref := &model{results: map[string]modelChange{}, claims: map[string]modelClaim{}, expiredIndex: map[byte]uint64{}}
		index := uint64(0)
		apply := func(op Op) OpResult {
			ref.now = max(ref.now, 1_700_000_000_000+rapid.SampledFrom([]int64{0, 0, 0, 0, 0, 0, 0, 700_000_000}).Draw(t, "time"))
			ref.now += rapid.SampledFrom([]int64{0, 0, 0, 0, 0, 0, 10, 10, 10, 76_000, 76_000, 8 * 24 * 3600_000}).Draw(t, "step")
			index += uint64(rapid.IntRange(1, 2).Draw(t, "gap"))
			cmd, err := Encode(ref.now, op)
			if err != nil {
				t.Fatal(err)
			}
			r, err := DecodeResult(m.Apply(index, cmd), 1)
			if err != nil || r.Index != index {
				t.Fatalf("result %+v: %v", r, err)
			}
			return r.Ops[0]
		}
		claims := func(t *rapid.T) {
			for range rapid.IntRange(1, 6).Draw(t, "claims") {
				kind := rapid.SampledFrom([]ClaimKind{OpClaim, OpComplete, OpRelease, OpRefuse}).Draw(t, "kind")
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				token := rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(t, "token")
				digest := byte(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "digest"))
				seen := uint64(rapid.IntRange(int(max(index, 6)-6), int(index)).Draw(t, "seen"))
				op := &ClaimOp{Kind: kind, Claim: briarferry.Claim{Service: "orders", Key: key, Token: token, SeenIndex: seen, Digest: [32]byte{digest}}}
				if kind == OpComplete {
					op.Answer = []byte("answer of " + token)
				}
				got := apply(Op{Claim: op})
				if want := ref.claim(index, kind, key, token, digest, seen); got.Claim == nil || got.Claim.Result != want {
					t.Fatalf("got %+v, want %s", got, want)
				} else if want == "completed" && string(got.Claim.Answer) != "answer of "+ref.claims[key].token {
					t.Fatalf("got the %s", got.Claim.Answer)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": claims,
			"put": func(t *rapid.T) {
				base := uint64(rapid.IntRange(0, 1).Draw(t, "ahead")) + ref.version
				servers := rapid.IntRange(0, 3).Draw(t, "servers")
				key := fmt.Sprintf("key%d", rapid.IntRange(0, 40).Draw(t, "key"))
				got := apply(Op{PutConfig: &PutConfig{Base: base, Config: testConfig(servers), Key: key}})
				want := ref.change(index, key, fmt.Sprint("put", base, servers), func() OpResult { return ref.put(index, base) })
				if got != want {
					t.Fatalf("got %+v, want %+v", got, want)
				}
			},
			"drain": func(t *rapid.T) {
				target := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "target")
				got := apply(Op{AddDrain: &AddDrain{Key: fmt.Sprint("drain", index), Drain: briarferry.Drain{Kind: briarferry.DrainFailureDomain, Target: target}}})
				if !slices.Contains(ref.drains, target) {
					ref.drains = append(ref.drains, target)
					ref.revision = index
				}
				if got.Code != CodeOK || got.Revision != ref.revision || got.Drain.Target != target {
					t.Fatalf("got %+v", got)
				}
			},
			"remove drain": func(t *rapid.T) {
				if len(ref.drains) == 0 {
					t.Skip("no drain")
				}
				got := apply(Op{RemoveDrain: &RemoveDrain{ID: m.State().Drains[0].ID}})
				ref.drains, ref.revision = ref.drains[1:], index
				if got.Code != CodeOK || got.Revision != index {
					t.Fatalf("got %+v", got)
				}
			},
			"undecodable command": func(t *rapid.T) {
				index++
				r, err := DecodeResult(m.Apply(index, rapid.SliceOf(rapid.Byte()).Draw(t, "cmd")), 1)
				if err == nil && r.Ops[0].Code != CodeInvalid {
					t.Fatalf("got %+v", r)
				}
			},
			"restore": func(t *rapid.T) { m = restored(t, m) },
			"": func(t *rapid.T) {
				s := m.State()
				if s.Version() != ref.version || s.Revision != ref.revision || len(s.Drains) != len(ref.drains) || m.ClaimCount() < len(ref.claims)-3 {
					t.Fatalf("state %+v with %d claims differs from %+v", s, m.ClaimCount(), ref)
				}
			},
		})
	})
}

// fataler is implemented by testing.TB and rapid.T.
type fataler interface {
	Fatalf(format string, args ...any)
}

// restored returns a machine that is restored from a snapshot of m.
func restored(t fataler, m *Machine) *Machine {
	data, err := m.Snapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	next := New()
	if err := next.Restore(data); err != nil {
		t.Fatalf("restore: %v", err)
	}
	again, _ := next.Snapshot()
	if !bytes.Equal(data, again) || m.State().Checksum() != next.State().Checksum() {
		t.Fatalf("state differs after the snapshot was restored")
	}
	return next
}

// TestCommandWithInvalidOps guards against a command whose valid operations are not
// applied because another one is invalid, and against two states with the same revision.
func TestCommandWithInvalidOps(t *testing.T) {
	m := New()
	changed := m.Changed()
	cmd, err := Encode(1,
		Op{PutConfig: &PutConfig{Config: testConfig(1), Key: "one"}},
		Op{},
		Op{Claim: &ClaimOp{Kind: "unknown", Claim: briarferry.Claim{Service: "orders", Key: "k", Token: "t"}}},
		Op{PutConfig: &PutConfig{Base: 1, Config: testConfig(2), Key: "two"}},
		Op{PutConfig: &PutConfig{Base: 1, Config: testConfig(3), Key: "three"}},
		Op{RemoveDrain: &RemoveDrain{ID: "none"}},
	)
	if err != nil {
		t.Fatal(err)
	}
	r, err := DecodeResult(m.Apply(7, cmd), 6)
	if err != nil {
		t.Fatal(err)
	}
	want := []Code{CodeOK, CodeInvalid, CodeInvalid, CodeOK, CodeConflict, CodeNotFound}
	for i, op := range r.Ops {
		if op.Code != want[i] {
			t.Errorf("operation %d: got %s, want %s", i, op.Code, want[i])
		}
	}
	<-changed
	if s := m.State(); s.Revision != 7 || s.Version() != 2 || m.Counters.Changes.Load() != 1 {
		t.Errorf("got %+v after %d changes", s, m.Counters.Changes.Load())
	}
}

// TestResultsAreBounded guards against results of changes that accumulate without bound,
// and against the loss of recent results.
func TestResultsAreBounded(t *testing.T) {
	m := New()
	removeDrain := func(index uint64, key string) Code {
		cmd, _ := Encode(1, Op{RemoveDrain: &RemoveDrain{ID: "none", Key: key}})
		m.Apply(index, cmd)
		return CodeOK
	}
	for i := range maxResults + 10 {
		removeDrain(uint64(i), fmt.Sprint(i))
	}
	if len(m.results) != maxResults || len(m.order) != maxResults || m.results["9"] != nil || m.results["10"] == nil {
		t.Errorf("%d results, %d in order", len(m.results), len(m.order))
	}
}

// TestDelta guards against a delta that, when applied, gives another state than the one
// that it was computed for.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := make([]*ConfigState, 2)
		for i := range states {
			cfg := testConfig(rapid.IntRange(0, 2).Draw(t, "servers"))
			if rapid.Bool().Draw(t, "swap") {
				slices.Reverse(cfg.Services)
			}
			cfg.Services = cfg.Services[:rapid.IntRange(1, 2).Draw(t, "services")]
			cfg.Limits.ClaimCapacity = rapid.IntRange(1, 2).Draw(t, "capacity")
			cfg.Version = uint64(i + 1)
			states[i] = &ConfigState{Revision: uint64(i + 5), Config: &cfg}
		}
		d, ok := Diff(states[0], states[1])
		if !ok {
			t.Fatal("no delta")
		}
		got, err := states[0].Patch(d)
		if err != nil || got.Checksum() != states[1].Checksum() {
			t.Fatalf("patched state differs: %v", err)
		}
	})
}

// FuzzApply guards against commands that make a replica panic, and against commands for
// which two replicas return different results.
func FuzzApply(f *testing.F) {
	cmd, _ := Encode(1,
		Op{PutConfig: &PutConfig{Config: testConfig(1), Key: "one"}},
		Op{Claim: &ClaimOp{Kind: OpClaim, Claim: briarferry.Claim{Service: "orders", Key: "k", Token: "t"}}},
		Op{AddDrain: &AddDrain{Key: "k", Drain: briarferry.Drain{Kind: briarferry.DrainRegion, Target: "koshi"}}})
	f.Add(cmd)
	f.Add([]byte{})
	f.Add([]byte{0xa2, 0x61, 0x74, 0x01, 0x61, 0x6f, 0x81, 0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := New(), New()
		if !bytes.Equal(a.Apply(1, data), b.Apply(1, data)) {
			t.Fatal("results differ")
		}
		restored(t, a)
	})
}

// FuzzRestore guards against snapshots that make a replica panic.
func FuzzRestore(f *testing.F) {
	m := New()
	cmd, _ := Encode(1, Op{PutConfig: &PutConfig{Config: testConfig(1), Key: "one"}})
	m.Apply(1, cmd)
	data, _ := m.Snapshot()
	f.Add(data)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		if m := New(); m.Restore(data) == nil {
			restored(t, m)
		}
	})
}
