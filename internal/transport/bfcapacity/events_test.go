package bfcapacity

import "testing"

// TestEventsRecover guards against simulated events from which the planner does not
// recover, or in which a shift exceeds the cap.
func TestEventsRecover(t *testing.T) {
	events, err := Events(9000)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range events {
		if !e.Recovered || e.MaxShift > 0.05 {
			t.Errorf("event did not recover or exceeded the shift cap: %+v", e)
		}
	}
}

// TestPlannerAgainstNearestSite guards against a planner that exceeds site limits or
// the shift cap, or whose mean delay exceeds that of the nearest-site policy by more than
// 20 ms.
func TestPlannerAgainstNearestSite(t *testing.T) {
	results, err := ComparePolicies(9000)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(results); i += 2 {
		planned, nearest := results[i], results[i+1]
		if planned.Overload > 0 || planned.MaxShift > 0.05 || planned.Overload > nearest.Overload || planned.MeanDelay > nearest.MeanDelay+20 {
			t.Errorf("planner %+v, nearest site %+v", planned, nearest)
		}
	}
}
