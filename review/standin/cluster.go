package main

import (
	"bufio"
	"fmt"
	"io"
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

const (
	// subnets is the number of address ranges 127.S.0.0/16 that a run picks from.
	firstSubnet, subnets = 64, 128
	// ports is the number of consecutive ports that a run uses on its addresses.
	ports = 40

	offsetReady     = 20
	offsetControl   = 21
	offsetDirectory = 22
	offsetFrontend  = 23
	offsetServer    = 24
	offsetAdmin     = 25

	startTimeout = 20 * time.Second
)

// zones are the failure domains; each is in a region of its own.
var zones = []string{"bagmati-a", "gandaki-a", "koshi-a"}

type (
	// cluster is a small deployment on loopback addresses.
	cluster struct {
		dir      string
		subnet   int
		port     int
		controls []*node
		entries  []*node
		servers  []*server
		seeds    []string
		// requests counts the callers' requests; each has its own id.
		requests atomic.Int64

		mu     sync.Mutex
		record *bufio.Writer
		file   *os.File
		start  time.Time
		closed bool
		procs  []*process
	}

	// node is a control or entry VM.
	node struct {
		cluster *cluster
		name    string
		role    string
		zone    string
		ip      string
		dir     string
		*process
	}

	// process is a program that the case started.
	process struct {
		cmd    *exec.Cmd
		exited chan struct{}
	}
)

func newCluster(recordPath string) (*cluster, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, record: bufio.NewWriter(file), file: file, start: time.Now()}
	for try := range subnets {
		c.subnet = firstSubnet + (os.Getpid()+try)%subnets
		c.port = 20000 + (os.Getpid()*ports)%20000
		if c.free() {
			return c, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// free reports whether the address range is unused.
func (c *cluster) free() bool {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", c.subnet, c.port+ports-1))
	if err != nil {
		return false
	}
	return ln.Close() == nil
}

// logf writes a line with the time since the start of the case to the record.
func (c *cluster) logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	fmt.Fprintf(c.record, "%8.3f s  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
	_ = c.record.Flush()
}

// now returns the time since the start of the case.
func (c *cluster) now() time.Duration { return time.Since(c.start) }

func (c *cluster) address(ip string, offset int) string {
	return fmt.Sprintf("%s:%d", ip, c.port+offset)
}

// addNode adds a control VM or an entry; its process isn't started.
func (c *cluster) addNode(role string) *node {
	list, host := &c.controls, 1
	if role == "entry" {
		list, host = &c.entries, 101
	}
	i := len(*list)
	n := &node{cluster: c, role: role, name: fmt.Sprintf("%s-%d", role, i+1), zone: zones[i%len(zones)], ip: fmt.Sprintf("127.%d.0.%d", c.subnet, host+i)}
	n.dir = filepath.Join(c.dir, n.name)
	*list = append(*list, n)
	return n
}

// form starts three control VMs and the given number of entries.
func (c *cluster) form(entries int) error {
	for range 3 {
		n := c.addNode("control")
		c.seeds = append(c.seeds, c.address(n.ip, offsetControl))
	}
	for range entries {
		c.addNode("entry")
	}
	for _, n := range append(append([]*node{}, c.controls...), c.entries...) {
		if err := n.run(true); err != nil {
			return err
		}
	}
	return nil
}

// run starts the process of a VM with the command of the deploy file.
func (n *node) run(bootstrap bool) error {
	if err := os.MkdirAll(filepath.Join(n.dir, "data"), 0o700); err != nil {
		return err
	}
	if err := n.writeSettings(bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/briarferry", n.role, "--insecure-rpc")
	// The machines of the settings have one core.
	cmd.Env = append(os.Environ(), "BRIARFERRY_NODE_FILE="+n.settingsPath(), "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = log, log
	if n.process, err = n.cluster.startProcess(cmd); err != nil {
		return err
	}
	n.cluster.logf("%s started at %s, bootstrap %v", n.name, n.ip, bootstrap)
	return nil
}

func (n *node) settingsPath() string { return filepath.Join(n.dir, "boot.toml") }

// writeSettings writes the settings file.
func (n *node) writeSettings(bootstrap bool) error {
	return os.WriteFile(n.settingsPath(), []byte(n.settings(bootstrap)), 0o600)
}

// settings returns the settings file of a VM in the layout of the platform.
func (n *node) settings(bootstrap bool) string {
	c := n.cluster
	var b strings.Builder
	fmt.Fprintf(&b, "[self]\nnode = %q\nrole = %q\nip = %q\nzone = %q\nregion = %q\nbootstrap = %v\n", n.name, n.role, n.ip, n.zone, region(n.zone), bootstrap)
	if n.role == "control" {
		fmt.Fprintf(&b, "machineClass = \"core\"\nserves = [\"control_plane\", \"directory\"]\ncountsAsLoss = true\ndataDir = %q\n", filepath.Join(n.dir, "data"))
	} else {
		b.WriteString("machineClass = \"frontend\"\nserves = [\"frontend\"]\ncountsAsLoss = false\n")
	}
	fmt.Fprintf(&b, "[self.limits]\ncpuShare = 1.0\ncores = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\n")
	fmt.Fprintf(&b, "[network]\ninternalPorts = [%d, %d]\nseeds = [\"%s\"]\n[network.listen]\n", c.port, c.port+15, strings.Join(c.seeds, "\", \""))
	if n.role == "control" {
		fmt.Fprintf(&b, "control = %q\ndirectory = %q\n", c.address(n.ip, offsetControl), c.address(n.ip, offsetDirectory))
	} else {
		fmt.Fprintf(&b, "frontend = %q\nready = %q\n", c.address(n.ip, offsetFrontend), c.address(n.ip, offsetReady))
	}
	b.WriteString("[network.zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = %q\n", z, region(z))
	}
	b.WriteString("[platform]\ndiscovery = \"registration\"\nentry = \"directory\"\nheartbeatIntervalS = 1.5\n")
	b.WriteString("[terms]\ncontracts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"places\"]\n")
	b.WriteString("[terms.faultTolerance]\nmachines = 1\nzones = 1\nregions = 1\n")
	b.WriteString("[terms.bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactS = 3\nackTimeoutS = 4\ncatchUpS = 4\ndrainS = 2.5\ngraceS = 6\nlossSlackS = 0.2\n")
	b.WriteString("configApplyS = 2.5\nrollbackSlackS = 0.25\nmaxStretchS = 5\nbudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 64\ncoldOver = 1.5\n")
	b.WriteString("coldSlack = 5\nevacuateS = 5\nrecoveryS = 15\nttl_max_s = 5\nmaxShift = 0.15\n")
	return b.String()
}

// region returns the region of a failure domain.
func region(zone string) string { return strings.TrimSuffix(zone, "-a") }

// wipe deletes the data of a VM that isn't running.
func (n *node) wipe() error {
	n.cluster.logf("%s loses its disk", n.name)
	return os.RemoveAll(filepath.Join(n.dir, "data"))
}

// isLeader reports whether the control VM's log names it as the newest leader.
func (n *node) isLeader() bool {
	data, err := os.ReadFile(filepath.Join(n.dir, "log"))
	if err != nil {
		return false
	}
	return strings.LastIndex(string(data), "replica became leader") > strings.LastIndex(string(data), "replica lost leadership")
}

// leader returns the control VM that leads the group, or nil.
func (c *cluster) leader() *node {
	for _, n := range c.controls {
		if n.running() && n.isLeader() {
			return n
		}
	}
	return nil
}

func (c *cluster) startProcess(cmd *exec.Cmd) (*process, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, fmt.Errorf("the case has ended")
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	c.procs = append(c.procs, p)
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// close ends all processes and removes the temporary folder.
func (c *cluster) close() {
	c.mu.Lock()
	c.closed = true
	procs := c.procs
	c.mu.Unlock()
	for _, p := range procs {
		if p.running() {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
	if keep := os.Getenv("REVIEW_KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(c.dir))
	}
	_ = os.RemoveAll(c.dir)
	_ = c.file.Close()
}

// follow copies the lines of a server process to the record and to handle.
func (c *cluster) follow(name string, r io.Reader, handle func(line string)) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		c.logf("%s %s", name, lines.Text())
		handle(lines.Text())
	}
}

// waitFor polls until the condition holds.
func waitFor(what string, limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("not in %v: %s", limit, what)
}
