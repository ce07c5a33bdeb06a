package bfbench

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is one running program that the benchmark started.
type process struct {
	cmd     *exec.Cmd
	log     *os.File
	stopped bool
}

func startProcess(program, dir, name string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("bfbench: %w", err)
	}
	p := &process{cmd: exec.Command(program, args...), log: log}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		log.Close()
		return nil, fmt.Errorf("bfbench: start %s: %w", name, err)
	}
	return p, nil
}

// kill ends the process without notice and returns the processor time it used.
func (p *process) kill() time.Duration {
	if !p.stopped {
		p.stopped = true
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		_ = p.log.Close()
	}
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}

func (p *process) freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// freeAddresses returns loopback addresses whose TCP and UDP ports were free.
func freeAddresses(n int) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for range 10 * n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("bfbench: %w", err)
		}
		defer ln.Close()
		pc, err := net.ListenPacket("udp", ln.Addr().String())
		if err != nil {
			continue
		}
		defer pc.Close()
		if out = append(out, netip.MustParseAddrPort(ln.Addr().String())); len(out) == n {
			return out, nil
		}
	}
	return nil, fmt.Errorf("bfbench: no %d free ports", n)
}

// freeRun returns the first address of n free ports in a row.
func freeRun(n int) (netip.AddrPort, error) {
	for port := 21000 + os.Getpid()%200*50; port < 32000; port += n {
		base := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
		if isFreeRun(base, n) {
			return base, nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("bfbench: no %d free ports in a row", n)
}

func isFreeRun(base netip.AddrPort, n int) bool {
	for i := range n {
		ln, err := net.Listen("tcp", netip.AddrPortFrom(base.Addr(), base.Port()+uint16(i)).String())
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}
