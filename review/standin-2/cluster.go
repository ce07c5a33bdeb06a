package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The VMs use the same ports on different loopback addresses.
const (
	firstInternalPort = 7540
	lastInternalPort  = 7555
	readyPort         = 8542
	controlPort       = 8544
	directoryPort     = 8546
	frontendPort      = 8548
	metricsPort       = 9464

	// subnets is the number of loopback subnets to choose from, and the hosts are the last parts
	// of the addresses in one of them.
	subnets          = 250
	firstControlHost = 10
	firstEntryHost   = 50
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 300 * time.Millisecond
	// configLimit is the time within which a configuration must be accepted.
	configLimit = 20 * time.Second
)

// running is the deployment of the case.
var running atomic.Pointer[cluster]

// zones are the failure domains of the deployment with their regions, those of mantas-ne.
var zones = []struct{ name, region string }{
	{"recife-a", "recife"}, {"fortaleza-a", "fortaleza"}, {"salvador-a", "salvador"},
	{"recife-b", "recife"}, {"fortaleza-b", "fortaleza"}, {"salvador-b", "salvador"},
}

type (
	// cluster is a small deployment of the project's own programs on loopback addresses.
	cluster struct {
		root, dir string
		subnet    int
		rec       *record
		controls  []*vm
		entries   []*vm
	}

	// vm is one process of the deployment and the machine on which it runs.
	vm struct {
		c                *cluster
		name, role, zone string
		region, ip       string
		bootstrap        bool

		mu     sync.Mutex
		cmd    *exec.Cmd
		exited chan struct{}
	}
)

// newCluster prepares controls and entries, each in the next zone, and starts none of them.
func newCluster(rec *record, controls, entries int) (*cluster, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{root: root, dir: dir, rec: rec}
	for i := range subnets {
		c.subnet = (os.Getpid()+i)%subnets + 1
		c.prepare(controls, entries)
		if c.hasFreePorts() {
			running.Store(c)
			for _, v := range c.all() {
				v.writeSettings()
			}
			return c, nil
		}
	}
	return nil, errors.New("no loopback addresses with free ports")
}

// prepare names the VMs and their addresses.
func (c *cluster) prepare(controls, entries int) {
	c.controls, c.entries = nil, nil
	for i := range controls {
		c.controls = append(c.controls, c.newVM("control", i, firstControlHost+i))
	}
	for i := range entries {
		c.entries = append(c.entries, c.newVM("entry", i, firstEntryHost+i))
	}
}

func (c *cluster) hasFreePorts() bool {
	for _, v := range c.all() {
		if v.checkPorts() != nil {
			return false
		}
	}
	return true
}

func (c *cluster) newVM(role string, i, host int) *vm {
	z := zones[i%len(zones)]
	v := &vm{c: c, name: fmt.Sprintf("%s-%s-%d", role, z.name, i), role: role, zone: z.name, region: z.region, ip: fmt.Sprintf("127.77.%d.%d", c.subnet, host), bootstrap: true}
	_ = os.MkdirAll(filepath.Join(v.dir(), "data"), 0o700)
	return v
}

func (c *cluster) all() []*vm { return append(append([]*vm{}, c.controls...), c.entries...) }

// serve starts every process and gives the deployment its first configuration.
func (c *cluster) serve(cfg *config) error {
	for _, v := range c.all() {
		if err := v.start(); err != nil {
			return err
		}
	}
	return (&operator{c: c}).put(0, cfg, configLimit)
}

// close ends all processes and removes their files.
func (c *cluster) close() {
	if c == nil {
		return
	}
	for _, v := range c.all() {
		v.kill()
	}
	_ = os.RemoveAll(c.dir)
}

func (v *vm) dir() string { return filepath.Join(v.c.dir, v.name) }

func (v *vm) addr(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

// checkPorts fails if a port of the VM is in use.
func (v *vm) checkPorts() error {
	for _, port := range []int{firstInternalPort, firstInternalPort + 2, readyPort, controlPort, directoryPort, frontendPort, metricsPort} {
		ln, err := net.Listen("tcp", v.addr(port))
		if err != nil {
			return err
		}
		_ = ln.Close()
	}
	return nil
}

// writeSettings writes the settings file of the process, as the platform does.
func (v *vm) writeSettings() {
	var b strings.Builder
	fmt.Fprintf(&b, "[self]\nnode = %q\nrole = %q\nip = %q\nzone = %q\nregion = %q\nbootstrap = %v\ndataDir = %q\n", v.name, v.role, v.ip, v.zone, v.region, v.bootstrap, filepath.Join(v.dir(), "data"))
	fmt.Fprintf(&b, "[self.limits]\nmemoryMb = 544\nlinkMbps = 1000.0\n[network]\ninternalPorts = [%d, %d]\n", firstInternalPort, lastInternalPort)
	var seeds []string
	for _, s := range v.c.controls[:min(3, len(v.c.controls))] {
		seeds = append(seeds, fmt.Sprintf("%q", s.addr(controlPort)))
	}
	fmt.Fprintf(&b, "seeds = [%s]\n[network.listen]\n", strings.Join(seeds, ", "))
	if v.role == "entry" {
		fmt.Fprintf(&b, "frontend = %q\nready = %q\n", v.addr(frontendPort), v.addr(readyPort))
	} else {
		fmt.Fprintf(&b, "control = %q\ndirectory = %q\n", v.addr(controlPort), v.addr(directoryPort))
	}
	b.WriteString("[network.zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = %q\n", z.name, z.region)
	}
	b.WriteString("[terms.faultTolerance]\nmachines = 1\nzones = 1\nregions = 1\n[terms.bounds]\n")
	b.WriteString("graceS = 6\nbudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 64\nttl_max_s = 5\nmaxShift = 0.15\n")
	b.WriteString("quotaWindowS = 5\nquotaOver = 0.1\nquotaSlack = 20\n")
	_ = os.WriteFile(v.settingsFile(), []byte(b.String()), 0o600)
}

func (v *vm) settingsFile() string { return filepath.Join(v.dir(), "node.toml") }

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(v.dir(), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/briarferry", v.role, "--insecure-rpc")
	cmd.Dir = v.c.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRIARFERRY_NODE_FILE=" + v.settingsFile()}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { _ = cmd.Wait(); close(exited) }()
	v.cmd, v.exited = cmd, exited
	return nil
}

// signal sends a signal to the process if it runs.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

// restart starts a killed process again, as the platform does. The first start of the whole
// system is over.
func (v *vm) restart() error {
	v.bootstrap = false
	v.writeSettings()
	return v.start()
}

// kill ends the process at once and waits for its end.
func (v *vm) kill() {
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	if exited != nil {
		<-exited
	}
}
