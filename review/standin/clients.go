package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	routeHost    = "till.example"
	routePrefix  = "/prices/"
	operatorWait = time.Second

	idempotent    = "idempotent"
	nonIdempotent = "non_idempotent"
)

// configuration returns a configuration with one service and a route of the given kind. The
// further routes make it larger.
func configuration(version int, kind string, timeoutS float64, further int) []byte {
	path := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "pathPrefix": prefix, "kind": kind, "timeoutS": timeoutS, "targetLatencyS": timeoutS, "priority": 1,
			"service": "price-book", "maxAttempts": 2, "sessionAffinity": false, "homeRegions": []string{},
		}
	}
	paths := []map[string]any{path("r-0", routePrefix)}
	for i := range further {
		paths = append(paths, path(fmt.Sprintf("r-%d", i+1), fmt.Sprintf("/new%d/", i+1)))
	}
	data, _ := json.Marshal(map[string]any{
		"version": versionText(version),
		"services": []map[string]any{{
			"name": "price-book", "healthPath": "/health", "maxConnections": 390, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 8.0,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"hosts":  []map[string]any{{"host": routeHost, "paths": paths}},
	})
	return data
}

// firstConfiguration sends the first configuration until it is confirmed.
func (c *cluster) firstConfiguration(kind string, timeoutS float64) error {
	if !c.order(http.MethodPut, "/api/config", configuration(1, kind, timeoutS, 0), versionText(0), c.controls, startTimeout) {
		return errors.New("the first configuration was not confirmed")
	}
	return nil
}

func versionText(v int) string { return fmt.Sprintf("%08x", v) }

// controlAddresses returns the addresses of the control VMs.
func (c *cluster) controlAddresses() []string {
	var out []string
	for _, n := range c.controls {
		out = append(out, c.address(n.ip, offsetControl))
	}
	return out
}

// order sends an operator's order to the given control VMs in turn, with a second for each,
// until one confirms it. It reports whether one did.
func (c *cluster) order(method, path string, body []byte, ifMatch string, to []*node, limit time.Duration) bool {
	end, pause := time.Now().Add(limit), 50*time.Millisecond
	for i := 0; time.Now().Before(end); i++ {
		n := to[i%len(to)]
		got := call(method, "http://"+c.address(n.ip, offsetControl)+path, body, ifMatch, operatorWait)
		c.logf("operator: %s %s at %s: %d", method, path, n.name, got.status)
		if got.status/100 == 2 {
			return true
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return false
}

// read reads the configuration at a control VM and returns the answer's status and the
// version in it.
func (c *cluster) read(n *node) (int, string) {
	got := call(http.MethodGet, "http://"+c.address(n.ip, offsetControl)+"/api/config", nil, "", operatorWait)
	var body struct {
		Version string `json:"version"`
	}
	_ = json.Unmarshal(got.body, &body)
	c.logf("operator: read at %s: %d %s", n.name, got.status, body.Version)
	return got.status, body.Version
}

// ready waits until all entries say that they are ready.
func (c *cluster) ready() error {
	for _, n := range c.entries {
		url := "http://" + c.address(n.ip, offsetReady) + "/api/ready"
		if err := waitFor(n.name+" is ready", startTimeout, func() bool { return call(http.MethodGet, url, nil, "", operatorWait).status == http.StatusOK }); err != nil {
			return err
		}
	}
	return nil
}

// caller sends requests over kept connections.
type caller struct {
	cluster *cluster
	client  *http.Client
}

func (c *cluster) newCaller() *caller {
	return &caller{cluster: c, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// send sends one request to an entry and returns its id and the status of its answer, or 0.
func (cl *caller) send(n *node, method, path, body string, limit time.Duration) (string, int) {
	id := fmt.Sprintf("%016x", 0x5eed0000+cl.cluster.requests.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+cl.cluster.address(n.ip, offsetFrontend)+path, strings.NewReader(body))
	if err != nil {
		return id, 0
	}
	r.Host = routeHost
	r.Header.Set(headerID, id)
	r.Header.Set(headerDeadline, fmt.Sprint(limit.Milliseconds()))
	cl.cluster.logf("caller: sends %s %s %s to %s", id, method, path, n.name)
	resp, err := cl.client.Do(r)
	if err != nil {
		cl.cluster.logf("caller: %s got no answer", id)
		return id, 0
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		cl.cluster.logf("caller: %s got a broken answer", id)
		return id, 0
	}
	cl.cluster.logf("caller: %s got %d, receipt %q, %s", id, resp.StatusCode, resp.Header.Get(headerReceipt), strings.TrimSpace(string(data)))
	return id, resp.StatusCode
}
