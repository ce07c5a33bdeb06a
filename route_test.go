package briarferry

import (
	"strings"
	"testing"
	"time"
)

func validTable() RouteTable {
	return RouteTable{
		Version:  1,
		Services: []RouteService{{Name: "prices", ConnectionLimit: 10}, {Name: "prices-next", ConnectionLimit: 10}},
		Routes: []Route{{
			Name: "read", Host: "shop.example", Prefix: "/read/", Idempotent: true, Timeout: Duration(2 * time.Second),
			Target: Duration(time.Second), MaxAttempts: 2,
			Split: []SplitPart{{Service: "prices", Weight: 9}, {Service: "prices-next", Weight: 1}},
		}},
	}
}

// TestRouteTableFindings guards against an invalid route table that is accepted, and
// against a finding that does not name the invalid field.
func TestRouteTableFindings(t *testing.T) {
	cases := map[string]struct {
		change func(t *RouteTable)
		place  string
	}{
		"valid":                      {func(*RouteTable) {}, ""},
		"no version":                 {func(t *RouteTable) { t.Version = 0 }, "version"},
		"unknown service":            {func(t *RouteTable) { t.Routes[0].Split[1].Service = "none" }, "routes[0].split[1].service"},
		"no timeout":                 {func(t *RouteTable) { t.Routes[0].Timeout = 0 }, "routes[0].timeout"},
		"long timeout":               {func(t *RouteTable) { t.Routes[0].Timeout = Duration(MaxRouteTimeout + 1) }, "routes[0].timeout"},
		"longest timeout":            {func(t *RouteTable) { t.Routes[0].Timeout = Duration(MaxRouteTimeout) }, ""},
		"target far above timeout":   {func(t *RouteTable) { t.Routes[0].Target = Duration(62 * time.Second) }, "routes[0].target"},
		"target above timeout":       {func(t *RouteTable) { t.Routes[0].Target = Duration(3 * time.Second) }, ""},
		"prefix without first slash": {func(t *RouteTable) { t.Routes[0].Prefix = "read/" }, "routes[0].prefix"},
		"prefix without last slash":  {func(t *RouteTable) { t.Routes[0].Prefix = "/read" }, "routes[0].prefix"},
		"no weight":                  {func(t *RouteTable) { t.Routes[0].Split = []SplitPart{{Service: "prices"}} }, "routes[0].split.parts"},
		"no part":                    {func(t *RouteTable) { t.Routes[0].Split = nil }, "routes[0].split.parts"},
		"no attempt":                 {func(t *RouteTable) { t.Routes[0].MaxAttempts = 0 }, "routes[0].max_attempts"},
		"service twice":              {func(t *RouteTable) { t.Services[1].Name = "prices" }, "services[1].name"},
		"route twice":                {func(t *RouteTable) { t.Routes = append(t.Routes, t.Routes[0]) }, "routes[1].prefix"},
		"negative urgency":           {func(t *RouteTable) { t.Routes[0].Urgency = -1 }, "routes[0].urgency"},
		"no connections":             {func(t *RouteTable) { t.Services[0].ConnectionLimit = 0 }, "services[0].connection_limit"},
		"negative idle timeout":      {func(t *RouteTable) { t.Limits.IdleTimeout = -1 }, "limits.max_header_bytes"},
	}
	for name, c := range cases {
		table := validTable()
		c.change(&table)
		f := table.Validate()
		if c.place == "" && len(f) > 0 {
			t.Errorf("%s: %v", name, f)
		}
		if c.place != "" && (len(f) == 0 || !strings.Contains(f.Error(), c.place+":")) {
			t.Errorf("%s: findings %q do not name %s", name, f, c.place)
		}
	}
}

// TestHostName guards against a Host header that matches no route because of its port or
// its case.
func TestHostName(t *testing.T) {
	for in, want := range map[string]string{"Shop.example": "shop.example", "shop.example:8080": "shop.example", "[::1]:80": "::1"} {
		if got := HostName(in); got != want {
			t.Errorf("HostName(%q) = %q, want %q", in, got, want)
		}
	}
}

