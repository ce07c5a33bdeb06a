package bfcontrol

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"briarferry/internal/protocol/bfwire"
)

// spilloverTable returns a table of two regions with two failure domains of two entries
// each, and a function that simulates look-ups from r1-a for some seconds. It counts the
// look-ups of the last second by the failure domain of the first entry in the answer.
func spilloverTable(t *testing.T, utilization map[string]float64) (*entryTable, func(seconds int, regionOnly bool) map[string]int) {
	t.Helper()
	now := time.Unix(1000, 0)
	regions := map[string]string{"r1-a": "r1", "r1-b": "r1", "r2-a": "r2", "r2-b": "r2"}
	table := &entryTable{regions: regions, log: zerolog.Nop(), spillover: spillover{maxShift: 0.15, log: zerolog.Nop()}}
	names := map[netip.AddrPort]string{}
	sequence := uint64(0)
	sendHeartbeats := func() {
		sequence++
		for i, domain := range []string{"r1-a", "r1-a", "r1-b", "r1-b", "r2-a", "r2-a", "r2-b", "r2-b"} {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
			names[address] = domain
			table.heartbeat(now, &bfwire.EntryHeartbeat{Sequence: sequence, Ready: true, Load: utilization[domain], Entry: bfwire.EntryInfo{
				Name: fmt.Sprint("e", i), Region: regions[domain], FailureDomain: domain, HTTP: address, Gossip: address, Incarnation: 1,
			}})
		}
	}
	return table, func(seconds int, regionOnly bool) map[string]int {
		out := map[string]int{}
		for range seconds {
			now = now.Add(time.Second)
			sendHeartbeats()
			out = map[string]int{}
			for range 1000 {
				list := table.lookup(now, "r1", "r1-a", lookupLimits{bound: regionOnly})
				out[names[list[0]]]++
			}
		}
		return out
	}
}

// TestSpillover guards against sending all callers to the busy entries near them while
// others have spare bandwidth, and against sending callers away from entries that aren't busy.
func TestSpillover(t *testing.T) {
	cases := []struct {
		name        string
		utilization map[string]float64
		regionOnly  bool
		// atLeast is the lowest number of 1000 look-ups that each failure domain gets, and
		// none lists those that get no look-up.
		atLeast map[string]int
		none    []string
	}{
		{"no domain is busy", map[string]float64{"r1-a": 0.5, "r1-b": 0.5}, false, nil, []string{"r1-b", "r2-a", "r2-b"}},
		{"one domain is busy", map[string]float64{"r1-a": 0.9, "r1-b": 0.2}, false, map[string]int{"r1-b": 300}, []string{"r2-a", "r2-b"}},
		{"whole region is busy", map[string]float64{"r1-a": 0.9, "r1-b": 0.9}, false, map[string]int{"r2-a": 60, "r2-b": 60}, []string{"r1-b"}},
		{"whole region is busy, region only", map[string]float64{"r1-a": 0.9, "r1-b": 0.9}, true, nil, []string{"r1-b", "r2-a", "r2-b"}},
		{"all regions are busy", map[string]float64{"r1-a": 0.9, "r1-b": 0.9, "r2-a": 0.9, "r2-b": 0.9}, false, nil, []string{"r1-b", "r2-a", "r2-b"}},
	}
	for _, c := range cases {
		_, run := spilloverTable(t, c.utilization)
		got := run(5, c.regionOnly)
		for domain, least := range c.atLeast {
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

// TestSpilloverIsGradual guards against moving callers between regions faster than the limit
// on shifts, and against never sending them back.
func TestSpilloverIsGradual(t *testing.T) {
	utilization := map[string]float64{"r1-a": 0.9, "r1-b": 0.9}
	table, run := spilloverTable(t, utilization)
	last := 0.0
	for second := range 20 {
		run(1, false)
		share := table.spillover.regionShares["r1"]
		if share-last > 0.15/2 {
			t.Errorf("second %d: share went from %.3f to %.3f", second, last, share)
		}
		last = share
	}
	if last < 0.5 {
		t.Errorf("share is %.3f after 20 s, want at least 0.5", last)
	}
	utilization["r1-a"], utilization["r1-b"] = 0.3, 0.3
	if got := run(30, false); got["r1-a"] != 1000 {
		t.Errorf("after utilization decreased: %v, want all look-ups at r1-a", got)
	}
}
