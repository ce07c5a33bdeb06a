package bfplacement

import (
	"bytes"
	"maps"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"briarferry/internal/state/bfcodec"
)

func inFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.startUp()
		f.run(30)
		if v := f.agents["a1"].Selector.Version(); v == 0 {
			t.Fatal("no assignment after 30 s")
		}
		if f.refused != [3]int{} {
			t.Fatalf("refused %v requests by class although all demand fits", f.refused)
		}
		test(t, f)
	})
}

// TestRegionLoss guards against shifts that exceed the cap or overload a region when
// another region is lost or returns, and against refusing urgent requests before others.
func TestRegionLoss(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.setRegion("b", true)
		lost := len(f.served)
		f.run(150)
		f.checkShifts(t, lost)
		if f.refused[0] > f.refused[1] || f.refused[1] > f.refused[2] || f.refused[2] == 0 {
			t.Errorf("refused by class %v, want most refusals in the least urgent class", f.refused)
		}
		if at := f.served[len(f.served)-1]; at["a"]+at["c"] < 53 {
			t.Errorf("150 s after the loss %.1f of 54 slots are served", at["a"]+at["c"])
		}
		returned := len(f.served)
		f.setRegion("b", false)
		f.run(150)
		f.checkShifts(t, returned)
		if at := f.served[len(f.served)-1]; at["b"] < 4 {
			t.Errorf("150 s after its return region b serves %.1f slots", at["b"])
		}
	})
}

// checkShifts compares each second's load with the load one shift interval earlier.
func (f *fleet) checkShifts(t *testing.T, from int) {
	t.Helper()
	limit := fleetSlots*f.cfg.Limits.ShiftCapShare + 1e-6
	interval := int(f.cfg.Limits.ShiftInterval.Std().Seconds())
	for i := from; i < len(f.served); i++ {
		for region, load := range f.served[i] {
			if before := f.served[i-interval][region]; load-before > limit {
				t.Errorf("second %d: region %s went from %.1f to %.1f slots in one interval, cap %.1f", i, region, before, load, limit)
			}
			if load > fleetSlots {
				t.Errorf("second %d: region %s serves %.1f of %d", i, region, load, fleetSlots)
			}
		}
	}
}

// TestAdoption guards against a new leader that moves blocks without need, sends
// lower versions, or loses the home regions of moved blocks.
func TestAdoption(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		before, version := f.sites(), f.agents["a1"].Selector.Version()
		f.leader = nil
		f.run(5)
		if !maps.Equal(before, f.sites()) || f.agents["a1"].Selector.Version() != version {
			t.Fatal("entries changed their assignment without a leader")
		}
		f.elect(2)
		f.run(30)
		if !maps.Equal(before, f.sites()) {
			t.Error("a new leader moved blocks")
		}
		if v := f.agents["c2"].Selector.Version(); v < 2<<termShift {
			t.Errorf("version %d is not from the new term", v)
		}
		for i, b := range f.leader.blocks {
			if _, region := f.caller(int(b.prefix.Addr().As4()[2])); f.cfg.Regions[b.homeRegion].Name != region {
				t.Errorf("block %d: home %s, want %s", i, f.cfg.Regions[b.homeRegion].Name, region)
			}
		}
	})
}

// TestStaleMeasurements guards against treating a region without fresh measurements as
// idle: nothing may shift to a region whose entries send no reports.
func TestStaleMeasurements(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		for _, name := range []string{"c1", "c2"} {
			f.unreachable[name] = true
		}
		f.run(4)
		at, load := len(f.served), f.served[len(f.served)-1]["c"]
		f.setRegion("b", true)
		f.run(60)
		for i, s := range f.served[at:] {
			if i > 2 && s["c"] > load+0.01 {
				t.Fatalf("second %d: region c without reports went from %.1f to %.1f slots", i, load, s["c"])
			}
		}
		sum, _ := f.leader.Summary()
		if sum.Regions[2].StaleSites != 2 || sum.Regions[2].Planned < Rate(load*900) {
			t.Errorf("summary of the region without reports: %+v, it had %.1f slots", sum.Regions[2], load)
		}
	})
}

// TestMissingDeltaBase guards against applying a delta to an assignment other than the
// one that it starts from: an entry that missed too many versions, or whose copy is
// damaged, must get the full assignment.
func TestMissingDeltaBase(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lagging := f.agents["a2"]
		f.unreachable["a2"] = true
		for i := 0; f.leader.published.versions[0].Version <= lagging.Selector.Version(); i++ {
			f.setRegion("b", i%2 == 0)
			f.run(10)
		}
		f.setRegion("b", true)
		fulls, deltas := lagging.FullAssignments.Load(), f.agents["a1"].Deltas.Load()
		f.unreachable["a2"] = false
		f.run(2)
		if lagging.FullAssignments.Load() != fulls+1 || deltas == 0 {
			t.Errorf("%d full assignments after missed versions, %d deltas at another entry", lagging.FullAssignments.Load()-fulls, deltas)
		}
		// Applying the next delta to a damaged copy gives a wrong checksum.
		damaged := *lagging.current
		damaged.ListIndex = append([]uint16(nil), damaged.ListIndex...)
		damaged.ListIndex[0] = (damaged.ListIndex[0] + 1) % uint16(len(damaged.Lists))
		lagging.current = &damaged
		f.setRegion("b", false)
		f.run(90)
		if lagging.RejectedAssignments.Load() == 0 || !bytes.Equal(lagging.current.Encode(), f.agents["a1"].current.Encode()) {
			t.Errorf("%d assignments rejected; the damaged copy was not replaced", lagging.RejectedAssignments.Load())
		}
	})
}

