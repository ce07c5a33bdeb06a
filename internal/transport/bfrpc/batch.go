package bfrpc

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// batcher joins operations of concurrent callers into few calls of flush. An
// operation leaves at once unless another call has just left: calls start at
// least an interval apart, and what comes in between leaves together. A limit on
// calls in flight alone made operations wait for a whole round trip (574 ms
// instead of 220 ms at the 99th percentile with 55 ms one way).
type batcher[T, R any] struct {
	flush    func(ctx context.Context, ops []T) ([]R, error)
	size     func(T) int
	interval time.Duration
	inFlight int
	maxOps   int
	maxBytes int
	timeout  time.Duration

	mu      sync.Mutex
	queue   []*batchGroup[T, R]
	running int
	// last is when the last call started; armed tells that a timer will call start.
	last  time.Time
	armed bool
}

type batchGroup[T, R any] struct {
	ctx     context.Context
	ops     []T
	bytes   int
	results []R
	err     error
	done    chan struct{}
}

// do returns the results of the operations. On an error their fate is unknown.
func (b *batcher[T, R]) do(ctx context.Context, ops ...T) ([]R, error) {
	g := &batchGroup[T, R]{ctx: ctx, ops: ops, done: make(chan struct{})}
	for _, op := range ops {
		g.bytes += b.size(op)
	}
	b.mu.Lock()
	b.queue = append(b.queue, g)
	b.start()
	b.mu.Unlock()
	select {
	case <-g.done:
		return g.results, g.err
	case <-ctx.Done():
		return nil, fmt.Errorf("bfrpc: wait for a batch: %w", ctx.Err())
	}
}

// start launches calls for what is queued; mu is held.
func (b *batcher[T, R]) start() {
	for b.running < b.inFlight && len(b.queue) > 0 {
		if wait := b.interval - time.Since(b.last); wait > 0 {
			b.arm(wait)
			return
		}
		groups := b.take()
		if len(groups) == 0 {
			continue
		}
		b.running++
		b.last = time.Now()
		go b.run(groups)
	}
}

func (b *batcher[T, R]) arm(wait time.Duration) {
	if b.armed {
		return
	}
	b.armed = true
	time.AfterFunc(wait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.armed = false
		b.start()
	})
}

// take removes the groups of one call from the queue. Groups whose callers have
// left are dropped.
func (b *batcher[T, R]) take() []*batchGroup[T, R] {
	var groups []*batchGroup[T, R]
	ops, bytes, n := 0, 0, 0
	for _, g := range b.queue {
		if len(groups) > 0 && (ops+len(g.ops) > b.maxOps || bytes+g.bytes > b.maxBytes) {
			break
		}
		n++
		if g.ctx.Err() != nil {
			continue
		}
		groups = append(groups, g)
		ops += len(g.ops)
		bytes += g.bytes
	}
	b.queue = append([]*batchGroup[T, R](nil), b.queue[n:]...)
	return groups
}

func (b *batcher[T, R]) run(groups []*batchGroup[T, R]) {
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	defer cancel()
	var ops []T
	for _, g := range groups {
		ops = append(ops, g.ops...)
	}
	results, err := b.flush(ctx, ops)
	if err == nil && len(results) != len(ops) {
		err = fmt.Errorf("bfrpc: %d results for %d operations", len(results), len(ops))
	}
	for _, g := range groups {
		if g.err = err; err == nil {
			g.results, results = results[:len(g.ops)], results[len(g.ops):]
		}
		close(g.done)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.start()
}
