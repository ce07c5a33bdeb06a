package bffleet

import (
	"slices"

	"briarferry"
)

const (
	// maxRouteHistory is the number of changes of the route table of which the routes and
	// organisations are remembered, and maxRouteKeys the number of both in them. An entry that
	// has missed more gets the whole table.
	maxRouteHistory = 256
	maxRouteKeys    = 16_384
	// wholeTableShare is the share of changed routes and organisations from which the whole
	// table is sent.
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
		// ChangedOrganisations were added or differ, and RemovedOrganisations are the names of
		// those that are gone. KeySalt is that of the newer table.
		ChangedOrganisations []briarferry.Organisation `cbor:"7,keyasint,omitempty"`
		RemovedOrganisations []string                  `cbor:"8,keyasint,omitempty"`
		KeySalt              []byte                    `cbor:"9,keyasint,omitempty"`
	}

	// pastChange names the routes and organisations that a change of the table added, changed
	// or removed.
	pastChange struct {
		// revision is the log index of the change, and base the version before it.
		revision, base uint64
		keys           []RouteKey
		organisations  []string
	}

	// routeHistory holds the latest changes of the route table, oldest first. It is not
	// replicated: a control VM that restarts begins a new one.
	routeHistory struct {
		// since is the revision of the table before the oldest change.
		since   uint64
		changes []pastChange
		// keys is the number of routes and organisations in all changes.
		keys int
	}
)

func keyOf(r *briarferry.Route) RouteKey { return RouteKey{Host: r.Host, Prefix: r.Prefix} }

func nameOf(o *briarferry.Organisation) string { return o.Name }

func (c *pastChange) size() int { return len(c.keys) + len(c.organisations) }

// add returns the history with the change from one state to the next. The old history stays
// unchanged, as published states share it.
func (h routeHistory) add(from, to *State) routeHistory {
	if from.Routes == nil {
		return routeHistory{since: to.RoutesRevision}
	}
	c := pastChange{
		revision: to.RoutesRevision, base: from.Routes.Version, keys: changedKeys(from.Routes.Routes, to.Routes.Routes, keyOf),
		organisations: changedKeys(from.Routes.Organisations, to.Routes.Organisations, nameOf),
	}
	if len(h.changes) == 0 {
		h.since = from.RoutesRevision
	}
	h.changes = append(slices.Clone(h.changes), c)
	h.keys += c.size()
	for len(h.changes) > maxRouteHistory || h.keys > maxRouteKeys {
		h.since = h.changes[0].revision
		h.keys -= h.changes[0].size()
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
	change := &RouteChange{Base: h.changes[first].base, Version: s.Routes.Version, Services: s.Routes.Services, Limits: s.Routes.Limits, KeySalt: s.Routes.KeySalt}
	var keys []RouteKey
	var names []string
	for _, past := range h.changes[first:] {
		keys, names = append(keys, past.keys...), append(names, past.organisations...)
	}
	change.Changed, change.Removed = split(s.Routes.Routes, keys, keyOf)
	change.ChangedOrganisations, change.RemovedOrganisations = split(s.Routes.Organisations, names, nameOf)
	size, whole := len(change.Changed)+len(change.ChangedOrganisations), len(s.Routes.Routes)+len(s.Routes.Organisations)
	if float64(size) > wholeTableShare*float64(whole) {
		return nil
	}
	return change
}

// apply returns the table after the change. The given table stays unchanged.
func (c *RouteChange) apply(t *briarferry.RouteTable) *briarferry.RouteTable {
	return &briarferry.RouteTable{
		Version: c.Version, Services: c.Services, Limits: c.Limits, KeySalt: c.KeySalt,
		Routes:        merge(t.Routes, c.Changed, c.Removed, keyOf),
		Organisations: merge(t.Organisations, c.ChangedOrganisations, c.RemovedOrganisations, nameOf),
	}
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
	if len(c.RemovedOrganisations) > briarferry.MaxOrganisations {
		f.Add("removed_organisations", "must have at most %d entries", briarferry.MaxOrganisations)
	}
	table := briarferry.RouteTable{
		Version: c.Version, Services: c.Services, Routes: c.Changed, Limits: c.Limits, Organisations: c.ChangedOrganisations, KeySalt: c.KeySalt,
	}
	f.Merge("changed", table.Validate())
	return f
}
