package bfcontrol

import (
	"slices"
	"sync/atomic"

	"briarferry"
	"briarferry/internal/state/bffleet"
)

type (
	// homeHosts knows the hosts with requests that only some regions may handle. It examines
	// each route table once, as look-ups come far more often than tables.
	homeHosts struct{ current atomic.Pointer[tableHomes] }

	tableHomes struct {
		table *briarferry.RouteTable
		hosts map[string]lookupLimits
	}

	// lookupLimits says in which regions the entries for callers of a host may be.
	lookupLimits struct {
		// bound limits the entries to the caller's region and the homes.
		bound bool
		// homes are the regions that are homes for all requests to the host.
		homes []string
		// revision is that of the fleet state that the limits come from.
		revision uint64
	}
)

// allow reports whether callers in a region may get entries of another one. An empty region
// is unknown.
func (l lookupLimits) allow(caller, entry string) bool {
	return !l.bound || caller != "" && entry == caller || slices.Contains(l.homes, entry)
}

// within returns the limits with those of a route's or organisation's home regions added.
func (l lookupLimits) within(homes []string) lookupLimits {
	switch {
	case len(homes) == 0:
	case !l.bound:
		l.bound, l.homes = true, homes
	default:
		isOther := func(region string) bool { return !slices.Contains(homes, region) }
		l.homes = slices.DeleteFunc(slices.Clone(l.homes), isOther)
	}
	return l
}

// limits returns the limits of the host: by its routes, and by the home regions of
// organisations. Any region but the caller's may turn out to be none of the homes of a host
// that the table doesn't have, or of all hosts if there is no table.
func (h *homeHosts) limits(s *bffleet.State, host string) lookupLimits {
	l, known := h.hosts(s.Routes)[briarferry.HostName(host)]
	if !known {
		l.bound = true
	}
	l.revision = s.Revision
	return l
}

func (h *homeHosts) hosts(t *briarferry.RouteTable) map[string]lookupLimits {
	if t == nil {
		return nil
	}
	homes := h.current.Load()
	if homes == nil || homes.table != t {
		homes = &tableHomes{table: t, hosts: hostLimits(t)}
		h.current.Store(homes)
	}
	return homes.hosts
}

// hostLimits returns the limits of the table's hosts. A look-up names neither the path nor the
// organisation of the requests that follow, and every organisation may use every route. So a
// region counts as a home of the host only if it is one for every route and organisation that
// has any.
func hostLimits(t *briarferry.RouteTable) map[string]lookupLimits {
	var all lookupLimits
	for i := range t.Organisations {
		all = all.within(t.Organisations[i].HomeRegions)
	}
	hosts := map[string]lookupLimits{}
	for i := range t.Routes {
		name := briarferry.HostName(t.Routes[i].Host)
		l, known := hosts[name]
		if !known {
			l = all
		}
		hosts[name] = l.within(t.Routes[i].HomeRegions)
	}
	return hosts
}
