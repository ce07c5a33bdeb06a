package bffleet

import (
	"reflect"
	"slices"

	"briarferry"
)

const (
	// maxRouteHistory is the number of changes of the route table of which the routes are
	// remembered, and maxRouteKeys the number of routes in them. An entry that has missed
	// more gets the whole table.
	maxRouteHistory = 256
	maxRouteKeys    = 16_384
	// wholeTableShare is the share of changed routes from which the whole table is sent.
	wholeTableShare = 0.5
)

type (
	// RouteKey identifies a route in its table.
	RouteKey struct {
		Host   string `cbor:"1,keyasint"`
		Prefix string `cbor:"2,keyasint"`
	}

	// RouteChange is the difference between two route tables.
	RouteChange struct {
		// Base and Version are the versions of the two tables.
		Base    uint64 `cbor:"1,keyasint"`
		Version uint64 `cbor:"2,keyasint"`
		// Changed are the routes that were added or differ, and Removed those that are gone.
		Changed []briarferry.Route `cbor:"3,keyasint,omitempty"`
		Removed []RouteKey         `cbor:"4,keyasint,omitempty"`
		// Services and Limits are those of the newer table.
		Services []briarferry.RouteService `cbor:"5,keyasint"`
		Limits   briarferry.EntryLimits    `cbor:"6,keyasint"`
	}

	// pastChange names the routes that a change of the table added, changed or removed.
	pastChange struct {
		// revision is the log index of the change, and base the version before it.
		revision, base uint64
		keys           []RouteKey
	}

	// routeHistory holds the latest changes of the route table, oldest first. It is not
	// replicated: a control VM that restarts begins a new one.
	routeHistory struct {
		// since is the revision of the table before the oldest change.
		since   uint64
		changes []pastChange
		// keys is the number of keys in all changes.
		keys int
	}
)

func keyOf(r *briarferry.Route) RouteKey { return RouteKey{Host: r.Host, Prefix: r.Prefix} }

func routesByKey(t *briarferry.RouteTable) map[RouteKey]*briarferry.Route {
	routes := make(map[RouteKey]*briarferry.Route, len(t.Routes))
	for i := range t.Routes {
		routes[keyOf(&t.Routes[i])] = &t.Routes[i]
	}
	return routes
}

// changedRoutes returns the keys of the routes that are not the same in both tables.
func changedRoutes(from, to *briarferry.RouteTable) []RouteKey {
	old := routesByKey(from)
	var keys []RouteKey
	for i := range to.Routes {
		r := &to.Routes[i]
		key := keyOf(r)
		if before := old[key]; before == nil || !reflect.DeepEqual(before, r) {
			keys = append(keys, key)
		}
		delete(old, key)
	}
	for i := range from.Routes {
		if key := keyOf(&from.Routes[i]); old[key] != nil {
			keys = append(keys, key)
		}
	}
	return keys
}

// add returns the history with the change from one state to the next. The old history stays
// unchanged, as published states share it.
func (h routeHistory) add(from, to *State) routeHistory {
	if from.Routes == nil {
		return routeHistory{since: to.RoutesRevision}
	}
	c := pastChange{revision: to.RoutesRevision, base: from.Routes.Version, keys: changedRoutes(from.Routes, to.Routes)}
	if len(h.changes) == 0 {
		h.since = from.RoutesRevision
	}
	h.changes = append(slices.Clone(h.changes), c)
	h.keys += len(c.keys)
	for len(h.changes) > maxRouteHistory || h.keys > maxRouteKeys {
		h.since = h.changes[0].revision
		h.keys -= len(h.changes[0].keys)
		h.changes = h.changes[1:]
	}
	return h
}

// routeChangeSince returns the change of the route table after the revision, or nil if it is
// not known or not much smaller than the table.
func (s *State) routeChangeSince(revision uint64) *RouteChange {
	h := s.routeHistory
	if revision == 0 || revision < h.since {
		return nil
	}
	first := slices.IndexFunc(h.changes, func(c pastChange) bool { return c.revision > revision })
	if first < 0 {
		return nil
	}
	change := &RouteChange{Base: h.changes[first].base, Version: s.Routes.Version, Services: s.Routes.Services, Limits: s.Routes.Limits}
	routes := routesByKey(s.Routes)
	seen := map[RouteKey]bool{}
	for _, past := range h.changes[first:] {
		for _, key := range past.keys {
			if seen[key] {
				continue
			}
			seen[key] = true
			if r := routes[key]; r != nil {
				change.Changed = append(change.Changed, *r)
			} else {
				change.Removed = append(change.Removed, key)
			}
		}
	}
	if float64(len(change.Changed)) > wholeTableShare*float64(len(s.Routes.Routes)) {
		return nil
	}
	return change
}

// apply returns the table after the change. The given table stays unchanged.
func (c *RouteChange) apply(t *briarferry.RouteTable) *briarferry.RouteTable {
	changed := make(map[RouteKey]*briarferry.Route, len(c.Changed))
	for i := range c.Changed {
		changed[keyOf(&c.Changed[i])] = &c.Changed[i]
	}
	removed := make(map[RouteKey]bool, len(c.Removed))
	for _, key := range c.Removed {
		removed[key] = true
	}
	next := &briarferry.RouteTable{Version: c.Version, Services: c.Services, Limits: c.Limits, Routes: make([]briarferry.Route, 0, len(t.Routes)+len(c.Changed))}
	for i := range t.Routes {
		key := keyOf(&t.Routes[i])
		switch r := changed[key]; {
		case r != nil:
			next.Routes = append(next.Routes, *r)
			delete(changed, key)
		case !removed[key]:
			next.Routes = append(next.Routes, t.Routes[i])
		}
	}
	for i := range c.Changed {
		if changed[keyOf(&c.Changed[i])] != nil {
			next.Routes = append(next.Routes, c.Changed[i])
		}
	}
	return next
}

// Validate reports every field that is out of range. The table that results is checked by
// the control VMs that accepted it.
func (c *RouteChange) Validate() briarferry.Findings {
	var f briarferry.Findings
	if c.Version <= c.Base || c.Base == 0 {
		f.Add("version", "must be above that of the base, which must be at least 1")
	}
	if len(c.Removed) > briarferry.MaxRoutes {
		f.Add("removed", "must have at most %d entries", briarferry.MaxRoutes)
	}
	table := briarferry.RouteTable{Version: c.Version, Services: c.Services, Routes: c.Changed, Limits: c.Limits}
	f.Merge("changed", table.Validate())
	return f
}
