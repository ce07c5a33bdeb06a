package bffleet

import (
	"cmp"
	"slices"

	"briarferry"
)

const (
	maxServers        = 20_000
	maxFailureDomains = 1024
	// maxRemoved bounds the kept removals of servers. An entry that missed more of them
	// gets the whole list.
	maxRemoved = 1024
)

type (
	// State is what entries act on. A value is never changed after it was published.
	State struct {
		// Revision is the log index of the last change to any part.
		Revision uint64 `cbor:"1,keyasint"`

		Routes         *briarferry.RouteTable `cbor:"2,keyasint"`
		RoutesRevision uint64                 `cbor:"3,keyasint"`
		// Evacuated lists the failure domains that get nothing, sorted.
		Evacuated         []string `cbor:"4,keyasint"`
		EvacuatedRevision uint64   `cbor:"5,keyasint"`
		// Servers are the registered backend servers, sorted by instance ID.
		Servers         []Server `cbor:"6,keyasint"`
		ServersRevision uint64   `cbor:"7,keyasint"`
		// Removed are the latest removals of servers, the oldest first; all removals
		// after RemovedSince are among them.
		Removed      []Removal `cbor:"8,keyasint,omitempty"`
		RemovedSince uint64    `cbor:"9,keyasint,omitempty"`
	}

	// Server is a registered instance.
	Server struct {
		briarferry.Instance
		// ColdRevision is the log index at which the server last reported to be cold.
		ColdRevision uint64 `cbor:"20,keyasint,omitempty"`
		// Revision is the log index of the last change to this server.
		Revision uint64 `cbor:"21,keyasint,omitempty"`
	}

	// Removal is the end of a server's registration.
	Removal struct {
		ID string `cbor:"1,keyasint"`
		// Revision is the log index of the removal.
		Revision uint64 `cbor:"2,keyasint"`
	}

	// Update brings a state to a revision; parts that have not changed are not set.
	Update struct {
		Revision  uint64                 `cbor:"1,keyasint"`
		Routes    *briarferry.RouteTable `cbor:"2,keyasint,omitempty"`
		Evacuated *[]string              `cbor:"3,keyasint,omitempty"`
		// Servers is the whole list; where it is not set, Changed and Removed say how
		// the list differs.
		Servers        *[]Server `cbor:"4,keyasint,omitempty"`
		ChangedServers []Server  `cbor:"5,keyasint,omitempty"`
		RemovedServers []string  `cbor:"6,keyasint,omitempty"`
	}
)

// RoutesVersion returns the version of the route table, 0 where there is none yet.
func (s *State) RoutesVersion() uint64 {
	if s.Routes == nil {
		return 0
	}
	return s.Routes.Version
}

// Server returns the registered instance with the ID.
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

// remove takes the server at a place out of the list, which belongs to this state alone.
func (s *State) remove(i int, index uint64) {
	s.Removed = append(slices.Clone(s.Removed), Removal{ID: s.Servers[i].ID, Revision: index})
	if over := len(s.Removed) - maxRemoved; over > 0 {
		s.RemovedSince = s.Removed[over-1].Revision
		s.Removed = s.Removed[over:]
	}
	s.Servers = slices.Delete(s.Servers, i, i+1)
}

// UpdateSince returns the parts that changed after the revision.
func (s *State) UpdateSince(revision uint64) *Update {
	u := &Update{Revision: s.Revision}
	if s.RoutesRevision > revision {
		u.Routes = s.Routes
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
// that were removed and have not come back.
func (s *State) serversSince(revision uint64) (changed []Server, removed []string) {
	for _, srv := range s.Servers {
		if srv.Revision > revision {
			changed = append(changed, srv)
		}
	}
	for _, r := range s.Removed {
		if _, back := s.find(r.ID); !back && r.Revision > revision {
			removed = append(removed, r.ID)
		}
	}
	return changed, removed
}

// Apply returns the state that the update makes of this one, or false for an update
// that is not newer.
func (s *State) Apply(u *Update) (*State, bool) {
	if u.Revision <= s.Revision {
		return s, false
	}
	next := *s
	next.Revision = u.Revision
	if u.Routes != nil {
		next.Routes, next.RoutesRevision = u.Routes, u.Revision
	}
	if u.Evacuated != nil {
		next.Evacuated, next.EvacuatedRevision = *u.Evacuated, u.Revision
	}
	switch {
	case u.Servers != nil:
		next.Servers, next.ServersRevision = *u.Servers, u.Revision
	case len(u.ChangedServers)+len(u.RemovedServers) > 0:
		next.Servers, next.ServersRevision = merge(s.Servers, u), u.Revision
	}
	return &next, true
}

// merge returns the list of servers after the update's changes.
func merge(list []Server, u *Update) []Server {
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

// Validate reports an update beyond the bounds of the state.
func (u *Update) Validate() briarferry.Findings {
	var f briarferry.Findings
	if u.Routes != nil {
		f.Merge("routes", u.Routes.Validate())
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
