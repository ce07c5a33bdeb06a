package bffleet

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"briarferry"
	"briarferry/internal/state/bfcodec"
)

// putTable is an order to replace the table of the base version.
func putTable(base uint64, t briarferry.RouteTable) Command {
	digest := sha256.Sum256(fmt.Append(nil, base, t))
	return Command{PutRoutes: &PutRoutes{Base: base, Table: t, Source: []byte("x"), Digest: digest[:]}}
}

// largeTable has the given number of routes, of which the first one has the given weight.
func largeTable(version uint64, routes, weight int) briarferry.RouteTable {
	t := table(version)
	first := t.Routes[0]
	t.Routes = nil
	for i := range routes {
		r := first
		r.Name, r.Prefix = fmt.Sprint("r", i), fmt.Sprintf("/p%d/", i)
		t.Routes = append(t.Routes, r)
	}
	t.Routes[0].Split = []briarferry.SplitPart{{Service: "prices", Weight: weight}}
	return t
}

// drawTable draws a table with some of a few routes, each of which has one of two timeouts.
func drawTable(r *rapid.T, version uint64) briarferry.RouteTable {
	t := table(version)
	first := t.Routes[0]
	t.Routes = nil
	for _, i := range rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7}).Draw(r, "order")[:rapid.IntRange(0, 8).Draw(r, "routes")] {
		route := first
		route.Host, route.Prefix = fmt.Sprint("h", i%2), fmt.Sprintf("/p%d/", i)
		route.Timeout *= briarferry.Duration(rapid.IntRange(1, 2).Draw(r, "timeout"))
		t.Routes = append(t.Routes, route)
	}
	drawOrganisations(r, &t)
	t.Services[0].ConnectionLimit = rapid.IntRange(1, 2).Draw(r, "connections")
	t.Limits.MaxBodyBytes = rapid.Int64Range(0, 1).Draw(r, "body")
	return t
}

// drawOrganisations adds some of a few organisations, each of which has one of two keys.
func drawOrganisations(r *rapid.T, t *briarferry.RouteTable) {
	for _, i := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(r, "organisation order")[:rapid.IntRange(0, 4).Draw(r, "organisations")] {
		t.KeySalt = testSalt
		key := fmt.Sprint("key", i, rapid.IntRange(1, 2).Draw(r, "key"))
		t.Organisations = append(t.Organisations, briarferry.Organisation{Name: fmt.Sprint("org", i), Keys: []briarferry.KeyDigest{briarferry.DigestKey(testSalt, key)}})
	}
}

func sameTables(a, b *briarferry.RouteTable) bool {
	return a.Version == b.Version && len(a.Routes) == len(b.Routes) && reflect.DeepEqual(a.Services, b.Services) && a.Limits == b.Limits &&
		reflect.DeepEqual(byKey(a.Routes, keyOf), byKey(b.Routes, keyOf)) &&
		reflect.DeepEqual(byKey(a.Organisations, nameOf), byKey(b.Organisations, nameOf)) && bytes.Equal(a.KeySalt, b.KeySalt)
}

// TestRouteChangeUpdates guards against an entry whose route table differs from that of the
// control VMs after it fetched only the changes, whichever updates it missed, also from a
// control VM that was restarted.
func TestRouteChangeUpdates(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m, index, entry := New(), uint64(0), &State{}
		for version := uint64(1); version < 12; version++ {
			apply(t, m, &index, putTable(version-1, drawTable(r, version)))
			switch rapid.IntRange(0, 5).Draw(r, "event") {
			case 0, 1:
				continue
			case 2:
				data, err := m.Snapshot()
				if err != nil {
					r.Fatal(err)
				}
				m = New()
				if err := m.Restore(data); err != nil {
					r.Fatal(err)
				}
			}
			data, err := bfcodec.Marshal(m.State().UpdateSince(entry.Revision, true))
			if err != nil {
				r.Fatal(err)
			}
			var u Update
			if err := bfcodec.Unmarshal(data, &u); err != nil {
				r.Fatal(err)
			}
			next, newer := entry.Apply(&u)
			if !newer || !sameTables(next.Routes, m.State().Routes) {
				r.Fatalf("entry has %v, control VM %v", next.Routes, m.State().Routes)
			}
			entry = next
		}
	})
}

// TestRouteChangeSize guards against an update that grows with the route table although one
// route has changed: on narrow links, the whole table for each change delayed callers' requests
// and the changes themselves.
func TestRouteChangeSize(t *testing.T) {
	const maxBytes = 1000
	for _, routes := range []int{10, 100, 1400} {
		m, index := New(), uint64(0)
		apply(t, m, &index, putTable(0, largeTable(1, routes, 1)))
		revision := m.State().Revision
		for version := uint64(2); version < 6; version++ {
			apply(t, m, &index, putTable(version-1, largeTable(version, routes, int(version))))
		}
		data, err := bfcodec.Marshal(m.State().UpdateSince(revision, true))
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > maxBytes {
			t.Errorf("%d routes: four changes of one route take %d bytes, want at most %d", routes, len(data), maxBytes)
		}
		if u := m.State().UpdateSince(revision, false); u.Routes == nil || u.RouteChange != nil {
			t.Errorf("%d routes: an entry that doesn't accept changes got one", routes)
		}
	}
}

// TestRouteHistoryLimits guards against a history that grows without limit, and against an
// entry that gets only a part of the changes that it missed.
func TestRouteHistoryLimits(t *testing.T) {
	m, index := New(), uint64(0)
	apply(t, m, &index, putTable(0, largeTable(1, 100, 1)))
	entry, _ := (&State{}).Apply(m.State().UpdateSince(0, true))
	for version := uint64(2); version < maxRouteHistory+3; version++ {
		apply(t, m, &index, putTable(version-1, largeTable(version, 100, int(version))))
	}
	if n := len(m.State().routeHistory.changes); n > maxRouteHistory {
		t.Errorf("the history has %d changes", n)
	}
	u := m.State().UpdateSince(entry.Revision, true)
	if u.Routes == nil || u.RouteChange != nil {
		t.Error("an entry that missed more changes than the history holds got a part of them")
	}
	apply(t, m, &index, putTable(maxRouteHistory+2, largeTable(maxRouteHistory+3, maxRouteKeys+1, 1)))
	if h := m.State().routeHistory; h.keys > maxRouteKeys {
		t.Errorf("the history has %d routes", h.keys)
	}
	if same, newer := entry.Apply(&Update{Revision: index + 1, RouteChange: &RouteChange{Base: 9, Version: 10}}); newer || same != entry {
		t.Error("a change of another table was applied")
	}
}
