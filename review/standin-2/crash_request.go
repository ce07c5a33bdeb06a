package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	siteHost   = "jepu9.example"
	sharedPath = "/lepu270/today"
	// badObject is the affinity cookie of the caller whose request crashes workers. Each caller has
	// an object and an address of its own.
	badObject = "17"
	// contactTime is contactS of the settings, and allowedRetries the number of retries that may
	// reach workers later than that after the third crash.
	contactTime    = 4 * time.Second
	allowedRetries = 3
	// crashCallInterval is the time after which the caller of the crash request sends it again.
	crashCallInterval = 1500 * time.Millisecond
	crashCalls        = 16
	// callersPerEntry other callers send the same path, each for an object of its own.
	callersPerEntry = 4
	callerPause     = 150 * time.Millisecond
)

// crashRequestCase plays a request that crashes each worker that runs it, while other callers
// send requests with the same method, path and body that run well.
func crashRequestCase(rec *record, trouble bool) (verdict, error) {
	c, err := newCluster(rec, 5, 7)
	if err != nil {
		return verdict{}, err
	}
	defer c.close()
	runs := &runLog{}
	workers, err := startWorkers(c, runs, "huvo11a", 12, 300*time.Millisecond, func(r *http.Request) bool {
		cookie, err := r.Cookie("X-Briarferry-Affinity-Key")
		return trouble && err == nil && cookie.Value == badObject
	})
	defer endAll(workers)
	if err != nil {
		return verdict{}, err
	}
	cfg := sharedConfig()
	cfg.Hosts[0].Paths[0].Kind = "non_idempotent"
	if err := c.serve(cfg); err != nil {
		return verdict{}, err
	}
	request := attempt{method: http.MethodPost, host: siteHost, path: sharedPath, object: "1", limit: 4 * time.Second}
	if err := awaitServing(c, request, 10*time.Second); err != nil {
		return verdict{}, err
	}
	others := startOtherCallers(c, request, callersPerEntry)
	time.Sleep(2 * time.Second)
	request.object = badObject
	for i := range crashCalls {
		cl := client{entry: c.entries[i%len(c.entries)], ip: c.callerIP(badObject)}
		o := cl.do(request)
		cl.close()
		rec.say("caller of object %s: attempt %s at %s is answered %d %v", badObject, o.id, cl.entry.name, o.status, errText(o.err))
		time.Sleep(crashCallInterval)
	}
	answers := others.stop()
	return judgeCrashes(rec, runs, answers), nil
}

// judgeCrashes counts the retries that reached workers later than contactTime after the third
// crash.
func judgeCrashes(rec *record, runs *runLog, answers map[int]int) verdict {
	var crashes []workerRun
	for _, r := range runs.all() {
		if r.crashed {
			crashes = append(crashes, r)
		}
	}
	late := map[string]bool{}
	for _, r := range crashes {
		if len(crashes) >= 3 && r.at.Sub(crashes[2].at) > contactTime {
			late[r.id] = true
		}
	}
	rec.say("answers to the other callers: %v", answers)
	return verdict{len(late) > allowedRetries, fmt.Sprintf("%d crashes; %d retries reached workers later than %v after the third, %d allowed", len(crashes), len(late), contactTime, allowedRetries)}
}

func sharedConfig() *config {
	cfg := newConfig(7, "huvo11a")
	cfg.Hosts = []configHost{{Host: siteHost, Paths: []configPath{{
		Name: "r-2b9wu3f", PathPrefix: "/lepu270/", Kind: "idempotent", TimeoutS: 2.5, TargetLatencyS: 0.6, Priority: 1, Service: "huvo11a", MaxAttempts: 2, SessionAffinity: true, HomeRegions: []string{},
	}}}}
	return cfg
}

// callerIP returns the address of the caller that asks for an object.
func (c *cluster) callerIP(object string) string {
	return fmt.Sprintf("127.79.%d.%s", c.subnet, object)
}

// otherCallers send requests that crash nothing. Below a path that ends with a slash, each
// request has a path of its own.
type otherCallers struct {
	ended chan struct{}
	group sync.WaitGroup

	mu      sync.Mutex
	answers map[int]int
}

func startOtherCallers(c *cluster, a attempt, perEntry int) *otherCallers {
	out := &otherCallers{ended: make(chan struct{}), answers: map[int]int{}}
	for i, e := range c.entries {
		for j := range perEntry {
			own := a
			own.object = fmt.Sprint(100 + i*perEntry + j)
			out.group.Go(func() { out.run(c, e, own) })
		}
	}
	return out
}

func (o *otherCallers) run(c *cluster, e *vm, a attempt) {
	cl := client{entry: e, ip: c.callerIP(a.object)}
	defer cl.close()
	for {
		select {
		case <-o.ended:
			return
		case <-time.After(callerPause):
		}
		sending := a
		if strings.HasSuffix(a.path, "/") {
			sending.path += newID()
		}
		out := cl.do(sending)
		c.rec.line("caller of object %s: attempt %s of %s at %s is answered %d %v", a.object, out.id, sending.path, e.name, out.status, errText(out.err))
		o.mu.Lock()
		o.answers[out.status]++
		o.mu.Unlock()
	}
}

// reset forgets the answers so far.
func (o *otherCallers) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.answers)
}

// stop ends the callers and returns how often they got each status; 0 stands for no answer.
func (o *otherCallers) stop() map[int]int {
	close(o.ended)
	o.group.Wait()
	return o.answers
}

func endAll(workers []*worker) {
	for _, w := range workers {
		w.end()
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
