package bfcapacity

import (
	"runtime"
	"slices"
	"syscall"
	"time"
)

// processorTime returns the user and system time of this process in seconds.
func processorTime() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}

// cpuSeconds returns the processor time of one call in seconds. It is the median of
// five rounds that together take about the given budget.
func cpuSeconds(budget time.Duration, f func()) float64 {
	const rounds = 5
	// Warm up caches and connections before the measured calls.
	for began := time.Now(); time.Since(began) < budget/rounds; {
		f()
	}
	began, n := time.Now(), 0
	for time.Since(began) < budget/rounds {
		f()
		n++
	}
	var all []float64
	for range rounds {
		runtime.GC()
		before := processorTime()
		for range n {
			f()
		}
		all = append(all, (processorTime()-before)/float64(n))
	}
	slices.Sort(all)
	return all[rounds/2]
}

// elapsedSeconds returns the elapsed time of one call in seconds.
func elapsedSeconds(f func()) float64 {
	began := time.Now()
	f()
	return time.Since(began).Seconds()
}

// retainedHeap returns the value of f and the heap bytes that the value keeps alive.
func retainedHeap(f func() any) (any, float64) {
	before := heapBytes()
	v := f()
	after := heapBytes()
	runtime.KeepAlive(v)
	return v, after - before
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
