package bffleet

import (
	"cmp"
	"slices"

	"briarferry"
)

const (
	maxServers        = 20_000
	maxFailureDomains = 1024
	// maxRemoved is the maximum number of removals that are kept. An entry that has
	// missed more removals gets the whole list of servers.
	maxRemoved = 1024
)

type (
	// State is the replicated state that entries use. A published State is never
	// modified.
	State struct {
		// Revision is the log index of the last change to any part of the state.
		Revision uint64 `cbor:"1,keyasint"`

		Routes         *briarferry.RouteTable `cbor:"2,keyasint"`
		RoutesRevision uint64                 `cbor:"3,keyasint"`
		// Evacuated lists the failure domains that get no requests, sorted.
		Evacuated         []string `cbor:"4,keyasint"`
		EvacuatedRevision uint64   `cbor:"5,keyasint"`
		// EvacuationOrders maps each failure domain to the log index of the last order to
		// evacuate it or to withdraw that. Only control VMs have it.
		EvacuationOrders map[string]uint64 `cbor:"10,keyasint,omitempty"`
		// Servers are the registered backend servers, sorted by instance ID.
		Servers         []Server `cbor:"6,keyasint"`
		ServersRevision uint64   `cbor:"7,keyasint"`
		// Removed are the latest removals of servers, oldest first. It contains all
		// removals after the revision RemovedSince.
		Removed      []Removal `cbor:"8,keyasint,omitempty"`
		RemovedSince uint64    `cbor:"9,keyasint,omitempty"`

		routeHistory routeHistory
	}

	// Server is a registered instance.
	Server struct {
		briarferry.Instance
		// ColdRevision is the log index at which the server last reported that it is
		// cold.
		ColdRevision uint64 `cbor:"20,keyasint,omitempty"`
		// Revision is the log index of the last change to this server.
		Revision uint64 `cbor:"21,keyasint,omitempty"`
	}

	// Removal records that a server was removed.
	Removal struct {
		ID string `cbor:"1,keyasint"`
		// Revision is the log index of the removal.
		Revision uint64 `cbor:"2,keyasint"`
	}

	// Update is the difference between an older state and the state at Revision. Parts
	// that have not changed are not set.
	Update struct {
		Revision  uint64                 `cbor:"1,keyasint"`
		Routes    *briarferry.RouteTable `cbor:"2,keyasint,omitempty"`
		Evacuated *[]string              `cbor:"3,keyasint,omitempty"`
		// Servers is the whole list. If it is not set, ChangedServers and RemovedServers
		// hold the changes of the list.
		Servers        *[]Server `cbor:"4,keyasint,omitempty"`
		ChangedServers []Server  `cbor:"5,keyasint,omitempty"`
		RemovedServers []string  `cbor:"6,keyasint,omitempty"`
		// RouteChange replaces Routes where the state before it has the table Base.
		RouteChange *RouteChange `cbor:"7,keyasint,omitempty"`
	}
)

// RoutesVersion returns the version of the route table, or 0 if there is none.
func (s *State) RoutesVersion() uint64 {
	if s.Routes == nil {
		return 0
	}
	return s.Routes.Version
}

// Server returns the registered instance with the given ID.
func (s *State) Server(id string) (Server, bool) {
	i, ok := s.find(id)
	if !ok {
		return Server{}, false
	}
	return s.Servers[i], true
}

func (s *State) find(id string) (int, bool) { return findServer(s.Servers, id) }

func findServer(list []Server, id string) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(srv Server, id string) int { return cmp.Compare(srv.ID, id) })
}

// remove removes the server at index i. No other state may share the list of servers.
func (s *State) remove(i int, index uint64) {
	s.Removed = append(slices.Clone(s.Removed), Removal{ID: s.Servers[i].ID, Revision: index})
	if over := len(s.Removed) - maxRemoved; over > 0 {
		s.RemovedSince = s.Removed[over-1].Revision
		s.Removed = s.Removed[over:]
	}
	s.Servers = slices.Delete(s.Servers, i, i+1)
}

