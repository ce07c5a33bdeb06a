package bfadmission

import (
	"math"
	"slices"
	"time"

	"briarferry"
)

const (
	// creditWindow bounds the credit that a class saves while it is idle, so that
	// its return does not lock out the more urgent classes for longer.
	creditWindow = 500 * time.Millisecond
	// settleTime is how long demand must last until the held slots show what the
	// service can give: slots are granted after a round trip between the most
	// distant regions, and lie with other entries until their leases end.
	settleTime = 300 * time.Millisecond
	// settledFor is how long held slots count as settled after such a time, so that
	// a queue that runs empty now and then doesn't start anew each time.
	settledFor = 2 * time.Second
	// unknownWait is the estimate of a class that gets nothing at present.
	unknownWait = time.Hour
)

type (
	// waiter is a request in the queue.
	waiter struct {
		ticket   briarferry.Ticket
		sequence uint64
		granted  chan *slot
	}

	// class is the part of a queue that belongs to one priority class.
	class struct {
		urgency int
		floor   float64
		// waiting is sorted by deadline, latest first: the head is the last element.
		waiting []*waiter
		// credit is the slot time, in seconds, that the floor has earned.
		credit float64
		// used is the slot time that the class was given per second.
		used rate
		// refused is the rate of requests that found no capacity.
		refused rate
	}

	// queue holds the waiting requests of one service. It has no clock and no lock.
	queue struct {
		classes  []*class
		estimate estimate
		capacity int
		// slots is the number of slots of the whole service, or 0 where unknown.
		slots    int
		accrued  time.Time
		sequence uint64
		// busySince is when the demand began; it is zero without demand.
		busySince    time.Time
		settledUntil time.Time
	}
)

// class returns the part for a priority class, most urgent first in the list.
func (q *queue) class(c briarferry.PriorityClass) *class {
	i, ok := slices.BinarySearchFunc(q.classes, c.Urgency, func(e *class, urgency int) int {
		return e.urgency - urgency
	})
	if !ok {
		q.classes = slices.Insert(q.classes, i, &class{urgency: c.Urgency})
	}
	q.classes[i].floor = c.FloorShare
	return q.classes[i]
}

func (q *queue) push(w *waiter) {
	q.sequence++
	w.sequence = q.sequence
	c := q.class(w.ticket.Class)
	i, _ := slices.BinarySearchFunc(c.waiting, w, later)
	c.waiting = slices.Insert(c.waiting, i, w)
}

// remove takes a waiter out; it is false where the waiter has left before.
func (q *queue) remove(w *waiter) bool {
	c := q.class(w.ticket.Class)
	i, ok := slices.BinarySearchFunc(c.waiting, w, later)
	if ok {
		c.waiting = slices.Delete(c.waiting, i, i+1)
	}
	return ok
}

func later(a, b *waiter) int {
	if d := b.ticket.Deadline.Compare(a.ticket.Deadline); d != 0 {
		return d
	}
	switch {
	case a.sequence > b.sequence:
		return -1
	case a.sequence < b.sequence:
		return 1
	}
	return 0
}

// accrue adds the credit that the floors have earned since the last call.
func (q *queue) accrue(now time.Time) {
	elapsed := now.Sub(q.accrued).Seconds()
	if q.accrued.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	q.accrued = now
	for _, c := range q.classes {
		earned := q.floorRate(c)
		limit := math.Max(q.estimate.holding(0), earned*creditWindow.Seconds())
		if n := len(c.waiting); n > 0 {
			limit = math.Max(limit, q.estimate.holding(c.waiting[n-1].ticket.Expected))
		}
		c.credit = math.Min(c.credit+earned*elapsed, math.Max(limit, c.credit))
	}
}

// floorRate returns the slot time per second that the class keeps in a flood.
func (q *queue) floorRate(c *class) float64 {
	share := c.floor
	if share > 0 && q.slots > 0 {
		share = math.Min(0.5, math.Max(share, 1/float64(q.slots)))
	}
	return share * float64(q.capacity)
}

