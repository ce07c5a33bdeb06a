package bffleet

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briarferry"
)

func table(version uint64) briarferry.RouteTable {
	return briarferry.RouteTable{
		Version:  version,
		Services: []briarferry.RouteService{{Name: "prices", ConnectionLimit: 4}},
		Routes: []briarferry.Route{{
			Name: "read", Host: "shop.example", Prefix: "/", Timeout: briarferry.Duration(time.Second), MaxAttempts: 1,
			Split: []briarferry.SplitPart{{Service: "prices", Weight: 1}},
		}},
	}
}

func put(base, version uint64, text string) Command {
	digest := sha256.Sum256(fmt.Appendf(nil, "%d %s", base, text))
	return Command{PutRoutes: &PutRoutes{Base: base, Table: table(version), Source: []byte(text), Digest: digest[:]}}
}

func instance(id, address string, started int64, sequence uint64) briarferry.Instance {
	return briarferry.Instance{
		ID: id, Service: "prices", Address: netip.MustParseAddrPort(address), FailureDomain: "a", Slots: 2,
		Started: started, Sequence: sequence,
	}
}

func register(in ...briarferry.Instance) Command { return Command{Register: &Register{Instances: in}} }

// apply applies the commands in order and returns the last result.
func apply(t testing.TB, m *Machine, index *uint64, commands ...Command) Result {
	t.Helper()
	var r Result
	for _, c := range commands {
		data, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		*index++
		if r, err = DecodeResult(m.Apply(*index, data)); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

// TestRouteChanges guards against a repeated command that is refused, against two changes
// of the same base that are both accepted, and against a version that decreases.
func TestRouteChanges(t *testing.T) {
	m, index := New(), uint64(0)
	steps := []struct {
		name    string
		command Command
		code    Code
		version uint64
	}{
		{"first", put(0, 2, "a"), CodeOK, 2},
		{"resend", put(0, 2, "a"), CodeOK, 2},
		{"other change on the same base", put(0, 3, "b"), CodeConflict, 2},
		{"same version, other text", put(2, 2, "c"), CodeConflict, 2},
		{"older version", put(2, 1, "d"), CodeConflict, 2},
		{"second", put(2, 7, "e"), CodeOK, 7},
		{"resend of the first after the second", put(0, 2, "a"), CodeOK, 7},
		{"refused change again", put(0, 3, "b"), CodeConflict, 7},
	}
	for _, s := range steps {
		if r := apply(t, m, &index, s.command); r.Code != s.code || r.Version != s.version {
			t.Errorf("%s: %s at version %d, want %s at %d", s.name, r.Code, r.Version, s.code, s.version)
		}
	}
	if source, version := m.Source(); string(source) != "e" || version != 7 {
		t.Errorf("source %q of version %d", source, version)
	}
}

// TestRegistry guards against delayed reports that register a server again after it has
// left or was replaced at its address, or that make a draining server ready. It also
// guards against a restart that is taken for a delayed report.
func TestRegistry(t *testing.T) {
	draining := instance("a", "10.0.0.1:80", 100, 5)
	draining.Draining = true
	moved := instance("a", "10.0.0.9:80", 100, 9)
	cases := map[string]struct {
		commands []Command
		want     string
	}{
		"registered":                      {[]Command{register(instance("a", "10.0.0.1:80", 100, 1))}, "a@10.0.0.1:80 100"},
		"drains":                          {[]Command{register(instance("a", "10.0.0.1:80", 100, 1)), register(draining)}, "a@10.0.0.1:80 100 draining"},
		"late report while draining":      {[]Command{register(draining), register(instance("a", "10.0.0.1:80", 100, 4))}, "a@10.0.0.1:80 100 draining"},
		"newer report while draining":     {[]Command{register(draining), register(instance("a", "10.0.0.1:80", 100, 6))}, "a@10.0.0.1:80 100 draining"},
		"restart after draining":          {[]Command{register(draining), register(instance("a", "10.0.0.1:80", 200, 1))}, "a@10.0.0.1:80 200"},
		"late report of earlier process":  {[]Command{register(instance("a", "10.0.0.1:80", 200, 1)), register(instance("a", "10.0.0.1:80", 100, 50))}, "a@10.0.0.1:80 200"},
		"left":                            {[]Command{register(instance("a", "10.0.0.1:80", 100, 1)), {Leave: &Leave{ID: "a"}}}, ""},
		"late report after leaving":       {[]Command{register(instance("a", "10.0.0.1:80", 100, 1)), {Leave: &Leave{ID: "a"}}, register(instance("a", "10.0.0.1:80", 100, 2))}, ""},
		"restart after leaving":           {[]Command{register(instance("a", "10.0.0.1:80", 100, 1)), {Leave: &Leave{ID: "a"}}, register(instance("a", "10.0.0.1:80", 300, 1))}, "a@10.0.0.1:80 300"},
		"address taken over":              {[]Command{register(instance("a", "10.0.0.1:80", 100, 1)), register(instance("b", "10.0.0.1:80", 200, 1))}, "b@10.0.0.1:80 200"},
		"late report of replaced process": {[]Command{register(instance("a", "10.0.0.1:80", 100, 1)), register(instance("b", "10.0.0.1:80", 200, 1)), register(instance("a", "10.0.0.1:80", 100, 9))}, "b@10.0.0.1:80 200"},
		"late report at a new address":    {[]Command{register(instance("b", "10.0.0.1:80", 200, 1)), register(instance("a", "10.0.0.1:80", 100, 9))}, "b@10.0.0.1:80 200"},
		"one process at two addresses":    {[]Command{register(instance("a", "10.0.0.1:80", 100, 1)), register(moved)}, "a@10.0.0.1:80 100"},
	}
	for name, c := range cases {
		m, index := New(), uint64(0)
		apply(t, m, &index, c.commands...)
		got := ""
		for _, s := range m.State().Servers {
			got += fmt.Sprintf("%s@%s %d", s.ID, s.Address, s.Started)
			if s.Draining {
				got += " draining"
			}
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// TestUnchangedReports guards against a report that changes the revision although it
// changes nothing else. All entries would fetch such a revision, for example when all
// servers report again after a restart of control VMs. It also guards against a server
// that reports to be cold again without a new revision.
func TestUnchangedReports(t *testing.T) {
	m, index := New(), uint64(0)
	cold := instance("a", "10.0.0.1:80", 100, 1)
	cold.ColdRemaining = briarferry.Duration(time.Second)
	before := apply(t, m, &index, register(cold)).Revision
	if r := apply(t, m, &index, register(instance("a", "10.0.0.1:80", 100, 8))); r.Revision != before {
		t.Errorf("got revision %d after an unchanged report, want %d", r.Revision, before)
	}
	cold.Sequence = 9
	if r := apply(t, m, &index, register(cold)); r.Revision == before {
		t.Error("a server that reported cold again did not change the revision")
	}
}

// TestExpire guards against an expired server that can't register again in the same
// process, and against a server that expires although it reported a change meanwhile.
func TestExpire(t *testing.T) {
	m, index := New(), uint64(0)
	first := apply(t, m, &index, register(instance("a", "10.0.0.1:80", 100, 1))).Revision
	draining := instance("a", "10.0.0.1:80", 100, 2)
	draining.Draining = true
	second := apply(t, m, &index, register(draining)).Revision
	apply(t, m, &index, Command{Expire: &Expire{ID: "a", Revision: first}}, Command{Expire: &Expire{ID: "none", Revision: second}})
	if _, ok := m.State().Server("a"); !ok {
		t.Error("server expired although it had changed")
	}
	apply(t, m, &index, Command{Expire: &Expire{ID: "a", Revision: second}})
	if _, ok := m.State().Server("a"); ok {
		t.Error("server did not expire")
	}
	apply(t, m, &index, register(instance("a", "10.0.0.1:80", 100, 3)))
	if _, ok := m.State().Server("a"); !ok {
		t.Error("server did not register again")
	}
}

// TestEvacuation guards against evacuation commands that are lost or applied twice.
func TestEvacuation(t *testing.T) {
	m, index := New(), uint64(0)
	set, withdraw := Command{Evacuate: &Evacuate{FailureDomain: "a"}}, Command{Evacuate: &Evacuate{FailureDomain: "a", Withdraw: true}}
	first := apply(t, m, &index, set)
	if again := apply(t, m, &index, set); again.Code != CodeOK || again.Revision != first.Revision {
		t.Errorf("resend: %+v, first %+v", again, first)
	}
	apply(t, m, &index, Command{Evacuate: &Evacuate{FailureDomain: "0"}}, withdraw, withdraw)
	if got := m.State().Evacuated; len(got) != 1 || got[0] != "0" {
		t.Errorf("evacuated %v", got)
	}
}

// TestSnapshotIsComplete guards against a restored replica that handles repeated commands,
// delayed reports or reads differently from the others.
func TestSnapshotIsComplete(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		one, index := New(), uint64(0)
		commands := rapid.SliceOfN(rapid.Custom(drawCommand), 1, 40).Draw(r, "commands")
		half := rapid.IntRange(0, len(commands)).Draw(r, "half")
		apply(t, one, &index, commands[:half]...)
		data, err := one.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		other := New()
		if err := other.Restore(data); err != nil {
			t.Fatal(err)
		}
		second := index
		apply(t, one, &index, commands[half:]...)
		apply(t, other, &second, commands[half:]...)
		a, _ := one.Snapshot()
		b, _ := other.Snapshot()
		if !bytes.Equal(a, b) {
			r.Fatalf("states differ after %d commands and a snapshot at %d", len(commands), half)
		}
	})
}

func drawCommand(r *rapid.T) Command {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "id")
	switch rapid.IntRange(0, 5).Draw(r, "kind") {
	case 0:
		base := rapid.Uint64Range(0, 4).Draw(r, "base")
		return put(base, base+rapid.Uint64Range(1, 3).Draw(r, "step"), id)
	case 1:
		return Command{Evacuate: &Evacuate{FailureDomain: id, Withdraw: rapid.Bool().Draw(r, "withdraw")}}
	case 2:
		return Command{Leave: &Leave{ID: id}}
	case 3:
		return Command{Expire: &Expire{ID: id, Revision: rapid.Uint64Range(0, 40).Draw(r, "changed")}}
	}
	in := instance(id, fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(1, 3).Draw(r, "address")),
		rapid.Int64Range(0, 3).Draw(r, "started"), rapid.Uint64Range(0, 9).Draw(r, "sequence"))
	in.Draining = rapid.Bool().Draw(r, "draining")
	in.ColdRemaining = briarferry.Duration(rapid.SampledFrom([]time.Duration{0, time.Second}).Draw(r, "cold"))
	return register(in)
}

// TestUpdates guards against an entry that misses a part of the state or returns to an
// older one.
func TestUpdates(t *testing.T) {
	m, index := New(), uint64(0)
	entry := &State{}
	for _, c := range []Command{put(0, 1, "a"), register(instance("a", "10.0.0.1:80", 1, 1)), {Evacuate: &Evacuate{FailureDomain: "a"}}} {
		old := entry
		apply(t, m, &index, c)
		entry, _ = entry.Apply(m.State().UpdateSince(entry.Revision, true))
		if same, newer := entry.Apply(old.UpdateSince(0, true)); newer || same.Revision != entry.Revision {
			t.Fatal("an older update was applied")
		}
	}
	if entry.RoutesVersion() != 1 || len(entry.Servers) != 1 || len(entry.Evacuated) != 1 || entry.Revision != index {
		t.Errorf("entry has version %d, %d servers, evacuated %v at revision %d", entry.RoutesVersion(), len(entry.Servers), entry.Evacuated, entry.Revision)
	}
}

// TestIncrementalUpdates guards against an entry whose list of servers differs from that of
// the control VMs after it fetched only the changes, whichever updates it missed, and
// against updates that send the whole list although the changes are known.
func TestIncrementalUpdates(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m, index, entry := New(), uint64(0), &State{}
		for _, c := range rapid.SliceOfN(rapid.Custom(drawCommand), 1, 60).Draw(r, "commands") {
			apply(t, m, &index, c)
			if rapid.IntRange(0, 3).Draw(r, "missed") > 0 {
				continue
			}
			u := m.State().UpdateSince(entry.Revision, true)
			if entry.Revision > 0 && u.Servers != nil {
				r.Fatal("the whole list was sent")
			}
			entry, _ = entry.Apply(u)
			if !reflect.DeepEqual(entry.Servers, m.State().Servers) && len(entry.Servers)+len(m.State().Servers) > 0 {
				r.Fatalf("entry has %v, control VM %v", entry.Servers, m.State().Servers)
			}
		}
	})
}

