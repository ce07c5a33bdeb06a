package bfreplica

import (
	"context"
	"sync"
	"time"

	"briarferry"
)

// Single is a group of one replica that stores nothing on disk, for tests and for a
// development node without a data directory.
type Single struct {
	// Machine must be set before use.
	Machine briarferry.StateMachine

	mu    sync.Mutex
	index uint64
}

// Propose applies the command at once.
func (s *Single) Propose(_ context.Context, cmd []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	return s.Machine.Apply(s.index, cmd), nil
}

// ReadIndex returns the index of the last command.
func (s *Single) ReadIndex(context.Context) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index, nil
}

// Status describes the only member, which is always the leader.
func (s *Single) Status() briarferry.ReplicaStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return briarferry.ReplicaStatus{
		ID: "single", Leader: "single", IsLeader: true, Term: 1,
		Commit: s.index, Applied: s.index, Voters: []string{"single"},
		LeaseUntil: time.Now().Add(time.Second),
	}
}
