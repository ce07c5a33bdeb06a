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

// waitServers waits until a VM knows every backend server.
func (c *cluster) waitServers(v *vm, cfg *briarferry.Config) {
	c.t.Helper()
	want := 0
	for _, s := range cfg.Services {
		want += s.Servers
	}
	c.await(v.name+" knows all backend servers", readyWithin, func() bool {
		var s bfapi.VMStatus
		c.get(v.http, bfapi.PathStatus+"?"+bfapi.ParamScope+"="+bfapi.ScopeLocal, &s)
		n := 0
		for _, service := range s.Services {
			n += service.Servers
		}
		return n == want
	})
}

// controlAddress returns where one VM reaches a control VM.
func (c *cluster) controlAddress(from, to int, address netip.AddrPort, options clusterOptions) netip.AddrPort {
	if !options.relayed || from == to {
		return address
	}
	r := newRelay(c.t, from, to, address)
	c.relays = append(c.relays, r)
	return r.address
}

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
		"--base", standinBase(c.t, 60).String(), "--entries", strings.Join(entries, ","))
	c.standin.args = append(c.standin.args, c.options.standin...)
	c.standin.start()
	c.await("the stand-in answers", readyWithin, func() bool { return c.get(c.admin, "/servers", nil) == http.StatusOK })
}

// standinBase finds a run of free ports for the emulated servers.
func standinBase(t *testing.T, n int) netip.AddrPort {
	t.Helper()
	base, err := bfloopback.FreeRange(n)
	if err != nil {
		t.Fatal(err)
	}
	return base
}
