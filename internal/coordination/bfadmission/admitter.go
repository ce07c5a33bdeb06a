// Package bfadmission decides which waiting request gets the next slot of a
// service, and refuses at once those that can't be served in time.
package bfadmission

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"briarferry"
)

const (
	// ReasonDeadline refuses a request that can't be answered in time.
	ReasonDeadline = "deadline"
	// ReasonQueueFull refuses a request for which the queue has no room.
	ReasonQueueFull = "queue_full"
	// ReasonExpired refuses a request that waited until it was too late to start.
	ReasonExpired = "expired"
	// ReasonCancelled ends a request whose caller has left.
	ReasonCancelled = "cancelled"

	// StatusCancelled is never seen by a caller; it only marks the counters.
	StatusCancelled = 499

	defaultMaxWaiting = 1024
	// pollInterval bounds how long the queue sleeps where the pool gives no signal,
	// such as after the balancer passed over servers for a while.
	pollInterval = 20 * time.Millisecond
	// readInterval is how long the pool's sizes are used again: reading them visits
	// every server under the pool's lock, which all requests share.
	readInterval = time.Millisecond
)

type (
	// Admitter implements briarferry.Admitter. Its fields are set before use.
	Admitter struct {
		Pool briarferry.SlotPool
		// MaxWaiting bounds the waiting requests of a service and class; 0 means 1,024.
		MaxWaiting int
		// Slots returns the number of slots of a whole service; it may be nil.
		Slots func(service string) int

		services sync.Map
	}

	// service is the queue of one service with its lock.
	service struct {
		name  string
		admit *Admitter

		mu      sync.Mutex
		queue   queue
		pumping bool
		demand  map[int]int
		readAt  time.Time
	}

	// slot is a slot that was given to a request.
	slot struct {
		briarferry.Slot
		service *service
		class   *class
		started time.Time
		charged float64
		once    sync.Once
	}
)

// Acquire waits for a slot, or fails with a *briarferry.Refusal.
func (a *Admitter) Acquire(ctx context.Context, t briarferry.Ticket) (briarferry.Slot, error) {
	if ctx.Err() != nil {
		return nil, refusal(StatusCancelled, ReasonCancelled, 0)
	}
	s := a.service(t.Service)
	granted, w, err := s.enter(time.Now(), t)
	if err != nil {
		return nil, err
	}
	if granted != nil {
		return granted, nil
	}
	return s.await(ctx, w)
}

// Waiting returns the number of requests that wait for the service.
func (a *Admitter) Waiting(name string) int {
	s := a.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.waiters()
}

func (a *Admitter) service(name string) *service {
	if s, ok := a.services.Load(name); ok {
		return s.(*service)
	}
	s, _ := a.services.LoadOrStore(name, &service{name: name, admit: a})
	return s.(*service)
}

// enter takes a slot where nobody waits, joins the queue or refuses.
func (s *service) enter(now time.Time, t briarferry.Ticket) (*slot, *waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now)
	left := t.Deadline.Sub(now)
	needed := s.queue.estimate.needed(t.Expected)
	late := needed > left
	if left <= 0 || late && !s.queue.estimate.probe(now) {
		return nil, nil, s.refuse(now, t, ReasonDeadline, needed-left)
	}
	if s.queue.waiters() == 0 {
		if got := s.take(now, s.queue.class(t.Class), t); got != nil {
			return got, nil, nil
		}
	}
	if late {
		return nil, nil, s.refuse(now, t, ReasonDeadline, needed-left)
	}
	if wait := s.queue.wait(now, t); wait+needed > left && s.queue.settled(now) {
		return nil, nil, s.refuse(now, t, ReasonDeadline, wait)
	}
	if len(s.queue.class(t.Class).waiting) >= s.maxWaiting() {
		return nil, nil, s.refuse(now, t, ReasonQueueFull, time.Second)
	}
	w := &waiter{ticket: t, granted: make(chan *slot, 1)}
	s.queue.push(w)
	s.dispatch(now)
	return nil, w, nil
}

// await blocks until the waiter has a slot or leaves.
func (s *service) await(ctx context.Context, w *waiter) (briarferry.Slot, error) {
	s.mu.Lock()
	latest := w.ticket.Deadline.Add(-s.queue.estimate.needed(w.ticket.Expected))
	s.mu.Unlock()
	timer := time.NewTimer(time.Until(latest))
	defer timer.Stop()
	failure := refusal(http.StatusServiceUnavailable, ReasonExpired, time.Second)
	select {
	case got := <-w.granted:
		return granted(got)
	case <-timer.C:
	case <-ctx.Done():
		failure = refusal(StatusCancelled, ReasonCancelled, 0)
	}
	s.mu.Lock()
	left := s.queue.remove(w)
	s.report(time.Now())
	s.mu.Unlock()
	if left {
		return nil, failure
	}
	got := <-w.granted
	if got != nil && ctx.Err() != nil {
		got.Done(briarferry.TryReport{Cancelled: true})
		return nil, failure
	}
	return granted(got)
}

