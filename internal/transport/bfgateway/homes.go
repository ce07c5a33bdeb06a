package bfgateway

import (
	"strings"

	"briarferry"
)

// currentBinding returns the route and the organisation of the request in the newest route
// table. The route is nil if the table has none for it any more.
func (n *Node) currentBinding(c *call) (*briarferry.Route, *briarferry.Organisation) {
	table := n.routes.Load()
	if table.Version == c.tableVersion {
		return c.route.Route, c.organisation
	}
	path, _, _ := strings.Cut(c.request.Target, "?")
	organisation := table.Organisation(c.keys.only())
	if r := table.Find(c.request.Host, path); r != nil {
		return r.Route, organisation
	}
	return nil, organisation
}

// countOutsideHomes counts a try in a region that the newest route table excludes.
func (n *Node) countOutsideHomes(c *call, region string) {
	route, organisation := n.currentBinding(c)
	if (route == nil || route.ServesIn(region)) && organisation.ServesIn(region) {
		return
	}
	c.leftHomes.Store(true)
	counters.triesOutsideHomes.Add(1)
}

// homeRegions returns the home regions of the request's route and of its organisation.
func (c *call) homeRegions() []string {
	if c.route == nil {
		return nil
	}
	homes := c.route.HomeRegions
	if c.organisation != nil && len(c.organisation.HomeRegions) > 0 {
		homes = append(homes[:len(homes):len(homes)], c.organisation.HomeRegions...)
	}
	return homes
}
