package bfreplica

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"briarferry/internal/state/bfstorage"
)

// BenchmarkCommit measures commits of 200 bytes on the real file system, with a delay that
// the transport adds.
func BenchmarkCommit(b *testing.B) {
	for _, delay := range []time.Duration{time.Millisecond, interRegionDelay} {
		for _, clients := range []int{1, 64, 1024} {
			b.Run(fmt.Sprintf("delay=%v/clients=%d", delay, clients), func(b *testing.B) { benchCommit(b, delay, clients) })
		}
	}
}

func benchCommit(b *testing.B, delay time.Duration, clients int) {
	root := b.TempDir()
	onDisk := func(string) bfstorage.FS { return bfstorage.OSFS{} }
	c := newCluster(b, 1, delay, onDisk, func(n *Node) { n.Dir = filepath.Join(root, n.VM) })
	defer c.close()
	c.propose("first")
	leader := c.leader().node
	cmd := make([]byte, 200)
	var next atomic.Int64
	var mu sync.Mutex
	var all []time.Duration
	var group sync.WaitGroup
	syncs := leader.logSyncs.Load()
	b.ResetTimer()
	started := time.Now()
	for range clients {
		group.Go(func() {
			var own []time.Duration
			for next.Add(1) <= int64(b.N) {
				at := time.Now()
				if _, err := leader.Propose(context.Background(), cmd); err != nil {
					b.Error(err)
					return
				}
				own = append(own, time.Since(at))
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, own...)
		})
	}
	group.Wait()
	spent := time.Since(started)
	b.StopTimer()
	slices.Sort(all)
	b.ReportMetric(float64(b.N)/spent.Seconds(), "commits/s")
	b.ReportMetric(float64(all[len(all)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(b.N)/float64(max(1, leader.logSyncs.Load()-syncs)), "commits/sync")
}

// BenchmarkLeaderLoss measures the real time from the loss of the leader to the next
// commit, with 55 ms one way and the real file system.
func BenchmarkLeaderLoss(b *testing.B) {
	var gaps []time.Duration
	for i := range b.N {
		root := b.TempDir()
		onDisk := func(string) bfstorage.FS { return bfstorage.OSFS{} }
		c := newCluster(b, uint64(i), interRegionDelay, onDisk, func(n *Node) { n.Dir = filepath.Join(root, n.VM) })
		c.propose("first")
		old := c.leader()
		c.isolate(old.vm, true)
		lost := time.Now()
		c.propose("second", old.vm)
		gaps = append(gaps, time.Since(lost))
		c.close()
	}
	slices.Sort(gaps)
	b.ReportMetric(gaps[len(gaps)/2].Seconds(), "p50-s")
	b.ReportMetric(gaps[len(gaps)-1].Seconds(), "worst-s")
}

// BenchmarkRecovery measures the real time from the restart of a follower until it has
// applied 1,000 changes again, with 55 ms one way and the real file system. The follower
// reads its log from disk, or starts with an empty disk.
func BenchmarkRecovery(b *testing.B) {
	const changes = 1000
	for _, lost := range []bool{false, true} {
		b.Run(fmt.Sprintf("lost=%t", lost), func(b *testing.B) {
			var gaps []time.Duration
			for i := range b.N {
				gaps = append(gaps, measureRecovery(b, uint64(i), changes, lost))
			}
			slices.Sort(gaps)
			b.ReportMetric(gaps[len(gaps)/2].Seconds(), "p50-s")
			b.ReportMetric(gaps[len(gaps)-1].Seconds(), "worst-s")
		})
	}
}

func measureRecovery(b *testing.B, seed uint64, changes int, lost bool) time.Duration {
	root := b.TempDir()
	onDisk := func(string) bfstorage.FS { return bfstorage.OSFS{} }
	c := newCluster(b, seed, interRegionDelay, onDisk, func(n *Node) { n.Dir = filepath.Join(root, n.VM) })
	defer c.close()
	c.propose("first")
	leader := c.leader()
	var group sync.WaitGroup
	for i := range changes {
		group.Go(func() {
			if _, err := leader.node.Propose(context.Background(), fmt.Appendf(nil, "change %d", i)); err != nil {
				b.Error(err)
			}
		})
	}
	group.Wait()
	i := slices.IndexFunc(vms, func(vm string) bool { return vm != leader.vm })
	follower := c.member(vms[i])
	follower.stop()
	<-follower.done
	if lost {
		if err := os.RemoveAll(filepath.Join(root, vms[i])); err != nil {
			b.Fatal(err)
		}
	}
	started := time.Now()
	c.start(vms[i], onDisk(vms[i]))
	for len(c.member(vms[i]).machine.list()) <= changes {
		time.Sleep(time.Millisecond)
	}
	return time.Since(started)
}
