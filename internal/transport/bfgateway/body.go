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
	// bodyStep is the memory that is reserved ahead of what a body of unknown length
	// has shown.
	bodyStep = 64 << 10
	// bodyRetryAfter is what callers are told while other bodies fill the room.
	bodyRetryAfter = 500 * time.Millisecond
)

// errNoRoom is returned for a body for which there is no memory now.
var errNoRoom = errors.New("bfgateway: no room for the body")

// bodyRoom bounds the memory of all bodies that are held at the same time. Zero sets no
// bound.
type bodyRoom struct {
	limit int64
	used  atomic.Int64
}

func (b *bodyRoom) reserve(n int64) bool {
	if b.limit <= 0 {
		return true
	}
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *bodyRoom) release(n int64) {
	if b.limit > 0 {
		b.used.Add(-n)
	}
}

// readBody reads the caller's body within the limit and the room. The returned function
// gives the room back.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, func(), *briarferry.Refusal) {
	reader := http.MaxBytesReader(w, r.Body, limit)
	held := int64(0)
	release := func() { n.room.release(held) }
	var body []byte
	step := min(max(r.ContentLength, 0), limit)
	for {
		if step == 0 && r.ContentLength < 0 {
			step = bodyStep
		}
		if step > 0 && !n.room.reserve(step) {
			return nil, release, refusalOfBody(errNoRoom)
		}
		held += step
		chunk, err := io.ReadAll(io.LimitReader(reader, max(step, 1)))
		body = append(body, chunk...)
		if err != nil {
			return nil, release, refusalOfBody(err)
		}
		if int64(len(chunk)) < max(step, 1) {
			return body, release, nil
		}
		step = 0
		if r.ContentLength < 0 {
			step = bodyStep
		}
	}
}

func refusalOfBody(err error) *briarferry.Refusal {
	refusal := &briarferry.Refusal{Outcome: briarferry.OutcomeNotRun}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		refusal.Status, refusal.Reason = http.StatusRequestEntityTooLarge, "the body is too large"
	case errors.Is(err, errNoRoom):
		refusal.Status, refusal.Reason, refusal.RetryAfter = http.StatusServiceUnavailable, "bodies of other requests fill the memory", bodyRetryAfter
	default:
		refusal.Status, refusal.Reason = http.StatusBadRequest, "the body could not be read"
	}
	return refusal
}
