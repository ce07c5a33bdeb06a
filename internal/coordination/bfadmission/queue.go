package bfadmission

import (
	"math"
	"slices"
	"time"

	"briarferry"
)

const (
	// creditWindow limits the credit that a class accumulates while idle, so that its next
	// requests can't block the more urgent classes for longer than this.
	creditWindow = 500 * time.Millisecond
	// capacitySettleTime is how long demand must last until the held slots reflect what the
	// service can provide. Slots are granted after a round trip between the most distant
	// regions, and other entries keep theirs until their leases end.
	capacitySettleTime = 300 * time.Millisecond
	// settledDuration is how long the held slots then count as settled, so that the settle
	// time doesn't start again whenever the queue is briefly empty.
	settledDuration = 2 * time.Second
	// maxWaitEstimate is the upper limit of estimated waits. It is the estimate for a class
	// that currently gets no slots.
	maxWaitEstimate = time.Hour
)

type (
	// waiter is a queued request.
	waiter struct {
		ticket   briarferry.Ticket
		sequence uint64
		granted  chan *slot
	}

	// class is the queue of one priority class.
	class struct {
		urgency    int
		floorShare float64
		// waiting is sorted by deadline in descending order: the head is the last element.
		waiting []*waiter
		// credit is the slot time in seconds that the floor share has earned.
		credit float64
		// usage is the slot time granted to the class per second.
		usage decayingRate
		// refusals is the rate of requests refused for lack of capacity.
		refusals decayingRate
	}

	// queue holds the waiting requests of one service. Callers pass the time and hold the
	// mutex.
	queue struct {
		classes  []*class
		estimate slotEstimate
		capacity int
		// slots is the total number of slots of the service, or 0 if unknown.
		slots     int
		accruedAt time.Time
		sequence  uint64
		// demandSince is the time at which the demand began, or zero without demand.
		demandSince  time.Time
		settledUntil time.Time
	}
)

// class returns the queue of a priority class. q.classes is sorted from most to least
// urgent.
func (q *queue) class(c briarferry.PriorityClass) *class {
	i, ok := slices.BinarySearchFunc(q.classes, c.Urgency, func(e *class, urgency int) int {
		return e.urgency - urgency
	})
	if !ok {
		q.classes = slices.Insert(q.classes, i, &class{urgency: c.Urgency})
	}
	q.classes[i].floorShare = c.FloorShare
	return q.classes[i]
}

func (q *queue) push(w *waiter) {
	q.sequence++
	w.sequence = q.sequence
	c := q.class(w.ticket.Class)
	i, _ := slices.BinarySearchFunc(c.waiting, w, byDeadlineDescending)
	c.waiting = slices.Insert(c.waiting, i, w)
}

// remove removes a waiter and reports whether it was still in the queue.
func (q *queue) remove(w *waiter) bool {
	c := q.class(w.ticket.Class)
	i, ok := slices.BinarySearchFunc(c.waiting, w, byDeadlineDescending)
	if ok {
		c.waiting = slices.Delete(c.waiting, i, i+1)
	}
	return ok
}

