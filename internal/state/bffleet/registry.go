package bffleet

import (
	"slices"

	"briarferry"
)

// register adds or updates the reported instances. It ignores delayed reports: those of
// an earlier process, of an instance that has left, and of a process that was replaced by
// another instance at the same address.
func (m *Machine) register(index uint64, r *Register) Code {
	old := m.State()
	next := *old
	next.Servers = slices.Clone(old.Servers)
	changed := false
	code := CodeOK
	for i := range r.Instances {
		in := &r.Instances[i]
		if m.outdated(&next, in) {
			continue
		}
		if _, ok := next.find(in.ID); !ok && len(next.Servers) >= maxServers {
			code = CodeFull
			continue
		}
		changed = m.mergeReport(&next, index, in) || changed
	}
	if !changed {
		return code
	}
	next.Revision, next.ServersRevision = index, index
	m.publish(&next)
	return code
}

// outdated reports whether the report comes from a process that is known to have ended.
func (m *Machine) outdated(s *State, in *briarferry.Instance) bool {
	if last, left := m.left.get(in.ID); left && in.Started <= last {
		return true
	}
	if known, ok := s.Server(in.ID); ok {
		if in.Started < known.Started {
			return true
		}
		// A process has one address and one service; a report with others comes from
		// another server.
		if in.Started > 0 && in.Started == known.Started && !known.SameProcess(in) {
			return true
		}
	}
	return slices.ContainsFunc(s.Servers, func(other Server) bool {
		return other.Address == in.Address && other.ID != in.ID && other.Started > in.Started
	})
}

// mergeReport merges the report into the state and reports whether the state changed.
func (m *Machine) mergeReport(s *State, index uint64, in *briarferry.Instance) bool {
	for i := len(s.Servers) - 1; i >= 0; i-- {
		if other := s.Servers[i]; other.Address == in.Address && other.ID != in.ID {
			m.left.put(other.ID, other.Started)
			s.remove(i, index)
		}
	}
	srv := Server{Instance: *in, Revision: index}
	if in.ColdRemaining > 0 {
		srv.ColdRevision = index
	}
	i, known := s.find(in.ID)
	if !known {
		s.Servers = slices.Insert(s.Servers, i, srv)
		return true
	}
	old := s.Servers[i]
	if old.Started == in.Started && old.Sequence >= in.Sequence {
		return false
	}
	if old.SameProcess(in) {
		// A draining server doesn't become ready again without a restart.
		srv.Draining = srv.Draining || old.Draining
		if in.ColdRemaining == 0 {
			srv.ColdRemaining, srv.ColdRevision = old.ColdRemaining, old.ColdRevision
		}
		if srv.Draining == old.Draining && srv.Slots == old.Slots && srv.ColdRevision == old.ColdRevision {
			return false
		}
	}
	s.Servers[i] = srv
	return true
}

// leave removes an instance and records that it has left. It ignores an order for an earlier
// process of the instance.
func (m *Machine) leave(index uint64, l *Leave) Code {
	old := m.State()
	i, ok := old.find(l.ID)
	if !ok || l.Started != 0 && l.Started != old.Servers[i].Started {
		return CodeOK
	}
	m.left.put(l.ID, old.Servers[i].Started)
	m.removeServer(i, index)
	return CodeOK
}

// expire removes an instance unless it has changed since the leader found that it had
// stopped reporting.
func (m *Machine) expire(index uint64, e *Expire) Code {
	if srv, ok := m.State().Server(e.ID); ok && srv.Revision == e.Revision {
		i, _ := m.State().find(e.ID)
		m.removeServer(i, index)
	}
	return CodeOK
}

// removeServer publishes the state without the server at index i of the list.
func (m *Machine) removeServer(i int, index uint64) {
	next := *m.State()
	next.Revision, next.ServersRevision = index, index
	next.Servers = slices.Clone(next.Servers)
	next.remove(i, index)
	m.publish(&next)
}
