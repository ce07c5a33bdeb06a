package bfmachine

import (
	"fmt"
	"time"

	"briarferry/internal/state/bfclaim"
	"briarferry/internal/state/bfcodec"
)

const snapshotFormat = 1

type snapshot struct {
	Format  int         `cbor:"f"`
	Time    int64       `cbor:"t"`
	Index   uint64      `cbor:"i"`
	State   ConfigState `cbor:"s"`
	Results []*change   `cbor:"r"`
	Claims  []byte      `cbor:"c"`
}

// Snapshot encodes the whole state; equal states have equal encodings.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := snapshot{
		Format: snapshotFormat, Time: m.now.UnixMilli(), Index: m.index,
		State: *m.State(), Results: []*change{}, Claims: m.claims.Snapshot(),
	}
	for _, key := range m.order {
		s.Results = append(s.Results, m.results[key])
	}
	data, err := bfcodec.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("bfmachine: snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the whole state. If it returns an error, the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := bfcodec.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("bfmachine: restore: %w", err)
	}
	if s.Format != snapshotFormat {
		return fmt.Errorf("bfmachine: restore: unknown format %d", s.Format)
	}
	if err := s.State.Validate().Err(); err != nil {
		return fmt.Errorf("bfmachine: restore: %w", err)
	}
	claims, err := bfclaim.Restore(s.Claims, claimLimits(s.State.Config))
	if err != nil {
		return fmt.Errorf("bfmachine: restore: %w", err)
	}
	results, order, err := restoreResults(s.Results)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reset(&s.State, claims)
	m.now, m.index = time.UnixMilli(s.Time), s.Index
	m.results, m.order = results, order
	return nil
}

func restoreResults(list []*change) (map[string]*change, []string, error) {
	if len(list) > maxResults {
		return nil, nil, fmt.Errorf("bfmachine: restore: too many results of changes: %d", len(list))
	}
	results, order := make(map[string]*change, len(list)), make([]string, 0, len(list))
	for _, c := range list {
		if c == nil || results[c.Key] != nil {
			return nil, nil, fmt.Errorf("bfmachine: restore: result of a change is missing or duplicated")
		}
		results[c.Key] = c
		order = append(order, c.Key)
	}
	return results, order, nil
}

// reset replaces the whole state and notifies the readers.
func (m *Machine) reset(s *ConfigState, claims *bfclaim.Table) {
	m.claims, m.results, m.order, m.history = claims, map[string]*change{}, nil, nil
	m.now = time.UnixMilli(0)
	m.state.Store(s)
	close(m.changed)
	m.changed = make(chan struct{})
}