// byDeadlineDescending orders waiters by descending deadline, and by descending sequence
// number if the deadlines are equal.
func byDeadlineDescending(a, b *waiter) int {
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

// accrueCredit adds the credit that the floor shares have earned since the last call.
func (q *queue) accrueCredit(now time.Time) {
	elapsed := now.Sub(q.accruedAt).Seconds()
	if q.accruedAt.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	q.accruedAt = now
	for _, c := range q.classes {
		earned := q.floorRate(c)
		limit := math.Max(q.estimate.holdSeconds(0), earned*creditWindow.Seconds())
		if n := len(c.waiting); n > 0 {
			limit = math.Max(limit, q.estimate.holdSeconds(c.waiting[n-1].ticket.Expected))
		}
		c.credit = math.Min(c.credit+earned*elapsed, math.Max(limit, c.credit))
	}
}

// floorRate returns the slot time per second that is guaranteed to the class under
// overload.
func (q *queue) floorRate(c *class) float64 {
	share := c.floorShare
	if share > 0 && q.slots > 0 {
		share = math.Min(0.5, math.Max(share, 1/float64(q.slots)))
	}
	return share * float64(q.capacity)
}

// next returns the head of the class to be served next, without removing it. This class is
// the most urgent one whose credit covers the slot time of its head or, if there is none,
// the most urgent class with a waiter.
func (q *queue) next() (*class, *waiter) {
	var mostUrgent *class
	for _, c := range q.classes {
		n := len(c.waiting)
		if n == 0 {
			continue
		}
		if mostUrgent == nil {
			mostUrgent = c
		}
		if q.floorRate(c) > 0 && c.credit >= q.estimate.holdSeconds(c.waiting[n-1].ticket.Expected) {
			return c, c.waiting[n-1]
		}
	}
	if mostUrgent == nil {
		return nil, nil
	}
	return mostUrgent, mostUrgent.waiting[len(mostUrgent.waiting)-1]
}

// charge deducts the slot time that a started request is expected to take.
func (q *queue) charge(now time.Time, c *class, expected time.Duration) float64 {
	v := q.estimate.holdSeconds(expected)
	c.usage.add(now, v)
	// Slot time beyond the credit comes from spare capacity and causes no debt.
	if c.credit > 0 {
		c.credit = math.Max(0, c.credit-v)
	}
	return v
}

// correctCharge corrects the charge of a finished request to its actual slot time.
func (q *queue) correctCharge(now time.Time, c *class, charged float64, held time.Duration) {
	extra := held.Seconds() - charged
	c.usage.add(now, extra)
	limit := q.floorRate(c) * creditWindow.Seconds()
	c.credit = math.Max(-limit, c.credit-extra)
}

// estimateWait estimates how long a new ticket would wait for a slot.
func (q *queue) estimateWait(now time.Time, t briarferry.Ticket) time.Duration {
	if q.capacity == 0 {
		// The reported demand may bring slots within one heartbeat interval.
		return 0
	}
	own := q.class(t.Class)
	holdSeconds := q.estimate.holdSeconds(t.Expected)
	i, _ := slices.BinarySearchFunc(own.waiting, &waiter{ticket: t, sequence: q.sequence + 1}, byDeadlineDescending)
	ahead := float64(len(own.waiting) - i)
	moreUrgent, available := 0.0, float64(q.capacity)
	for _, c := range q.classes {
		switch {
		case c.urgency < own.urgency:
			moreUrgent += float64(len(c.waiting))
			available -= c.usage.read(now)
		case c.urgency > own.urgency && len(c.waiting) > 0:
			available -= q.floorRate(c)
		}
	}
	seconds := math.Inf(1)
	if available > 0 {
		seconds = holdSeconds*(1+moreUrgent)/float64(q.capacity) + holdSeconds*ahead/available
	}
	if floor := q.floorRate(own); floor > 0 {
		floorWait := holdSeconds/float64(q.capacity) + math.Max(0, (ahead+1)*holdSeconds-own.credit)/floor
		seconds = math.Min(seconds, floorWait)
	}
	if seconds > maxWaitEstimate.Seconds() {
		return maxWaitEstimate
	}
	return time.Duration(seconds * float64(time.Second))
}

// capacitySettled reports whether the held slots are all that the entry will get for its
// demand. Before that, an estimate based on them would refuse the first requests after an
// idle period.
func (q *queue) capacitySettled(now time.Time) bool {
	if q.slots > 0 && q.capacity >= q.slots {
		return true
	}
	if !q.demandSince.IsZero() && now.Sub(q.demandSince) >= capacitySettleTime {
		q.settledUntil = now.Add(settledDuration)
	}
	return now.Before(q.settledUntil)
}

func (q *queue) waiterCount() int {
	n := 0
	for _, c := range q.classes {
		n += len(c.waiting)
	}
	return n
}

// demand returns how many requests of each urgency need a slot, including those recently
// refused for lack of slots.
func (q *queue) demand(now time.Time) map[int]int {
	d := make(map[int]int, len(q.classes))
	for _, c := range q.classes {
		refused := c.refusals.read(now) * rateWindow.Seconds()
		if n := len(c.waiting) + int(math.Round(refused)); n > 0 {
			d[c.urgency] = n
		}
	}
	return d
}
