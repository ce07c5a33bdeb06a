package bfbench

import (
	"context"
	"fmt"
	"io"
	"math"
	"time"
)

const (
	spreadRate  = 300
	spreadTime  = 6 * time.Second
	spreadConns = 16
)

// Spread measures how evenly idle servers share a low load that reaches all entries
// alike: requests per server, the coefficient of variation, and how many servers get
// no request in a second.
func Spread(ctx context.Context, w io.Writer, program string, seed uint64) error {
	cfg, err := newConfig(service("catalogue", "urgent", 20, 9, 40*time.Millisecond))
	if err != nil {
		return err
	}
	c, err := startCluster(ctx, program, cfg)
	if err != nil {
		return err
	}
	defer c.stop()
	before, idle := c.served("catalogue"), 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		last := before
		for range int(spreadTime / time.Second) {
			time.Sleep(time.Second)
			now := c.served("catalogue")
			for i := range now {
				if now[i] == last[i] {
					idle++
				}
			}
			last = now
		}
	}()
	d := &direct{targets: c.entries, path: "/s/catalogue/items", rate: spreadRate, lasts: spreadTime, conns: spreadConns, seed: seed}
	o, err := d.run(ctx)
	<-done
	if err != nil {
		return err
	}
	after := c.served("catalogue")
	for i := range after {
		after[i] -= before[i]
	}
	mean, cv := variation(after)
	fmt.Fprintf(w, "%d requests/s over 20 servers: %v\nmean %.0f, coefficient of variation %.2f, %.1f servers idle in a second; %d of %d answered, p50 %v, p99 %v\n",
		spreadRate, after, mean, cv, float64(idle)/spreadTime.Seconds(), o.ok, o.sent, o.quantile(50), o.quantile(99))
	return nil
}

// served returns the requests that each server of a service has answered.
func (c *cluster) served(service string) []int64 {
	var list []int64
	for _, s := range c.servers(service) {
		list = append(list, s.Served)
	}
	return list
}

// variation returns the mean and the coefficient of variation.
func variation(list []int64) (mean, cv float64) {
	for _, n := range list {
		mean += float64(n) / float64(len(list))
	}
	sum := 0.0
	for _, n := range list {
		sum += (float64(n) - mean) * (float64(n) - mean)
	}
	if mean == 0 {
		return 0, 0
	}
	return mean, math.Sqrt(sum/float64(len(list))) / mean
}
