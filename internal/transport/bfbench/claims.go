package bfbench

import (
	"context"
	"fmt"
	"io"
	"time"

	"briarferry"
	"briarferry/internal/transport/bfload"
)

const claimTime = 3 * time.Second

// claimRates are the rates of keyed requests that are tried in turn.
var claimRates = []float64{500, 2000}

// Claims measures keyed requests through the control group against the same without
// a key: claims per second and the latency that they add.
func Claims(ctx context.Context, w io.Writer, program string, seed uint64) error {
	keyed := service("orders", "urgent", 12, 60, 5*time.Millisecond)
	keyed.Idempotent = false
	cfg, err := newConfig(keyed, service("quotes", "urgent", 12, 60, 5*time.Millisecond))
	if err != nil {
		return err
	}
	c, err := startCluster(ctx, program, cfg)
	if err != nil {
		return err
	}
	defer c.stop()
	for _, rate := range claimRates {
		var reports [2]*bfload.FlowReport
		for i, name := range []string{"quotes", "orders"} {
			f := bfload.Flow{Service: name, Urgency: urgencies[0], Rate: rate, Timeout: briarferry.Duration(2 * time.Second), Keyed: i == 1}
			g := &bfload.Generator{Entries: c.entries, Flows: []bfload.Flow{f}, Duration: claimTime, Seed: seed}
			r, err := g.Run(ctx)
			if err != nil {
				return err
			}
			reports[i] = r.Flows[0]
		}
		free, claimed := reports[0], reports[1]
		fmt.Fprintf(w, "%5.0f requests/s: without key p50 %v p99 %v; with key %.0f claims/s answered in time, %d of %d, p50 %v p99 %v; added p50 %v p99 %v\n",
			rate, free.P50, free.P99, float64(claimed.Counts.InTime)/claimTime.Seconds(), claimed.Counts.InTime, claimed.Counts.Requests,
			claimed.P50, claimed.P99, claimed.P50-free.P50, claimed.P99-free.P99)
	}
	return nil
}
