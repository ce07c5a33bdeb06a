package bfload

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"briarferry/internal/protocol/bfapi"
)

// TestEntryOrder guards against an entry that a caller never tries, or tries twice.
func TestEntryOrder(t *testing.T) {
	var entries []bfapi.LookupEntry
	var all []netip.AddrPort
	for _, text := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"} {
		a := netip.MustParseAddrPort(text)
		entries, all = append(entries, bfapi.LookupEntry{Address: a, Weight: 1}), append(all, a)
	}
	first := map[netip.AddrPort]bool{}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		order := entryOrder(entries, rng)
		first[order[0]] = true
		slices.SortFunc(order, netip.AddrPort.Compare)
		if !slices.Equal(order, all) {
			t.Fatalf("tries %v, want each of %v once", order, all)
		}
	}
	if len(first) != len(all) {
		t.Errorf("%d of %d entries were tried first", len(first), len(all))
	}
}
