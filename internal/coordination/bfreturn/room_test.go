package bfreturn

import (
	"fmt"
	"testing"
	"time"
	"unsafe"
)

var start = time.Unix(1000, 0)

// answered returns a room that had the given number of answers in time a second for 2 s.
func answered(rate int) *Room {
	r := &Room{}
	for i := range 2 * rate {
		r.Finish(start.Add(time.Duration(i)*time.Second/time.Duration(rate)), true)
	}
	return r
}

// TestReturnsAreSpread guards against callers refused in one moment that come back together,
// after more than a third of their time, or in greater number than there is room for, and
// against memory that grows with them.
func TestReturnsAreSpread(t *testing.T) {
	r, now := answered(100), start.Add(2*time.Second)
	caller := Caller{Remaining: 3 * time.Second}
	size := unsafe.Sizeof(*r)
	perTick, waits := map[int64]int{}, 0
	allocations := testing.AllocsPerRun(1, func() {
		for range 50_000 {
			wait, ok := r.Refuse(now, caller, Refusal{Decision: NoRoom, Need: 250 * time.Millisecond})
			if !ok || wait < MinWait || wait > time.Second {
				t.Fatalf("wait %v, %v", wait, ok)
			}
			waits++
		}
	})
	for tick := int64(20); tick < 31; tick++ {
		perTick[tick] = int(r.calendar.at(tick).booked)
		// A quarter of 100 requests a second are 2.5 in an interval.
		if perTick[tick] > 3 {
			t.Errorf("%d returns booked in interval %d, want at most 3", perTick[tick], tick)
		}
	}
	if booked := r.Counts.Booked; booked < 18 || booked > 26 {
		t.Errorf("%d returns booked in 0.9 s, want about 22", booked)
	}
	if waits != 100_000 || allocations > 10 || size > 16<<10 || len(r.shares.named) > maxNamed {
		t.Errorf("%d callers, %v allocations, %d bytes", waits, allocations, size)
	}
}

// TestReturnTimes guards against a time that servers didn't ask for, one at which the answer
// would miss the deadline, and a promise without knowledge of the room.
func TestReturnTimes(t *testing.T) {
	cases := []struct {
		name                 string
		rate                 int
		remaining, notBefore time.Duration
		need, least, most    time.Duration
		known                bool
		inFlight             int
	}{
		{"room soon", 100, 3 * time.Second, 0, 250 * time.Millisecond, MinWait, 300 * time.Millisecond, true, 0},
		{"queue of 1.1 s", 100, 3 * time.Second, 0, 250 * time.Millisecond, 500 * time.Millisecond, 750 * time.Millisecond, true, 110},
		{"queue of 5 s", 100, 3 * time.Second, 0, 250 * time.Millisecond, 750 * time.Millisecond, time.Second, true, 500},
		{"servers asked", 100, 3 * time.Second, 700 * time.Millisecond, 0, 700 * time.Millisecond, time.Second, true, 0},
		{"servers asked for long", 100, 3 * time.Second, 4 * time.Second, 0, 4 * time.Second, 4 * time.Second, true, 0},
		{"deadline", 100, time.Second, 0, 800 * time.Millisecond, MinWait, 200 * time.Millisecond, true, 0},
		{"no answer in time", 0, 3 * time.Second, 0, 250 * time.Millisecond, 750 * time.Millisecond, time.Second, true, 0},
		{"nothing known after an idle time", -2, 3 * time.Second, 0, 250 * time.Millisecond, 0, 0, false, 0},
		{"nothing known", -1, 3 * time.Second, 0, 250 * time.Millisecond, 0, 0, false, 0},
	}
	for _, c := range cases {
		for range 50 {
			r := answered(max(0, c.rate))
			switch c.rate {
			case 0:
				r.Finish(start.Add(time.Second), false)
			case -2:
				r.Finish(start.Add(-3*time.Second), true)
			}
			wait, known := r.Refuse(start.Add(2*time.Second), Caller{Remaining: c.remaining}, Refusal{Decision: Shed, Need: c.need, NotBefore: c.notBefore, Target: 600 * time.Millisecond, InFlight: c.inFlight})
			if wait < c.least || wait > c.most || known != c.known {
				t.Fatalf("%s: wait %v, %v", c.name, wait, known)
			}
		}
	}
}

