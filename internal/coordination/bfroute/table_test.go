package bfroute

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

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

// TestFindLongestPrefix guards against a request that takes another route than the one that a
// comparison with all prefixes finds.
func TestFindLongestPrefix(t *testing.T) {
	paths := rapid.Custom(func(r *rapid.T) string {
		return "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"", "a", "b", "ab"}), 0, 4).Draw(r, "parts"), "/")
	})
	rapid.Check(t, func(r *rapid.T) {
		prefixes := map[string]bool{}
		var routes []briarferry.Route
		for _, p := range rapid.SliceOfN(paths, 0, 8).Draw(r, "prefixes") {
			if p = strings.TrimSuffix(p, "/") + "/"; !prefixes[p] {
				prefixes[p] = true
				routes = append(routes, route(p, "h", p))
			}
		}
		path, want := paths.Draw(r, "path"), ""
		for p := range prefixes {
			if strings.HasPrefix(path, p) && len(p) > len(want) {
				want = p
			}
		}
		got := ""
		if found := New(&briarferry.RouteTable{Routes: routes}).Find("h", path); found != nil {
			got = found.Name
		}
		if got != want {
			r.Fatalf("%q takes route %q, want %q of %v", path, got, want, prefixes)
		}
	})
}

// BenchmarkFind shows that the time of a look-up doesn't grow with the number of routes.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 1_400, 20_000} {
		var routes []briarferry.Route
		for i := range n {
			routes = append(routes, route("r", "shop.example", fmt.Sprintf("/p%d/x/", i)))
		}
		table := New(&briarferry.RouteTable{Routes: append(routes, route("all", "shop.example", "/"))})
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				table.Find("shop.example", "/q/other/path")
			}
		})
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
