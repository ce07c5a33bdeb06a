package systemtest

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
)

const (
	callerBlocks  = 90
	callerPause   = 125 * time.Millisecond
	callerTimeout = time.Second
)

type (
	// callers are clients of many blocks, each with a loopback address of its own
	// block, that look up entries and send catalogue requests in two classes in turn.
	callers struct {
		c       *cluster
		start   time.Time
		regions []string
		region  map[netip.AddrPort]string

		mu sync.Mutex
		// seconds holds what happened in each second.
		seconds []callerSecond
	}

	callerSecond struct {
		// served is by entry region; the others are by class, the urgent one first.
		served          map[string]int
		sent, ok, late  [2]int
		refused, failed [2]int
	}

	caller struct {
		*callers
		home   string
		client *http.Client

		mu      sync.Mutex
		entries []bfapi.LookupEntry
		until   time.Time
	}
)

func (c *cluster) newCallers(cfg *briarferry.Config) *callers {
	all := &callers{c: c, region: map[netip.AddrPort]string{}}
	for i, v := range c.vms {
		all.region[v.http] = cfg.Regions[i%len(cfg.Regions)].Name
	}
	for _, r := range cfg.Regions {
		all.regions = append(all.regions, r.Name)
	}
	return all
}

// run sends requests on schedule until ctx ends.
func (all *callers) run(ctx context.Context) {
	all.start = time.Now()
	var wg sync.WaitGroup
	for b := range callerBlocks {
		local := &net.TCPAddr{IP: net.IPv4(127, 0, byte(b+1), 1)}
		transport := &http.Transport{DialContext: (&net.Dialer{LocalAddr: local, Timeout: callerTimeout}).DialContext, MaxIdleConnsPerHost: 8}
		one := &caller{callers: all, home: all.regions[b%len(all.regions)], client: &http.Client{Transport: transport}}
		wg.Go(func() {
			defer transport.CloseIdleConnections()
			one.run(ctx, time.Duration(b)*callerPause/callerBlocks)
		})
	}
	wg.Wait()
}

func (o *caller) run(ctx context.Context, offset time.Duration) {
	time.Sleep(offset)
	ticker := time.NewTicker(callerPause)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for class := 0; ; class = 1 - class {
		wg.Go(func() { o.send(class) })
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// send makes one request and tries the next entry where one breaks the connection.
func (o *caller) send(class int) {
	sent := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), sent.Add(callerTimeout))
	defer cancel()
	status, region := 0, ""
	var outcome briarferry.Outcome
	for _, e := range o.lookup(ctx) {
		if status, outcome = o.request(ctx, e.Address, class, sent); status != 0 {
			region = o.region[e.Address]
			break
		}
		o.forget()
	}
	o.record(sent, func(s *callerSecond) {
		s.sent[class]++
		switch {
		case status == http.StatusOK:
			s.ok[class]++
			s.served[region]++
		case outcome == briarferry.OutcomeNotRun:
			s.refused[class]++
		case ctx.Err() != nil:
			s.late[class]++
		default:
			s.failed[class]++
		}
	})
}

func (o *caller) request(ctx context.Context, at netip.AddrPort, class int, sent time.Time) (int, briarferry.Outcome) {
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+"/s/catalogue/items", nil)
	req.Header.Set(bfapi.HeaderRequestTimeout, bfapi.FormatTimeout(time.Until(sent.Add(callerTimeout))))
	if class > 0 {
		req.Header.Set(bfapi.HeaderPriority, "u=7")
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	var p bfapi.Problem
	_ = json.Unmarshal(data, &p)
	return resp.StatusCode, p.Outcome
}

// lookup returns the cached answer, or asks an entry of the caller's region first.
func (o *caller) lookup(ctx context.Context) []bfapi.LookupEntry {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Now().Before(o.until) {
		return o.entries
	}
	for _, nearest := range []bool{true, false} {
		for _, v := range o.c.vms {
			if (o.region[v.http] == o.home) != nearest {
				continue
			}
			var l bfapi.Lookup
			if o.ask(ctx, v.http, &l) && len(l.Entries) > 0 {
				o.entries, o.until = l.Entries, time.Now().Add(time.Duration(l.TTLSeconds)*time.Second)
				return o.entries
			}
		}
	}
	return nil
}

func (o *caller) ask(ctx context.Context, at netip.AddrPort, l *bfapi.Lookup) bool {
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+bfapi.PathLookup+"?service=catalogue", nil)
	resp, err := o.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(l) == nil
}

func (o *caller) forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.until = time.Time{}
}

func (all *callers) record(sent time.Time, add func(*callerSecond)) {
	all.mu.Lock()
	defer all.mu.Unlock()
	i := int(sent.Sub(all.start).Seconds())
	for len(all.seconds) <= i {
		all.seconds = append(all.seconds, callerSecond{served: map[string]int{}})
	}
	add(&all.seconds[i])
}
