package bfupstream

import (
	"errors"
	"sync"
	"time"
)

const (
	// defaultAnswerMemory applies if Client.AnswerMemory is zero.
	defaultAnswerMemory = 64 << 20
	// slowDelivery is the time after the start of delivery from which an answer may be dropped
	// to free memory for other answers.
	slowDelivery = time.Second
)

// errAnswerMemory is the cause of a try that was ended because its answer was the largest
// one when the memory for answers was used up.
var errAnswerMemory = errors.New("memory limit for answers is reached")

type (
	// answerMemory limits the total size of the answers that are held at the same time.
	// When the limit is reached, the largest answer in delivery for longer than slowDelivery is
	// dropped, or else the largest one that is still being read. Neither slow callers nor
	// endless answers can then use up the memory.
	answerMemory struct {
		mu      sync.Mutex
		limit   int64
		used    int64
		reading map[*reservation]bool
		// delivering holds when the sending of each answer to its caller began.
		delivering map[*reservation]time.Time
		dropped    uint64
	}

	// reservation is the memory of one answer.
	reservation struct {
		memory *answerMemory
		// drop closes the connection that the answer is read from, or that of its caller.
		drop func()
		// bytes and dropped are guarded by the memory's mu.
		bytes   int64
		dropped bool
	}
)

// reserve starts the reservation of an answer that is about to be read.
func (m *answerMemory) reserve(drop func()) *reservation {
	r := &reservation{memory: m, drop: drop}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reading == nil {
		m.reading = map[*reservation]bool{}
	}
	m.reading[r] = true
	return r
}

// grow increases the reservation to the given number of bytes. It drops larger answers if
// the memory is used up, and fails if this answer is the largest one.
func (r *reservation) grow(bytes int64) error {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.dropped {
		return errAnswerMemory
	}
	m.used += bytes - r.bytes
	r.bytes = bytes
	for m.used > m.limit {
		victim := m.victimLocked(r)
		m.dropLocked(victim)
		if victim == r {
			return errAnswerMemory
		}
		go victim.drop()
	}
	return nil
}

// victimLocked returns the answer to be dropped for the sake of r, which may be r itself.
func (m *answerMemory) victimLocked(r *reservation) *reservation {
	var slow *reservation
	for other, since := range m.delivering {
		if other.bytes > 0 && !m.reading[other] && time.Since(since) >= slowDelivery && (slow == nil || other.bytes > slow.bytes) {
			slow = other
		}
	}
	if slow != nil {
		return slow
	}
	largest := r
	for other := range m.reading {
		if other.bytes > largest.bytes {
			largest = other
		}
	}
	return largest
}

func (m *answerMemory) dropLocked(r *reservation) {
	m.used -= r.bytes
	r.bytes, r.dropped = 0, true
	delete(m.reading, r)
	delete(m.delivering, r)
	m.dropped++
}

// deliver begins the sending of a complete answer to its caller. Drop closes the caller's
// connection.
func (r *reservation) deliver(drop func()) {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.dropped || r.bytes == 0 {
		return
	}
	if m.delivering == nil {
		m.delivering = map[*reservation]time.Time{}
	}
	r.drop = drop
	m.delivering[r] = time.Now()
}

// finishReading keeps the memory of a complete answer until release. It reports whether the
// answer was not dropped.
func (r *reservation) finishReading() bool {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	delete(r.memory.reading, r)
	return !r.dropped
}

// release ends the reservation. Further calls, and those for nil, have no effect.
func (r *reservation) release() {
	if r == nil {
		return
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.memory.used -= r.bytes
	r.bytes = 0
	delete(r.memory.reading, r)
	delete(r.memory.delivering, r)
}

func (m *answerMemory) usage() (used int64, dropped uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used, m.dropped
}