// TestManyRemovals guards against an entry that keeps a server whose removal is no longer
// recorded.
func TestManyRemovals(t *testing.T) {
	m, index := New(), uint64(0)
	apply(t, m, &index, register(instance("kept", "10.0.0.1:80", 1, 1), instance("a", "10.0.0.2:80", 1, 1)))
	entry, _ := (&State{}).Apply(m.State().UpdateSince(0, true))
	apply(t, m, &index, Command{Leave: &Leave{ID: "a"}})
	for i := range maxRemoved {
		id := fmt.Sprint("x", i)
		apply(t, m, &index, register(instance(id, "10.0.0.3:80", int64(i+1), 1)), Command{Leave: &Leave{ID: id}})
	}
	entry, _ = entry.Apply(m.State().UpdateSince(entry.Revision, true))
	if len(entry.Servers) != 1 || entry.Servers[0].ID != "kept" {
		t.Errorf("entry has %v", entry.Servers)
	}
}

// FuzzApply guards against a command from the log that makes the process panic.
func FuzzApply(f *testing.F) {
	for _, c := range []Command{put(0, 1, "a"), register(instance("a", "10.0.0.1:80", 1, 1)), {Leave: &Leave{ID: "a"}}} {
		data, err := c.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New()
		if _, err := DecodeResult(m.Apply(1, data)); err != nil {
			t.Fatal(err)
		}
	})
}

