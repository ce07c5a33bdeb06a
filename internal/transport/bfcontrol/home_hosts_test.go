package bfcontrol

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"briarferry"
)

// TestHomeHosts guards against callers that are sent to entries of other regions although
// their requests are bound to regions, and against answers from an older route table.
func TestHomeHosts(t *testing.T) {
	table := func(homes []string, organisations ...briarferry.Organisation) *briarferry.RouteTable {
		return &briarferry.RouteTable{Organisations: organisations, Routes: []briarferry.Route{
			{Host: "Shop.example", Prefix: "/"}, {Host: "Shop.example", Prefix: "/a/", HomeRegions: homes}, {Host: "till.example", Prefix: "/", Open: true},
		}}
	}
	free, bound := briarferry.Organisation{Name: "free"}, briarferry.Organisation{Name: "bound", HomeRegions: []string{"r"}}
	var h homeHosts
	for i, c := range []struct {
		table      *briarferry.RouteTable
		shop, till bool
	}{
		{nil, false, false}, {table(nil), false, false}, {table([]string{"r"}), true, false}, {table(nil, free), false, false},
		{table(nil, free, bound), true, true}, {table([]string{"r"}, free), true, false}, {table(nil), false, false},
	} {
		for host, want := range map[string]bool{"shop.example": c.shop, "SHOP.example:80": c.shop, "till.example": c.till, "none.example": false} {
			if got := h.bound(c.table, host); got != want {
				t.Errorf("table %d, %s: bound to regions %v, want %v", i, host, got, want)
			}
		}
	}
}

// BenchmarkHomeHosts shows that the time of a look-up doesn't grow with the routes and
// organisations.
func BenchmarkHomeHosts(b *testing.B) {
	for _, n := range []int{10, 5000} {
		t := &briarferry.RouteTable{Organisations: make([]briarferry.Organisation, n)}
		for i := range n {
			t.Routes = append(t.Routes, briarferry.Route{Host: fmt.Sprintf("h%d.example", i), Prefix: "/"})
		}
		var h homeHosts
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				h.bound(t, "h7.example")
			}
		})
	}
}

// TestKeySalt guards against a salt that differs from that of the table in force, which would
// change the digests of all keys and send every organisation again.
func TestKeySalt(t *testing.T) {
	nodes := startGroup(t)
	first := nodes[0].KeySalt()
	if len(first) != briarferry.KeySaltBytes || bytes.Equal(first, nodes[0].KeySalt()) {
		t.Errorf("salt without a table: %x", first)
	}
	for version := uint64(1); version < 3; version++ {
		table := testTable(version)
		table.KeySalt = nodes[version].KeySalt()
		if version == 1 {
			first = table.KeySalt
		}
		table.Organisations = []briarferry.Organisation{{Name: "one", Keys: []briarferry.KeyDigest{briarferry.DigestKey(table.KeySalt, "key")}}}
		if err := eventually(t, func(ctx context.Context) error {
			return nodes[0].PutRoutes(ctx, version-1, table, []byte{byte(version)})
		}); err != nil {
			t.Fatal(err)
		}
		for _, n := range nodes {
			if err := eventually(t, n.catchUp); err != nil || !bytes.Equal(n.KeySalt(), first) {
				t.Errorf("version %d: salt %x, want %x; %v", version, n.KeySalt(), first, err)
			}
		}
	}
}
