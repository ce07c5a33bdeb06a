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
	soakDeadline  = 3 * time.Second
	soakCallPause = 60 * time.Millisecond
	soakLookup    = 2 * time.Second
)

// outcome is what a caller saw of a request.
type outcome struct {
	sent   time.Time
	served bool
}

// call keeps one caller sending requests over connections that stay open.
func (s *soak) call(ctx context.Context, n int, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}
	var entries []string
	var asked time.Time
	for i := 0; ctx.Err() == nil; i++ {
		if time.Since(asked) > soakLookup {
			asked = time.Now()
			if list := s.lookup(ctx, n%len(soakZones)); len(list) > 0 {
				entries = list
			}
		}
		if len(entries) > 0 {
			id := fmt.Sprintf("%016x", r.Uint64())
			sent := time.Now()
			served := s.request(ctx, client, entries[r.IntN(len(entries))], id, r.IntN(2) == 0, r.IntN(40))
			s.note(outcome{sent: sent, served: served})
		}
		time.Sleep(soakCallPause)
	}
}

// lookup asks control VMs for the entries of a zone.
func (s *soak) lookup(ctx context.Context, zone int) []string {
	for _, i := range rand.Perm(len(s.controls)) {
		path := fmt.Sprintf("/api/resolve?name=shop.example&region=%s&zone=%s", soakRegion(zone), soakZones[zone])
		status, data := callControl(ctx, s.controls[i], http.MethodGet, path, nil, nil)
		var answer struct{ Addresses []string }
		if status == http.StatusOK && json.Unmarshal(data, &answer) == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}

// request sends one request and checks the answer.
func (s *soak) request(ctx context.Context, client *http.Client, entry, id string, once bool, key int) bool {
	s.ledger.sent(id, once)
	ctx, cancel := context.WithTimeout(ctx, soakDeadline)
	defer cancel()
	method, path, body := http.MethodGet, fmt.Sprintf("/read/%d", key), ""
	if once {
		method, path, body = http.MethodPost, fmt.Sprintf("/order/%d", key), "order "+id
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, strings.NewReader(body))
	if err != nil {
		return false
	}
	r.Host = "shop.example"
	r.Header.Set("X-Briarferry-Request-Id", id)
	r.Header.Set("X-Briarferry-Deadline-Ms", fmt.Sprint(soakDeadline.Milliseconds()))
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
			s.t.Errorf("request %s got the answer %q with receipt %q", id, data, resp.Header.Get("X-Briarferry-Server-Signature"))
		}
		return true
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		s.ledger.told(id, resp.StatusCode)
	case http.StatusNotFound, http.StatusForbidden, http.StatusUnauthorized, http.StatusBadRequest:
		s.t.Errorf("request %s, which every route table allows, got %d: %s", id, resp.StatusCode, data)
	}
	return false
}

// change is a route table that an operator sent.
type change struct {
	version      uint64
	acknowledged time.Time
}

// operator makes changes to the route table and reads it back, at any control VM.
type operator struct {
	*soak
	mu sync.Mutex
	// sent holds all documents by version, and acked those that were confirmed.
	sent  map[uint64][]string
	acked []change
}

// document returns a route table; the note makes tables of one version differ.
func document(version uint64, note int) string {
	return fmt.Sprintf(`{"version":"%08x","services":[{"name":"reads","healthPath":"/health","maxConnections":400,"coldStartS":0,"coldPerS":0},{"name":"orders","healthPath":"/health","maxConnections":400}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":%d},`+
		`"hosts":[{"host":"shop.example","paths":[{"name":"r-read","pathPrefix":"/read/","kind":"idempotent","timeoutS":2.5,"targetLatencyS":0.5,"priority":1,"service":"reads","maxAttempts":2,"sessionAffinity":true},`+
		`{"name":"r-order","pathPrefix":"/order/","kind":"non_idempotent","timeoutS":2.5,"targetLatencyS":1,"priority":0,"service":"orders","maxAttempts":2}]}]}`, version, 10+note)
}

// put sends a change until it gets a clear answer, and returns whether it was accepted.
func (o *operator) put(ctx context.Context, base, version uint64, note int) bool {
	text := document(version, note)
	o.mu.Lock()
	o.sent[version] = append(o.sent[version], text)
	o.mu.Unlock()
	header := http.Header{"If-Match": {fmt.Sprintf("%08x", base)}}
	for ctx.Err() == nil {
		switch status := callControls(ctx, o.controls, http.MethodPut, "/api/config", header, []byte(text)); status {
		case http.StatusOK:
			o.mu.Lock()
			o.acked = append(o.acked, change{version: version, acknowledged: time.Now()})
			o.mu.Unlock()
			return true
		case http.StatusPreconditionFailed:
			return false
		case 0:
			time.Sleep(100 * time.Millisecond)
		default:
			o.t.Errorf("version %d on %d got %d", version, base, status)
			return false
		}
	}
	return false
}

// run makes changes one after the other; each third is raced by another of its version.
func (o *operator) run(ctx context.Context, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		base, ok := o.read(ctx)
		if ok {
			version := base + uint64(r.IntN(3)) + 1
			if n%3 == 2 {
				o.race(ctx, base, version)
			} else {
				o.put(ctx, base, version, 0)
			}
		}
		time.Sleep(time.Duration(r.Int64N(int64(700 * time.Millisecond))))
	}
}

// readAlong reads at intervals while changes are made.
func (o *operator) readAlong(ctx context.Context) {
	for ctx.Err() == nil {
		o.read(ctx)
		time.Sleep(soakCallPause)
	}
}

func (o *operator) race(ctx context.Context, base, version uint64) {
	var accepted [2]bool
	var both sync.WaitGroup
	for i := range accepted {
		both.Go(func() { accepted[i] = o.put(ctx, base, version, i+1) })
	}
	both.Wait()
	if accepted[0] && accepted[1] {
		o.t.Errorf("two changes to version %d on %d were accepted", version, base)
	}
}

// read returns the version in force as one control VM tells it, and checks that it is a
// table that was sent and not older than a confirmed one.
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
		o.t.Errorf("%s answers a read with %q", v.name, data)
		return 0, false
	}
	_, _ = fmt.Sscanf(head.Version, "%x", &version)
	o.mu.Lock()
	defer o.mu.Unlock()
	known := false
	for _, text := range o.sent[version] {
		known = known || text == string(data)
	}
	if !known {
		o.t.Errorf("%s answers a read with version %d, which was not sent like that", v.name, version)
	}
	for _, c := range o.acked {
		if c.version > version && started.Sub(c.acknowledged) > soakApply {
			o.t.Errorf("%s answers a read with version %d, %s after version %d was confirmed", v.name, version, started.Sub(c.acknowledged), c.version)
		}
	}
	return version, true
}
