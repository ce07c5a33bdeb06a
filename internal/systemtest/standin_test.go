package systemtest

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bfloopback"
)

// waitServers waits until every backend server is registered at a VM.
func (c *cluster) waitServers(v *vm, cfg *briarferry.Config) {
	c.t.Helper()
	want := 0
	for _, s := range cfg.Services {
		want += s.Servers
	}
	c.waitFor(v.name+" has all backend servers registered", readyTimeout, func() bool {
		var s bfapi.VMStatus
		c.get(v.http, bfapi.PathStatus+"?"+bfapi.ParamScope+"="+bfapi.ScopeLocal, &s)
		n := 0
		for _, service := range s.Services {
			n += service.Servers
		}
		return n == want
	})
}

// controlAddress returns the address at which a VM calls a control VM: its RPC address,
// or that of a relay.
func (c *cluster) controlAddress(from, to int, address netip.AddrPort, options clusterOptions) netip.AddrPort {
	if !options.relayed || from == to {
		return address
	}
	r := newRelay(c.t, from, to, address)
	c.relays = append(c.relays, r)
	return r.address
}

// startStandin starts the stand-in with the backend servers of a configuration.
func (c *cluster) startStandin(dir string, cfg *briarferry.Config) {
	path := filepath.Join(dir, "config.json")
	data, _ := json.Marshal(cfg)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		c.t.Fatal(err)
	}
	entries := make([]string, len(c.vms))
	for i, v := range c.vms {
		entries[i] = v.http.String()
	}
	c.standin = newProcess(c.t, dir, "standin", "standin", "--config", path, "--admin", c.admin.String(),
		"--base", freePortRange(c.t, 60).String(), "--entries", strings.Join(entries, ","))
	c.standin.args = append(c.standin.args, c.options.standinArgs...)
	c.standin.start()
	c.waitFor("the stand-in serves its admin endpoint", readyTimeout, func() bool { return c.get(c.admin, "/servers", nil) == http.StatusOK })
}

// freePortRange returns the first of n consecutive free loopback ports.
func freePortRange(t *testing.T, n int) netip.AddrPort {
	t.Helper()
	base, err := bfloopback.FreeRange(n)
	if err != nil {
		t.Fatal(err)
	}
	return base
}
