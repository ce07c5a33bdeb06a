package bfplan

import (
	"net/netip"
	"testing"
	"time"
)

// TestCollector guards against reports that are outdated, count for too long, or are for
// another list of regions, and against lost servers that only entries have noticed.
func TestCollector(t *testing.T) {
	regions := []string{"r1", "r2"}
	now := time.Unix(1000, 0)
	report := func(entry string, region uint8, sequence uint64, usable uint8) *Report {
		return &Report{
			Entry: entry, Gossip: netip.MustParseAddrPort("10.0.0.1:1"), Incarnation: 1, Sequence: sequence, RegionSet: RegionSet(regions), Region: region,
			RTTMillis: []uint16{0, 110},
			Rows:      []ReportRow{{Service: "s", Rate: 50, Fixed: []uint32{0, 20}, SlotMillis: 200, InForce: []uint16{750, 250}, UsablePercent: usable}},
		}
	}
	c := &Collector{Regions: regions}
	if !c.Add(now, report("a", 0, 5, 100)) || !c.Add(now, report("b", 0, 5, 40)) || !c.Add(now, report("c", 0, 5, 40)) || c.Add(now, report("a", 0, 4, 100)) {
		t.Error("accepted an old report, or refused a new one")
	}
	other := report("d", 0, 1, 100)
	other.RegionSet++
	if c.Add(now, other) {
		t.Error("accepted a report with other regions")
	}
	slots := map[string][]float64{"s": {10, 20}}
	o := c.Observe(now, slots)
	s := o.Services["s"]
	if s.Demand[0] != 15 || s.Fixed[1] != 6 || s.SlotTime != 200*time.Millisecond || s.Slots[0] != 4 || s.Slots[1] != 20 || s.InForce[0][1] != 0.25 || s.InForce[1] != nil {
		t.Errorf("observed %+v", s)
	}
	if o.RTT[1][0] != 110*time.Millisecond || !o.Heard[0] || o.Heard[1] {
		t.Errorf("observed %+v", o)
	}
	o = c.Observe(now.Add(ReportLifetime+1), slots)
	if s := o.Services["s"]; s.Demand[0] != 0 || o.Heard[0] {
		t.Errorf("reports count for too long: %+v", s)
	}
}
