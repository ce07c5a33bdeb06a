package systemtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/state/bfconfig"
	"briarferry/internal/transport/bfloopback"
	"briarferry/internal/transport/bfstandin"
)

const (
	vmCount      = 7
	controlCount = 3
	readyTimeout = 20 * time.Second
)

var (
	buildOnce sync.Once
	binary    string
	buildErr  error
)

type (
	// process is a briarferry command that the test runs.
	process struct {
		t    *testing.T
		args []string
		log  *os.File
		cmd  *exec.Cmd
	}

	// vm is one VM of the cluster. All are entries; the first controlCount also run a
	// control replica.
	vm struct {
		*process
		name    string
		http    netip.AddrPort
		dataDir string
	}

	clusterOptions struct {
		// relayed routes calls to control VMs through relays, which can block them.
		relayed bool
		// serveArgs returns additional arguments of the serve command of a VM.
		serveArgs func(name string) []string
		// standinArgs are additional arguments of the standin command.
		standinArgs []string
		// client calls the entries and the stand-in; nil selects a plain HTTP client.
		client *http.Client
		// scheme is the URL scheme of the entries; empty means http.
		scheme string
		// token is the bearer token sent with configuration changes.
		token string
	}

	// cluster is a running system with emulated backend servers.
	cluster struct {
		t       *testing.T
		vms     []*vm
		standin *process
		// admin is the admin address of the stand-in.
		admin   netip.AddrPort
		client  *http.Client
		options clusterOptions
		// relays forward the calls to control VMs if options.relayed is set.
		relays relays
	}
)

func TestMain(m *testing.M) {
	code := m.Run()
	if binary != "" {
		_ = os.RemoveAll(filepath.Dir(binary))
	}
	os.Exit(code)
}

// binaryPath builds the briarferry binary on first use and returns its path.
func binaryPath(t *testing.T) string {
	t.Helper()
	buildOnce.Do(func() {
		var dir string
		if dir, buildErr = os.MkdirTemp("", "briarferry"); buildErr != nil {
			return
		}
		binary = filepath.Join(dir, "briarferry")
		out, err := exec.Command("go", "build", "-o", binary, "briarferry/cmd/briarferry").CombinedOutput()
		if err != nil {
			buildErr = fmt.Errorf("%w: %s", err, out)
		}
	})
	if buildErr != nil {
		t.Fatal(buildErr)
	}
	return binary
}

func freeAddresses(t *testing.T, n int) []netip.AddrPort {
	t.Helper()
	list, err := bfloopback.FreeAddresses(n)
	if err != nil {
		t.Fatal(err)
	}
	return list
}

func (p *process) start() {
	p.t.Helper()
	p.cmd = exec.Command(binaryPath(p.t), p.args...)
	p.cmd.Stderr, p.cmd.Stdout = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// stop sends SIGTERM and reports whether the process exits with status 0 before the
// timeout, after which it is killed.
func (p *process) stop(timeout time.Duration) bool {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	timer := time.AfterFunc(timeout, func() { _ = p.cmd.Process.Kill() })
	defer timer.Stop()
	return p.cmd.Wait() == nil
}

// freeze suspends the process until resume is called.
func (p *process) freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }
func (p *process) resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

func newProcess(t *testing.T, dir, name string, args ...string) *process {
	t.Helper()
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, args: args, log: log}
	t.Cleanup(func() {
		if p.cmd != nil && p.cmd.ProcessState == nil {
			p.resume()
			p.kill()
		}
		if t.Failed() {
			logTail(t, name, log.Name())
		}
		log.Close()
	})
	return p
}

// logTail prints the end of a log file to the test log.
func logTail(t *testing.T, name, path string) {
	data, _ := os.ReadFile(path)
	const maxBytes = 6000
	if len(data) > maxBytes {
		data = data[len(data)-maxBytes:]
	}
	t.Logf("%s: %s", name, data)
}

// startCluster starts seven VMs in three regions, three of them control VMs with data
// directories, and the stand-in, and applies the example configuration.
func startCluster(t *testing.T) *cluster {
	t.Helper()
	return startClusterWith(t, clusterOptions{})
}

