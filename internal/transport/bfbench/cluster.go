// Package bfbench measures the request path through running processes of the system.
package bfbench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bfloopback"
	"briarferry/internal/transport/bfstandin"
)

const (
	vmCount      = 7
	controlCount = 3
	readyTimeout = 30 * time.Second
	// ownerGrantDelay is the shortest time that a new owner of a backend server waits before
	// it grants slots (minGrantDelay of bfslot).
	ownerGrantDelay = 1500 * time.Millisecond
)

// cluster is a set of serve processes with one stand-in process for all backend servers.
type cluster struct {
	program      string
	dir          string
	config       *briarferry.Config
	vms          []*process
	entries      []netip.AddrPort
	standIn      *process
	adminAddress netip.AddrPort
	baseAddress  netip.AddrPort
	client       *http.Client
}

// startCluster starts seven VMs, three of them with data directories, applies the
// configuration and starts the stand-in.
func startCluster(ctx context.Context, program string, cfg *briarferry.Config) (*cluster, error) {
	c, err := newCluster(program, cfg)
	if err != nil {
		return nil, err
	}
	if err := c.startAll(ctx); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

// startSingleVM starts a single VM that needs no others, and the stand-in.
func startSingleVM(ctx context.Context, program string, cfg *briarferry.Config) (*cluster, error) {
	c, err := newCluster(program, cfg)
	if err != nil {
		return nil, err
	}
	if err := c.startSingle(ctx); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func newCluster(program string, cfg *briarferry.Config) (*cluster, error) {
	dir, err := os.MkdirTemp("", "briarferry-bench")
	if err != nil {
		return nil, fmt.Errorf("bfbench: %w", err)
	}
	c := &cluster{program: program, dir: dir, config: cfg, client: &http.Client{Timeout: 10 * time.Second}}
	data, err := json.Marshal(cfg)
	if err != nil {
		return nil, fmt.Errorf("bfbench: %w", err)
	}
	return c, os.WriteFile(c.configPath(), data, 0o600)
}

func (c *cluster) configPath() string { return filepath.Join(c.dir, "config.json") }

func (c *cluster) startSingle(ctx context.Context) error {
	addrs, err := bfloopback.FreeAddresses(4)
	if err != nil {
		return err
	}
	c.adminAddress = addrs[3]
	if err := c.startVM(0, addrs[:3], "--config", c.configPath()); err != nil {
		return err
	}
	return c.startBackends(ctx)
}

func (c *cluster) startAll(ctx context.Context) error {
	addrs, err := bfloopback.FreeAddresses(vmCount*3 + 1)
	if err != nil {
		return err
	}
	c.adminAddress = addrs[vmCount*3]
	var control, peers []string
	for i := range vmCount {
		if i < controlCount {
			control = append(control, fmt.Sprintf("vm%d=%s", i+1, addrs[i*3+1]))
		}
		peers = append(peers, addrs[i*3+2].String())
	}
	for i := range vmCount {
		args := []string{"--control", strings.Join(control, ","), "--peers", strings.Join(peers, ",")}
		if i < controlCount {
			args = append(args, "--data", filepath.Join(c.dir, fmt.Sprintf("vm%d-data", i+1)))
		}
		if err := c.startVM(i, addrs[i*3:i*3+3], args...); err != nil {
			return err
		}
	}
	if err := c.waitFor(ctx, "the configuration is accepted", c.applyConfig); err != nil {
		return err
	}
	return c.startBackends(ctx)
}

func (c *cluster) startVM(i int, addrs []netip.AddrPort, extraArgs ...string) error {
	region := c.config.Regions[i%len(c.config.Regions)]
	name := fmt.Sprintf("vm%d", i+1)
	args := append([]string{
		"serve", "--name", name, "--region", region.Name,
		"--failure-domain", region.FailureDomains[i/len(c.config.Regions)%len(region.FailureDomains)],
		"--http", addrs[0].String(), "--rpc", addrs[1].String(), "--gossip", addrs[2].String(),
	}, extraArgs...)
	p, err := startProcess(c.program, c.dir, name, args...)
	if err != nil {
		return err
	}
	c.vms = append(c.vms, p)
	c.entries = append(c.entries, addrs[0])
	return nil
}

func (c *cluster) startBackends(ctx context.Context) error {
	servers := 0
	for _, s := range c.config.Services {
		servers += s.Servers
	}
	base, err := bfloopback.FreeRange(servers)
	if err != nil {
		return err
	}
	c.baseAddress = base
	list := make([]string, len(c.entries))
	for i, e := range c.entries {
		list[i] = e.String()
	}
	c.standIn, err = startProcess(c.program, c.dir, "standin", "standin", "--config", c.configPath(),
		"--admin", c.adminAddress.String(), "--base", base.String(), "--entries", strings.Join(list, ","))
	if err != nil {
		return err
	}
	for _, e := range c.entries {
		if err := c.waitFor(ctx, "an entry knows all backend servers", func() bool { return c.knownServers(e) == servers }); err != nil {
			return err
		}
	}
	time.Sleep(ownerGrantDelay)
	return nil
}

// knownServers returns the number of backend servers that an entry knows, or 0 if it is
// not ready.
func (c *cluster) knownServers(e netip.AddrPort) int {
	if c.getJSON(e, bfapi.PathReady, nil) != http.StatusOK {
		return 0
	}
	var s bfapi.VMStatus
	c.getJSON(e, bfapi.PathStatus+"?"+bfapi.ParamScope+"="+bfapi.ScopeLocal, &s)
	n := 0
	for _, service := range s.Services {
		n += service.Servers
	}
	return n
}

// applyConfig sends the configuration to the first VM and reports whether it was accepted.
func (c *cluster) applyConfig() bool {
	resp, err := c.client.Get("http://" + c.entries[0].String() + bfapi.PathConfig)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	data, _ := json.Marshal(c.config)
	req, _ := http.NewRequest(http.MethodPut, "http://"+c.entries[0].String()+bfapi.PathConfig, bytes.NewReader(data))
	req.Header.Set(bfapi.HeaderIfMatch, resp.Header.Get(bfapi.HeaderETag))
	req.Header.Set(bfapi.HeaderIdempotencyKey, bfapi.NewRequestID())
	if resp, err = c.client.Do(req); err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop kills the processes of the cluster by their ids and removes its directory.
func (c *cluster) stop() {
	for _, p := range append(c.vms, c.standIn) {
		if p != nil {
			p.kill()
		}
	}
	_ = os.RemoveAll(c.dir)
}

// waitFor polls until ok returns true, for at most readyTimeout.
func (c *cluster) waitFor(ctx context.Context, condition string, ok func() bool) error {
	for start := time.Now(); !ok(); time.Sleep(50 * time.Millisecond) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Since(start) > readyTimeout {
			return fmt.Errorf("bfbench: timed out after %s waiting until %s", readyTimeout, condition)
		}
	}
	return nil
}

// getJSON reads a JSON document into out, unless out is nil. It returns the HTTP status,
// or 0 without a valid answer.
func (c *cluster) getJSON(address netip.AddrPort, path string, out any) int {
	resp, err := c.client.Get("http://" + address.String() + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if out != nil && json.NewDecoder(resp.Body).Decode(out) != nil {
		return 0
	}
	return resp.StatusCode
}

// setBehaviour changes the behaviour of the stand-in's servers.
func (c *cluster) setBehaviour(change bfstandin.BehaviourChange) error {
	data, _ := json.Marshal(change)
	resp, err := c.client.Post("http://"+c.adminAddress.String()+"/behaviour", bfapi.TypeJSON, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("bfbench: change behaviour: %w", err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("bfbench: change behaviour: status %d", resp.StatusCode)
	}
	return nil
}

// servers returns the status of the stand-in's servers of one service.
func (c *cluster) servers(service string) []bfstandin.ServerStatus {
	var all, list []bfstandin.ServerStatus
	c.getJSON(c.adminAddress, "/servers", &all)
	for _, s := range all {
		if s.Service == service {
			list = append(list, s)
		}
	}
	return list
}
