package bfdrain

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"briarferry"
)

type (
	// Set tracks the drains that one process knows, and their targets.
	Set struct {
		limits  Limits
		drains  []*trackedDrain
		targets map[targetKey]Target
	}

	// trackedDrain is a drain with the targets that have started to drain.
	trackedDrain struct {
		briarferry.Drain
		started              map[targetKey]drainStart
		insufficientCapacity bool
	}

	// drainStart is the time at which a target started to drain and its requests in
	// flight at that time.
	drainStart struct {
		at       time.Time
		inFlight int
	}

	targetKey struct {
		kind    briarferry.DrainKind
		service string
		name    string
	}

	// capacityPool identifies the targets that can take over each other's requests.
	capacityPool struct {
		kind    briarferry.DrainKind
		service string
	}
)

// New returns an empty set.
func New(limits Limits) *Set {
	return &Set{limits: limits, targets: map[targetKey]Target{}}
}

func (t Target) key() targetKey { return targetKey{t.Kind, t.Service, t.Name} }

// Add adds a drain. Adding the same drain again has no effect; another drain with its
// ID is an error.
func (s *Set) Add(d briarferry.Drain) error {
	if err := d.Validate().Err(); err != nil {
		return fmt.Errorf("bfdrain: %w", err)
	}
	if d.ID == "" {
		return fmt.Errorf("bfdrain: drain has no ID")
	}
	for _, known := range s.drains {
		if known.ID == d.ID {
			if known.Drain != d {
				return fmt.Errorf("bfdrain: drain ID %s is already used for another drain", d.ID)
			}
			return nil
		}
	}
	if len(s.drains) >= maxDrains {
		return fmt.Errorf("bfdrain: too many drains, at most %d are supported", maxDrains)
	}
	s.drains = append(s.drains, &trackedDrain{Drain: d, started: map[targetKey]drainStart{}})
	return nil
}

// Remove removes a drain and reports whether it existed. Its targets take new requests
// again.
func (s *Set) Remove(id string) bool {
	before := len(s.drains)
	s.drains = slices.DeleteFunc(s.drains, func(d *trackedDrain) bool { return d.ID == id })
	return len(s.drains) < before
}

// Step updates the targets from the newest readings and starts to drain those that a
// drain covers; targets of a failure domain or region start only as far as the remaining
// capacity allows. A target without a new reading keeps its last one, marked as stale.
func (s *Set) Step(now time.Time, readings []Target) {
	for k, t := range s.targets {
		t.Age = s.limits.StaleAfter
		s.targets[k] = t
	}
	for _, t := range readings {
		s.targets[t.key()] = t
	}
	s.removeStale()
	targets := s.sortedTargets()
	for _, d := range s.drains {
		s.startTargets(now, d, targets)
	}
}

// removeStale removes targets with a stale reading that no drain covers.
func (s *Set) removeStale() {
	for k, t := range s.targets {
		covered := slices.ContainsFunc(s.drains, func(d *trackedDrain) bool { return Covers(d.Drain, t) })
		if t.Age >= s.limits.StaleAfter && !covered {
			delete(s.targets, k)
		}
	}
}

