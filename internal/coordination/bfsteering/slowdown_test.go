package bfsteering

import (
	"testing"
	"time"

	"briarferry"
)

// TestReportedSlowdown guards against sending a temporarily slow server as many requests as
// the others, against using an old report, and against avoiding the server for seconds after
// its slowdown has ended.
func TestReportedSlowdown(t *testing.T) {
	f := newFleet(t, 1, map[string]int{"r1-a": 2}, 8)
	s := f.steering[0]
	v := s.service("prices")
	slow, other := v.servers[0], v.servers[1]
	m := v.routeModel("read")
	for range minMeasuredSamples {
		m.warm.add(warmTime)
		m.cold.add(warmTime)
		m.all.add(warmTime)
	}
	report := func(slowdown float64) {
		slow.othersLoad, slow.loadReportedAt, slow.reportedSlowdown = 0, f.now, slowdown
	}
	choose := func() *Try {
		r := request("")
		try, err := s.Choose(f.now, r)
		if err != nil {
			t.Fatal(err)
		}
		return try
	}
	report(2.5)
	try := choose()
	if try.server != other {
		t.Error("a request went to the server that just reported a slowdown")
	}
	try.Done(f.now, Report{Outcome: Cancelled})
	if got := slow.currentSlowdown(f.now.Add(2 * time.Second)); got > 1.01 {
		t.Errorf("2 s after the report the slowdown counts as %.2f", got)
	}
	for _, invalid := range []float64{0, -1, 1e9} {
		report(briarferry.ServerLoad{}.WithSlowdown(invalid).Slowdown)
		if got := slow.currentSlowdown(f.now); got != 1 {
			t.Errorf("a report of %v counts as a slowdown of %.2f", invalid, got)
		}
	}
	// An answer that took long because of a reported slowdown.
	report(0)
	other.Draining = true
	try = choose()
	f.now = f.now.Add(3 * warmTime)
	try.Done(f.now, Report{Outcome: Answered, HasLoad: true, Load: briarferry.ServerLoad{Slots: 8, Slowdown: 3}})
	if got := slow.slowness.get(f.now, slownessHalfLife); got != 0 {
		t.Errorf("a temporary slowdown counts as a slowness of %.2f", got)
	}
}
