package bfsteering

import (
	"fmt"
	"testing"
)

// BenchmarkChoose shows the time and the memory for the choice among the servers of a service.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{50, 777, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(b, 1, map[string]int{"r1-a": n / 3, "r1-b": n / 3, "r2-a": n / 3}, 9)
			s := f.steering[0]
			s.RegionPeers = func() int { return 37 }
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				if try, err := s.Choose(f.now, request(fmt.Sprint(i%300))); err == nil {
					try.Done(f.now, Report{Outcome: Cancelled})
				}
			}
		})
	}
}