// sortedTargets returns the targets in an order that doesn't change between steps.
func (s *Set) sortedTargets() []Target {
	out := make([]Target, 0, len(s.targets))
	for _, t := range s.targets {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// startTargets starts to drain the targets of d. If d waits for capacity, it starts only
// those that the remaining capacity allows.
func (s *Set) startTargets(now time.Time, d *trackedDrain, targets []Target) {
	d.insufficientCapacity = false
	for _, t := range targets {
		if !Covers(d.Drain, t) {
			continue
		}
		_, started := d.started[t.key()]
		if !s.hasCapacityWithout(t, targets) {
			d.insufficientCapacity = true
			if waitsForCapacity(d.Kind) {
				continue
			}
		}
		if !started {
			d.started[t.key()] = drainStart{now, t.InFlight}
		}
	}
}

// hasCapacityWithout reports whether the load of excluded's pool fits on the other
// targets of the pool that have not started to drain. Targets with a stale reading add
// no capacity, but their last known load still counts. If no target of the pool reports
// a capacity, half of the targets must remain.
func (s *Set) hasCapacityWithout(excluded Target, targets []Target) bool {
	pool, totalCapacity, remainingCapacity, load := capacityPool{excluded.Kind, excluded.Service}, 0, 0, 0
	targetCount, remainingCount := 0, 0
	for _, t := range targets {
		if (capacityPool{t.Kind, t.Service}) != pool {
			continue
		}
		targetCount++
		totalCapacity += t.Capacity
		load += t.InFlight
		if t.key() != excluded.key() && t.Age < s.limits.StaleAfter && !s.hasStarted(t) {
			remainingCount++
			remainingCapacity += t.Capacity
		}
	}
	if totalCapacity == 0 {
		return remainingCount > 0 && 2*remainingCount >= targetCount
	}
	return remainingCapacity > 0 && float64(load) <= float64(remainingCapacity)*s.limits.MaxUtilization
}

// hasStarted reports whether any drain has started to drain the target.
func (s *Set) hasStarted(t Target) bool {
	for _, d := range s.drains {
		if _, ok := d.started[t.key()]; ok {
			return true
		}
	}
	return false
}

// MayTakeRequests reports whether a backend server or VM may get new requests. An entry
// checks this before each dispatch and for each look-up. A target that waits for
// capacity before it drains still takes requests. A target that is new in a draining
// failure domain or region takes none until Step has included it.
func (s *Set) MayTakeRequests(t Target) bool {
	for _, d := range s.drains {
		if !Covers(d.Drain, t) {
			continue
		}
		_, started := d.started[t.key()]
		_, known := s.targets[t.key()]
		if started || !known || !waitsForCapacity(d.Kind) {
			return false
		}
	}
	return true
}

// Progress returns the progress of all drains in the order in which they were added.
func (s *Set) Progress(now time.Time) []Progress {
	out := make([]Progress, 0, len(s.drains))
	targets := s.sortedTargets()
	for _, d := range s.drains {
		out = append(out, s.progress(now, d, targets))
	}
	return out
}

func (s *Set) progress(now time.Time, d *trackedDrain, targets []Target) Progress {
	p := Progress{Drain: d.Drain, State: StateWaiting, InsufficientCapacity: d.insufficientCapacity, RemainingKnown: true}
	lastStart := time.Time{}
	for _, t := range targets {
		if !Covers(d.Drain, t) {
			continue
		}
		p.Targets++
		start, ok := d.started[t.key()]
		if !ok {
			p.RemainingKnown = false
			continue
		}
		p.Started++
		p.InFlight += t.InFlight
		if start.at.After(lastStart) {
			lastStart = start.at
		}
		s.addTargetProgress(&p, now, t, start)
	}
	switch {
	case p.Started == 0:
		p.RemainingKnown = false
	case p.Empty == p.Targets:
		p.State, p.Remaining = StateEmpty, 0
	case now.Sub(lastStart) < PropagationTime:
		p.State = StateStopping
	default:
		p.State = StateEmptying
	}
	return p
}

// addTargetProgress counts one target that has started to drain and extends the estimate
// of the remaining time. The target is not empty before PropagationTime and, for a VM,
// the lifetime of cached look-ups have passed. Its requests are expected to complete at
// the rate since the start of the drain.
func (s *Set) addTargetProgress(p *Progress, now time.Time, t Target, start drainStart) {
	if t.Age >= s.limits.StaleAfter {
		p.Stale++
		p.RemainingKnown = false
		return
	}
	elapsed, minimum := now.Sub(start.at), PropagationTime
	if t.Kind == briarferry.DrainVM {
		minimum += s.limits.LookupTTL
	}
	remaining := max(0, minimum-elapsed)
	if t.InFlight == 0 && remaining == 0 {
		p.Empty++
		return
	}
	switch done := start.inFlight - t.InFlight; {
	case t.InFlight == 0:
	case done > 0:
		remaining = max(remaining, time.Duration(float64(elapsed)*float64(t.InFlight)/float64(done)))
	default:
		p.RemainingKnown = false
	}
	p.Remaining = max(p.Remaining, remaining)
}

// Reconcile adds the drains that are new in the given list, which comes from the
// replicated state, and removes those that are missing in it.
func (s *Set) Reconcile(drains []briarferry.Drain) error {
	listed := map[string]bool{}
	for _, d := range drains {
		listed[d.ID] = true
	}
	s.drains = slices.DeleteFunc(s.drains, func(d *trackedDrain) bool { return !listed[d.ID] })
	for _, d := range drains {
		if err := s.Add(d); err != nil {
			return err
		}
	}
	return nil
}
