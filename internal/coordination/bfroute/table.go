// Package bfroute finds the route of a request and the part of its split.
package bfroute

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"briarferry"
)

type (
	// Table is a route table prepared for look-ups. Its methods may be called at the
	// same time.
	Table struct {
		Version uint64
		Limits  briarferry.EdgeLimits

		hosts map[string][]*Route
	}

	// Route is a route with the state of its split.
	Route struct {
		*briarferry.Route

		mu      sync.Mutex
		current []int
	}
)

// New prepares a route table.
func New(t *briarferry.RouteTable) *Table {
	table := &Table{Version: t.Version, Limits: t.Limits, hosts: map[string][]*Route{}}
	for i := range t.Routes {
		r := &Route{Route: &t.Routes[i], current: make([]int, len(t.Routes[i].Split))}
		host := strings.ToLower(r.Host)
		table.hosts[host] = append(table.hosts[host], r)
	}
	for _, routes := range table.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return table
}

// Find returns the route of the host with the longest prefix that begins the path, or nil.
func (t *Table) Find(hostport, path string) *Route {
	for _, r := range t.hosts[briarferry.HostName(hostport)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NextService returns the service for the next request. Any run of requests is spread as the
// weights say, to within one request a part.
func (r *Route) NextService() string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	best, total := 0, 0
	for i, part := range r.Split {
		r.current[i] += part.Weight
		total += part.Weight
		if r.current[i] > r.current[best] {
			best = i
		}
	}
	r.current[best] -= total
	return r.Split[best].Service
}
