package bfentry

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"briarferry"
)

// refusingClaims is a Claimer whose Refuse gives a configured reply and counts its calls.
type refusingClaims struct {
	MemoryClaims
	reply    briarferry.ClaimReply
	err      error
	refusals int
}

func (r *refusingClaims) Refuse(context.Context, briarferry.Claim) (briarferry.ClaimReply, error) {
	r.refusals++
	return r.reply, r.err
}

// TestPlacementRefusal guards against the outcome "not run" for a request with an
// idempotency key that an earlier attempt may have run. Only a recorded refusal shows
// that no attempt ran.
func TestPlacementRefusal(t *testing.T) {
	answer := &briarferry.Answer{Status: http.StatusOK}
	for name, c := range map[string]struct {
		key      string
		reply    briarferry.ClaimReply
		err      error
		want     briarferry.Outcome
		refusals int
	}{
		"no key":                      {want: briarferry.OutcomeNotRun},
		"recorded":                    {key: "k", reply: briarferry.ClaimReply{Result: briarferry.ClaimReleased}, want: briarferry.OutcomeNotRun, refusals: 1},
		"held":                        {key: "k", reply: briarferry.ClaimReply{Result: briarferry.ClaimHeld}, want: briarferry.OutcomeUnknown, refusals: 1},
		"no leader":                   {key: "k", err: errors.New("no leader"), want: briarferry.OutcomeUnknown, refusals: 1},
		"completed":                   {key: "k", reply: briarferry.ClaimReply{Result: briarferry.ClaimCompleted, Answer: answer}, refusals: 1},
		"completed without an answer": {key: "k", reply: briarferry.ClaimReply{Result: briarferry.ClaimCompleted}, want: briarferry.OutcomeUnknown, refusals: 1},
	} {
		t.Run(name, func(t *testing.T) {
			claims := &refusingClaims{reply: c.reply, err: c.err}
			p := &Pipeline{Claims: claims, Counters: &Counters{}}
			r := &briarferry.Request{Service: testService, Key: c.key, Deadline: time.Now().Add(time.Minute)}
			a, err := p.Refuse(t.Context(), briarferry.Service{Name: testService}, r, briarferry.Lease{})
			var refusal *briarferry.Refusal
			switch {
			case c.want == "" && (a != answer || err != nil):
				t.Errorf("got %v and %v, want the recorded answer", a, err)
			case c.want != "" && (!errors.As(err, &refusal) || refusal.Outcome != c.want):
				t.Errorf("got %v, want %s", err, c.want)
			}
			if claims.refusals != c.refusals {
				t.Errorf("%d calls of Refuse, want %d", claims.refusals, c.refusals)
			}
		})
	}
}
