package bfdrain

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"briarferry"
)

type (
	// Set tracks all drains of one process.
	Set struct {
		limits  Limits
		drains  []*tracked
		targets map[targetKey]Target
	}

	// tracked is a drain with what it has begun.
	tracked struct {
		briarferry.Drain
		begun       map[targetKey]start
		breaksLimit bool
	}

	// start is when a target began to drain, with its requests in flight then.
	start struct {
		at       time.Time
		inFlight int
	}

	targetKey struct {
		kind    briarferry.DrainKind
		service string
		name    string
	}

	// pool is the targets that can take each other's work.
	pool struct {
		kind    briarferry.DrainKind
		service string
	}
)

// New returns an empty set.
func New(limits Limits) *Set {
	return &Set{limits: limits, targets: map[targetKey]Target{}}
}

func (t Target) key() targetKey { return targetKey{t.Kind, t.Service, t.Name} }

// Add adds a drain. The same drain may be announced again.
func (s *Set) Add(d briarferry.Drain) error {
	if err := d.Validate().Err(); err != nil {
		return fmt.Errorf("bfdrain: %w", err)
	}
	if d.ID == "" {
		return fmt.Errorf("bfdrain: a drain has no id")
	}
	for _, known := range s.drains {
		if known.ID == d.ID {
			if known.Drain != d {
				return fmt.Errorf("bfdrain: drain %s was announced for another target", d.ID)
			}
			return nil
		}
	}
	if len(s.drains) >= maxDrains {
		return fmt.Errorf("bfdrain: more than %d drains", maxDrains)
	}
	s.drains = append(s.drains, &tracked{Drain: d, begun: map[targetKey]start{}})
	return nil
}

// Remove forgets a drain; its targets take new work again.
func (s *Set) Remove(id string) bool {
	before := len(s.drains)
	s.drains = slices.DeleteFunc(s.drains, func(d *tracked) bool { return d.ID == id })
	return len(s.drains) < before
}

// Step takes the newest readings of all targets and begins what capacity allows. A
// target that is missing from the readings keeps its last one as silent.
func (s *Set) Step(now time.Time, readings []Target) {
	for k, t := range s.targets {
		t.Age = s.limits.StaleAfter
		s.targets[k] = t
	}
	for _, t := range readings {
		s.targets[t.key()] = t
	}
	s.forget()
	ordered := s.ordered()
	for _, d := range s.drains {
		s.begin(now, d, ordered)
	}
}

// forget drops silent targets that no drain covers.
func (s *Set) forget() {
	for k, t := range s.targets {
		covered := slices.ContainsFunc(s.drains, func(d *tracked) bool { return Covers(d.Drain, t) })
		if t.Age >= s.limits.StaleAfter && !covered {
			delete(s.targets, k)
		}
	}
}

