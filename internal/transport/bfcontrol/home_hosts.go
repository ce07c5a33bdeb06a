package bfcontrol

import (
	"slices"
	"sync/atomic"

	"briarferry"
)

type (
	// homeHosts knows the hosts with requests that only some regions may handle. It examines
	// each route table once, as look-ups come far more often than tables.
	homeHosts struct{ current atomic.Pointer[tableHomes] }

	tableHomes struct {
		table *briarferry.RouteTable
		hosts map[string]bool
	}
)

// bound reports whether requests to the host may be limited to some regions, by a route of
// the host or by the home regions of an organisation.
func (h *homeHosts) bound(t *briarferry.RouteTable, host string) bool {
	if t == nil {
		return false
	}
	homes := h.current.Load()
	if homes == nil || homes.table != t {
		homes = &tableHomes{table: t, hosts: boundHosts(t)}
		h.current.Store(homes)
	}
	return homes.hosts[briarferry.HostName(host)]
}

// boundHosts returns the hosts of the table with home regions. Every organisation may use
// every route, so one with home regions binds all hosts.
func boundHosts(t *briarferry.RouteTable) map[string]bool {
	all := slices.ContainsFunc(t.Organisations, func(o briarferry.Organisation) bool { return len(o.HomeRegions) > 0 })
	hosts := map[string]bool{}
	for i := range t.Routes {
		if r := &t.Routes[i]; all || len(r.HomeRegions) > 0 {
			hosts[briarferry.HostName(r.Host)] = true
		}
	}
	return hosts
}
