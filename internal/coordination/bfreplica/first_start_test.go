package bfreplica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"briarferry/internal/coordination/bfraft"
	"briarferry/internal/state/bfstorage"
)

const (
	// startedAgainAfter is the time after which the platform starts a killed process again.
	startedAgainAfter = 300 * time.Millisecond
	firstStartLimit   = 10 * time.Second
)

var (
	errNoReply = errors.New("no reply")

	// firstStartLayouts are the seeds and the control VMs of deployments.
	firstStartLayouts = []struct {
		name           string
		seeds, control []string
	}{
		{"three control VMs", vms, vms},
		{"five control VMs", allVMs, allVMs},
		{"three seeds of five control VMs", vms, allVMs},
	}
)

type (
	// firstStart plays the first start of a deployment, in which processes are killed and started
	// again, lose their disks, or pause.
	firstStart struct {
		*cluster
		seeds []string
		// longestReply limits the time that a reply takes.
		longestReply time.Duration

		procMu    sync.Mutex
		processes map[string]*process
		ended     []*member
		// led are the first voters of a group that had a leader.
		led []string
	}

	// process is the access of one process to the network. Its calls arrive and are answered late
	// if one of the two processes pauses.
	process struct {
		*endpoint
		f        *firstStart
		killed   atomic.Bool
		resumeAt atomic.Pointer[time.Time]
		delayMu  sync.Mutex
		delays   *rand.Rand
	}
)