// TestMessageSizes guards against reports and replies that exceed the budget of
// 16 KB/s for each entry.
func TestMessageSizes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.startUp()
		var report, delta, fullReply, largest int
		f.onExchange = func(r Report, reply Reply) {
			a, _ := bfcodec.Marshal(r)
			b, _ := bfcodec.Marshal(reply)
			if r.Assignment == nil {
				report = max(report, len(a))
			}
			if reply.Delta != nil {
				delta = max(delta, len(b))
			} else {
				fullReply = max(fullReply, len(b))
			}
			largest = max(largest, len(a)+len(b))
		}
		f.run(30)
		f.setRegion("b", true)
		f.run(60)
		t.Logf("%d blocks: at most %d bytes for a report, %d for a delta, %d for a full assignment", fleetBlocks, report, delta, fullReply)
		m := &f.agents["a1"].Meter
		for i := range 2 * maxMeteredBlocks {
			m.CountRequest(netip.AddrFrom4([4]byte{20, byte(i >> 8), byte(i), 1}), i%3, time.Millisecond*time.Duration(1+i%50), true)
		}
		full := Report{Site: "a1", Region: "a", FailureDomain: "a1", Blocks: m.Read(time.Now(), 3).Blocks}
		data, err := bfcodec.Marshal(full)
		if err != nil || len(full.Blocks) != maxReportedBlocks || len(m.blocks) > maxMeteredBlocks {
			t.Errorf("%d blocks reported, %d metered: %v", len(full.Blocks), len(m.blocks), err)
		}
		t.Logf("report of %d blocks: %d bytes", len(full.Blocks), len(data))
		if largest > 16<<10 || len(data) > 16<<10 {
			t.Errorf("largest exchange has %d bytes, report of a full meter %d", largest, len(data))
		}
	})
}

// TestRegionAndLeaderLoss guards against load that shifts above the cap while there is no
// leader, and against a new leader that counts the lost region's demand as zero.
func TestRegionAndLeaderLoss(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lost := len(f.served)
		f.setRegion("b", true)
		f.leader = nil
		f.run(4)
		if at := f.served[len(f.served)-1]; at["a"]+at["c"] <= 36 || f.refused[0] >= f.refused[2] {
			t.Errorf("without a leader %.1f slots are served, refused %v", at["a"]+at["c"], f.refused)
		}
		f.elect(2)
		f.run(120)
		f.checkShifts(t, lost)
		if at := f.served[len(f.served)-1]; at["a"]+at["c"] < 53 {
			t.Errorf("120 s after the loss %.1f of 54 slots are served", at["a"]+at["c"])
		}
	})
}

// TestAdoptedDemand guards against a new leader that knows the demand of a lost region's
// blocks only from the callers that have come to other entries so far: it would move more
// of them in a step than the shift cap allows.
func TestAdoptedDemand(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		demand := func() map[netip.Prefix]Rate {
			out := map[netip.Prefix]Rate{}
			for _, b := range f.leader.blocks {
				out[b.prefix] = sumRates(b.demand)
			}
			return out
		}
		before := demand()
		f.setRegion("b", true)
		f.leader = nil
		f.elect(2)
		// The callers of region b send nothing until the new leader plans.
		f.startUp()
		if f.leader.planner == nil {
			t.Fatal("the new leader does not plan")
		}
		after, known := demand(), 0
		for p, want := range before {
			if after[p]*10 < want*8 {
				t.Errorf("block %v: demand %d after the change of leader, %d before", p, after[p], want)
			}
			if want > 0 {
				known++
			}
		}
		if known == 0 {
			t.Error("no block had any demand before the change of leader")
		}
	})
}

// BenchmarkCoordinator measures a planning step with the maximum number of blocks.
func BenchmarkCoordinator(b *testing.B) {
	f := newFleet(nil)
	for i, vm := range f.vms {
		r := Report{Site: vm.Name, Region: vm.Region, FailureDomain: vm.FailureDomain, RegionCapacity: 1 << 30}
		for j := range maxPlannedBlocks / len(f.vms) {
			p := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(20 + i), byte(j >> 8), byte(j), 0}), ipv4BlockBits)
			r.Blocks = append(r.Blocks, BlockReading{Prefix: p, Lookups: 1000, Demand: []Rate{300, 300, 300}})
		}
		if _, err := f.leader.Exchange(time.Now(), r); err != nil {
			b.Fatal(err)
		}
	}
	if err := f.leader.Tick(time.Now()); err != nil {
		b.Fatal(err)
	}
	now := time.Now()
	b.ReportMetric(float64(len(f.leader.blocks)), "blocks")
	for b.Loop() {
		now = now.Add(f.cfg.Limits.ShiftInterval.Std())
		for _, r := range f.leader.reports {
			r.measuredAt = now
		}
		if err := f.leader.Tick(now); err != nil {
			b.Fatal(err)
		}
	}
}