// next returns the head of the class whose turn it is, without removing it: the
// most urgent class with enough credit for a request, else the most urgent one.
func (q *queue) next() (*class, *waiter) {
	var first *class
	for _, c := range q.classes {
		n := len(c.waiting)
		if n == 0 {
			continue
		}
		if first == nil {
			first = c
		}
		if q.floorRate(c) > 0 && c.credit >= q.estimate.holding(c.waiting[n-1].ticket.Expected) {
			return c, c.waiting[n-1]
		}
	}
	if first == nil {
		return nil, nil
	}
	return first, first.waiting[len(first.waiting)-1]
}

// charge books the slot time that a started request is expected to take.
func (q *queue) charge(now time.Time, c *class, expected time.Duration) float64 {
	v := q.estimate.holding(expected)
	c.used.add(now, v)
	// Time that was not earned comes from spare capacity and leaves no debt.
	if c.credit > 0 {
		c.credit = math.Max(0, c.credit-v)
	}
	return v
}

// settle corrects the charge of a request that has ended.
func (q *queue) settle(now time.Time, c *class, charged float64, held time.Duration) {
	extra := held.Seconds() - charged
	c.used.add(now, extra)
	limit := q.floorRate(c) * creditWindow.Seconds()
	c.credit = math.Max(-limit, c.credit-extra)
}

// wait estimates how long a new ticket would wait for a slot.
func (q *queue) wait(now time.Time, t briarferry.Ticket) time.Duration {
	if q.capacity == 0 {
		// The reported demand may bring slots within a heartbeat.
		return 0
	}
	own := q.class(t.Class)
	hold := q.estimate.holding(t.Expected)
	i, _ := slices.BinarySearchFunc(own.waiting, &waiter{ticket: t, sequence: q.sequence + 1}, later)
	ahead := float64(len(own.waiting) - i)
	higher, rest := 0.0, float64(q.capacity)
	for _, c := range q.classes {
		switch {
		case c.urgency < own.urgency:
			higher += float64(len(c.waiting))
			rest -= c.used.read(now)
		case c.urgency > own.urgency && len(c.waiting) > 0:
			rest -= q.floorRate(c)
		}
	}
	seconds := math.Inf(1)
	if rest > 0 {
		seconds = hold*(1+higher)/float64(q.capacity) + hold*ahead/rest
	}
	if floor := q.floorRate(own); floor > 0 {
		byFloor := hold/float64(q.capacity) + math.Max(0, (ahead+1)*hold-own.credit)/floor
		seconds = math.Min(seconds, byFloor)
	}
	if seconds > unknownWait.Seconds() {
		return unknownWait
	}
	return time.Duration(seconds * float64(time.Second))
}

// settled tells whether the held slots are all that the entry gets for its demand.
// Before that an estimate from them would refuse the first requests after a pause.
func (q *queue) settled(now time.Time) bool {
	if q.slots > 0 && q.capacity >= q.slots {
		return true
	}
	if !q.busySince.IsZero() && now.Sub(q.busySince) >= settleTime {
		q.settledUntil = now.Add(settledFor)
	}
	return now.Before(q.settledUntil)
}

// waiters returns the number of waiting requests.
func (q *queue) waiters() int {
	n := 0
	for _, c := range q.classes {
		n += len(c.waiting)
	}
	return n
}

// demand returns how many requests of each urgency look for a slot, counting
// those refused lately for lack of slots.
func (q *queue) demand(now time.Time) map[int]int {
	d := make(map[int]int, len(q.classes))
	for _, c := range q.classes {
		refused := c.refused.read(now) * rateWindow.Seconds()
		if n := len(c.waiting) + int(math.Round(refused)); n > 0 {
			d[c.urgency] = n
		}
	}
	return d
}
