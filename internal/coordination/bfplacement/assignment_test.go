package bfplacement

import (
	"encoding/binary"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briarferry"
)

// staticMembers is a membership view that the test sets.
type staticMembers struct{ vms []briarferry.VM }

func (m *staticMembers) Self() briarferry.VM   { return m.vms[0] }
func (m *staticMembers) Live() []briarferry.VM { return m.vms }
func (m *staticMembers) Connected() bool       { return true }

func sevenVMs() []briarferry.VM {
	var out []briarferry.VM
	for i, r := range []string{"x", "x", "x", "y", "y", "z", "z"} {
		out = append(out, briarferry.VM{Name: string(rune('a' + i)), Region: r, FailureDomain: string(rune('0' + i%2))})
	}
	return out
}

// TestIndexLongestPrefix guards against a wrong block at the edges of nested and
// adjacent prefixes. It compares the index with a scan of all prefixes.
func TestIndexLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var prefixes []netip.Prefix
		seen := map[netip.Prefix]bool{}
		address := func() netip.Addr {
			if rapid.Bool().Draw(t, "v4") {
				v := rapid.SampledFrom([]uint32{0, 1 << 31, 0xffffff00, 0x0a000000}).Draw(t, "base") | rapid.Uint32Range(0, 0x1ff).Draw(t, "low")
				return netip.AddrFrom4([4]byte(binary.BigEndian.AppendUint32(nil, v)))
			}
			b := [16]byte{0: byte(rapid.SampledFrom([]int{0x20, 0xff}).Draw(t, "head")), 7: byte(rapid.IntRange(0, 255).Draw(t, "mid")), 15: byte(rapid.IntRange(0, 255).Draw(t, "low"))}
			return netip.AddrFrom16(b)
		}
		for range rapid.IntRange(0, 30).Draw(t, "prefixes") {
			a := address()
			p, _ := a.Prefix(rapid.IntRange(0, a.BitLen()).Draw(t, "bits"))
			if !seen[p] {
				seen[p] = true
				prefixes = append(prefixes, p)
			}
		}
		index, err := NewIndex(prefixes)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			a, want := address(), -1
			for i, p := range prefixes {
				if p.Contains(a) && (want < 0 || p.Bits() > prefixes[want].Bits()) {
					want = i
				}
			}
			if got, ok := index.Block(a); ok != (want >= 0) || (ok && got != want) {
				t.Fatalf("%s: got block %d (found %t), want %d", a, got, ok, want)
			}
		}
		decoded, err := DecodePrefixes(EncodePrefixes(prefixes))
		if err != nil || (len(prefixes) > 0 && !reflect.DeepEqual(decoded, prefixes)) {
			t.Fatalf("prefixes %v decoded as %v: %v", prefixes, decoded, err)
		}
	})
}

// TestDeltasRebuildAssignments guards against assignments of entries that differ from
// the leader's after a chain of deltas, and against accepting damaged deltas.
func TestDeltasRebuildAssignments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sc := drawScenario(t)
		p, err := NewPlanner(DefaultLimits(), sc.services, sc.blocks, 3)
		if err != nil {
			t.Fatal(err)
		}
		builder := NewAssignmentBuilder(p)
		var current *Assignment
		for i := range 4 {
			if _, err := p.Step(startTime.Add(DefaultLimits().ShiftInterval*9), sc.net); err != nil {
				t.Fatal(err)
			}
			next, err := builder.Build(sc.net)
			if err != nil {
				t.Fatal(err)
			}
			if i == 0 {
				if current, err = DecodeAssignment(next.Encode()); err != nil {
					t.Fatal(err)
				}
			} else {
				delta, err := EncodeDelta(current, next)
				if err != nil {
					t.Fatal(err)
				}
				damaged := append([]byte(nil), delta...)
				damaged[rapid.IntRange(0, len(delta)-1).Draw(t, "byte")] ^= 0x10
				if _, err := current.ApplyDelta(damaged); err == nil {
					t.Fatal("a damaged delta was accepted")
				}
				if current, err = current.ApplyDelta(delta); err != nil {
					t.Fatal(err)
				}
			}
			if !reflect.DeepEqual(current, next) {
				t.Fatalf("step %d: got %+v, want %+v", i, current, next)
			}
			for b, id := range current.ListIndex {
				if l := current.Lists[id]; p.site[b] != unplaced && int(l.Sites[0]) != int(p.site[b]) {
					t.Fatalf("block %d: list %v does not start with the planned site %d", b, l.Sites, p.site[b])
				}
			}
			sc.applyRandomEvents(t)
		}
	})
}

// TestFallBack guards against answers to look-ups that put another region first, name
// only one failure domain, or name a draining VM while no assignment is known.
func TestFallBack(t *testing.T) {
	e := EntrySelector{Members: &staticMembers{sevenVMs()}, MayTakeRequests: func(vm briarferry.VM) bool { return vm.Name != "c" }}
	first := map[string]int{}
	for i := range 1000 {
		got := e.Entries("s", prefix(i).Addr())
		first[got[0].VM.Name]++
		if got[0].VM.Region != "x" || got[1].VM.Region != "x" || got[2].VM.Region == "x" {
			t.Fatalf("caller %d: entries of the selector's region are not first: %+v", i, got)
		}
		if got[0].VM.FailureDomain == got[1].VM.FailureDomain {
			t.Fatalf("caller %d: the first two entries are in one failure domain: %+v", i, got)
		}
	}
	if first["a"] < 400 || first["b"] < 400 || first["c"] > 0 {
		t.Fatalf("callers are not spread over the region's usable VMs: %v", first)
	}
}

