package bfstandin

import (
	"sync"
	"time"
)

const maxExecutions = 1 << 20

type (
	// Execution is one run of a keyed request.
	Execution struct {
		Service   string    `json:"service"`
		Server    string    `json:"server"`
		RequestID string    `json:"request_id"`
		StartedAt time.Time `json:"started_at"`
	}

	// ExecutionLog keeps the executions of all servers by idempotency key.
	ExecutionLog struct {
		mu    sync.Mutex
		byKey map[string][]Execution
		total int
	}
)

// Add stores the start of an execution.
func (r *ExecutionLog) Add(key string, e Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byKey == nil {
		r.byKey = map[string][]Execution{}
	}
	if r.total == maxExecutions {
		return
	}
	r.total++
	r.byKey[key] = append(r.byKey[key], e)
}

// ByKey returns a copy of the record.
func (r *ExecutionLog) ByKey() map[string][]Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]Execution, len(r.byKey))
	for key, list := range r.byKey {
		out[key] = append([]Execution(nil), list...)
	}
	return out
}

// Duplicates returns the number of executions beyond the first of each key.
func (r *ExecutionLog) Duplicates() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total - len(r.byKey)
}
