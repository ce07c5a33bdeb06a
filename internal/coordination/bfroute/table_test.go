package bfroute

import (
	"testing"

	"briarferry"
)

func route(name, host, prefix string, split ...briarferry.SplitPart) briarferry.Route {
	return briarferry.Route{Name: name, Host: host, Prefix: prefix, Split: split}
}

// TestFind guards against a request that takes a route other than the one with the longest
// matching prefix.
func TestFind(t *testing.T) {
	table := New(&briarferry.RouteTable{Routes: []briarferry.Route{
		route("all", "shop.example", "/"), route("a", "shop.example", "/a/"), route("ab", "Shop.Example", "/a/b/"), route("other", "till.example", "/x/"),
	}})
	cases := []struct{ host, path, want string }{
		{"shop.example", "/a/b/c", "ab"}, {"shop.example:80", "/a/c", "a"}, {"SHOP.example", "/ab", "all"},
		{"shop.example", "/a/b", "a"}, {"till.example", "/y", ""}, {"none.example", "/", ""},
	}
	for _, c := range cases {
		got := ""
		if r := table.Find(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s matches route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// TestNextServiceFollowsWeights guards against a traffic split that deviates from the
// weights over few requests.
func TestNextServiceFollowsWeights(t *testing.T) {
	table := New(&briarferry.RouteTable{Routes: []briarferry.Route{route("r", "h", "/",
		briarferry.SplitPart{Service: "a", Weight: 7}, briarferry.SplitPart{Service: "b", Weight: 2}, briarferry.SplitPart{Service: "c", Weight: 1})}})
	r := table.Find("h", "/")
	count := map[string]int{}
	for n := 1; n <= 100; n++ {
		count[r.NextService()]++
		for service, weight := range map[string]int{"a": 7, "b": 2, "c": 1} {
			if d := 10*count[service] - n*weight; d > 10 || d < -10 {
				t.Fatalf("after %d requests service %s got %d", n, service, count[service])
			}
		}
	}
}