// TestEntryFollowsAssignment guards against answers to look-ups that ignore the
// assignment or name a VM that is not live, and against accepting an older assignment.
func TestEntryFollowsAssignment(t *testing.T) {
	m := &staticMembers{sevenVMs()}
	e := EntrySelector{Members: m}
	prefixes := []netip.Prefix{prefix(0), prefix(1)}
	index, err := NewIndex(prefixes)
	if err != nil {
		t.Fatal(err)
	}
	a := &Assignment{Version: 3, BlockSetChecksum: PrefixChecksum(prefixes), Sites: []string{"a", "b", "e"},
		Lists: []SiteList{{Classes: 1, Sites: []uint16{2, 0}}}, ListIndex: []uint16{0, 0}}
	if err := e.SetAssignment(a, index); err != nil {
		t.Fatal(err)
	}
	got := e.Entries("s", prefix(1).Addr().Next())
	if len(got) != 2 || got[0].VM.Name != "e" || got[0].Weight != primaryWeight || got[1].VM.Name != "a" || got[1].Weight != fallbackWeight {
		t.Fatalf("with all VMs live: %+v", got)
	}
	m.vms = m.vms[:4]
	if got = e.Entries("s", prefix(1).Addr()); len(got) != 1 || got[0].VM.Name != "a" || got[0].Weight != primaryWeight {
		t.Fatalf("after e was lost: %+v", got)
	}
	if got = e.Entries("s", netip.MustParseAddr("192.0.2.1")); len(got) != 4 {
		t.Fatalf("caller outside all blocks: %+v", got)
	}
	older := *a
	older.Version = 2
	if err := e.SetAssignment(&older, index); err == nil || e.Version() != 3 {
		t.Fatalf("version %d after an older assignment: %v", e.Version(), err)
	}
}

// TestNewLeaderIsAccepted guards against a new leader whose assignments entries refuse
// because their versions are lower than those of the previous leader. This would happen if
// versions only counted steps: a new planner may start from an old assignment or from none.
func TestNewLeaderIsAccepted(t *testing.T) {
	versions := []uint64{}
	for _, term := range []uint64{4, 5} {
		p, err := NewPlanner(DefaultLimits(), []Service{{Name: "s"}}, Blocks{Prefixes: []netip.Prefix{prefix(0)}, Demand: []Rate{1}, DelayMicros: []uint32{1}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		p.StartTerm(term)
		for range 7 - term {
			if _, err := p.Step(startTime, Network{Regions: []Region{{}}, Sites: []Site{{Name: "a", Capacity: 1}}}); err != nil {
				t.Fatal(err)
			}
		}
		versions = append(versions, p.version)
	}
	if versions[1] <= versions[0] {
		t.Fatalf("version %d of the first term is not below %d of the second", versions[0], versions[1])
	}
}

// TestAdoptContinues guards against a leader change that shifts blocks which the
// previous leader would not have moved.
func TestAdoptContinues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sc := drawScenario(t)
		old, err := NewPlanner(DefaultLimits(), sc.services, sc.blocks, 3)
		if err != nil {
			t.Fatal(err)
		}
		if _, err = old.Step(startTime, sc.net); err != nil {
			t.Fatal(err)
		}
		a, err := NewAssignmentBuilder(old).Build(sc.net)
		if err != nil {
			t.Fatal(err)
		}
		p, err := NewPlanner(DefaultLimits(), sc.services, sc.blocks, 3)
		if err != nil {
			t.Fatal(err)
		}
		if err = p.Adopt(a, sc.net.Sites); err != nil {
			t.Fatal(err)
		}
		for range 3 {
			now := startTime.Add(10 * time.Second)
			want, err := old.Step(now, sc.net)
			if err != nil {
				t.Fatal(err)
			}
			got, err := p.Step(now, sc.net)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("plan after adoption %+v, plan of the previous leader %+v", got, want)
			}
			sc.applyRandomEvents(t)
		}
	})
}

// TestDecodersRejectDamagedMessages guards against panics, endless loops and huge
// allocations on messages with a valid checksum and damaged contents.
func TestDecodersRejectDamagedMessages(t *testing.T) {
	a := &Assignment{Version: 1, Sites: []string{"a", "b"}, Lists: []SiteList{{Classes: 1, Sites: []uint16{0, 1}}}, ListIndex: make([]uint16, 9)}
	b := &Assignment{Version: 2, Sites: a.Sites, Lists: append(a.Lists, SiteList{Sites: []uint16{1}}), ListIndex: []uint16{0, 1, 1, 0, 0, 1, 0, 0, 0}}
	delta, err := EncodeDelta(a, b)
	if err != nil {
		t.Fatal(err)
	}
	prefixes := EncodePrefixes([]netip.Prefix{prefix(0), prefix(9), netip.MustParsePrefix("2001:db8::/48")})
	rapid.Check(t, func(t *rapid.T) {
		for _, valid := range [][]byte{a.Encode(), delta, prefixes} {
			body := append([]byte(nil), valid[:len(valid)-4]...)
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				body[rapid.IntRange(1, len(body)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
			}
			data := appendChecksum(body[:rapid.IntRange(1, len(body)).Draw(t, "length")])
			if got, err := DecodeAssignment(data); err == nil && got.validate() != nil {
				t.Fatalf("accepted %+v", got)
			}
			if got, err := a.ApplyDelta(data); err == nil && (got.validate() != nil || len(got.ListIndex) != 9) {
				t.Fatalf("accepted %+v", got)
			}
			if got, err := DecodePrefixes(data); err == nil {
				for _, p := range got {
					if !p.IsValid() {
						t.Fatalf("accepted %v", got)
					}
				}
			}
		}
	})
}