func (s *Set) ordered() []Target {
	out := make([]Target, 0, len(s.targets))
	for _, t := range s.targets {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	return out
}

func (s *Set) begin(now time.Time, d *tracked, ordered []Target) {
	d.breaksLimit = false
	for _, t := range ordered {
		if !Covers(d.Drain, t) {
			continue
		}
		_, begun := d.begun[t.key()]
		if !s.fits(t, ordered) {
			d.breaksLimit = true
			if paced(d.Kind) {
				continue
			}
		}
		if !begun {
			d.begun[t.key()] = start{now, t.InFlight}
		}
	}
}

// fits tells whether the other targets can carry the pool's load without the given
// one and all that have begun. Silent targets carry nothing, but their last known
// load still counts. Where no target of the pool tells a capacity, half of them must
// be left.
func (s *Set) fits(without Target, ordered []Target) bool {
	p, all, capacity, load := pool{without.Kind, without.Service}, 0, 0, 0
	total, left := 0, 0
	for _, t := range ordered {
		if (pool{t.Kind, t.Service}) != p {
			continue
		}
		total++
		all += t.Capacity
		load += t.InFlight
		if t.key() != without.key() && t.Age < s.limits.StaleAfter && !s.hasBegun(t) {
			left++
			capacity += t.Capacity
		}
	}
	if all == 0 {
		return left > 0 && 2*left >= total
	}
	return capacity > 0 && float64(load) <= float64(capacity)*s.limits.MaxUtilization
}

func (s *Set) hasBegun(t Target) bool {
	for _, d := range s.drains {
		if _, ok := d.begun[t.key()]; ok {
			return true
		}
	}
	return false
}

// MayTakeWork tells whether a backend server or VM may get new work. An entry asks
// this before each dispatch and for each look-up. A target that has not begun to
// drain, for lack of capacity, still takes work. A target that is new in a draining
// failure domain or region takes none until a step has counted it.
func (s *Set) MayTakeWork(t Target) bool {
	for _, d := range s.drains {
		if !Covers(d.Drain, t) {
			continue
		}
		_, begun := d.begun[t.key()]
		_, known := s.targets[t.key()]
		if begun || !known || !paced(d.Kind) {
			return false
		}
	}
	return true
}

// Progress describes all drains in the order of their announcement.
func (s *Set) Progress(now time.Time) []Progress {
	out := make([]Progress, 0, len(s.drains))
	ordered := s.ordered()
	for _, d := range s.drains {
		out = append(out, s.progress(now, d, ordered))
	}
	return out
}

func (s *Set) progress(now time.Time, d *tracked, ordered []Target) Progress {
	p := Progress{Drain: d.Drain, State: StateWaiting, BreaksLimit: d.breaksLimit, RemainingKnown: true}
	newest := time.Time{}
	for _, t := range ordered {
		if !Covers(d.Drain, t) {
			continue
		}
		p.Targets++
		began, ok := d.begun[t.key()]
		if !ok {
			p.RemainingKnown = false
			continue
		}
		p.Started++
		p.InFlight += t.InFlight
		if began.at.After(newest) {
			newest = began.at
		}
		s.addTarget(&p, now, t, began)
	}
	switch {
	case p.Started == 0:
		p.RemainingKnown = false
	case p.Empty == p.Targets:
		p.State, p.Remaining = StateEmpty, 0
	case now.Sub(newest) < PropagationTime:
		p.State = StateStopping
	default:
		p.State = StateEmptying
	}
	return p
}

// addTarget counts one begun target and extends the estimate: a target is empty no
// sooner than its callers have stopped using cached look-ups, and its requests go on
// finishing at the pace they had since it began.
func (s *Set) addTarget(p *Progress, now time.Time, t Target, began start) {
	if t.Age >= s.limits.StaleAfter {
		p.Stale++
		p.RemainingKnown = false
		return
	}
	elapsed, least := now.Sub(began.at), PropagationTime
	if t.Kind == briarferry.DrainVM {
		least += s.limits.LookupTTL
	}
	remaining := max(0, least-elapsed)
	if t.InFlight == 0 && remaining == 0 {
		p.Empty++
		return
	}
	switch done := began.inFlight - t.InFlight; {
	case t.InFlight == 0:
	case done > 0:
		remaining = max(remaining, time.Duration(float64(elapsed)*float64(t.InFlight)/float64(done)))
	default:
		p.RemainingKnown = false
	}
	p.Remaining = max(p.Remaining, remaining)
}

// Reconcile announces the drains that are new in the replicated state's list and
// ends those that are gone from it.
func (s *Set) Reconcile(drains []briarferry.Drain) error {
	listed := map[string]bool{}
	for _, d := range drains {
		listed[d.ID] = true
	}
	s.drains = slices.DeleteFunc(s.drains, func(d *tracked) bool { return !listed[d.ID] })
	for _, d := range drains {
		if err := s.Add(d); err != nil {
			return err
		}
	}
	return nil
}
