package bfroute

import (
	"fmt"
	"testing"

	"briarferry"
)

func tableWithKeys(n int) *Table {
	t := &briarferry.RouteTable{KeySalt: briarferry.NewKeySalt(), Routes: []briarferry.Route{route("closed", "h", "/"), route("open", "h", "/open/")}}
	t.Routes[1].Open = true
	for i := range n {
		t.Organisations = append(t.Organisations, briarferry.Organisation{Name: fmt.Sprint("org", i), Keys: []briarferry.KeyDigest{
			briarferry.DigestKey(t.KeySalt, fmt.Sprint("first", i)), briarferry.DigestKey(t.KeySalt, fmt.Sprint("second", i)),
		}})
	}
	return New(t)
}

// TestOrganisation guards against a key that names another organisation or none, and against
// one that isn't in the table and names any.
func TestOrganisation(t *testing.T) {
	table := tableWithKeys(50)
	for i := range 50 {
		for _, key := range []string{fmt.Sprint("first", i), fmt.Sprint("second", i)} {
			if o := table.Organisation(key); o == nil || o.Name != fmt.Sprint("org", i) {
				t.Errorf("key %q names %v", key, o)
			}
		}
	}
	for _, key := range []string{"", "first", "First1", "first50", "first1 "} {
		if o := table.Organisation(key); o != nil {
			t.Errorf("key %q names %s", key, o.Name)
		}
	}
}

// TestDigestsWithOnePrefix guards against taking a key for that of an organisation because
// the first bytes of the digests are the same.
func TestDigestsWithOnePrefix(t *testing.T) {
	salt := briarferry.NewKeySalt()
	digest := briarferry.DigestKey(salt, "key")
	similar := digest
	similar[len(similar)-1]++
	table := &briarferry.RouteTable{KeySalt: salt, Organisations: []briarferry.Organisation{{Name: "other", Keys: []briarferry.KeyDigest{similar}}}}
	if o := New(table).Organisation("key"); o != nil {
		t.Errorf("the key names %s", o.Name)
	}
	table.Organisations = append(table.Organisations, briarferry.Organisation{Name: "owner", Keys: []briarferry.KeyDigest{digest}})
	if o := New(table).Organisation("key"); o == nil || o.Name != "owner" {
		t.Errorf("the key names %v", o)
	}
}

// TestNeedsKey guards against asking for keys where a table has no organisations or a route
// is open, and against none where it has.
func TestNeedsKey(t *testing.T) {
	for n, want := range map[int]map[string]bool{0: {"/": false, "/open/": false}, 1: {"/": true, "/open/": false}} {
		table := tableWithKeys(n)
		for path, needs := range want {
			if got := table.NeedsKey(table.Find("h", path)); got != needs {
				t.Errorf("%d organisations, %s: needs a key %v", n, path, got)
			}
		}
	}
}

// BenchmarkOrganisation shows that the time of a look-up doesn't grow with the number of
// organisations.
func BenchmarkOrganisation(b *testing.B) {
	for _, n := range []int{10, briarferry.MaxOrganisations} {
		table := tableWithKeys(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				table.Organisation("second7")
			}
		})
	}
}
