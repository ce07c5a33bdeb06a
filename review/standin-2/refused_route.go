package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	addedPath = "/xapu221/today"
	// crashAttempts is how often the caller of the crash request sends it.
	crashAttempts = 6
	// calmTime is the time after the last attempt from which the state is steady: crashed workers
	// are back and warm, and contactS has passed.
	calmTime = 10 * time.Second
	// measuredTime is the time in which the answers are counted.
	measuredTime = 15 * time.Second
	// leastRequests and leastShare are those of the rule.
	leastRequests = 20
	leastShare    = 0.25
)

// refusedRouteCase plays a caller whose request crashes workers on a route that was added later,
// and counts how other callers of that route are served afterwards.
func refusedRouteCase(rec *record, trouble bool) (verdict, error) {
	c, err := newCluster(rec, 5, 7)
	if err != nil {
		return verdict{}, err
	}
	defer c.close()
	runs := &runLog{}
	workers, err := startWorkers(c, runs, "huvo11a", 12, 60*time.Millisecond, func(r *http.Request) bool {
		cookie, err := r.Cookie("X-Briarferry-Affinity-Key")
		return trouble && err == nil && cookie.Value == badObject
	})
	defer endAll(workers)
	if err != nil {
		return verdict{}, err
	}
	cfg := sharedConfig()
	if err := c.serve(cfg); err != nil {
		return verdict{}, err
	}
	request := attempt{method: http.MethodGet, host: siteHost, path: "/lepu270/", object: "1", limit: 4 * time.Second}
	if err := awaitServing(c, request, 10*time.Second); err != nil {
		return verdict{}, err
	}
	if err := addRoute(c, cfg); err != nil {
		return verdict{}, err
	}
	added := request
	added.path = addedPath
	if err := awaitServing(c, added, 10*time.Second); err != nil {
		return verdict{}, err
	}
	first, later := startOtherCallers(c, request, 1), startOtherCallers(c, added, 1)
	time.Sleep(2 * time.Second)
	added.object = badObject
	for i := range crashAttempts {
		cl := client{entry: c.entries[i%len(c.entries)], ip: c.callerIP(badObject)}
		o := cl.do(added)
		cl.close()
		rec.say("caller of object %s: attempt %s at %s is answered %d %v", badObject, o.id, cl.entry.name, o.status, errText(o.err))
		time.Sleep(crashCallInterval)
	}
	time.Sleep(calmTime)
	rec.say("steady state begins")
	first.reset()
	later.reset()
	time.Sleep(measuredTime)
	return judgeRoutes(first.stop(), later.stop()), nil
}

// addRoute adds a route by a further configuration.
func addRoute(c *cluster, cfg *config) error {
	next := *cfg
	next.Version = versionText(9)
	route := cfg.Hosts[0].Paths[0]
	route.Name, route.PathPrefix = "r-exd9dnn", "/xapu221/"
	next.Hosts = []configHost{{Host: siteHost, Paths: append(cfg.Hosts[0].Paths[:1:1], route)}}
	return (&operator{c: c}).put(7, &next, configLimit)
}

// judgeRoutes compares how often the requests of the first and the later route were served.
func judgeRoutes(first, later map[int]int) verdict {
	share := func(answers map[int]int) (n int, served float64) {
		for _, count := range answers {
			n += count
		}
		return n, float64(answers[http.StatusOK]) / float64(max(1, n))
	}
	_, servedFirst := share(first)
	n, servedLater := share(later)
	broken := n >= leastRequests && servedLater < leastShare*servedFirst
	return verdict{broken, fmt.Sprintf("answers on the first route %v, on the later route %v", first, later)}
}
