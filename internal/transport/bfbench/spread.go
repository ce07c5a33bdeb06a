package bfbench

import (
	"context"
	"fmt"
	"io"
	"math"
	"time"
)

const (
	spreadRate        = 300
	spreadDuration    = 6 * time.Second
	spreadConnections = 16
)

// LoadSpread measures how evenly a low load that is spread over all entries reaches the
// idle servers: the requests per server, their coefficient of variation, and the mean
// number of servers without a request in a second.
func LoadSpread(ctx context.Context, w io.Writer, program string, seed uint64) error {
	cfg, err := newConfig(newService("catalogue", "urgent", 20, 9, 40*time.Millisecond))
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
		for range int(spreadDuration / time.Second) {
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
	client := &loadClient{targets: c.entries, path: "/s/catalogue/items", rate: spreadRate, duration: spreadDuration, connsPerTarget: spreadConnections, seed: seed}
	result, err := client.run(ctx)
	<-done
	if err != nil {
		return err
	}
	after := c.served("catalogue")
	for i := range after {
		after[i] -= before[i]
	}
	mean, cv := variation(after)
	fmt.Fprintf(w, "%d requests/s over 20 servers: %v\nmean %.0f, coefficient of variation %.2f, a mean of %.1f servers without a request in a second; %d of %d answered, p50 %v, p99 %v\n",
		spreadRate, after, mean, cv, float64(idle)/spreadDuration.Seconds(), result.ok, result.sent, result.quantile(50), result.quantile(99))
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

// variation returns the mean and the coefficient of variation of a list.
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
