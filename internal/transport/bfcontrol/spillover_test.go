package bfcontrol

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"briarferry/internal/protocol/bfwire"
)

// spreadTable has two regions with two failure domains of two entries each.
func spreadTable(t *testing.T, load map[string]float64) (*entryTable, func(seconds int, host bool) map[string]int) {
	t.Helper()
	now := time.Unix(1000, 0)
	regions := map[string]string{"r1-a": "r1", "r1-b": "r1", "r2-a": "r2", "r2-b": "r2"}
	table := &entryTable{regions: regions, log: zerolog.Nop(), spread: spread{maxShift: 0.15, log: zerolog.Nop()}}
	names := map[netip.AddrPort]string{}
	sequence := uint64(0)
	hear := func() {
		sequence++
		for i, domain := range []string{"r1-a", "r1-a", "r1-b", "r1-b", "r2-a", "r2-a", "r2-b", "r2-b"} {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
			names[address] = domain
			table.hear(now, &bfwire.EntryBeat{Sequence: sequence, Ready: true, Load: load[domain], Entry: bfwire.EntryInfo{
				Name: fmt.Sprint("e", i), Region: regions[domain], FailureDomain: domain, HTTP: address, Gossip: address, Incarnation: 1,
			}})
		}
	}
	return table, func(seconds int, stay bool) map[string]int {
		out := map[string]int{}
		for range seconds {
			now = now.Add(time.Second)
			hear()
			out = map[string]int{}
			for range 1000 {
				list := table.lookup(now, "r1", "r1-a", stay)
				out[names[list[0]]]++
			}
		}
		return out
	}
}

// TestBusyEntriesSpread guards against callers that crowd the full links of the near
// entries while others are free, and against callers that leave without need.
func TestBusyEntriesSpread(t *testing.T) {
	cases := []struct {
		name string
		load map[string]float64
		stay bool
		// away is the least share, in thousandths, that goes to each failure domain.
		away map[string]int
		none []string
	}{
		{"nobody is busy", map[string]float64{"r1-a": 0.5, "r1-b": 0.5}, false, nil, []string{"r1-b", "r2-a", "r2-b"}},
		{"one domain", map[string]float64{"r1-a": 0.9, "r1-b": 0.2}, false, map[string]int{"r1-b": 300}, []string{"r2-a", "r2-b"}},
		{"whole region", map[string]float64{"r1-a": 0.9, "r1-b": 0.9}, false, map[string]int{"r2-a": 60, "r2-b": 60}, []string{"r1-b"}},
		{"whole region, bound to it", map[string]float64{"r1-a": 0.9, "r1-b": 0.9}, true, nil, []string{"r1-b", "r2-a", "r2-b"}},
		{"all", map[string]float64{"r1-a": 0.9, "r1-b": 0.9, "r2-a": 0.9, "r2-b": 0.9}, false, nil, []string{"r1-b", "r2-a", "r2-b"}},
	}
	for _, c := range cases {
		_, run := spreadTable(t, c.load)
		got := run(5, c.stay)
		for domain, least := range c.away {
			if got[domain] < least {
				t.Errorf("%s: %d of 1000 go to %s, want at least %d", c.name, got[domain], domain, least)
			}
		}
		for _, domain := range c.none {
			if got[domain] > 0 {
				t.Errorf("%s: %d of 1000 go to %s", c.name, got[domain], domain)
			}
		}
	}
}

// TestSpreadIsSlow guards against callers that change regions faster than the limit on
// shifts, and against those that never come back.
func TestSpreadIsSlow(t *testing.T) {
	load := map[string]float64{"r1-a": 0.9, "r1-b": 0.9}
	table, run := spreadTable(t, load)
	last := 0.0
	for second := range 20 {
		run(1, false)
		share := table.spread.regions["r1"]
		if share-last > 0.15/2 {
			t.Errorf("second %d: share went from %.3f to %.3f", second, last, share)
		}
		last = share
	}
	if last < 0.5 {
		t.Errorf("share %.3f after 20 s", last)
	}
	load["r1-a"], load["r1-b"] = 0.3, 0.3
	if got := run(30, false); got["r1-a"] != 1000 {
		t.Errorf("after the load went: %v", got)
	}
}
