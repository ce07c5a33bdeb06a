package bfmachine

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"briarferry"
	"briarferry/internal/state/bfcodec"
)

const maxDrains = 1024

type (
	// ConfigState is the state that entries use under a lease. A published ConfigState
	// is never modified.
	ConfigState struct {
		// Revision is the log index of the last change to the state. Changes of the
		// configuration and of drains have a common order.
		Revision uint64             `cbor:"r"`
		Config   *briarferry.Config `cbor:"c"`
		Drains   []briarferry.Drain `cbor:"d"`
	}

	// Delta is the difference from the state with revision Base to a newer one. Parts
	// that are not set stay unchanged.
	Delta struct {
		Base     uint64                      `cbor:"b"`
		Revision uint64                      `cbor:"r"`
		Version  uint64                      `cbor:"v"`
		Regions  *[]briarferry.Region        `cbor:"e,omitempty"`
		Links    *[]briarferry.Link          `cbor:"l,omitempty"`
		Classes  *[]briarferry.PriorityClass `cbor:"c,omitempty"`
		Limits   *briarferry.Limits          `cbor:"m,omitempty"`
		Drains   *[]briarferry.Drain         `cbor:"d,omitempty"`
		// ServiceOrder lists the names of all services in order; ChangedServices holds
		// the new and changed ones.
		ServiceOrder    *[]string            `cbor:"o,omitempty"`
		ChangedServices []briarferry.Service `cbor:"s,omitempty"`
	}
)

// Version returns the version of the configuration, or 0 if there is none.
func (s *ConfigState) Version() uint64 {
	if s.Config == nil {
		return 0
	}
	return s.Config.Version
}

// Checksum returns a checksum of the canonical encoding of the whole state.
func (s *ConfigState) Checksum() uint64 {
	data, err := bfcodec.Marshal(s)
	if err != nil {
		// Encoding a struct of numbers, strings and lists can't fail.
		return 0
	}
	return xxhash.Sum64(data)
}

// Validate reports every field that is out of range.
func (s *ConfigState) Validate() briarferry.Findings {
	var f briarferry.Findings
	if s.Config != nil {
		f.Merge("config", s.Config.Validate())
	}
	if len(s.Drains) > maxDrains {
		f.Add("drains", "must have at most %d entries", maxDrains)
	}
	for i := range s.Drains {
		f.Merge(fmt.Sprintf("drains[%d]", i), s.Drains[i].Validate())
	}
	return f
}

// Diff returns the delta between two states. It returns false if one of them has no
// configuration.
func Diff(from, to *ConfigState) (*Delta, bool) {
	if from.Config == nil || to.Config == nil {
		return nil, false
	}
	a, b := from.Config, to.Config
	d := &Delta{Base: from.Revision, Revision: to.Revision, Version: b.Version}
	d.Regions = changed(a.Regions, b.Regions)
	d.Links = changed(a.Links, b.Links)
	d.Classes = changed(a.Classes, b.Classes)
	d.Drains = changed(from.Drains, to.Drains)
	if a.Limits != b.Limits {
		d.Limits = &b.Limits
	}
	if changed(a.Services, b.Services) == nil {
		return d, true
	}
	order := make([]string, len(b.Services))
	for i, s := range b.Services {
		order[i] = s.Name
		if old, ok := a.Service(s.Name); !ok || !equal(old, s) {
			d.ChangedServices = append(d.ChangedServices, s)
		}
	}
	d.ServiceOrder = &order
	return d, true
}

// Patch returns the state after the delta. The caller must verify its checksum.
func (s *ConfigState) Patch(d *Delta) (*ConfigState, error) {
	if s.Config == nil || s.Revision != d.Base {
		return nil, fmt.Errorf("bfmachine: delta is based on revision %d, not %d", d.Base, s.Revision)
	}
	cfg := *s.Config
	cfg.Version = d.Version
	next := &ConfigState{Revision: d.Revision, Config: &cfg, Drains: s.Drains}
	replaceIfSet(&cfg.Regions, d.Regions)
	replaceIfSet(&cfg.Links, d.Links)
	replaceIfSet(&cfg.Classes, d.Classes)
	replaceIfSet(&next.Drains, d.Drains)
	if d.Limits != nil {
		cfg.Limits = *d.Limits
	}
	if d.ServiceOrder != nil {
		services, err := patchServices(s.Config, *d.ServiceOrder, d.ChangedServices)
		if err != nil {
			return nil, err
		}
		cfg.Services = services
	}
	if err := next.Validate().Err(); err != nil {
		return nil, fmt.Errorf("bfmachine: patched state: %w", err)
	}
	return next, nil
}

func patchServices(old *briarferry.Config, order []string, changed []briarferry.Service) ([]briarferry.Service, error) {
	known := make(map[string]briarferry.Service, len(old.Services)+len(changed))
	for _, s := range old.Services {
		known[s.Name] = s
	}
	for _, s := range changed {
		known[s.Name] = s
	}
	services := make([]briarferry.Service, len(order))
	for i, name := range order {
		s, ok := known[name]
		if !ok {
			return nil, fmt.Errorf("bfmachine: delta names an unknown service: %q", name)
		}
		services[i] = s
	}
	return services, nil
}

// changed returns the second list if the lists differ, and nil if they are equal.
func changed[T any](from, to []T) *[]T {
	if (from == nil) == (to == nil) && slices.EqualFunc(from, to, func(a, b T) bool { return equal(a, b) }) {
		return nil
	}
	return &to
}

func replaceIfSet[T any](dst *[]T, src *[]T) {
	if src != nil {
		*dst = *src
	}
}

func equal(a, b any) bool {
	x, errX := bfcodec.Marshal(a)
	y, errY := bfcodec.Marshal(b)
	return errX == nil && errY == nil && slices.Equal(x, y)
}
