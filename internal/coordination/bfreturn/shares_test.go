package bfreturn

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// lateRound plays requests for late placements with the given capacity a second for 4 s, after
// a time with enough room in which the usual rates are learned. It returns the placements of
// each organisation and urgency in the last second. Rates are in requests a second.
func lateRound(usual, demand []int, urgencies []int, capacity int) []int {
	r, got := &Room{}, make([]int, len(demand))
	caller := func(i int) Caller {
		return Caller{Organisation: fmt.Sprint("org-", i), Urgency: urgencies[i], Remaining: time.Second}
	}
	random := rand.New(rand.NewPCG(1, 2))
	free := 0
	for ms := range 64_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		rates, short := usual, ms >= 60_000
		if short {
			rates = demand
			free = min(2, free+b2i(ms%(1000/capacity) == 0))
		}
		for _, i := range random.Perm(len(rates)) {
			if random.Float64() > float64(rates[i])/1000 {
				continue
			}
			c := caller(i)
			r.Arrive(now, c)
			if !short {
				continue
			}
			if d := r.DecideLate(now, c, free > 0); d != Admitted {
				r.Refuse(now, c, Refusal{Decision: d})
				continue
			}
			free--
			if ms >= 61_000 {
				got[i]++
			}
		}
	}
	return got
}

// TestFairShares guards against an organisation that takes the late placements of the others
// by sending several times its usual, and against placements that nobody gets although
// somebody wants them.
func TestFairShares(t *testing.T) {
	ten, one := make([]int, 10), make([]int, 10)
	for i := range ten {
		ten[i], one[i] = 40, 40
	}
	one[0] = 300
	got := lateRound(ten, one, make([]int, 10), 100)
	total := 0
	for _, n := range got {
		total += n
	}
	t.Log(got)
	// Nine others want 40 each of 100 placements a second, so that each has a tenth.
	if share := float64(got[0]) / float64(total); share > 0.2 {
		t.Errorf("the organisation at 7.5 times has %.2f of the late placements: %v", share, got)
	}
}

// TestUnusedSharesAreTaken guards against late placements that nobody gets although one
// organisation wants them.
func TestUnusedSharesAreTaken(t *testing.T) {
	s, tick := &shares{}, int64(0)
	refused := 0
	for ; tick < 100; tick++ {
		for range 10 {
			s.ask(tick, "heavy")
			if !s.mayTake(tick, "heavy") {
				refused++
				continue
			}
			s.take(tick, "heavy")
		}
		s.ask(tick, "light")
		s.take(tick, "light")
	}
	if refused > 0 {
		t.Errorf("%d of 1000 requests refused although the other organisation has all it wants", refused)
	}
}

// TestOtherServers guards against an organisation that is held to its share for the sake of
// another one that can't use the room, as its home regions have other servers.
func TestOtherServers(t *testing.T) {
	s, taken := &shares{}, 0
	for tick := range int64(300) {
		for range 10 {
			s.ask(tick, "here")
			s.ask(tick, "elsewhere")
			if s.mayTake(tick, "here") {
				s.take(tick, "here")
				taken++
			}
		}
	}
	if taken < 2400 {
		t.Errorf("%d of 3000 placements taken, want four fifths", taken)
	}
}

// TestWeights guards against equal shares for organisations whose usual rates differ.
func TestWeights(t *testing.T) {
	got := lateRound([]int{80, 20}, []int{400, 400}, []int{0, 0}, 100)
	t.Log(got)
	if ratio := float64(got[0]) / float64(max(1, got[1])); math.Abs(ratio-4) > 1.5 {
		t.Errorf("placements %v, want a ratio of about 4", got)
	}
}

// TestManyOrganisations guards against memory that grows with the organisations, and a heavy
// one that isn't counted by name.
func TestManyOrganisations(t *testing.T) {
	s := &shares{}
	for i := range 20_000 {
		tick := int64(i / 1000)
		s.ask(tick, "heavy")
		s.ask(tick, fmt.Sprint("light-", i%5000))
	}
	if len(s.named) > maxNamed || s.named["heavy"] == nil || s.named["heavy"].asked.sum(19) < 9000 {
		t.Errorf("%d organisations, heavy one: %v", len(s.named), s.named["heavy"])
	}
}

// TestUrgencyFloor guards against less urgent requests that take the late placements while
// more urgent ones are refused, and against urgencies that get none at all.
func TestUrgencyFloor(t *testing.T) {
	got := lateRound([]int{10, 10}, []int{200, 200}, []int{0, 2}, 100)
	t.Log(got)
	share := float64(got[1]) / float64(got[0]+got[1])
	if share < 0.08 || share > 0.2 {
		t.Errorf("the less urgent have %.2f of the late placements, want about a tenth: %v", share, got)
	}
}