func newFirstStart(t *testing.T, seed uint64, seeds []string) *firstStart {
	c := &cluster{t: t, delay: 20 * time.Millisecond, rng: rand.New(rand.NewPCG(seed, 3)), members: map[string]*member{},
		links: map[[2]string]chan delivery{}, cutLinks: map[[2]string]bool{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return &firstStart{cluster: c, seeds: seeds, processes: map[string]*process{}}
}

func (f *firstStart) newDisk(vm string) *bfstorage.MemoryFS {
	return memoryFS(f.rng.Uint64())(vm).(*bfstorage.MemoryFS)
}

// startProcess starts the process of a VM. Only the first start of a deployment allows it to form
// a group.
func (f *firstStart) startProcess(vm string, fs *bfstorage.MemoryFS, bootstrap bool) {
	p := &process{endpoint: &endpoint{c: f.cluster, vm: vm}, f: f, delays: rand.New(rand.NewPCG(f.rng.Uint64(), 11))}
	f.procMu.Lock()
	f.processes[vm] = p
	f.procMu.Unlock()
	f.configure = func(n *Node) {
		n.Control, n.OpenMembership, n.MinVoters, n.JoinOnly = f.seeds, true, 3, !bootstrap
		n.Transport, n.Discovery = p, p
	}
	f.start(vm, fs)
}

// kill ends the process of a VM at once and returns what its disk holds.
func (f *firstStart) kill(vm string) *bfstorage.MemoryFS {
	m := f.member(vm)
	f.process(vm).killed.Store(true)
	fs := m.fs.(*bfstorage.MemoryFS)
	fs.CrashAfter(1)
	m.stop()
	f.ended = append(f.ended, m)
	return fs.AfterKill()
}

func (f *firstStart) end() {
	f.close()
	for _, m := range f.ended {
		<-m.done
	}
}

func (f *firstStart) process(vm string) *process {
	f.procMu.Lock()
	defer f.procMu.Unlock()
	return f.processes[vm]
}

// awake waits until the process is not paused, and reports whether it runs.
func (p *process) awake() bool {
	for !p.killed.Load() {
		if !p.paused() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

func (p *process) paused() bool {
	until := p.resumeAt.Load()
	return until != nil && time.Now().Before(*until)
}

// replyDelay returns a short time, or one up to the longest in a quarter of the calls.
func (p *process) replyDelay() time.Duration {
	p.delayMu.Lock()
	defer p.delayMu.Unlock()
	if p.f.longestReply == 0 || p.delays.IntN(4) > 0 {
		return 0
	}
	return time.Duration(p.delays.Int64N(int64(p.f.longestReply)))
}

// call makes a call that neither end abandons, so that late calls and replies take effect.
func call[T any](p *process, vm string, fn func(ctx context.Context) (T, error)) (T, error) {
	var none T
	other := p.f.process(vm)
	if !p.awake() || other == nil || !other.awake() {
		return none, errNoReply
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	res, err := fn(ctx)
	// The reply is on its way and arrives even if the other process ends.
	time.Sleep(p.replyDelay())
	if !p.awake() {
		return none, errNoReply
	}
	return res, err
}

func (p *process) Send(ctx context.Context, to string, m bfraft.Message) error {
	other := p.f.process(VMOf(to))
	if p.killed.Load() || p.paused() || other == nil || other.paused() {
		return errNoReply
	}
	return p.endpoint.Send(ctx, to, m)
}

func (p *process) Info(_ context.Context, vm string) (Info, error) {
	return call(p, vm, func(ctx context.Context) (Info, error) { return p.endpoint.Info(ctx, vm) })
}

func (p *process) Pledge(_ context.Context, vm, former string) (Info, error) {
	return call(p, vm, func(ctx context.Context) (Info, error) { return p.endpoint.Pledge(ctx, vm, former) })
}

func (p *process) Join(_ context.Context, vm, id string) error {
	_, err := call(p, vm, func(ctx context.Context) (bool, error) { return true, p.endpoint.Join(ctx, vm, id) })
	return err
}

func (p *process) Leave(_ context.Context, vm, id string) (bool, error) {
	return call(p, vm, func(ctx context.Context) (bool, error) { return p.endpoint.Leave(ctx, vm, id) })
}

// oneGroup returns an error if two replicas hold the first entries of different groups, or two
// groups have had leaders.
func (f *firstStart) oneGroup() error {
	var first Info
	for _, vm := range f.startedVMs() {
		info := f.member(vm).node.Info()
		if len(info.FirstVoters) == 0 || f.process(vm).killed.Load() {
			continue
		}
		if first.ID == "" {
			first = info
		}
		if f.led == nil && info.Leader == info.ID {
			f.led = info.FirstVoters
		}
		if f.led != nil && !slices.Equal(f.led, info.FirstVoters) {
			return fmt.Errorf("%s is in the group of %v after that of %v had a leader", info.ID, info.FirstVoters, f.led)
		}
		if !slices.Equal(first.FirstVoters, info.FirstVoters) {
			return fmt.Errorf("%s is in the group of %v and %s in that of %v", first.ID, first.FirstVoters, info.ID, info.FirstVoters)
		}
	}
	return nil
}

// commits proposes a command and reports whether it was committed in time.
func (f *firstStart) commits(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		l := f.leader()
		if l == nil || f.process(l.vm).killed.Load() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_, err := l.node.Propose(ctx, []byte("command"))
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// startKilling starts the VM first and the others 100 ms later. It returns when the process of
// the VM is dead or a leader was elected.
func (f *firstStart) startKilling(vm string, control []string, fs *bfstorage.MemoryFS, dead func() bool) {
	f.startProcess(vm, fs, true)
	time.Sleep(100 * time.Millisecond)
	for _, other := range control {
		if other != vm {
			f.startProcess(other, f.newDisk(other), true)
		}
	}
	for !dead() && f.leader() == nil {
		time.Sleep(time.Millisecond)
	}
}

// TestKillAtEachWriteOfFirstStart guards against a deployment that never forms its group as one
// process was killed, at any write to its disk, and may not form a group when it starts again.
func TestKillAtEachWriteOfFirstStart(t *testing.T) {
	for _, l := range firstStartLayouts {
		for _, vm := range l.control {
			ops := 0
			for killed := true; killed; ops++ {
				synctest.Test(t, func(t *testing.T) {
					f := newFirstStart(t, uint64(ops), l.seeds)
					defer f.end()
					fs := f.newDisk(vm)
					fs.CrashAfter(ops + 1)
					f.startKilling(vm, l.control, fs, fs.Crashed)
					fs.CrashAfter(1 << 30)
					if killed = fs.Crashed(); killed {
						disk := f.kill(vm)
						time.Sleep(startedAgainAfter)
						f.startProcess(vm, disk, false)
					}
					f.checkFormed(fmt.Sprintf("%s, %s killed at write %d", l.name, vm, ops+1), l.control)
				})
			}
			if least := 20; slices.Contains(l.seeds, vm) && ops <= least {
				t.Errorf("%s: %s was killed at %d writes, want at least %d", l.name, vm, ops-1, least)
			}
		}
	}
}

// TestKillDuringFirstStart guards against the same at moments between two writes: before any
// reply, after the disk ids are known and after the first entry is stored and not confirmed.
func TestKillDuringFirstStart(t *testing.T) {
	for _, l := range firstStartLayouts {
		for _, vm := range l.control {
			for at := time.Duration(0); at < time.Second; at += 30 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					f := newFirstStart(t, uint64(at), l.seeds)
					defer f.end()
					started := time.Now()
					f.startKilling(vm, l.control, f.newDisk(vm), func() bool { return time.Since(started) >= at })
					disk := f.kill(vm)
					time.Sleep(startedAgainAfter)
					f.startProcess(vm, disk, false)
					f.checkFormed(fmt.Sprintf("%s, %s killed after %v", l.name, vm, at), l.control)
				})
			}
		}
	}
}

func (f *firstStart) checkFormed(what string, control []string) {
	if !f.commits(firstStartLimit) {
		f.t.Errorf("%s: no group formed within %v", what, firstStartLimit)
		return
	}
	f.waitFor(what+": all control VMs are voters", func() bool { return slices.Equal(f.voterVMs(), control) })
	if err := f.oneGroup(); err != nil {
		f.t.Errorf("%s: %v", what, err)
	}
}
