// Package bfmachine implements the replicated state machine of a deployment with a
// configuration; bffleet implements that of a routed deployment. The state is the
// configuration, the drains, the results of operators' changes and the execution claims.
package bfmachine

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"briarferry"
	"briarferry/internal/state/bfclaim"
	"briarferry/internal/state/bfcodec"
)

const (
	// maxResults is the maximum number of results of operators' changes that are kept.
	maxResults = 4096
	// historyLength is the maximum number of older states that are kept for deltas to
	// start from. They are not part of the replicated state.
	historyLength = 32
	// expirePerEntry is the maximum number of expired claims that a log entry removes
	// from the partition that its index selects.
	expirePerEntry = 64
)

type (
	// Machine implements briarferry.StateMachine. All methods may be called
	// concurrently; Apply, Snapshot and Restore are serialized.
	Machine struct {
		Counters Counters

		mu    sync.Mutex
		now   time.Time
		index uint64
		// pending is the state after the operations of the current command so far. It
		// is published once per command, so that each revision identifies one state.
		pending *ConfigState
		claims  *bfclaim.Table
		results map[string]*change
		// order holds the keys of results, oldest first.
		order   []string
		history []*ConfigState
		changed chan struct{}
		state   atomic.Pointer[ConfigState]
	}

	// Counters count the applied commands and operations, and the results of
	// operations, since the process started.
	Counters struct {
		Commands, Operations, Invalid, Changes, Conflicts, Resends atomic.Uint64

		Granted, Held, Completed, Mismatch, Stale, Full, Released atomic.Uint64
	}

	// change is an operator's change with its result.
	change struct {
		Key    string   `cbor:"k"`
		Digest []byte   `cbor:"d"`
		Result OpResult `cbor:"r"`
	}
)

// New returns an empty state machine.
func New() *Machine {
	m := &Machine{changed: make(chan struct{})}
	m.reset(&ConfigState{}, bfclaim.New(claimLimits(nil)))
	return m
}

// State returns the configuration state, which must not be modified.
func (m *Machine) State() *ConfigState { return m.state.Load() }

// ClaimCount returns the number of claim records.
func (m *Machine) ClaimCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.claims.Len()
}

// Changed returns a channel that is closed when the configuration state is replaced.
// To miss no change, get the channel before reading the state.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// StateAt returns the state of exactly the given earlier revision, from which a delta can
// start, if it is still kept.
func (m *Machine) StateAt(revision uint64) (*ConfigState, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.history {
		if s.Revision == revision {
			return s, true
		}
	}
	return nil, false
}

// Apply applies a command and returns its encoded result. A command or an operation
// that can't be decoded gets the result CodeInvalid, and so does a command with more than
// MaxOps operations.
func (m *Machine) Apply(index uint64, cmd []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Counters.Commands.Add(1)
	m.index = index
	result := Result{Index: index}
	var c Command
	if err := bfcodec.Unmarshal(cmd, &c); err != nil || len(c.Ops) > MaxOps {
		m.Counters.Invalid.Add(1)
		result.Ops = []OpResult{{Code: CodeInvalid}}
		return encodeResult(result)
	}
	// The time never decreases, even if the clock of a new leader is behind.
	if t := time.UnixMilli(c.Time); t.After(m.now) {
		m.now = t
	}
	m.claims.Expire(index, m.now, expirePerEntry)
	result.Ops = make([]OpResult, len(c.Ops))
	m.pending = m.State()
	for i, data := range c.Ops {
		result.Ops[i] = m.applyOp(i, data)
	}
	m.publish()
	return encodeResult(result)
}

func encodeResult(r Result) []byte {
	data, err := bfcodec.Marshal(r)
	if err != nil {
		// Encoding a struct of numbers, strings and lists can't fail.
		return nil
	}
	return data
}

func (m *Machine) applyOp(position int, data []byte) OpResult {
	m.Counters.Operations.Add(1)
	var op Op
	if err := bfcodec.Unmarshal(data, &op); err != nil {
		m.Counters.Invalid.Add(1)
		return OpResult{Code: CodeInvalid}
	}
	switch {
	case op.Claim != nil:
		return m.applyClaim(op.Claim)
	case op.PutConfig != nil:
		return m.applyOnce(op.PutConfig.Key, data, func() OpResult { return m.putConfig(op.PutConfig) })
	case op.AddDrain != nil:
		return m.applyOnce(op.AddDrain.Key, data, func() OpResult { return m.addDrain(position, op.AddDrain.Drain) })
	}
	return m.applyOnce(op.RemoveDrain.Key, data, func() OpResult { return m.removeDrain(op.RemoveDrain.ID) })
}

