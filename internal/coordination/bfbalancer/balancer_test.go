package bfbalancer

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briarferry"
)

var start = time.Unix(1000, 0)

func candidate(i int) briarferry.Candidate {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 80)
	return briarferry.Candidate{HeldSlots: 3, Backend: briarferry.Backend{
		Announcement: briarferry.Announcement{
			Service: "orders", Address: address, Slots: 9, State: briarferry.StateReady,
		},
		HeardAt: start,
	}}
}

func candidates(n int) []briarferry.Candidate {
	list := make([]briarferry.Candidate, n)
	for i := range list {
		list[i] = candidate(i)
	}
	return list
}

func unchanged(*briarferry.Candidate, []briarferry.Candidate) {}

// reportFullLoad makes a server report full load while the others are in use.
func reportFullLoad(c *briarferry.Candidate, others []briarferry.Candidate) {
	c.Backend.Load = 1
	for i := range others {
		others[i].InFlight = 2
	}
}

// TestPickShares guards against servers that get requests they can't handle, and against
// misleading reports that outweigh the results of requests.
func TestPickShares(t *testing.T) {
	fast, slow := 10*time.Millisecond, 80*time.Millisecond
	cases := []struct {
		name string
		// change modifies the first of ten servers.
		change             func(c *briarferry.Candidate, others []briarferry.Candidate)
		latency            time.Duration
		failed             bool
		shed               bool
		refused            bool
		minShare, maxShare float64
	}{
		{"equal", unchanged, fast, false, false, false, 0.05, 0.16},
		{"slow", unchanged, slow, false, false, false, 0, 0.02},
		{"failing", unchanged, fast, true, false, false, 0, 0.01},
		{"shedding", unchanged, fast, false, true, false, 0, 0.05},
		{"refusing connections", unchanged, fast, true, false, true, 0, 0.002},
		{"draining", func(c *briarferry.Candidate, _ []briarferry.Candidate) { c.Backend.State = briarferry.StateDraining }, fast, false, false, false, 0, 0},
		{"starting", func(c *briarferry.Candidate, _ []briarferry.Candidate) { c.Backend.State = briarferry.StateStarting }, fast, false, false, false, 0, 0.02},
		{"reports idle but is slow", func(c *briarferry.Candidate, _ []briarferry.Candidate) { c.Backend.Load = 0 }, slow, false, false, false, 0, 0.02},
		{"reports full load but is fast", reportFullLoad, fast, false, false, false, 0.05, 0.25},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := &Balancer{Seed: 3}
			list, now, picks := candidates(10), start, 0
			tc.change(&list[0], list[1:])
			for range 4000 {
				now = now.Add(time.Millisecond)
				for i := range list {
					list[i].Backend.HeardAt = now
				}
				i := b.Pick(now, list)
				r := briarferry.TryReport{Latency: fast}
				if i == 0 {
					picks++
					r = briarferry.TryReport{Latency: tc.latency, Failed: tc.failed, Shed: tc.shed, ConnectionRefused: tc.refused}
				}
				b.Report(now, list[i].Backend.ID(), r)
			}
			if share := float64(picks) / 4000; share < tc.minShare || share > tc.maxShare {
				t.Errorf("share is %.3f, want %.3f to %.3f", share, tc.minShare, tc.maxShare)
			}
		})
	}
}

// TestEntriesSpreadPicks guards against seven entries that all pick the same idle server
// because of the same report.
func TestEntriesSpreadPicks(t *testing.T) {
	list := candidates(20)
	for i := range list {
		list[i].Backend.Load = 0.9
	}
	list[4].Backend.Load = 0
	most := 0
	for round := range 100 {
		picked := map[int]int{}
		for entry := range 7 {
			b := &Balancer{Seed: uint64(round*7 + entry)}
			picked[b.Pick(start, list)]++
		}
		for _, n := range picked {
			most = max(most, n)
		}
	}
	if most > 4 {
		t.Errorf("%d of 7 entries picked the same server at once", most)
	}
}

// TestSlowStart guards against a full share for a server with cold caches, and against a
// slow start that never ends.
func TestSlowStart(t *testing.T) {
	b := &Balancer{Seed: 1}
	list := candidates(2)
	list[0].Backend.State = briarferry.StateStarting
	shares := map[int]int{}
	for ms := range 20_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		list[0].Backend.HeardAt, list[1].Backend.HeardAt = now, now
		if ms == 1000 {
			list[0].Backend.State = briarferry.StateReady
		}
		// The other server has requests in flight, as it serves most of them.
		list[1].InFlight = ms % 30
		if i := b.Pick(now, list); i == 0 {
			shares[ms/5000]++
		}
	}
	if shares[0] >= shares[1] || shares[1] >= shares[3] || shares[3] < 4000 {
		t.Errorf("picks of the starting server per 5 s: %v, want an increase", shares)
	}
}

// TestEjection guards against ejecting more than 30% of the servers, and against ejection
// durations that don't grow.
func TestEjection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "servers")
		b, list, now := &Balancer{Seed: 1}, candidates(n), start
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			b.Pick(now, list)
			i := rapid.IntRange(0, n-1).Draw(t, "server")
			b.Report(now, list[i].Backend.ID(), briarferry.TryReport{Failed: rapid.IntRange(0, 9).Draw(t, "failed") > 0})
			ejected := 0
			for _, s := range b.group("orders").servers {
				if s.ejected(now) {
					ejected++
				}
			}
			if float64(ejected) > 0.3*float64(n) {
				t.Fatalf("%d of %d servers are ejected", ejected, n)
			}
			if ejected < n && b.Pick(now, list) < 0 {
				t.Fatalf("no server is picked although only %d of %d are ejected", ejected, n)
			}
		}
	})
	s, now, last := &server{}, start, time.Duration(0)
	for range 6 {
		s.eject(now)
		if took := s.ejectedUntil.Sub(now); took <= last {
			t.Fatalf("ejection lasts %v after one of %v, want longer", took, last)
		}
		last, now = s.ejectedUntil.Sub(now), s.ejectedUntil
	}
}

// TestServicesDrawDifferently guards against services that choose servers in the same order,
// as names of equal length gave them the same random sequence.
func TestServicesDrawDifferently(t *testing.T) {
	b := &Balancer{Seed: 1}
	if b.group("prices").rng.Uint64() == b.group("orders").rng.Uint64() {
		t.Error("two services draw the same random sequence")
	}
}