// TestEvacuationOrders guards against an order that was made for an older state and undoes a
// newer one, also where the newer one changed nothing, and against the loss of the order's
// index with a snapshot.
func TestEvacuationOrders(t *testing.T) {
	order := func(withdraw bool, base uint64) Command {
		return Command{Evacuate: &Evacuate{FailureDomain: "a", Withdraw: withdraw, Conditional: true, Base: base}}
	}
	m, index := New(), uint64(0)
	steps := []struct {
		what      string
		command   Command
		want      Code
		evacuated bool
	}{
		{"first evacuation", order(false, 0), CodeOK, true},
		{"repeated evacuation", order(false, 0), CodeOK, true},
		{"withdrawal made before the repetition", order(true, 1), CodeConflict, true},
		{"withdrawal", order(true, 2), CodeOK, false},
		{"second evacuation", order(false, 4), CodeOK, true},
		{"withdrawal made before the second evacuation", order(true, 2), CodeConflict, true},
		{"order of a VM with an older version", Command{Evacuate: &Evacuate{FailureDomain: "a", Withdraw: true}}, CodeOK, false},
	}
	for _, s := range steps {
		if got := apply(t, m, &index, s.command).Code; got != s.want {
			t.Errorf("%s: code %q, want %q", s.what, got, s.want)
		}
		if got := len(m.State().Evacuated) > 0; got != s.evacuated {
			t.Errorf("%s: evacuated %v", s.what, got)
		}
		data, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		m = New()
		if err := m.Restore(data); err != nil {
			t.Fatal(err)
		}
	}
}

// TestLeaveOfEarlierProcess guards against a late order of a process that has ended, which
// removed its successor with the same ID.
func TestLeaveOfEarlierProcess(t *testing.T) {
	m, index := New(), uint64(0)
	apply(t, m, &index, register(instance("a", "10.0.0.1:80", 1, 1)))
	apply(t, m, &index, register(instance("a", "10.0.0.1:80", 2, 1)))
	apply(t, m, &index, Command{Leave: &Leave{ID: "a", Started: 1}})
	if _, ok := m.State().Server("a"); !ok {
		t.Error("the second process was removed by the first one's order")
	}
	apply(t, m, &index, Command{Leave: &Leave{ID: "a", Started: 2}})
	if _, ok := m.State().Server("a"); ok {
		t.Error("the process that left is still registered")
	}
}