// UpdateSince returns the changes after the given revision. It has the whole route table
// unless the receiver accepts a RouteChange.
func (s *State) UpdateSince(revision uint64, acceptsRouteChange bool) *Update {
	u := &Update{Revision: s.Revision}
	if s.RoutesRevision > revision {
		if acceptsRouteChange {
			u.RouteChange = s.routeChangeSince(revision)
		}
		if u.RouteChange == nil {
			u.Routes = s.Routes
		}
	}
	if s.EvacuatedRevision > revision {
		u.Evacuated = &s.Evacuated
	}
	switch {
	case s.ServersRevision <= revision:
	case revision == 0 || revision < s.RemovedSince:
		u.Servers = &s.Servers
	default:
		u.ChangedServers, u.RemovedServers = s.serversSince(revision)
	}
	return u
}

// serversSince returns the servers that changed after the revision, and the IDs of those
// that were removed and are not registered again.
func (s *State) serversSince(revision uint64) (changed []Server, removed []string) {
	for _, srv := range s.Servers {
		if srv.Revision > revision {
			changed = append(changed, srv)
		}
	}
	for _, r := range s.Removed {
		if _, registered := s.find(r.ID); !registered && r.Revision > revision {
			removed = append(removed, r.ID)
		}
	}
	return changed, removed
}

// Apply returns the state after the update. For an update that is not newer, or that changes
// another route table, it returns s and false.
func (s *State) Apply(u *Update) (*State, bool) {
	if u.Revision <= s.Revision || u.RouteChange != nil && u.RouteChange.Base != s.RoutesVersion() {
		return s, false
	}
	next := *s
	next.Revision = u.Revision
	if u.Routes != nil {
		next.Routes, next.RoutesRevision = u.Routes, u.Revision
	} else if u.RouteChange != nil {
		next.Routes, next.RoutesRevision = u.RouteChange.apply(s.Routes), u.Revision
	}
	if u.Evacuated != nil {
		next.Evacuated, next.EvacuatedRevision = *u.Evacuated, u.Revision
	}
	switch {
	case u.Servers != nil:
		next.Servers, next.ServersRevision = *u.Servers, u.Revision
	case len(u.ChangedServers)+len(u.RemovedServers) > 0:
		next.Servers, next.ServersRevision = applyServerChanges(s.Servers, u), u.Revision
	}
	return &next, true
}

// applyServerChanges returns the list of servers after the changes of the update.
func applyServerChanges(list []Server, u *Update) []Server {
	next := slices.Clone(list)
	for _, id := range u.RemovedServers {
		if i, ok := findServer(next, id); ok {
			next = slices.Delete(next, i, i+1)
		}
	}
	for _, srv := range u.ChangedServers {
		i, ok := findServer(next, srv.ID)
		if !ok {
			next = slices.Insert(next, i, srv)
			continue
		}
		next[i] = srv
	}
	return next
}

// Validate reports every part of the update that is out of range.
func (u *Update) Validate() briarferry.Findings {
	var f briarferry.Findings
	if u.Routes != nil {
		f.Merge("routes", u.Routes.Validate())
	}
	if u.RouteChange != nil {
		f.Merge("route_change", u.RouteChange.Validate())
	}
	if u.Evacuated != nil && len(*u.Evacuated) > maxFailureDomains {
		f.Add("evacuated", "must have at most %d entries", maxFailureDomains)
	}
	if u.Servers != nil && len(*u.Servers) > maxServers {
		f.Add("servers", "must have at most %d entries", maxServers)
	}
	if len(u.ChangedServers) > maxServers {
		f.Add("changed", "must have at most %d entries", maxServers)
	}
	if len(u.RemovedServers) > maxRemoved {
		f.Add("removed", "must have at most %d entries", maxRemoved)
	}
	return f
}
