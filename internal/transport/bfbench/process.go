package bfbench

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is a child process of the benchmark.
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

// kill ends the process with SIGKILL, if it still runs, and returns the processor time
// that it used.
func (p *process) kill() time.Duration {
	if !p.stopped {
		p.stopped = true
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		_ = p.log.Close()
	}
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}

// freeze suspends the process with SIGSTOP.
func (p *process) freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }
