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
	callerBlocks   = 90
	callerInterval = 125 * time.Millisecond
	callerTimeout  = time.Second
)

type (
	// callerGroup simulates callers in many address blocks, each with a loopback address
	// in its own block. They look up entries and send catalogue requests that alternate
	// between two priority classes.
	callerGroup struct {
		c        *cluster
		start    time.Time
		regions  []string
		regionOf map[netip.AddrPort]string

		mu sync.Mutex
		// seconds has the statistics of each second since start.
		seconds []secondStats
	}

	secondStats struct {
		// served counts successful requests by the region of the entry. The other counters
		// are by priority class, the more urgent class first.
		served          map[string]int
		sent, ok, late  [2]int
		refused, failed [2]int
	}

	caller struct {
		*callerGroup
		homeRegion string
		client     *http.Client

		mu        sync.Mutex
		entries   []bfapi.LookupEntry
		expiresAt time.Time
	}
)

func (c *cluster) newCallers(cfg *briarferry.Config) *callerGroup {
	g := &callerGroup{c: c, regionOf: map[netip.AddrPort]string{}}
	for i, v := range c.vms {
		g.regionOf[v.http] = cfg.Regions[i%len(cfg.Regions)].Name
	}
	for _, r := range cfg.Regions {
		g.regions = append(g.regions, r.Name)
	}
	return g
}

// run runs all callers until ctx ends.
func (g *callerGroup) run(ctx context.Context) {
	g.start = time.Now()
	var wg sync.WaitGroup
	for b := range callerBlocks {
		local := &net.TCPAddr{IP: net.IPv4(127, 0, byte(b+1), 1)}
		transport := &http.Transport{DialContext: (&net.Dialer{LocalAddr: local, Timeout: callerTimeout}).DialContext, MaxIdleConnsPerHost: 8}
		cl := &caller{callerGroup: g, homeRegion: g.regions[b%len(g.regions)], client: &http.Client{Transport: transport}}
		wg.Go(func() {
			defer transport.CloseIdleConnections()
			cl.run(ctx, time.Duration(b)*callerInterval/callerBlocks)
		})
	}
	wg.Wait()
}

// run sends a request at every interval, without waiting for earlier answers.
func (cl *caller) run(ctx context.Context, offset time.Duration) {
	time.Sleep(offset)
	ticker := time.NewTicker(callerInterval)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for class := 0; ; class = 1 - class {
		wg.Go(func() { cl.send(class) })
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// send sends one request and tries the next entry if an entry can't be reached or closes
// the connection without an answer.
func (cl *caller) send(class int) {
	sent := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), sent.Add(callerTimeout))
	defer cancel()
	status, region := 0, ""
	var outcome briarferry.Outcome
	for _, e := range cl.lookup(ctx) {
		if status, outcome = cl.request(ctx, e.Address, class, sent); status != 0 {
			region = cl.regionOf[e.Address]
			break
		}
		cl.invalidate()
	}
	cl.record(sent, func(s *secondStats) {
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

func (cl *caller) request(ctx context.Context, at netip.AddrPort, class int, sent time.Time) (int, briarferry.Outcome) {
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+"/s/catalogue/items", nil)
	req.Header.Set(bfapi.HeaderRequestTimeout, bfapi.FormatTimeout(time.Until(sent.Add(callerTimeout))))
	if class > 0 {
		req.Header.Set(bfapi.HeaderPriority, "u=7")
	}
	resp, err := cl.client.Do(req)
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

// lookup returns the cached entries, or asks the VMs for them one after the other, the VMs
// of the caller's region first.
func (cl *caller) lookup(ctx context.Context) []bfapi.LookupEntry {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if time.Now().Before(cl.expiresAt) {
		return cl.entries
	}
	for _, sameRegion := range []bool{true, false} {
		for _, v := range cl.c.vms {
			if (cl.regionOf[v.http] == cl.homeRegion) != sameRegion {
				continue
			}
			var l bfapi.LookupReply
			if cl.fetchLookup(ctx, v.http, &l) && len(l.Entries) > 0 {
				cl.entries, cl.expiresAt = l.Entries, time.Now().Add(time.Duration(l.TTLSeconds)*time.Second)
				return cl.entries
			}
		}
	}
	return nil
}

func (cl *caller) fetchLookup(ctx context.Context, at netip.AddrPort, l *bfapi.LookupReply) bool {
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+bfapi.PathLookup+"?service=catalogue", nil)
	resp, err := cl.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(l) == nil
}

// invalidate drops the cached entries.
func (cl *caller) invalidate() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.expiresAt = time.Time{}
}

// record updates the statistics of the second in which a request was sent.
func (g *callerGroup) record(sent time.Time, add func(*secondStats)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := int(sent.Sub(g.start).Seconds())
	for len(g.seconds) <= i {
		g.seconds = append(g.seconds, secondStats{served: map[string]int{}})
	}
	add(&g.seconds[i])
}