// TestUrgentReturnFirst guards against urgent callers that find the early intervals taken by
// others.
func TestUrgentReturnFirst(t *testing.T) {
	r, now := answered(100), start.Add(2*time.Second)
	wait := [2]time.Duration{}
	for range 6 {
		for urgency := 1; urgency >= 0; urgency-- {
			c := Caller{Urgency: urgency, Remaining: 3 * time.Second}
			r.Arrive(now, c)
			got, _ := r.Refuse(now, c, Refusal{Decision: NoRoom})
			wait[urgency] += got
		}
	}
	if wait[0] >= wait[1]*2/3 {
		t.Errorf("urgent callers wait %v and others %v", wait[0]/6, wait[1]/6)
	}
}

// TestOnlyToldCallersArePreferred guards against callers that repeat at once and take the
// room of those that were told to come.
func TestOnlyToldCallersArePreferred(t *testing.T) {
	r, now := answered(100), start.Add(2*time.Second)
	r.Finish(now, true)
	wait, _ := r.Refuse(now, Caller{Remaining: 3 * time.Second}, Refusal{Decision: Shed, NotBefore: 700 * time.Millisecond})
	now = now.Add(wait)
	for range 10 {
		impatient := Caller{Remaining: 2900 * time.Millisecond, Arrival: Arrival{Returning: true}}
		if r.Arrive(now, impatient).Due {
			t.Fatal("a caller that repeats at once is preferred")
		}
	}
	patient := Caller{Remaining: 3*time.Second - wait - 20*time.Millisecond, Arrival: Arrival{Returning: true}}
	if before := r.LateLimits(now, false).Load(3, true); before >= 2 || r.LateLimits(now, true).Load(3, true) <= 3 {
		t.Errorf("late limit of new callers %v, of callers that are due %v", before, r.LateLimits(now, true).Load(3, true))
	}
	if free := r.LateLimits(now, false).Load(1, true); free != 1 {
		t.Errorf("new callers may use %v of the slots, want all", free)
	}
	if !r.Arrive(now, patient).Due || r.Arrive(now, patient).Due {
		t.Error("want one caller that is due")
	}
}

// TestAmpleRoom guards against rules that act without a shortage.
func TestAmpleRoom(t *testing.T) {
	r := answered(100)
	for i := range 1000 {
		c := Caller{Organisation: fmt.Sprint(i % 3), Urgency: i % 2, Remaining: time.Second}
		now := start.Add(2*time.Second + time.Duration(i)*time.Millisecond)
		r.Arrive(now, c)
		if d := r.DecideLate(now, c, true); d != Admitted || r.LateLimits(now, false).Load(3, true) != 3 {
			t.Fatalf("%v, limit %v", d, r.LateLimits(now, false).Load(3, true))
		}
	}
}

// TestFullTime guards against new callers that count as returning, and a long time that is
// remembered after a change of the route.
func TestFullTime(t *testing.T) {
	var f FullTime
	steps := []struct {
		at, remaining time.Duration
		want          bool
	}{
		{0, 3 * time.Second, false},
		{time.Second, 2980 * time.Millisecond, false},
		{2 * time.Second, 2900 * time.Millisecond, true},
		{12 * time.Second, 2 * time.Second, true},
		{25 * time.Second, 2 * time.Second, false},
		{60 * time.Second, time.Second, false},
	}
	for _, s := range steps {
		if got := f.Returning(start.Add(s.at), s.remaining); got != s.want {
			t.Errorf("at %v with %v left: returning %v", s.at, s.remaining, got)
		}
	}
}