// granted turns the queue's decision into the result of Acquire.
func granted(got *slot) (briarferry.Slot, error) {
	if got == nil {
		return nil, refusal(http.StatusServiceUnavailable, ReasonExpired, time.Second)
	}
	return got, nil
}

// refresh reads the pool and adds credit. The lock is held.
func (s *service) refresh(now time.Time) {
	if s.queue.capacity == 0 || now.Sub(s.readAt) >= readInterval {
		s.readAt = now
		s.queue.capacity = s.admit.Pool.Capacity(s.name)
		if s.admit.Slots != nil {
			s.queue.slots = s.admit.Slots(s.name)
		}
	}
	s.queue.accrue(now)
}

// dispatch gives free slots to waiting requests. The lock is held.
func (s *service) dispatch(now time.Time) {
	for {
		c, w := s.queue.next()
		if w == nil {
			break
		}
		if w.ticket.Deadline.Sub(now) < s.queue.estimate.needed(w.ticket.Expected) {
			s.queue.remove(w)
			c.refused.add(now, 1)
			w.granted <- nil
			continue
		}
		got := s.take(now, c, w.ticket)
		if got == nil {
			break
		}
		s.queue.remove(w)
		w.granted <- got
	}
	s.report(now)
	if s.queue.waiters() > 0 && !s.pumping {
		s.pumping = true
		go s.pump()
	}
}

// pump dispatches when the pool signals a free slot, until nobody waits.
func (s *service) pump() {
	freed := s.admit.Pool.Freed(s.name)
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	for {
		select {
		case <-freed:
		case <-timer.C:
			timer.Reset(pollInterval)
		}
		if s.pumped(time.Now()) {
			return
		}
	}
}

// pumped runs one round of the pump and tells whether it was the last.
func (s *service) pumped(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now)
	s.dispatch(now)
	// The pump outlives the last waiter until the demand for refused requests has
	// faded, since nothing else withdraws it.
	if len(s.queue.demand(now)) > 0 {
		return false
	}
	s.pumping = false
	return true
}

// take asks the pool for a slot. The lock is held.
func (s *service) take(now time.Time, c *class, t briarferry.Ticket) *slot {
	inner, ok := s.admit.Pool.TryAcquire(s.name, t.Avoid)
	if !ok {
		return nil
	}
	return &slot{Slot: inner, service: s, class: c, started: now, charged: s.queue.charge(now, c, t.Expected)}
}

// report tells the pool what waits, where that has changed. The lock is held.
func (s *service) report(now time.Time) {
	d := s.queue.demand(now)
	switch {
	case len(d) == 0:
		s.queue.busySince = time.Time{}
	case s.queue.busySince.IsZero():
		s.queue.busySince = now
	}
	if !maps.Equal(d, s.demand) {
		s.demand = d
		s.admit.Pool.SetDemand(s.name, maps.Clone(d))
	}
}

func (s *service) maxWaiting() int {
	if s.admit.MaxWaiting > 0 {
		return s.admit.MaxWaiting
	}
	return defaultMaxWaiting
}

// refuse counts the refusal as demand. The lock is held.
func (s *service) refuse(now time.Time, t briarferry.Ticket, reason string, after time.Duration) error {
	s.queue.class(t.Class).refused.add(now, 1)
	s.report(now)
	if !s.pumping {
		s.pumping = true
		go s.pump()
	}
	return refusal(http.StatusServiceUnavailable, reason, min(max(after, time.Second), 10*time.Second))
}

func refusal(status int, reason string, after time.Duration) *briarferry.Refusal {
	return &briarferry.Refusal{
		Status: status, Outcome: briarferry.OutcomeNotRun, Reason: reason, RetryAfter: after,
	}
}

// Done gives the slot back and lets the next request start.
func (t *slot) Done(r briarferry.TryReport) {
	t.once.Do(func() {
		t.Slot.Done(r)
		now := time.Now()
		s, held := t.service, now.Sub(t.started)
		s.mu.Lock()
		defer s.mu.Unlock()
		if !r.Shed && !r.Cancelled {
			s.queue.estimate.observe(now, held, r.Failed)
		}
		s.queue.settle(now, t.class, t.charged, held)
		s.refresh(now)
		s.dispatch(now)
	})
}