// TestOrganisationFindings guards against a table in which a key names two organisations, and
// against findings that don't name the organisation.
func TestOrganisationFindings(t *testing.T) {
	salt := NewKeySalt()
	cases := map[string]struct {
		change func(t *RouteTable)
		place  string
	}{
		"valid":                 {func(*RouteTable) {}, ""},
		"shared key":            {func(t *RouteTable) { t.Organisations[1].Keys[0] = t.Organisations[0].Keys[1] }, "organisations[1].keys[0]"},
		"key stands twice":      {func(t *RouteTable) { t.Organisations[0].Keys[1] = t.Organisations[0].Keys[0] }, "organisations[0].keys[1]"},
		"name stands twice":     {func(t *RouteTable) { t.Organisations[1].Name = "one" }, "organisations[1].name"},
		"no name":               {func(t *RouteTable) { t.Organisations[1].Name = "" }, "organisations[1].name"},
		"name with a line end":  {func(t *RouteTable) { t.Organisations[1].Name = "two\r\nX: y" }, "organisations[1].name"},
		"negative urgency":      {func(t *RouteTable) { u := -1; t.Organisations[1].Urgency = &u }, "organisations[1].urgency"},
		"negative rate":         {func(t *RouteTable) { t.Organisations[0].Quota.Rate = -1 }, "organisations[0].quota.rate"},
		"negative burst":        {func(t *RouteTable) { t.Organisations[0].Quota.Burst = -1 }, "organisations[0].quota.burst"},
		"no salt":               {func(t *RouteTable) { t.KeySalt = nil }, "key_salt"},
		"short salt":            {func(t *RouteTable) { t.KeySalt = salt[1:] }, "key_salt"},
		"too many":              {func(t *RouteTable) { t.Organisations = make([]Organisation, MaxOrganisations+1) }, "organisations"},
		"too many keys":         {func(t *RouteTable) { t.Organisations[0].Keys = make([]KeyDigest, maxOrganisationKeys+1) }, "organisations[0].keys"},
		"too many home regions": {func(t *RouteTable) { t.Organisations[0].HomeRegions = make([]string, maxHomeRegions+1) }, "organisations[0].home_regions"},
	}
	for name, c := range cases {
		table := validTable()
		table.KeySalt = salt
		table.Organisations = []Organisation{
			{Name: "one", Keys: []KeyDigest{DigestKey(salt, "a"), DigestKey(salt, "b")}}, {Name: "two", Keys: []KeyDigest{DigestKey(salt, "c")}},
		}
		c.change(&table)
		f := table.Validate()
		if c.place == "" && len(f) > 0 {
			t.Errorf("%s: %v", name, f)
		}
		if c.place != "" && (len(f) == 0 || !strings.Contains(f.Error(), c.place+":")) {
			t.Errorf("%s: findings %q do not name %s", name, f, c.place)
		}
	}
}

// TestSharesRegion guards against homes of an organisation and its route that don't both bind,
// and against a refusal of requests that have a region in both.
func TestSharesRegion(t *testing.T) {
	for _, c := range []struct {
		route, organisation []string
		shares              bool
		servesA             bool
	}{
		{nil, nil, true, true}, {[]string{"a"}, nil, true, true}, {nil, []string{"a"}, true, true}, {[]string{"a", "b"}, []string{"b", "c"}, true, false},
		{[]string{"a"}, []string{"b"}, false, false}, {[]string{"b"}, []string{"a"}, false, false},
	} {
		r, o := &Route{HomeRegions: c.route}, &Organisation{HomeRegions: c.organisation}
		if got := o.SharesRegion(r); got != c.shares {
			t.Errorf("route %v, organisation %v: share a region %v", c.route, c.organisation, got)
		}
		if got := o.ServesIn("a") && r.ServesIn("a"); got != c.servesA {
			t.Errorf("route %v, organisation %v: served in a %v", c.route, c.organisation, got)
		}
	}
	var anonymous *Organisation
	if !anonymous.SharesRegion(&Route{HomeRegions: []string{"a"}}) || !anonymous.ServesIn("a") || anonymous.UrgencyOn(&Route{Urgency: 3}) != 3 {
		t.Error("an anonymous caller is limited")
	}
}
