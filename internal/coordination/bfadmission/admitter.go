// Package bfadmission decides which waiting request gets the next slot of a service, and
// refuses requests as soon as it is known that they can't be served in time.
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
	// ReasonDeadline refuses a request that can't be answered before its deadline.
	ReasonDeadline = "deadline"
	// ReasonQueueFull refuses a request because the queue is full.
	ReasonQueueFull = "queue_full"
	// ReasonExpired refuses a request that waited until it was too late to start.
	ReasonExpired = "expired"
	// ReasonCancelled ends a request whose caller has disconnected.
	ReasonCancelled = "cancelled"

	// StatusCancelled is never sent to a caller; it is only used in counters.
	StatusCancelled = 499

	defaultMaxWaiting = 1024
	// pollInterval bounds the wait for a free slot if the pool sends no signal, for example
	// after the balancer has skipped servers for a while.
	pollInterval = 20 * time.Millisecond
	// capacityReadInterval is how long the capacity read from the pool is reused. Reading
	// it visits every server under the pool's mutex, which all requests share.
	capacityReadInterval = time.Millisecond
)

type (
	// Admitter implements briarferry.Admitter. Its fields must be set before use.
	Admitter struct {
		Pool briarferry.SlotPool
		// MaxWaiting limits the waiting requests per service and class; 0 means 1,024.
		MaxWaiting int
		// Slots returns the total number of slots of a service; it may be nil.
		Slots func(service string) int

		services sync.Map
	}

	// service is the queue of one service with its mutex.
	service struct {
		name     string
		admitter *Admitter

		mu    sync.Mutex
		queue queue
		// loopRunning reports whether dispatchLoop runs.
		loopRunning    bool
		reportedDemand map[int]int
		capacityReadAt time.Time
	}

	// slot is a slot granted to a request.
	slot struct {
		briarferry.Slot
		service        *service
		class          *class
		started        time.Time
		chargedSeconds float64
		once           sync.Once
	}
)

// Acquire waits for a slot. It fails with a *briarferry.Refusal.
func (a *Admitter) Acquire(ctx context.Context, t briarferry.Ticket) (briarferry.Slot, error) {
	if ctx.Err() != nil {
		return nil, refusal(StatusCancelled, ReasonCancelled, 0)
	}
	s := a.service(t.Service)
	granted, w, err := s.admit(time.Now(), t)
	if err != nil {
		return nil, err
	}
	if granted != nil {
		return granted, nil
	}
	return s.await(ctx, w)
}

// Waiting returns the number of requests waiting for the service.
func (a *Admitter) Waiting(name string) int {
	s := a.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.waiterCount()
}

func (a *Admitter) service(name string) *service {
	if s, ok := a.services.Load(name); ok {
		return s.(*service)
	}
	s, _ := a.services.LoadOrStore(name, &service{name: name, admitter: a})
	return s.(*service)
}

