package systemtest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	soakRequestTimeout = 3 * time.Second
	soakCallInterval   = 60 * time.Millisecond
	soakLookupInterval = 2 * time.Second
)

// requestResult is the result of a request as seen by its caller.
type requestResult struct {
	sent   time.Time
	served bool
}

// runCaller sends the requests of one caller, over keep-alive connections, until ctx ends.
func (s *soak) runCaller(ctx context.Context, n int, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}
	var entries []string
	var lookedUpAt time.Time
	for i := 0; ctx.Err() == nil; i++ {
		if time.Since(lookedUpAt) > soakLookupInterval {
			lookedUpAt = time.Now()
			if list := s.lookup(ctx, n%len(soakFailureDomains)); len(list) > 0 {
				entries = list
			}
		}
		if len(entries) > 0 {
			id := fmt.Sprintf("%016x", r.Uint64())
			sent := time.Now()
			served := s.request(ctx, client, entries[r.IntN(len(entries))], id, r.IntN(2) == 0, r.IntN(40))
			s.addResult(requestResult{sent: sent, served: served})
		}
		time.Sleep(soakCallInterval)
	}
}

// lookup asks control VMs for the entries that callers in a failure domain should use.
func (s *soak) lookup(ctx context.Context, domain int) []string {
	for _, i := range rand.Perm(len(s.controls)) {
		path := fmt.Sprintf("/api/resolve?name=shop.example&region=%s&zone=%s", soakRegion(domain), soakFailureDomains[domain])
		status, data := callControl(ctx, s.controls[i], http.MethodGet, path, nil, nil)
		var answer struct{ Addresses []string }
		if status == http.StatusOK && json.Unmarshal(data, &answer) == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}

// request sends one request, checks the answer and reports whether it was served.
func (s *soak) request(ctx context.Context, client *http.Client, entry, id string, atMostOnce bool, key int) bool {
	s.requests.addSent(id, atMostOnce)
	ctx, cancel := context.WithTimeout(ctx, soakRequestTimeout)
	defer cancel()
	method, path, body := http.MethodGet, fmt.Sprintf("/read/%d", key), ""
	if atMostOnce {
		method, path, body = http.MethodPost, fmt.Sprintf("/order/%d", key), "order "+id
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, strings.NewReader(body))
	if err != nil {
		return false
	}
	r.Host = "shop.example"
	r.Header.Set("X-Briarferry-Request-Id", id)
	r.Header.Set("X-Briarferry-Deadline-Ms", fmt.Sprint(soakRequestTimeout.Milliseconds()))
	r.AddCookie(&http.Cookie{Name: "X-Briarferry-Affinity-Key", Value: fmt.Sprint(key)})
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return false
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if want := fmt.Sprintf("%s %s %s", id, path, body); string(data) != want || resp.Header.Get("X-Briarferry-Server-Signature") != "sig-"+id {
			s.t.Errorf("request %s got the answer %q with signature %q", id, data, resp.Header.Get("X-Briarferry-Server-Signature"))
		}
		return true
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		s.requests.addRefusal(id, resp.StatusCode)
	case http.StatusNotFound, http.StatusForbidden, http.StatusUnauthorized, http.StatusBadRequest:
		s.t.Errorf("request %s, which every route table routes, got status %d: %s", id, resp.StatusCode, data)
	}
	return false
}

// confirmedChange is a change of the route table that was confirmed to an operator.
type confirmedChange struct {
	version     uint64
	confirmedAt time.Time
}

// operator changes the route table and reads it back, through random control VMs.
type operator struct {
	*soak
	mu sync.Mutex
	// documents has all route tables that were sent, by version.
	documents map[uint64][]string
	confirmed []confirmedChange
}

