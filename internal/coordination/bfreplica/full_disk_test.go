package bfreplica

import (
	"fmt"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"briarferry/internal/state/bfstorage"
)

type (
	// fullFS is a file system whose disk may be full. Writes then store the first half of
	// their data at most.
	fullFS struct {
		bfstorage.FS
		full atomic.Bool
		// storesPart lets a failed write store a part of its data.
		storesPart bool
	}

	fullFile struct {
		bfstorage.File
		fs *fullFS
	}
)

func (f *fullFS) Create(name string) (bfstorage.File, error) {
	file, err := f.FS.Create(name)
	return &fullFile{File: file, fs: f}, err
}

func (f *fullFile) Write(p []byte) (int, error) {
	if !f.fs.full.Load() {
		return f.File.Write(p)
	}
	n := 0
	if f.fs.storesPart {
		n, _ = f.File.Write(p[:len(p)/2])
	}
	return n, syscall.ENOSPC
}

// restartOnFailure starts the replica of a VM again 300 ms after each of its ends, as the
// platform does, until the cluster is closed. It counts the restarts.
func (c *cluster) restartOnFailure(vm string, fs bfstorage.FS, restarts *atomic.Int64) {
	c.group.Go(func() {
		for {
			m := c.member(vm)
			select {
			case <-c.ctx.Done():
				return
			case <-m.done:
			}
			select {
			case <-c.ctx.Done():
				return
			case <-time.After(300 * time.Millisecond):
			}
			c.start(vm, fs)
			restarts.Add(1)
		}
	})
}

// TestFullDisksInTurn guards against a group that confirms nothing any more after the disks
// of its VMs were full for some seconds each, one after the other.
func TestFullDisksInTurn(t *testing.T) {
	const fullFor = 4 * time.Second
	for _, storesPart := range []bool{false, true} {
		for _, pause := range []time.Duration{100 * time.Millisecond, 5 * time.Second} {
			t.Run(fmt.Sprintf("part %v, pause %v", storesPart, pause), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					disks := map[string]*fullFS{}
					var restarts atomic.Int64
					for _, vm := range allVMs {
						disks[vm] = &fullFS{FS: memoryFS(21)(vm), storesPart: storesPart}
					}
					c := newCluster(t, 21, interRegionDelay, func(vm string) bfstorage.FS { return disks[vm] }, func(n *Node) {
						n.OpenMembership, n.PersistCommit, n.SnapshotEntries, n.MinVoters = true, true, 20, 3
					})
					c.propose("first")
					for _, vm := range []string{"d", "e"} {
						c.start(vm, disks[vm])
					}
					c.waitFor("five voters", func() bool { return slices.Equal(c.voterVMs(), allVMs) })
					for _, vm := range allVMs {
						c.restartOnFailure(vm, disks[vm], &restarts)
					}
					commands := 1
					for round, vm := range slices.Concat(allVMs, allVMs) {
						if l := c.leader(); round%2 == 1 && l != nil {
							vm = l.vm
						}
						disks[vm].full.Store(true)
						for end := time.Now().Add(fullFor); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
							c.propose(fmt.Sprint(filepath.Join("full", vm), commands))
							commands++
						}
						disks[vm].full.Store(false)
						time.Sleep(pause)
					}
					started := time.Now()
					c.propose("last")
					if took := time.Since(started); took > 4*time.Second {
						t.Errorf("a command took %v after the last disk had room again", took)
					}
					c.waitFor("five voters with all commands", func() bool {
						for _, vm := range allVMs {
							if len(c.member(vm).machine.list()) < commands+1 {
								return false
							}
						}
						return slices.Equal(c.voterVMs(), allVMs)
					})
					if restarts.Load() < int64(2*len(allVMs)) {
						t.Errorf("%d restarts: full disks had no effect", restarts.Load())
					}
					c.cancel()
					c.close()
				})
			})
		}
	}
}
