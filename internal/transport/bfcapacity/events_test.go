package bfcapacity

import "testing"

// TestEventsEnd guards against events on the page that never end, or that break the
// shift cap.
func TestEventsEnd(t *testing.T) {
	events, err := Events(9000)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range events {
		if !e.Ended || e.PeakShift > 0.05 {
			t.Errorf("%+v", e)
		}
	}
}

// TestPlannerBeatsNearest guards against a planner that goes past limits, or that
// pays for it with more delay than the limits need.
func TestPlannerBeatsNearest(t *testing.T) {
	results, err := ComparePolicies(9000)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(results); i += 2 {
		planned, nearest := results[i], results[i+1]
		if planned.Over > 0 || planned.PeakMoved > 0.05 || planned.Over > nearest.Over || planned.Delay > nearest.Delay+20 {
			t.Errorf("%+v against %+v", planned, nearest)
		}
	}
}
