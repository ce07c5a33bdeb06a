package systemtest

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bfload"
)

// load sends one flow to all entries while the disturbance runs.
func (c *cluster) load(t *testing.T, d time.Duration, f bfload.Flow, disturb func()) *bfload.Report {
	t.Helper()
	entries := make([]netip.AddrPort, len(c.vms))
	for i, v := range c.vms {
		entries[i] = v.http
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		disturb()
	}()
	g := &bfload.Generator{Entries: entries, Flows: []bfload.Flow{f}, For: d, Seed: testSeed(t)}
	report, err := g.Run(t.Context())
	<-done
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func (c *cluster) drain(d briarferry.Drain) {
	c.t.Helper()
	data, _ := json.Marshal(d)
	req, _ := http.NewRequest(http.MethodPost, c.url(c.vms[0].http, bfapi.PathDrains), bytes.NewReader(data))
	req.Header.Set(bfapi.HeaderIdempotencyKey, bfapi.NewRequestID())
	resp, err := c.client.Do(req)
	if err != nil {
		c.t.Errorf("drain: %v", err)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		body, _ := io.ReadAll(resp.Body)
		c.t.Errorf("drain: status %d: %s", resp.StatusCode, body)
	}
}

// voters returns the number of voters that the leader's VM shows.
func (c *cluster) voters() int {
	for _, v := range c.vms[:controlCount] {
		var s bfapi.VMStatus
		if c.get(v.http, bfapi.PathStatus+"?"+bfapi.ParamScope+"="+bfapi.ScopeLocal, &s) == http.StatusOK && s.Role == bfapi.RoleLeader {
			return len(s.Voters)
		}
	}
	return 0
}
