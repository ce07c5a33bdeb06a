package bfbench

import (
	"context"
	"fmt"
	"io"
	"time"

	"briarferry"
	"briarferry/internal/transport/bfload"
)

const claimDuration = 3 * time.Second

// claimRates are the measured request rates, in requests per second.
var claimRates = []float64{500, 2000}

// Claims compares requests that have an idempotency key, whose claim the control VMs have
// to confirm, with requests without a key. It reports the claims per second and the
// latency that they add.
func Claims(ctx context.Context, w io.Writer, program string, seed uint64) error {
	orders := newService("orders", "urgent", 12, 60, 5*time.Millisecond)
	orders.Idempotent = false
	cfg, err := newConfig(orders, newService("quotes", "urgent", 12, 60, 5*time.Millisecond))
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
			g := &bfload.Generator{Entries: c.entries, Flows: []bfload.Flow{f}, Duration: claimDuration, Seed: seed}
			r, err := g.Run(ctx)
			if err != nil {
				return err
			}
			reports[i] = r.Flows[0]
		}
		unkeyed, keyedReport := reports[0], reports[1]
		fmt.Fprintf(w, "%5.0f requests/s: without key p50 %v p99 %v; with key %.0f claims/s answered in time, %d of %d, p50 %v p99 %v; added p50 %v p99 %v\n",
			rate, unkeyed.P50, unkeyed.P99, float64(keyedReport.Counts.InTime)/claimDuration.Seconds(), keyedReport.Counts.InTime, keyedReport.Counts.Requests,
			keyedReport.P50, keyedReport.P99, keyedReport.P50-unkeyed.P50, keyedReport.P99-unkeyed.P99)
	}
	return nil
}
