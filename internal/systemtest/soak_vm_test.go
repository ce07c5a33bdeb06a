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

// The ports of every VM of a soak; they differ by their IP addresses only.
const (
	soakInternal  = 7540
	soakReady     = 8542
	soakControl   = 8544
	soakDirectory = 8546
	soakCallers   = 8548
	// soakGrace is the time that a process has to stop.
	soakGrace = 6 * time.Second
)

// soakVM is one process of the system with the relay before it.
type soakVM struct {
	t       *testing.T
	name    string
	role    string
	zone    int
	address netip.Addr
	bind    netip.Addr
	dir     string
	relay   *vmRelay
	log     *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// ending tells that the soak ends the process; done is closed when it has ended.
	ending bool
	done   chan struct{}
}

var soakZones = []string{"north-a", "south-a", "west-a"}

func soakRegion(zone int) string { return strings.TrimSuffix(soakZones[zone], "-a") }

func newSoakVM(t *testing.T, dir, role string, i int, seeds []netip.Addr) *soakVM {
	t.Helper()
	host := byte(i + 1)
	if role == "entry" {
		host += 100
	}
	net := byte(os.Getpid()%250 + 1)
	v := &soakVM{
		t: t, name: fmt.Sprintf("%s-%d", role, i), role: role, zone: i % len(soakZones),
		address: netip.AddrFrom4([4]byte{127, 50, net, host}), bind: netip.AddrFrom4([4]byte{127, 51, net, host}),
	}
	v.dir = filepath.Join(dir, v.name)
	if err := os.MkdirAll(filepath.Join(v.dir, "data"), 0o700); err != nil {
		t.Fatal(err)
	}
	var err error
	if v.log, err = os.Create(filepath.Join(v.dir, "log")); err != nil {
		t.Fatal(err)
	}
	tcp, udp := []uint16{soakInternal, soakReady, soakCallers}, []uint16{soakInternal + 1}
	if role == "control" {
		tcp, udp = []uint16{soakInternal + 2, soakControl, soakDirectory}, []uint16{soakInternal + 3}
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

// writeSettings writes the settings file in the platform's layout.
func (v *soakVM) writeSettings(seeds []netip.Addr, bootstrap bool) {
	var b strings.Builder
	fmt.Fprintf(&b, "[self]\nnode = %q\nip = %q\nzone = %q\nregion = %q\nbootstrap = %v\ndataDir = %q\n", v.name, v.address, soakZones[v.zone], soakRegion(v.zone), bootstrap, filepath.Join(v.dir, "data"))
	fmt.Fprintf(&b, "[network]\ninternalPorts = [%d, %d]\nseeds = [", soakInternal, soakInternal+15)
	for i, s := range seeds {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "\"%s:%d\"", s, soakControl)
	}
	b.WriteString("]\n[network.listen]\n")
	if v.role == "entry" {
		fmt.Fprintf(&b, "frontend = \"%s:%d\"\nready = \"%s:%d\"\n", v.address, soakCallers, v.address, soakReady)
	} else {
		fmt.Fprintf(&b, "control = \"%s:%d\"\ndirectory = \"%s:%d\"\n", v.address, soakControl, v.address, soakDirectory)
	}
	b.WriteString("[network.zones]\n")
	for i, zone := range soakZones {
		fmt.Fprintf(&b, "%s = %q\n", zone, soakRegion(i))
	}
	fmt.Fprintf(&b, "[terms.bounds]\ngraceS = %d\nbudgetRatio = 0.2\nbudgetSlack = 64\nbudgetWindowS = 10\nttl_max_s = 5\n", int(soakGrace.Seconds()))
	if err := os.WriteFile(filepath.Join(v.dir, "node.toml"), []byte(b.String()), 0o600); err != nil {
		v.t.Error(err)
	}
}

func (v *soakVM) start() {
	v.mu.Lock()
	defer v.mu.Unlock()
	cmd := exec.Command(program(v.t), v.role, "--insecure-rpc", "--metrics-port", "0", "--bind", v.bind.String(), "--node-file", filepath.Join(v.dir, "node.toml"))
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		v.t.Error(err)
		return
	}
	done := make(chan struct{})
	v.cmd, v.done, v.ending = cmd, done, false
	go func() {
		err := cmd.Wait()
		v.mu.Lock()
		if !v.ending {
			v.t.Errorf("%s ended by itself: %v", v.name, err)
		}
		v.mu.Unlock()
		close(done)
	}()
}

// signal sends a signal to the process; a final one is expected to end it.
func (v *soakVM) signal(s syscall.Signal, final bool) chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return nil
	}
	v.ending = v.ending || final
	_ = v.cmd.Process.Signal(s)
	return v.done
}

func (v *soakVM) kill() {
	if done := v.signal(syscall.SIGKILL, true); done != nil {
		<-done
	}
}

// stop asks the process to end, which must happen within the grace time.
func (v *soakVM) stop() {
	done := v.signal(syscall.SIGTERM, true)
	select {
	case <-done:
	case <-time.After(soakGrace):
		v.t.Errorf("%s did not stop within %s", v.name, soakGrace)
		v.kill()
	}
}

// freeze halts the process for a while.
func (v *soakVM) freeze(d time.Duration) {
	v.signal(syscall.SIGSTOP, false)
	time.Sleep(d)
	v.signal(syscall.SIGCONT, false)
}

// wipe removes the data of a VM that is down. It comes back as a new member.
func (v *soakVM) wipe(seeds []netip.Addr) {
	if err := os.RemoveAll(filepath.Join(v.dir, "data")); err != nil {
		v.t.Error(err)
	}
	if err := os.MkdirAll(filepath.Join(v.dir, "data"), 0o700); err != nil {
		v.t.Error(err)
	}
	v.writeSettings(seeds, false)
}

// tear appends what a write without a sync may leave behind to the newest log segment.
func (v *soakVM) tear(r *rand.Rand) {
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
	tail := make([]byte, r.IntN(60)+1)
	for i := range tail {
		tail[i] = byte(r.Uint32())
	}
	_, _ = f.Write(tail)
}
