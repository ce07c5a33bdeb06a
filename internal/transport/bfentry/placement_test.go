package bfentry

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"briarferry"
)

// testRefuser answers a refusal as told.
type testRefuser struct {
	MemoryClaims
	reply briarferry.ClaimReply
	err   error
	asked int
}

func (r *testRefuser) Refuse(context.Context, briarferry.Claim) (briarferry.ClaimReply, error) {
	r.asked++
	return r.reply, r.err
}

// TestPlacementRefusal guards against "not run" for a keyed request that an earlier
// attempt may have run: only a recorded refusal shows that none did.
func TestPlacementRefusal(t *testing.T) {
	answer := &briarferry.Answer{Status: http.StatusOK}
	for name, c := range map[string]struct {
		key   string
		reply briarferry.ClaimReply
		err   error
		want  briarferry.Outcome
		asked int
	}{
		"no key":    {want: briarferry.OutcomeNotRun},
		"recorded":  {key: "k", reply: briarferry.ClaimReply{Result: briarferry.ClaimReleased}, want: briarferry.OutcomeNotRun, asked: 1},
		"held":      {key: "k", reply: briarferry.ClaimReply{Result: briarferry.ClaimHeld}, want: briarferry.OutcomeUnknown, asked: 1},
		"lost":      {key: "k", err: errors.New("no leader"), want: briarferry.OutcomeUnknown, asked: 1},
		"completed": {key: "k", reply: briarferry.ClaimReply{Result: briarferry.ClaimCompleted, Answer: answer}, asked: 1},
		"ran":       {key: "k", reply: briarferry.ClaimReply{Result: briarferry.ClaimCompleted}, want: briarferry.OutcomeUnknown, asked: 1},
	} {
		t.Run(name, func(t *testing.T) {
			claims := &testRefuser{reply: c.reply, err: c.err}
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
			if claims.asked != c.asked {
				t.Errorf("%d refusals recorded, want %d", claims.asked, c.asked)
			}
		})
	}
}
