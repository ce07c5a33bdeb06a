package systemtest

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bfload"
)

// load sends one flow to all entries while it runs the given function.
func (c *cluster) load(t *testing.T, d time.Duration, f bfload.Flow, concurrently func()) *bfload.Report {
	t.Helper()
	entries := make([]netip.AddrPort, len(c.vms))
	for i, v := range c.vms {
		entries[i] = v.http
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		concurrently()
	}()
	g := &bfload.Generator{Entries: entries, Flows: []bfload.Flow{f}, Duration: d, Seed: testSeed(t)}
	report, err := g.Run(t.Context())
	<-done
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// drain starts a drain through the first VM.
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

// voters returns the voters in the status of the leader's VM, or none while a replica is
// still a learner.
func (c *cluster) voters() []string {
	for _, v := range c.vms[:controlCount] {
		var s bfapi.VMStatus
		path := bfapi.PathStatus + "?" + bfapi.ParamScope + "=" + bfapi.ScopeLocal
		if c.get(v.http, path, &s) == http.StatusOK && s.Role == bfapi.RoleLeader && len(s.Learners) == 0 {
			return s.Voters
		}
	}
	return nil
}

// voterOn returns the ID of the only voter on a VM, or "" if there is none or more than
// one.
func (c *cluster) voterOn(v *vm) string {
	found := ""
	for _, id := range c.voters() {
		if strings.HasPrefix(id, v.name+"/") {
			if found != "" {
				return ""
			}
			found = id
		}
	}
	return found
}
