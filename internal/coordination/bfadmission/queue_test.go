package bfadmission

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briarferry"
)

// TestMain sets the number of cases and a fixed seed of the differential test to make runs
// reproducible. The flags -rapid.checks and -rapid.seed override them.
func TestMain(m *testing.M) {
	const checks, seed = "3000", "20261204"
	_ = flag.Set("rapid.checks", checks)
	_ = flag.Set("rapid.seed", seed)
	fmt.Printf("rapid: %s cases with seed %s unless flags override them\n", checks, seed)
	os.Exit(m.Run())
}

// referenceQueue is an unsorted list that is fully scanned for every decision.
type referenceQueue struct {
	waiting []*waiter
	floors  map[int]float64
	credit  map[int]float64
}

func (r *referenceQueue) head(urgency int) *waiter {
	var best *waiter
	for _, w := range r.waiting {
		if w.ticket.Class.Urgency != urgency {
			continue
		}
		if best == nil || w.ticket.Deadline.Before(best.ticket.Deadline) ||
			w.ticket.Deadline.Equal(best.ticket.Deadline) && w.sequence < best.sequence {
			best = w
		}
	}
	return best
}

func (r *referenceQueue) next(hold float64) *waiter {
	for urgency := range 8 {
		if w := r.head(urgency); w != nil && r.floors[urgency] > 0 && r.credit[urgency] >= hold {
			return w
		}
	}
	for urgency := range 8 {
		if w := r.head(urgency); w != nil {
			return w
		}
	}
	return nil
}

func (r *referenceQueue) remove(w *waiter) {
	r.waiting = slices.DeleteFunc(r.waiting, func(e *waiter) bool { return e == w })
}

// TestQueueAgainstReference guards against waiters that are served out of order, lost or
// served twice: every decision must equal that of the reference queue.
func TestQueueAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hold = 0.02
		start := time.Unix(1000, 0)
		now := start
		q := &queue{capacity: rapid.IntRange(1, 9).Draw(t, "capacity")}
		ref := &referenceQueue{floors: map[int]float64{}, credit: map[int]float64{}}
		q.accrueCredit(now)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1, 2:
				urgency := rapid.IntRange(0, 3).Draw(t, "urgency")
				w := &waiter{ticket: briarferry.Ticket{
					Class:    briarferry.PriorityClass{Urgency: urgency, FloorShare: float64(urgency) * 0.1},
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "deadline")) * time.Second),
					Expected: time.Duration(hold * float64(time.Second)),
				}}
				q.push(w)
				ref.waiting = append(ref.waiting, w)
				ref.floors[urgency] = w.ticket.Class.FloorShare
			case 3:
				if len(ref.waiting) == 0 {
					continue
				}
				w := ref.waiting[rapid.IntRange(0, len(ref.waiting)-1).Draw(t, "removed")]
				if !q.remove(w) || q.remove(w) {
					t.Fatalf("waiter %d must be removed exactly once", w.sequence)
				}
				ref.remove(w)
			default:
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
				q.accrueCredit(now)
			}
			for _, c := range q.classes {
				ref.credit[c.urgency] = c.credit
			}
			c, w := q.next()
			if want := ref.next(hold); w != want {
				t.Fatalf("next waiter is %+v, want %+v", w, want)
			}
			if q.waiterCount() != len(ref.waiting) {
				t.Fatalf("%d waiters, want %d", q.waiterCount(), len(ref.waiting))
			}
			if w != nil && rapid.Bool().Draw(t, "serve") {
				q.charge(now, c, w.ticket.Expected)
				q.remove(w)
				ref.remove(w)
			}
		}
	})
}

// TestFloorCredit guards against credit that exceeds its limit or is less than the share of
// the class.
func TestFloorCredit(t *testing.T) {
	cases := []struct {
		name    string
		share   float64
		slots   int
		elapsed time.Duration
		want    float64
	}{
		{"share of the held slots", 0.1, 100, 200 * time.Millisecond, 0.2},
		{"at least one of the service's slots", 0.1, 5, 200 * time.Millisecond, 0.4},
		{"bounded while idle", 0.1, 100, time.Hour, 0.5},
		{"no floor", 0, 5, time.Second, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			q := &queue{capacity: 10, slots: tc.slots}
			c := q.class(briarferry.PriorityClass{Urgency: 1, FloorShare: tc.share})
			q.accrueCredit(now)
			q.accrueCredit(now.Add(tc.elapsed))
			if diff := c.credit - tc.want; diff > 1e-9 || diff < -1e-9 {
				t.Fatalf("credit %v, want %v", c.credit, tc.want)
			}
		})
	}
}
