// Package bffleet implements the replicated state machine of a routed deployment. Its
// state is the route table, the evacuated failure domains and the registered backend
// servers.
package bffleet

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"briarferry"
	"briarferry/internal/state/bfcodec"
)

const (
	// maxAccepted is the maximum number of digests of accepted route tables that are
	// kept.
	maxAccepted = 4096
	// maxLeft is the maximum number of instances that have left and are remembered.
	maxLeft = 8192
	// snapshotFormat is the current format. Format 1 had no removals.
	snapshotFormat = 2
)

type (
	// Machine implements briarferry.StateMachine. All methods may be called
	// concurrently.
	Machine struct {
		mu     sync.Mutex
		source []byte
		// accepted maps the digests of accepted route tables to their versions.
		accepted *boundedMap[uint64]
		// left maps the IDs of instances that have left to the time of their last
		// start.
		left    *boundedMap[int64]
		changed chan struct{}
		state   atomic.Pointer[State]
	}

	snapshot struct {
		Format   int            `cbor:"1,keyasint"`
		State    State          `cbor:"2,keyasint"`
		Source   []byte         `cbor:"3,keyasint"`
		Accepted []pair[uint64] `cbor:"4,keyasint"`
		Left     []pair[int64]  `cbor:"5,keyasint"`
	}
)

var _ briarferry.StateMachine = (*Machine)(nil)

// New returns an empty state machine.
func New() *Machine {
	m := &Machine{
		accepted: newBoundedMap[uint64](maxAccepted), left: newBoundedMap[int64](maxLeft),
		changed: make(chan struct{}),
	}
	m.state.Store(&State{})
	return m
}

// State returns the current state, which must not be modified.
func (m *Machine) State() *State { return m.state.Load() }

// Source returns the compressed document of the current route table, and the version of
// the table.
func (m *Machine) Source() ([]byte, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.source, m.State().RoutesVersion()
}

// Changed returns a channel that is closed when the state is replaced. To miss no
// change, get the channel before reading the state.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Apply applies a command and returns its encoded result, which is CodeInvalid for a
// command that can't be decoded.
func (m *Machine) Apply(index uint64, cmd []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var c Command
	code := CodeInvalid
	if err := bfcodec.Unmarshal(cmd, &c); err == nil {
		code = m.apply(index, &c)
	}
	s := m.State()
	data, err := bfcodec.Marshal(Result{Code: code, Version: s.RoutesVersion(), Revision: s.Revision})
	if err != nil {
		// Encoding a struct of numbers and strings can't fail.
		return nil
	}
	return data
}

func (m *Machine) apply(index uint64, c *Command) Code {
	switch {
	case c.PutRoutes != nil:
		return m.putRoutes(index, c.PutRoutes)
	case c.Evacuate != nil:
		return m.evacuate(index, c.Evacuate)
	case c.Register != nil:
		return m.register(index, c.Register)
	case c.Expire != nil:
		return m.expire(index, c.Expire)
	}
	return m.leave(index, c.Leave)
}

func (m *Machine) putRoutes(index uint64, p *PutRoutes) Code {
	if _, ok := m.accepted.get(string(p.Digest)); ok {
		return CodeOK
	}
	old := m.State()
	if p.Base != old.RoutesVersion() || p.Table.Version <= old.RoutesVersion() {
		return CodeConflict
	}
	next := *old
	next.Revision, next.RoutesRevision, next.Routes = index, index, &p.Table
	next.routeHistory = old.routeHistory.add(old, &next)
	m.source = p.Source
	m.accepted.put(string(p.Digest), p.Table.Version)
	m.publish(&next)
	return CodeOK
}

// evacuate applies an order for a failure domain and records its index, also where nothing
// changes: the operator got a confirmation, so an older order must not take effect any more.
func (m *Machine) evacuate(index uint64, e *Evacuate) Code {
	old := m.State()
	next := *old
	next.EvacuationOrders = maps.Clone(old.EvacuationOrders)
	if next.EvacuationOrders == nil {
		next.EvacuationOrders = map[string]uint64{}
	}
	next.EvacuationOrders[e.FailureDomain] = index
	i, known := slices.BinarySearch(old.Evacuated, e.FailureDomain)
	if known != e.Withdraw {
		m.state.Store(&next)
		return CodeOK
	}
	if e.Conditional && e.Base != old.EvacuationOrders[e.FailureDomain] {
		return CodeConflict
	}
	next.Revision, next.EvacuatedRevision = index, index
	if e.Withdraw {
		next.Evacuated = slices.Delete(slices.Clone(old.Evacuated), i, i+1)
	} else {
		next.Evacuated = slices.Insert(slices.Clone(old.Evacuated), i, e.FailureDomain)
	}
	m.publish(&next)
	return CodeOK
}

// publish replaces the state and notifies the readers.
func (m *Machine) publish(s *State) {
	m.state.Store(s)
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot encodes the whole state; equal states have equal encodings.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := bfcodec.Marshal(snapshot{
		Format: snapshotFormat, State: *m.State(), Source: m.source,
		Accepted: m.accepted.list(), Left: m.left.list(),
	})
	if err != nil {
		return nil, fmt.Errorf("bffleet: snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the whole state. If it returns an error, the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := bfcodec.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("bffleet: restore: %w", err)
	}
	switch s.Format {
	case 1:
		s.State.RemovedSince = s.State.ServersRevision
	case snapshotFormat:
	default:
		return fmt.Errorf("bffleet: restore: unknown format %d", s.Format)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.source = s.Source
	m.accepted, m.left = newBoundedMap[uint64](maxAccepted), newBoundedMap[int64](maxLeft)
	m.accepted.putAll(s.Accepted)
	m.left.putAll(s.Left)
	m.publish(&s.State)
	return nil
}
