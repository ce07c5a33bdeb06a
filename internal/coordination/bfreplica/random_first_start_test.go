package bfreplica

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"briarferry/internal/state/bfstorage"
)

// TestRandomFirstStarts guards against two groups, and against none although most seeds know
// that this is the first start, while processes are killed, lose their disks and pause.
func TestRandomFirstStarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := rapid.SampledFrom(firstStartLayouts).Draw(rt, "layout")
		steps := rapid.SliceOfN(rapid.Custom(drawFirstStartStep), 0, 14).Draw(rt, "steps")
		seed := rapid.Uint64().Draw(rt, "seed")
		var err error
		synctest.Test(t, func(t *testing.T) { err = playFirstStart(t, seed, l.seeds, l.control, steps) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// firstStartStep is an event at a VM some time after the one before it.
type firstStartStep struct {
	after time.Duration
	vm    int
	// action is "kill", "lose disk" or "pause", and last how long the process is away.
	action string
	last   time.Duration
}

func drawFirstStartStep(t *rapid.T) firstStartStep {
	ms := func(name string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	return firstStartStep{
		after: ms("after_ms", 150), vm: rapid.SampledFrom([]int{0, 0, 0, 1, 1, 2, 3, 4}).Draw(t, "vm"),
		action: rapid.SampledFrom([]string{"kill", "lose disk", "pause"}).Draw(t, "action"), last: ms("last_ms", 500),
	}
}

func playFirstStart(t *testing.T, seed uint64, seeds, control []string, steps []firstStartStep) error {
	f := newFirstStart(t, seed, seeds)
	defer f.end()
	f.longestReply = time.Second
	for _, i := range f.rng.Perm(len(control)) {
		f.startProcess(control[i], f.newDisk(control[i]), true)
		time.Sleep(time.Duration(f.rng.IntN(60)) * time.Millisecond)
	}
	losses := 0
	disks, startAt := map[string]*bfstorage.MemoryFS{}, map[string]time.Time{}
	restart := func() {
		for _, vm := range control {
			if disk := disks[vm]; disk != nil && !time.Now().Before(startAt[vm]) {
				delete(disks, vm)
				f.startProcess(vm, disk, false)
			}
		}
	}
	wait := func(d time.Duration) error {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			restart()
			if err := f.oneGroup(); err != nil {
				return err
			}
		}
		return nil
	}
	for _, s := range steps {
		if err := wait(s.after); err != nil {
			return err
		}
		vm, until := control[s.vm%len(control)], time.Now().Add(s.last)
		if disks[vm] != nil {
			continue
		}
		switch s.action {
		case "pause":
			f.process(vm).resumeAt.Store(&until)
		case "kill":
			disks[vm], startAt[vm] = f.kill(vm), until
		default:
			f.kill(vm)
			disks[vm], startAt[vm] = f.newDisk(vm), until
			losses++
		}
	}
	if err := wait(8 * time.Second); err != nil {
		return err
	}
	return f.checkLive(losses)
}

// checkLive returns an error if the group doesn't work although at most one disk was lost and
// most seeds know that this is the first start.
func (f *firstStart) checkLive(losses int) error {
	joinOnly := 0
	for _, vm := range f.seeds {
		if f.member(vm).node.Info().JoinOnly {
			joinOnly++
		}
	}
	if losses > 1 || joinOnly > len(f.seeds)/2 || f.commits(firstStartLimit) {
		return nil
	}
	return fmt.Errorf("no group after %d lost disks, %d of %d seeds may not form one", losses, joinOnly, len(f.seeds))
}
