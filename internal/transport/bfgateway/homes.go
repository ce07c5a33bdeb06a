package bfgateway

import (
	"net/http"
	"strings"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bfsteering"
)

const (
	// homesRetryAfter is the Retry-After of requests whose home regions have changed. A request
	// that comes again is bound to the newest route table.
	homesRetryAfter = 100 * time.Millisecond
	// unconfirmedRetryAfter is the Retry-After of requests with home regions while the route
	// table may not be the newest. It spans one heartbeat.
	unconfirmedRetryAfter = heartbeatInterval
)

// homesRequest returns what the home regions of the request depend on: its route and its
// organisation, as it was bound to them and in the newest route table.
func (n *Node) homesRequest(c *call) bfsteering.Request {
	r := bfsteering.Request{Route: c.route.Route, Organisation: c.organisation}
	table := n.routes.Load()
	if table.Version == c.tableVersion {
		return r
	}
	path, _, _ := strings.Cut(c.request.Target, "?")
	if route := table.Find(c.request.Host, path); route != nil {
		r.CurrentRoute = route.Route
	}
	r.CurrentOrganisation = table.Organisation(c.keys.only())
	return r
}

// checkHomes returns a refusal if no region may handle the request any more, or if the request
// has home regions and the entry can't tell whether they are the newest.
func (n *Node) checkHomes(r *bfsteering.Request) error {
	if !n.knowsHomes(r) {
		counters.homesUnconfirmed.Add(1)
		return &briarferry.Refusal{
			Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun, Reason: "the entry can't tell whether its route table is the newest", RetryAfter: unconfirmedRetryAfter,
		}
	}
	if r.HasRegion() {
		return nil
	}
	counters.homesChanged.Add(1)
	return &briarferry.Refusal{
		Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun, Reason: "the home regions of the request have changed", RetryAfter: homesRetryAfter,
	}
}

// mayRunIn reports whether the request may be sent to a server in the region now.
func (n *Node) mayRunIn(c *call, region string) bool {
	r := n.homesRequest(c)
	return r.ServesIn(region) && n.knowsHomes(&r)
}

// knowsHomes reports whether the request has no home regions, or those of the newest table.
func (n *Node) knowsHomes(r *bfsteering.Request) bool {
	return !r.HasHomes() || n.fleet.confirmations.IsCurrent(n.fleet.clock())
}

// homeRegions returns the home regions of the request's route and of its organisation.
func (c *call) homeRegions() []string {
	if c.route == nil {
		return nil
	}
	homes := c.route.HomeRegions
	if c.organisation.HasHomes() {
		homes = append(homes[:len(homes):len(homes)], c.organisation.HomeRegions...)
	}
	return homes
}
