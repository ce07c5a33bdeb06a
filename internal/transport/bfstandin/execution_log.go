package bfstandin

import (
	"sync"
	"time"
)

const maxExecutions = 1 << 20

type (
	// Execution is one execution of a request with an idempotency key.
	Execution struct {
		Service   string    `json:"service"`
		Server    string    `json:"server"`
		RequestID string    `json:"request_id"`
		StartedAt time.Time `json:"started_at"`
	}

	// ExecutionLog records the executions on all servers by idempotency key.
	ExecutionLog struct {
		mu    sync.Mutex
		byKey map[string][]Execution
		total int
	}
)

// Add records the start of an execution. Executions beyond maxExecutions are dropped.
func (l *ExecutionLog) Add(key string, e Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byKey == nil {
		l.byKey = map[string][]Execution{}
	}
	if l.total == maxExecutions {
		return
	}
	l.total++
	l.byKey[key] = append(l.byKey[key], e)
}

// ByKey returns a copy of the recorded executions.
func (l *ExecutionLog) ByKey() map[string][]Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string][]Execution, len(l.byKey))
	for key, list := range l.byKey {
		out[key] = append([]Execution(nil), list...)
	}
	return out
}

// Duplicates returns the number of executions beyond the first one of each key.
func (l *ExecutionLog) Duplicates() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total - len(l.byKey)
}
