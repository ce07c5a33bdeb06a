package systemtest

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The VMs of the soak test use the same ports on different IP addresses.
const (
	soakInternalPort  = 7540
	soakReadyPort     = 8542
	soakControlPort   = 8544
	soakDirectoryPort = 8546
	soakFrontendPort  = 8548
	// soakStopTimeout limits an orderly stop.
	soakStopTimeout = 6 * time.Second
)

// soakVM is an entry or control VM and the relay that its peers and clients connect to.
type soakVM struct {
	t      *testing.T
	name   string
	role   string
	domain int
	// address is that of the relay, and bind that of the process.
	address netip.Addr
	bind    netip.Addr
	dir     string
	relay   *vmRelay
	log     *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// stopping is set when the test ends the process; exited is closed once it has exited.
	stopping bool
	exited   chan struct{}
}

var soakFailureDomains = []string{"north-a", "south-a", "west-a"}

func soakRegion(domain int) string { return strings.TrimSuffix(soakFailureDomains[domain], "-a") }

// newSoakVM prepares a VM and starts its relay, but not its process.
func newSoakVM(t *testing.T, dir, role string, i int, seeds []netip.Addr) *soakVM {
	t.Helper()
	host := byte(i + 1)
	if role == "entry" {
		host += 100
	}
	subnet := byte(os.Getpid()%250 + 1)
	v := &soakVM{
		t: t, name: fmt.Sprintf("%s-%d", role, i), role: role, domain: i % len(soakFailureDomains),
		address: netip.AddrFrom4([4]byte{127, 50, subnet, host}), bind: netip.AddrFrom4([4]byte{127, 51, subnet, host}),
	}
	v.dir = filepath.Join(dir, v.name)
	if err := os.MkdirAll(filepath.Join(v.dir, "data"), 0o700); err != nil {
		t.Fatal(err)
	}
	var err error
	if v.log, err = os.Create(filepath.Join(v.dir, "log")); err != nil {
		t.Fatal(err)
	}
	tcp, udp := []uint16{soakInternalPort, soakReadyPort, soakFrontendPort}, []uint16{soakInternalPort + 1}
	if role == "control" {
		tcp, udp = []uint16{soakInternalPort + 2, soakControlPort, soakDirectoryPort}, []uint16{soakInternalPort + 3}
	}
	if v.relay, err = startVMRelay(v.address, v.bind, tcp, udp); err != nil {
		t.Fatal(err)
	}
	v.writeSettings(seeds, true)
	t.Cleanup(func() {
		v.kill()
		_ = v.relay.close()
		v.log.Close()
	})
	return v
}

// writeSettings writes the node settings file in the platform's format.
func (v *soakVM) writeSettings(seeds []netip.Addr, bootstrap bool) {
	var b strings.Builder
	fmt.Fprintf(&b, "[self]\nnode = %q\nip = %q\nzone = %q\nregion = %q\nbootstrap = %v\ndataDir = %q\n", v.name, v.address, soakFailureDomains[v.domain], soakRegion(v.domain), bootstrap, filepath.Join(v.dir, "data"))
	fmt.Fprintf(&b, "[network]\ninternalPorts = [%d, %d]\nseeds = [", soakInternalPort, soakInternalPort+15)
	for i, s := range seeds {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "\"%s:%d\"", s, soakControlPort)
	}
	b.WriteString("]\n[network.listen]\n")
	if v.role == "entry" {
		fmt.Fprintf(&b, "frontend = \"%s:%d\"\nready = \"%s:%d\"\n", v.address, soakFrontendPort, v.address, soakReadyPort)
	} else {
		fmt.Fprintf(&b, "control = \"%s:%d\"\ndirectory = \"%s:%d\"\n", v.address, soakControlPort, v.address, soakDirectoryPort)
	}
	b.WriteString("[network.zones]\n")
	for i, domain := range soakFailureDomains {
		fmt.Fprintf(&b, "%s = %q\n", domain, soakRegion(i))
	}
	fmt.Fprintf(&b, "[terms.bounds]\ngraceS = %d\nbudgetRatio = 0.2\nbudgetSlack = 64\nbudgetWindowS = 10\nttl_max_s = 5\n", int(soakStopTimeout.Seconds()))
	if err := os.WriteFile(filepath.Join(v.dir, "node.toml"), []byte(b.String()), 0o600); err != nil {
		v.t.Error(err)
	}
}

func (v *soakVM) start() {
	v.mu.Lock()
	defer v.mu.Unlock()
	cmd := exec.Command(binaryPath(v.t), v.role, "--insecure-rpc", "--metrics-port", "0", "--bind", v.bind.String(), "--node-file", filepath.Join(v.dir, "node.toml"))
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		v.t.Error(err)
		return
	}
	done := make(chan struct{})
	v.cmd, v.exited, v.stopping = cmd, done, false
	go func() {
		err := cmd.Wait()
		v.mu.Lock()
		if !v.stopping {
			v.t.Errorf("%s exited unexpectedly: %v", v.name, err)
		}
		v.mu.Unlock()
		close(done)
	}()
}

// signal sends a signal to the process and returns the channel that is closed on its exit.
// If final is set, the process is expected to exit.
func (v *soakVM) signal(s syscall.Signal, final bool) chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return nil
	}
	v.stopping = v.stopping || final
	_ = v.cmd.Process.Signal(s)
	return v.exited
}

func (v *soakVM) kill() {
	if done := v.signal(syscall.SIGKILL, true); done != nil {
		<-done
	}
}

// stop sends SIGTERM; the process must exit within soakStopTimeout.
func (v *soakVM) stop() {
	done := v.signal(syscall.SIGTERM, true)
	select {
	case <-done:
	case <-time.After(soakStopTimeout):
		v.t.Errorf("%s did not stop within %s", v.name, soakStopTimeout)
		v.kill()
	}
}

// freeze suspends the process for a time.
func (v *soakVM) freeze(d time.Duration) {
	v.signal(syscall.SIGSTOP, false)
	time.Sleep(d)
	v.signal(syscall.SIGCONT, false)
}

// wipe deletes the data of a VM that is not running. The VM rejoins as a new member.
func (v *soakVM) wipe(seeds []netip.Addr) {
	if err := os.RemoveAll(filepath.Join(v.dir, "data")); err != nil {
		v.t.Error(err)
	}
	if err := os.MkdirAll(filepath.Join(v.dir, "data"), 0o700); err != nil {
		v.t.Error(err)
	}
	v.writeSettings(seeds, false)
}

// appendIncompleteFrame appends random bytes to the latest log segment, as an interrupted
// write without a sync may leave them.
func (v *soakVM) appendIncompleteFrame(r *rand.Rand) {
	segments, _ := filepath.Glob(filepath.Join(v.dir, "data", "*.wal"))
	if len(segments) == 0 {
		return
	}
	f, err := os.OpenFile(segments[len(segments)-1], os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		v.t.Error(err)
		return
	}
	defer f.Close()
	garbage := make([]byte, r.IntN(60)+1)
	for i := range garbage {
		garbage[i] = byte(r.Uint32())
	}
	_, _ = f.Write(garbage)
}
