package bfgateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"briarferry"
)

const (
	// bodyChunkBytes is the memory reserved at a time for a body of unknown length.
	bodyChunkBytes = 64 << 10
	// bodyRetryAfter is the Retry-After of requests refused because other requests'
	// bodies use all body memory.
	bodyRetryAfter = 500 * time.Millisecond
)

// errBodyMemory is returned for a body that would exceed the memory limit for bodies.
var errBodyMemory = errors.New("bfgateway: memory limit for request bodies reached")

// bodyMemory limits the total size of the request bodies that are buffered at the same
// time. A limit of zero means no limit.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

func (b *bodyMemory) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit || b.limit <= 0 {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *bodyMemory) release(n int64) { b.used.Add(-n) }

// readBody reads the caller's body within its size limit and the memory for bodies. The
// returned function releases the memory reserved for it.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, func(), *briarferry.Refusal) {
	reader := http.MaxBytesReader(w, r.Body, limit)
	reserved := int64(0)
	release := func() { n.bodyMemory.release(reserved) }
	var body []byte
	size := min(max(r.ContentLength, 0), limit)
	for {
		if size == 0 && r.ContentLength < 0 {
			size = bodyChunkBytes
		}
		if size > 0 && !n.bodyMemory.reserve(size) {
			return nil, release, bodyRefusal(errBodyMemory)
		}
		reserved += size
		chunk, err := io.ReadAll(io.LimitReader(reader, max(size, 1)))
		body = append(body, chunk...)
		if err != nil {
			return nil, release, bodyRefusal(err)
		}
		if int64(len(chunk)) < max(size, 1) {
			return body, release, nil
		}
		size = 0
		if r.ContentLength < 0 {
			size = bodyChunkBytes
		}
	}
}

func bodyRefusal(err error) *briarferry.Refusal {
	refusal := &briarferry.Refusal{Outcome: briarferry.OutcomeNotRun}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		refusal.Status, refusal.Reason = http.StatusRequestEntityTooLarge, "the body is too large"
	case errors.Is(err, errBodyMemory):
		refusal.Status, refusal.Reason, refusal.RetryAfter = http.StatusServiceUnavailable, "bodies of other requests fill the memory", bodyRetryAfter
	default:
		refusal.Status, refusal.Reason = http.StatusBadRequest, "the body could not be read"
	}
	return refusal
}
