package bffleet

import (
	"slices"

	"briarferry"
)

const (
	maxServers        = 20_000
	maxFailureDomains = 1024
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
	}

	// Server is a registered instance.
	Server struct {
		briarferry.Instance
		// ColdMark is the log index at which the server last reported to be cold.
		ColdMark uint64 `cbor:"20,keyasint,omitempty"`
	}

	// Update brings a state to a revision; parts that have not changed are not set.
	Update struct {
		Revision  uint64                 `cbor:"1,keyasint"`
		Routes    *briarferry.RouteTable `cbor:"2,keyasint,omitempty"`
		Evacuated *[]string              `cbor:"3,keyasint,omitempty"`
		Servers   *[]Server              `cbor:"4,keyasint,omitempty"`
	}
)

// Version returns the version of the route table, 0 where there is none yet.
func (s *State) Version() uint64 {
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

func (s *State) find(id string) (int, bool) {
	return slices.BinarySearchFunc(s.Servers, id, func(srv Server, id string) int {
		switch {
		case srv.ID < id:
			return -1
		case srv.ID > id:
			return 1
		}
		return 0
	})
}

// Since returns the parts that changed after the revision.
func (s *State) Since(revision uint64) *Update {
	u := &Update{Revision: s.Revision}
	if s.RoutesRevision > revision {
		u.Routes = s.Routes
	}
	if s.EvacuatedRevision > revision {
		u.Evacuated = &s.Evacuated
	}
	if s.ServersRevision > revision {
		u.Servers = &s.Servers
	}
	return u
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
	if u.Servers != nil {
		next.Servers, next.ServersRevision = *u.Servers, u.Revision
	}
	return &next, true
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
	return f
}