// applyOnce applies a change unless its idempotency key already has a result. It then
// returns that result, or CodeKeyReused if the key belongs to another change.
func (m *Machine) applyOnce(key string, data []byte, apply func() OpResult) OpResult {
	if key == "" {
		return apply()
	}
	digest := sha256.Sum256(data)
	if c, ok := m.results[key]; ok {
		m.Counters.Resends.Add(1)
		if !slices.Equal(c.Digest, digest[:]) {
			return OpResult{Code: CodeKeyReused, Version: m.pending.Version()}
		}
		return c.Result
	}
	c := &change{Key: key, Digest: digest[:], Result: apply()}
	m.results[key] = c
	m.order = append(m.order, key)
	if len(m.order) > maxResults {
		delete(m.results, m.order[0])
		m.order = m.order[1:]
	}
	return c.Result
}

func (m *Machine) putConfig(p *PutConfig) OpResult {
	old := m.pending
	if p.Base != old.Version() {
		m.Counters.Conflicts.Add(1)
		return OpResult{Code: CodeConflict, Version: old.Version(), Revision: old.Revision}
	}
	cfg := p.Config
	cfg.Version = old.Version() + 1
	m.pending = &ConfigState{Revision: m.index, Config: &cfg, Drains: old.Drains}
	m.claims.SetLimits(claimLimits(&cfg))
	return OpResult{Code: CodeOK, Version: cfg.Version, Revision: m.index}
}

func (m *Machine) addDrain(position int, d briarferry.Drain) OpResult {
	old := m.pending
	for _, known := range old.Drains {
		if known.Kind == d.Kind && known.Target == d.Target {
			return OpResult{Code: CodeOK, Version: old.Version(), Revision: old.Revision, Drain: &known}
		}
	}
	if len(old.Drains) >= maxDrains {
		return OpResult{Code: CodeFull, Version: old.Version(), Revision: old.Revision}
	}
	d.ID = fmt.Sprintf("drain-%d-%d", m.index, position)
	drains := append(slices.Clone(old.Drains), d)
	m.pending = &ConfigState{Revision: m.index, Config: old.Config, Drains: drains}
	return OpResult{Code: CodeOK, Version: old.Version(), Revision: m.index, Drain: &d}
}

func (m *Machine) removeDrain(id string) OpResult {
	old := m.pending
	i := slices.IndexFunc(old.Drains, func(d briarferry.Drain) bool { return d.ID == id })
	if i < 0 {
		return OpResult{Code: CodeNotFound, Version: old.Version(), Revision: old.Revision}
	}
	drains := slices.Delete(slices.Clone(old.Drains), i, i+1)
	m.pending = &ConfigState{Revision: m.index, Config: old.Config, Drains: drains}
	return OpResult{Code: CodeOK, Version: old.Version(), Revision: m.index}
}

// publish replaces the state and notifies the readers, if the command changed it.
func (m *Machine) publish() {
	old := m.State()
	if m.pending == old {
		return
	}
	m.Counters.Changes.Add(1)
	m.history = append(m.history, old)
	if len(m.history) > historyLength {
		m.history = slices.Delete(m.history, 0, 1)
	}
	m.state.Store(m.pending)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Machine) applyClaim(op *ClaimOp) OpResult {
	var r bfclaim.Reply
	switch op.Kind {
	case OpClaim:
		r = m.claims.Claim(m.index, m.now, op.Claim)
	case OpComplete:
		r = m.claims.Complete(m.index, m.now, op.Claim, op.Answer)
	case OpRelease:
		r = m.claims.Release(m.index, m.now, op.Claim)
	default:
		r = m.claims.Refuse(m.index, m.now, op.Claim)
	}
	m.Counters.countClaim(r.Result)
	return OpResult{Code: CodeOK, Claim: &ClaimReply{Result: r.Result, Answer: r.Answer}}
}

func (c *Counters) countClaim(r briarferry.ClaimResult) {
	switch r {
	case briarferry.ClaimGranted:
		c.Granted.Add(1)
	case briarferry.ClaimHeld:
		c.Held.Add(1)
	case briarferry.ClaimCompleted:
		c.Completed.Add(1)
	case briarferry.ClaimMismatch:
		c.Mismatch.Add(1)
	case briarferry.ClaimStale:
		c.Stale.Add(1)
	case briarferry.ClaimFull:
		c.Full.Add(1)
	case briarferry.ClaimReleased:
		c.Released.Add(1)
	}
}

func claimLimits(cfg *briarferry.Config) bfclaim.Limits {
	l := briarferry.DefaultLimits()
	if cfg != nil {
		l = cfg.Limits
	}
	return bfclaim.Limits{
		Retention:  l.ClaimRetention.Std(),
		MaxTimeout: l.MaxTimeout.Std(),
		Capacity:   l.ClaimCapacity,
	}
}
