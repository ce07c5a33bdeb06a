// Package bfroute finds the route of a request and splits the route's requests among
// services.
package bfroute

import (
	"strings"
	"sync"

	"briarferry"
)

type (
	// Table is a route table prepared for look-ups. Its methods are safe for concurrent use.
	Table struct {
		Version uint64
		Limits  briarferry.EntryLimits

		hosts map[string]*hostRoutes
		// organisations is nil if the table has none.
		organisations *organisations
	}

	// hostRoutes are the routes of a host by their prefix, and the length of the longest one.
	hostRoutes struct {
		byPrefix map[string]*Route
		longest  int
	}

	// Route is a route with the state of its traffic split.
	Route struct {
		*briarferry.Route

		mu             sync.Mutex
		currentWeights []int
	}
)

// New prepares a route table for look-ups.
func New(t *briarferry.RouteTable) *Table {
	table := &Table{Version: t.Version, Limits: t.Limits, hosts: map[string]*hostRoutes{}, organisations: newOrganisations(t)}
	for i := range t.Routes {
		r := &Route{Route: &t.Routes[i], currentWeights: make([]int, len(t.Routes[i].Split))}
		name := strings.ToLower(r.Host)
		host := table.hosts[name]
		if host == nil {
			host = &hostRoutes{byPrefix: map[string]*Route{}}
			table.hosts[name] = host
		}
		host.byPrefix[r.Prefix] = r
		host.longest = max(host.longest, len(r.Prefix))
	}
	return table
}

// Find returns the host's route with the longest prefix that matches the path, or nil. Every
// prefix ends with a slash, so its time grows with the slashes of the path and not with the
// number of routes.
func (t *Table) Find(hostport, path string) *Route {
	host := t.hosts[briarferry.HostName(hostport)]
	if host == nil {
		return nil
	}
	path = path[:min(len(path), host.longest)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := host.byPrefix[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// NextService returns the service for the next request by smooth weighted round-robin. In
// any sequence of requests each service gets its weighted share to within one request.
func (r *Route) NextService() string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	selected, totalWeight := 0, 0
	for i, part := range r.Split {
		r.currentWeights[i] += part.Weight
		totalWeight += part.Weight
		if r.currentWeights[i] > r.currentWeights[selected] {
			selected = i
		}
	}
	r.currentWeights[selected] -= totalWeight
	return r.Split[selected].Service
}
