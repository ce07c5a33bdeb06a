package bfupstream

import (
	"errors"
	"sync"
)

// defaultAnswerMemory applies if Client.AnswerMemory is zero.
const defaultAnswerMemory = 64 << 20

// errAnswerMemory is the cause of a try that was ended because its answer was the largest
// one when the memory for answers was used up.
var errAnswerMemory = errors.New("memory limit for answers is reached")

type (
	// answerMemory limits the total size of the answers that are held at the same time.
	// When the limit is reached, the largest answer that is still being read is dropped, so
	// that servers that send without end don't take the memory of other answers.
	answerMemory struct {
		mu      sync.Mutex
		limit   int64
		used    int64
		reading map[*reservation]bool
		dropped uint64
	}

	// reservation is the memory of one answer.
	reservation struct {
		memory *answerMemory
		// drop closes the connection that the answer is read from.
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
		largest := r
		for other := range m.reading {
			if other.bytes > largest.bytes {
				largest = other
			}
		}
		m.dropLocked(largest)
		if largest == r {
			return errAnswerMemory
		}
		go largest.drop()
	}
	return nil
}

func (m *answerMemory) dropLocked(r *reservation) {
	m.used -= r.bytes
	r.bytes, r.dropped = 0, true
	delete(m.reading, r)
	m.dropped++
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
}

func (m *answerMemory) usage() (used int64, dropped uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used, m.dropped
}
