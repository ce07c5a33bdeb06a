package bfsteering

import (
	"testing"

	"briarferry"
)

// TestHomesApplyTogether guards against a request that runs where one of its bindings doesn't
// allow it, and against one that is refused although they have a region in common.
func TestHomesApplyTogether(t *testing.T) {
	route := func(homes ...string) *briarferry.Route { return &briarferry.Route{HomeRegions: homes} }
	organisation := func(homes ...string) *briarferry.Organisation { return &briarferry.Organisation{HomeRegions: homes} }
	cases := []struct {
		name      string
		r         Request
		inA, inB  bool
		hasRegion bool
	}{
		{"no homes", Request{Route: route()}, true, true, true},
		{"route", Request{Route: route("a")}, true, false, true},
		{"organisation", Request{Route: route(), Organisation: organisation("b")}, false, true, true},
		{"route and organisation apart", Request{Route: route("a"), Organisation: organisation("b")}, false, false, false},
		{"route moved", Request{Route: route("a"), CurrentRoute: route("b")}, false, false, false},
		{"route bound now", Request{Route: route(), CurrentRoute: route("b")}, false, true, true},
		{"route free now", Request{Route: route("a"), CurrentRoute: route()}, true, false, true},
		{"route dropped", Request{Route: route("a")}, true, false, true},
		{"organisation bound now", Request{Route: route(), Organisation: organisation(), CurrentOrganisation: organisation("b")}, false, true, true},
		{"organisation moved", Request{Route: route("a", "b"), Organisation: organisation("a"), CurrentRoute: route("a", "b"), CurrentOrganisation: organisation("b")}, false, false, false},
	}
	for _, c := range cases {
		if a, b := c.r.ServesIn("a"), c.r.ServesIn("b"); a != c.inA || b != c.inB {
			t.Errorf("%s: served in a %v, in b %v; want %v, %v", c.name, a, b, c.inA, c.inB)
		}
		if got := c.r.HasRegion(); got != c.hasRegion {
			t.Errorf("%s: has a region %v, want %v", c.name, got, c.hasRegion)
		}
	}
}
