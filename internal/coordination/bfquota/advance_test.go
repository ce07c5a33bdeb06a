package bfquota

import (
	"fmt"
	"testing"
	"time"

	"briarferry"
)

// TestAdvancesOfAllEntries guards against parts of the tolerance that add up to more than it, and
// against requests in advance before the entries are known or without an owner.
func TestAdvancesOfAllEntries(t *testing.T) {
	tolerance := Tolerance{Window: 5 * time.Second, Share: 0.1, Requests: 20}
	for _, entries := range []int{1, 7, 22, 113} {
		var names []string
		for i := range entries {
			names = append(names, fmt.Sprint("entry-", i))
		}
		for _, rate := range []float64{1, 5, 60, 900} {
			quota := briarferry.Quota{Rate: rate, Burst: rate}
			sum := 0
			for _, name := range names {
				h := &Holder{Entry: name, Tolerance: tolerance}
				if n, _ := h.maxAdvances(time.Minute, Key("o"), quota); n != 0 {
					t.Fatalf("%d requests in advance before the entries are known", n)
				}
				h.SetEntries(time.Minute, names)
				if n, _ := h.maxAdvances(time.Minute+settledTime/2, Key("o"), quota); n != 0 {
					t.Fatalf("%d requests in advance while the list grows", n)
				}
				n, _ := h.maxAdvances(time.Minute+settledTime, Key("o"), quota)
				sum += n
			}
			if got, want := sum, int(tolerance.tokens(quota)); got != min(want, maxWaiting*entries) {
				t.Errorf("%d entries, %v/s: parts of %d requests, want %d", entries, rate, got, want)
			}
		}
	}
	h := &Holder{Entry: "entry-0", Tolerance: tolerance}
	h.SetEntries(0, []string{"entry-0"})
	h.SetQuotas(map[string]briarferry.Quota{"o": {Rate: 10, Burst: 10}})
	now := time.Minute
	if token, _, _ := h.Acquire(func() time.Duration { return now }, "o"); token != nil {
		t.Error("a request was admitted in advance without an owner")
	}
}

// TestRemovedQuota guards against a request that waits for a token of a quota that was removed
// after the request had found it.
func TestRemovedQuota(t *testing.T) {
	h := &Holder{Entry: "entry-0"}
	h.SetQuotas(map[string]briarferry.Quota{"o": {Rate: 10, Burst: 10}})
	state := (*h.limited.Load())["o"]
	h.SetQuotas(nil)
	clock := func() time.Duration { return time.Minute }
	if token, waiter, refusal, _ := state.acquire(time.Minute, clock); token != nil || waiter != nil || refusal != nil {
		t.Errorf("token %v, waiter %v, refusal %v; want none", token, waiter, refusal)
	}
}
