package bfrpc

import (
	"testing"
	"testing/synctest"

	"briarferry"
)

// TestRecordedInvalidStatus guards against a client that reports a completed claim as
// unreachable, as an earlier build recorded an answer whose status no answer has.
func TestRecordedInvalidStatus(t *testing.T) {
	for _, status := range []int{-1, 0, 99, 600, 999} {
		synctest.Test(t, func(t *testing.T) {
			g := newFakeGroup(3)
			g.elect(0)
			c := g.client()
			claim := briarferry.Claim{Service: "orders", Key: "k", Token: "a"}
			if r, err := c.Claim(t.Context(), claim); err != nil || r.Result != briarferry.ClaimGranted {
				t.Fatalf("%+v, %v", r, err)
			}
			if err := c.Complete(t.Context(), claim, briarferry.Answer{Status: status}); err != nil {
				t.Fatal(err)
			}
			claim.Token = "b"
			r, err := c.Claim(t.Context(), claim)
			if err != nil || r.Result != briarferry.ClaimCompleted || r.Answer == nil || r.Answer.Status != status {
				t.Errorf("recorded status %d: %+v, %v", status, r, err)
			}
		})
	}
}
