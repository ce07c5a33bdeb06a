package bfload

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Simulate passes the requests of the flows on schedule to a function instead of sending
// them. The function reports whether a request was answered in time.
func Simulate(ctx context.Context, flows []Flow, d time.Duration, seed uint64, answer func(f Flow, scheduled time.Time) bool) *Report {
	report := &Report{Flows: make([]*FlowReport, len(flows))}
	var wg sync.WaitGroup
	for i, f := range flows {
		out := newFlowReport(f)
		report.Flows[i] = out
		g := &Generator{Duration: d, simulate: func(f Flow, scheduled time.Time) result {
			inTime := answer(f, scheduled)
			res := result{status: statusOK, inTime: inTime, latency: time.Since(scheduled), ended: time.Now()}
			if !inTime {
				res.status = statusUnknown
			}
			return res
		}}
		wg.Go(func() { g.runFlow(ctx, f, out, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	wg.Wait()
	report.summarize()
	return report
}