func startClusterWith(t *testing.T, opts clusterOptions) *cluster {
	t.Helper()
	dir := t.TempDir()
	cfg := exampleConfig(t)
	addrs := freeAddresses(t, vmCount*3+1)
	c := &cluster{t: t, admin: addrs[vmCount*3], client: &http.Client{Timeout: 30 * time.Second}, options: opts}
	if opts.client != nil {
		c.client = opts.client
	}
	var peers []string
	for i := range vmCount {
		peers = append(peers, addrs[i*3+2].String())
	}
	for i := range vmCount {
		var control []string
		for j := range controlCount {
			control = append(control, fmt.Sprintf("vm%d=%s", j+1, c.controlAddress(i, j, addrs[j*3+1], opts)))
		}
		v := newVM(t, dir, i, cfg, addrs[i*3:i*3+3], control, peers)
		if opts.serveArgs != nil {
			v.args = append(v.args, opts.serveArgs(v.name)...)
		}
		c.vms = append(c.vms, v)
	}
	for _, v := range c.vms {
		v.start()
	}
	for _, v := range c.vms {
		c.waitConfig(v)
	}
	c.apply(cfg)
	c.startStandin(dir, cfg)
	for _, v := range c.vms {
		c.waitReady(v)
		c.waitServers(v, cfg)
	}
	// The owner of a newly registered backend server waits until slot leases that a
	// previous owner may have granted have expired.
	time.Sleep(1500 * time.Millisecond)
	return c
}

func exampleConfig(t *testing.T) *briarferry.Config {
	t.Helper()
	data, err := os.ReadFile("../../examples/mantas.answers.json")
	if err != nil {
		t.Fatal(err)
	}
	a := &bfconfig.Answers{}
	if err := json.Unmarshal(data, a); err != nil {
		t.Fatal(err)
	}
	cfg, _, err := bfconfig.Generate(a)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func newVM(t *testing.T, dir string, i int, cfg *briarferry.Config, addrs []netip.AddrPort, control, peers []string) *vm {
	t.Helper()
	region := cfg.Regions[i%len(cfg.Regions)]
	v := &vm{name: fmt.Sprintf("vm%d", i+1), http: addrs[0]}
	args := []string{
		"serve", "--name", v.name, "--region", region.Name,
		"--failure-domain", region.FailureDomains[i/len(cfg.Regions)%len(region.FailureDomains)],
		"--http", addrs[0].String(), "--rpc", addrs[1].String(), "--gossip", addrs[2].String(),
		"--control", strings.Join(control, ","), "--peers", strings.Join(peers, ","), "--drain-for", "5s",
	}
	if i < controlCount {
		v.dataDir = filepath.Join(dir, v.name+"-data")
		args = append(args, "--data", v.dataDir)
	}
	v.process = newProcess(t, dir, v.name, args...)
	return v
}

// url returns the URL of a path on an entry or on the stand-in, which doesn't use TLS.
func (c *cluster) url(address netip.AddrPort, path string) string {
	if c.options.scheme == "" || address == c.admin {
		return "http://" + address.String() + path
	}
	return c.options.scheme + "://" + address.String() + path
}

// get decodes a JSON document into out, unless out is nil, and returns the status code,
// or 0 if there was no valid answer.
func (c *cluster) get(address netip.AddrPort, path string, out any) int {
	resp, err := c.client.Get(c.url(address, path))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if out != nil {
		if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
			return 0
		}
	}
	return resp.StatusCode
}