// routeTable returns a route table in JSON. Tables of the same version differ by variant.
func routeTable(version uint64, variant int) string {
	return fmt.Sprintf(`{"version":"%08x","services":[{"name":"reads","healthPath":"/health","maxConnections":400,"coldStartS":0,"coldPerS":0},{"name":"orders","healthPath":"/health","maxConnections":400}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":%d},`+
		`"hosts":[{"host":"shop.example","paths":[{"name":"r-read","pathPrefix":"/read/","kind":"idempotent","timeoutS":2.5,"targetLatencyS":0.5,"priority":1,"service":"reads","maxAttempts":2,"sessionAffinity":true},`+
		`{"name":"r-order","pathPrefix":"/order/","kind":"non_idempotent","timeoutS":2.5,"targetLatencyS":1,"priority":0,"service":"orders","maxAttempts":2}]}]}`, version, 10+variant)
}

// put sends a change until its outcome is known, and reports whether it was accepted.
func (o *operator) put(ctx context.Context, base, version uint64, variant int) bool {
	text := routeTable(version, variant)
	o.mu.Lock()
	o.documents[version] = append(o.documents[version], text)
	o.mu.Unlock()
	header := http.Header{"If-Match": {fmt.Sprintf("%08x", base)}}
	for ctx.Err() == nil {
		switch status := callControls(ctx, o.controls, http.MethodPut, "/api/config", header, []byte(text)); status {
		case http.StatusOK:
			o.mu.Lock()
			o.confirmed = append(o.confirmed, confirmedChange{version: version, confirmedAt: time.Now()})
			o.mu.Unlock()
			return true
		case http.StatusPreconditionFailed:
			return false
		case 0:
			time.Sleep(100 * time.Millisecond)
		default:
			o.t.Errorf("change to version %d based on %d got status %d", version, base, status)
			return false
		}
	}
	return false
}

// run sends changes one after the other until ctx ends. Every third one competes with a
// concurrent change to the same version.
func (o *operator) run(ctx context.Context, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		base, ok := o.read(ctx)
		if ok {
			version := base + uint64(r.IntN(3)) + 1
			if n%3 == 2 {
				o.putBoth(ctx, base, version)
			} else {
				o.put(ctx, base, version, 0)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(r.Int64N(int64(700 * time.Millisecond)))):
		}
	}
}

// readPeriodically reads the route table at intervals until ctx ends.
func (o *operator) readPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		o.read(ctx)
		time.Sleep(soakCallInterval)
	}
}

// putBoth sends two concurrent changes to the same version and checks that at most one is
// accepted.
func (o *operator) putBoth(ctx context.Context, base, version uint64) {
	var accepted [2]bool
	var both sync.WaitGroup
	for i := range accepted {
		both.Go(func() { accepted[i] = o.put(ctx, base, version, i+1) })
	}
	both.Wait()
	if accepted[0] && accepted[1] {
		o.t.Errorf("two changes to version %d based on %d were accepted", version, base)
	}
}

// read returns the version that one control VM serves. It checks that the table is one that
// was sent and that it isn't older than one confirmed more than soakApplyLimit ago.
func (o *operator) read(ctx context.Context) (uint64, bool) {
	started := time.Now()
	v := o.controls[rand.IntN(len(o.controls))]
	status, data := callControl(ctx, v, http.MethodGet, "/api/config", nil, nil)
	if status != http.StatusOK {
		return 0, false
	}
	var head struct{ Version string }
	var version uint64
	if err := json.Unmarshal(data, &head); err != nil {
		o.t.Errorf("%s serves an invalid route table: %q", v.name, data)
		return 0, false
	}
	_, _ = fmt.Sscanf(head.Version, "%x", &version)
	o.mu.Lock()
	defer o.mu.Unlock()
	known := false
	for _, text := range o.documents[version] {
		known = known || text == string(data)
	}
	if !known {
		o.t.Errorf("%s serves a route table of version %d that nobody sent", v.name, version)
	}
	for _, c := range o.confirmed {
		if c.version > version && started.Sub(c.confirmedAt) > soakApplyLimit {
			o.t.Errorf("%s serves version %d, %s after version %d was confirmed", v.name, version, started.Sub(c.confirmedAt), c.version)
		}
	}
	return version, true
}
