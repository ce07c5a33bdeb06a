// Package bfroute finds the route of a request and splits the route's requests among
// services.
package bfroute

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"briarferry"
)

type (
	// Table is a route table prepared for look-ups. Its methods are safe for concurrent use.
	Table struct {
		Version uint64
		Limits  briarferry.EntryLimits

		hosts map[string][]*Route
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
	table := &Table{Version: t.Version, Limits: t.Limits, hosts: map[string][]*Route{}}
	for i := range t.Routes {
		r := &Route{Route: &t.Routes[i], currentWeights: make([]int, len(t.Routes[i].Split))}
		host := strings.ToLower(r.Host)
		table.hosts[host] = append(table.hosts[host], r)
	}
	for _, routes := range table.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return table
}

// Find returns the host's route with the longest prefix that matches the path, or nil.
func (t *Table) Find(hostport, path string) *Route {
	for _, r := range t.hosts[briarferry.HostName(hostport)] {
		if strings.HasPrefix(path, r.Prefix) {
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