// waitFor polls until ok returns true and returns the time that it took.
func (c *cluster) waitFor(condition string, timeout time.Duration, ok func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > timeout {
			c.t.Fatalf("condition not met within %s: %s", timeout, condition)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

func (c *cluster) waitConfig(v *vm) {
	c.t.Helper()
	c.waitFor(v.name+" serves the configuration", readyTimeout, func() bool {
		return c.get(v.http, bfapi.PathConfig, nil) == http.StatusOK
	})
}

func (c *cluster) waitReady(v *vm) time.Duration {
	c.t.Helper()
	// Only the field detail is decoded: a VM that isn't ready answers with a problem
	// document, a ready VM with a document of another type.
	var p struct {
		Detail string `json:"detail"`
	}
	defer func() {
		if c.t.Failed() {
			c.t.Logf("last problem that %s reported: %s", v.name, p.Detail)
		}
	}()
	return c.waitFor(v.name+" is ready", readyTimeout, func() bool {
		return c.get(v.http, bfapi.PathReady, &p) == http.StatusOK
	})
}

// config returns the configuration and its entity tag as served by one VM.
func (c *cluster) config(v *vm) (*briarferry.Config, string, error) {
	resp, err := c.client.Get(c.url(v.http, bfapi.PathConfig))
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	cfg := &briarferry.Config{}
	if resp.StatusCode != http.StatusOK {
		return nil, "", fmt.Errorf("status %d", resp.StatusCode)
	}
	return cfg, resp.Header.Get(bfapi.HeaderETag), json.NewDecoder(resp.Body).Decode(cfg)
}

// put sends a configuration change and returns the status code, or 0 if there was no
// answer.
func (c *cluster) put(ctx context.Context, v *vm, cfg *briarferry.Config, etag, key string) int {
	data, _ := json.Marshal(cfg)
	req, _ := http.NewRequestWithContext(ctx, http.MethodPut, c.url(v.http, bfapi.PathConfig), bytes.NewReader(data))
	req.Header.Set(bfapi.HeaderIfMatch, etag)
	req.Header.Set("Authorization", "Bearer "+c.options.token)
	req.Header.Set(bfapi.HeaderIdempotencyKey, key)
	resp, err := c.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// apply replaces the configuration in force.
func (c *cluster) apply(cfg *briarferry.Config) {
	c.t.Helper()
	c.waitFor("the configuration is accepted", readyTimeout, func() bool {
		_, etag, err := c.config(c.vms[0])
		return err == nil && c.put(c.t.Context(), c.vms[0], cfg, etag, bfapi.NewRequestID()) == http.StatusOK
	})
}

// setBehaviour changes the behaviour of emulated backend servers.
func (c *cluster) setBehaviour(change bfstandin.BehaviourChange) {
	c.t.Helper()
	data, _ := json.Marshal(change)
	resp, err := c.client.Post("http://"+c.admin.String()+"/behaviour", bfapi.TypeJSON, bytes.NewReader(data))
	if err != nil || resp.StatusCode != http.StatusOK {
		c.t.Fatalf("failed to change the behaviour of backend servers: %v", err)
	}
	resp.Body.Close()
}

// executions returns the requests with an idempotency key that backend servers ran.
func (c *cluster) executions() bfstandin.Executions {
	c.t.Helper()
	var e bfstandin.Executions
	if c.get(c.admin, "/executions", &e) != http.StatusOK {
		c.t.Fatal("failed to read the executions from the stand-in")
	}
	return e
}

func (c *cluster) servers() []bfstandin.ServerStatus {
	c.t.Helper()
	var list []bfstandin.ServerStatus
	if c.get(c.admin, "/servers", &list) != http.StatusOK {
		c.t.Fatal("failed to read the servers from the stand-in")
	}
	return list
}

// call sends one request and returns the status code, the outcome and the body. The
// status code is 0 and the outcome unknown if no complete answer arrived.
func (c *cluster) call(ctx context.Context, v *vm, method, path, key, body string, timeout time.Duration) (int, briarferry.Outcome, []byte) {
	ctx, cancel := context.WithTimeout(ctx, timeout+time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, c.url(v.http, path), strings.NewReader(body))
	req.Header.Set(bfapi.HeaderRequestTimeout, bfapi.FormatTimeout(timeout))
	if key != "" {
		req.Header.Set(bfapi.HeaderIdempotencyKey, key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, briarferry.OutcomeUnknown, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, briarferry.OutcomeUnknown, nil
	}
	var p bfapi.Problem
	_ = json.Unmarshal(data, &p)
	return resp.StatusCode, p.Outcome, data
}