// admit takes a slot if no request is waiting, adds the request to the queue or refuses it.
func (s *service) admit(now time.Time, t briarferry.Ticket) (*slot, *waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now)
	remaining := t.Deadline.Sub(now)
	required := s.queue.estimate.requiredTime(t.Expected)
	late := required > remaining
	if remaining <= 0 || late && !s.queue.estimate.allowProbe(now) {
		return nil, nil, s.refuse(now, t, ReasonDeadline, required-remaining)
	}
	if s.queue.waiterCount() == 0 {
		if got := s.tryAcquire(now, s.queue.class(t.Class), t); got != nil {
			return got, nil, nil
		}
	}
	if late {
		return nil, nil, s.refuse(now, t, ReasonDeadline, required-remaining)
	}
	if wait := s.queue.estimateWait(now, t); wait+required > remaining && s.queue.capacitySettled(now) {
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

// await blocks until the waiter gets a slot, expires or is cancelled.
func (s *service) await(ctx context.Context, w *waiter) (briarferry.Slot, error) {
	s.mu.Lock()
	latestStart := w.ticket.Deadline.Add(-s.queue.estimate.requiredTime(w.ticket.Expected))
	s.mu.Unlock()
	timer := time.NewTimer(time.Until(latestStart))
	defer timer.Stop()
	refused := refusal(http.StatusServiceUnavailable, ReasonExpired, time.Second)
	select {
	case got := <-w.granted:
		return acquireResult(got)
	case <-timer.C:
	case <-ctx.Done():
		refused = refusal(StatusCancelled, ReasonCancelled, 0)
	}
	s.mu.Lock()
	removed := s.queue.remove(w)
	s.reportDemand(time.Now())
	s.mu.Unlock()
	if removed {
		return nil, refused
	}
	got := <-w.granted
	if got != nil && ctx.Err() != nil {
		got.Done(briarferry.TryReport{Cancelled: true})
		return nil, refused
	}
	return acquireResult(got)
}

// acquireResult converts a granted slot, or nil for an expired waiter, to the result of
// Acquire.
func acquireResult(got *slot) (briarferry.Slot, error) {
	if got == nil {
		return nil, refusal(http.StatusServiceUnavailable, ReasonExpired, time.Second)
	}
	return got, nil
}

// refresh updates the capacity and accrues credit. The mutex must be held.
func (s *service) refresh(now time.Time) {
	if s.queue.capacity == 0 || now.Sub(s.capacityReadAt) >= capacityReadInterval {
		s.capacityReadAt = now
		s.queue.capacity = s.admitter.Pool.Capacity(s.name)
		if s.admitter.Slots != nil {
			s.queue.slots = s.admitter.Slots(s.name)
		}
	}
	s.queue.accrueCredit(now)
}

// dispatch grants free slots to waiting requests. The mutex must be held.
func (s *service) dispatch(now time.Time) {
	for {
		c, w := s.queue.next()
		if w == nil {
			break
		}
		if w.ticket.Deadline.Sub(now) < s.queue.estimate.requiredTime(w.ticket.Expected) {
			s.queue.remove(w)
			c.refusals.add(now, 1)
			w.granted <- nil
			continue
		}
		got := s.tryAcquire(now, c, w.ticket)
		if got == nil {
			break
		}
		s.queue.remove(w)
		w.granted <- got
	}
	s.reportDemand(now)
	if s.queue.waiterCount() > 0 && !s.loopRunning {
		s.loopRunning = true
		go s.dispatchLoop()
	}
}

// dispatchLoop dispatches whenever the pool signals a free slot, until there is no demand.
func (s *service) dispatchLoop() {
	freed := s.admitter.Pool.SlotFreed(s.name)
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	for {
		select {
		case <-freed:
		case <-timer.C:
			timer.Reset(pollInterval)
		}
		if s.dispatchOnce(time.Now()) {
			return
		}
	}
}

// dispatchOnce runs one round of the dispatch loop and reports whether it was the last.
func (s *service) dispatchOnce(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now)
	s.dispatch(now)
	// The loop continues after the last waiter until the demand of refused requests has
	// decayed, since nothing else withdraws it from the pool.
	if len(s.queue.demand(now)) > 0 {
		return false
	}
	s.loopRunning = false
	return true
}

// tryAcquire takes a free slot from the pool, or returns nil. The mutex must be held.
func (s *service) tryAcquire(now time.Time, c *class, t briarferry.Ticket) *slot {
	inner, ok := s.admitter.Pool.TryAcquire(s.name, t.Avoid)
	if !ok {
		return nil
	}
	return &slot{Slot: inner, service: s, class: c, started: now, chargedSeconds: s.queue.charge(now, c, t.Expected)}
}

// reportDemand reports the demand to the pool if it has changed. The mutex must be held.
func (s *service) reportDemand(now time.Time) {
	d := s.queue.demand(now)
	switch {
	case len(d) == 0:
		s.queue.demandSince = time.Time{}
	case s.queue.demandSince.IsZero():
		s.queue.demandSince = now
	}
	if !maps.Equal(d, s.reportedDemand) {
		s.reportedDemand = d
		s.admitter.Pool.SetDemand(s.name, maps.Clone(d))
	}
}

func (s *service) maxWaiting() int {
	if s.admitter.MaxWaiting > 0 {
		return s.admitter.MaxWaiting
	}
	return defaultMaxWaiting
}

// refuse refuses a request and counts it as demand. The mutex must be held.
func (s *service) refuse(now time.Time, t briarferry.Ticket, reason string, after time.Duration) error {
	s.queue.class(t.Class).refusals.add(now, 1)
	s.reportDemand(now)
	if !s.loopRunning {
		s.loopRunning = true
		go s.dispatchLoop()
	}
	return refusal(http.StatusServiceUnavailable, reason, min(max(after, time.Second), 10*time.Second))
}

func refusal(status int, reason string, after time.Duration) *briarferry.Refusal {
	return &briarferry.Refusal{
		Status: status, Outcome: briarferry.OutcomeNotRun, Reason: reason, RetryAfter: after,
	}
}

// Done returns the slot and dispatches the next request.
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
		s.queue.correctCharge(now, t.class, t.chargedSeconds, held)
		s.refresh(now)
		s.dispatch(now)
	})
}
