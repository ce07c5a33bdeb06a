package bfcapacity

import (
	"runtime"
	"slices"
	"syscall"
	"time"
)

// processorTime returns the processor time of this process in seconds.
func processorTime() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}

// cost returns the processor seconds of one call, as the median of five rounds that
// take about the given time together.
func cost(within time.Duration, f func()) float64 {
	const rounds = 5
	// The first calls warm caches and connections and are not counted.
	for began := time.Now(); time.Since(began) < within/rounds; {
		f()
	}
	began, n := time.Now(), 0
	for time.Since(began) < within/rounds {
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

// wall returns the seconds that one call takes.
func wall(f func()) float64 {
	began := time.Now()
	f()
	return time.Since(began).Seconds()
}

// heap returns the bytes in use that a value keeps alive.
func heap(f func() any) (any, float64) {
	before := liveBytes()
	v := f()
	after := liveBytes()
	runtime.KeepAlive(v)
	return v, after - before
}

func liveBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
