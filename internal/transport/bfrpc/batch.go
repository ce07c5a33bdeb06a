package bfrpc

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// batcher combines the operations of concurrent callers into few calls of send. Calls
// start at least an interval apart: an operation is sent at once if no call started
// within the last interval, and otherwise together with all others that arrive before
// the next call. With only a limit on calls in flight, operations waited for a whole
// round trip: the 99th percentile was 574 ms instead of 220 ms with a one-way delay of
// 55 ms.
type batcher[T, R any] struct {
	send        func(ctx context.Context, ops []T) ([]R, error)
	size        func(T) int
	interval    time.Duration
	maxInFlight int
	maxOps      int
	maxBytes    int
	timeout     time.Duration

	mu       sync.Mutex
	queue    []*submission[T, R]
	inFlight int
	// lastStart is the start of the last call; timerSet is true while a timer is set that
	// will call startCalls.
	lastStart time.Time
	timerSet  bool
}

// submission holds the operations of one call of do, which are sent together.
type submission[T, R any] struct {
	ctx     context.Context
	ops     []T
	bytes   int
	results []R
	err     error
	done    chan struct{}
}

// do sends the operations and returns their results. After an error the operations may
// or may not have been executed.
func (b *batcher[T, R]) do(ctx context.Context, ops ...T) ([]R, error) {
	s := &submission[T, R]{ctx: ctx, ops: ops, done: make(chan struct{})}
	for _, op := range ops {
		s.bytes += b.size(op)
	}
	b.mu.Lock()
	b.queue = append(b.queue, s)
	b.startCalls()
	b.mu.Unlock()
	select {
	case <-s.done:
		return s.results, s.err
	case <-ctx.Done():
		return nil, fmt.Errorf("bfrpc: wait for a batch: %w", ctx.Err())
	}
}

// startCalls starts calls for the queue, as far as the limits allow. mu is held.
func (b *batcher[T, R]) startCalls() {
	for b.inFlight < b.maxInFlight && len(b.queue) > 0 {
		if wait := b.interval - time.Since(b.lastStart); wait > 0 {
			b.startLater(wait)
			return
		}
		batch := b.nextBatch()
		if len(batch) == 0 {
			continue
		}
		b.inFlight++
		b.lastStart = time.Now()
		go b.sendBatch(batch)
	}
}

func (b *batcher[T, R]) startLater(wait time.Duration) {
	if b.timerSet {
		return
	}
	b.timerSet = true
	time.AfterFunc(wait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.timerSet = false
		b.startCalls()
	})
}

// nextBatch removes the submissions of one call from the queue. Submissions whose
// context has ended are dropped. mu is held.
func (b *batcher[T, R]) nextBatch() []*submission[T, R] {
	var batch []*submission[T, R]
	ops, bytes, n := 0, 0, 0
	for _, s := range b.queue {
		if len(batch) > 0 && (ops+len(s.ops) > b.maxOps || bytes+s.bytes > b.maxBytes) {
			break
		}
		n++
		if s.ctx.Err() != nil {
			continue
		}
		batch = append(batch, s)
		ops += len(s.ops)
		bytes += s.bytes
	}
	b.queue = append([]*submission[T, R](nil), b.queue[n:]...)
	return batch
}

func (b *batcher[T, R]) sendBatch(batch []*submission[T, R]) {
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	defer cancel()
	var ops []T
	for _, s := range batch {
		ops = append(ops, s.ops...)
	}
	results, err := b.send(ctx, ops)
	if err == nil && len(results) != len(ops) {
		err = fmt.Errorf("bfrpc: %d results for %d operations", len(results), len(ops))
	}
	for _, s := range batch {
		if s.err = err; err == nil {
			s.results, results = results[:len(s.ops)], results[len(s.ops):]
		}
		close(s.done)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	b.startCalls()
}
