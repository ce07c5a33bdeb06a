package bfbench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"time"

	"briarferry/internal/transport/bfstandin"
)

const (
	entryDuration    = 2 * time.Second
	entryConnections = 64
	// entryServiceTime is the time that a backend server takes for a request.
	entryServiceTime = time.Millisecond
	// minAnsweredShare and maxP99 are the criteria for a rate that the entry sustains:
	// the share of answered requests and the 99th percentile of their latency.
	minAnsweredShare = 0.99
	maxP99           = 100 * time.Millisecond
	targetRate       = 15_000
)

// entryRates are tried in this order until the entry does not sustain one, in requests
// per second.
var entryRates = []float64{4000, 8000, 12_000, 15_000, 18_000, 22_000, 26_000, 30_000}

// EntryOverhead compares requests sent directly to the backend servers with the same
// requests through one entry. It reports the highest rate that the entry sustains, and
// the latency of both at half of that rate and at half of targetRate.
func EntryOverhead(ctx context.Context, w io.Writer, program string, seed uint64) error {
	cfg, err := newConfig(newService("fast", "urgent", 6, 100, entryServiceTime))
	if err != nil {
		return err
	}
	c, err := startSingleVM(ctx, program, cfg)
	if err != nil {
		return err
	}
	defer c.stop()
	change, _ := json.Marshal(map[string]any{"service_time": entryServiceTime.String(), "spread": 0})
	if err := c.setBehaviour(bfstandin.BehaviourChange{Service: "fast", Behaviour: change}); err != nil {
		return err
	}
	if _, _, err := c.compareDirect(ctx, 1000, seed); err != nil { // warms up the connections
		return err
	}
	highest, err := c.highestRate(ctx, w, seed)
	if err != nil {
		return err
	}
	for _, rate := range []float64{highest / 2, targetRate / 2} {
		direct, viaEntry, err := c.compareDirect(ctx, rate, seed)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%6.0f requests/s: direct p50 %v p99 %v, through one entry p50 %v p99 %v, added p50 %v p99 %v\n", rate,
			direct.quantile(50), direct.quantile(99), viaEntry.quantile(50), viaEntry.quantile(99),
			viaEntry.quantile(50)-direct.quantile(50), viaEntry.quantile(99)-direct.quantile(99))
	}
	return nil
}

// compareDirect runs the same load first directly against the backend servers and then
// through the entry.
func (c *cluster) compareDirect(ctx context.Context, rate float64, seed uint64) (direct, viaEntry *loadResult, err error) {
	var servers []netip.AddrPort
	for _, s := range c.servers("fast") {
		servers = append(servers, s.Address)
	}
	client := &loadClient{targets: servers, path: "/items", rate: rate, duration: entryDuration, connsPerTarget: entryConnections / len(servers), seed: seed}
	if direct, err = client.run(ctx); err != nil {
		return nil, nil, err
	}
	viaEntry, err = c.runThroughEntry(ctx, rate, seed)
	return direct, viaEntry, err
}

func (c *cluster) runThroughEntry(ctx context.Context, rate float64, seed uint64) (*loadResult, error) {
	client := &loadClient{targets: c.entries, path: "/s/fast/items", rate: rate, duration: entryDuration, connsPerTarget: entryConnections, seed: seed}
	return client.run(ctx)
}

// highestRate returns the highest of entryRates that the entry sustains, or the lowest
// if it sustains none.
func (c *cluster) highestRate(ctx context.Context, w io.Writer, seed uint64) (float64, error) {
	highest := entryRates[0]
	for _, rate := range entryRates {
		before := c.vms[0].processorTime()
		result, err := c.runThroughEntry(ctx, rate, seed)
		if err != nil {
			return 0, err
		}
		cost := (c.vms[0].processorTime() - before) / time.Duration(max(1, result.ok))
		fmt.Fprintf(w, "%6.0f requests/s through one entry: %d of %d answered, p50 %v p99 %v, %v processor time per request in the entry\n",
			rate, result.ok, result.sent, result.quantile(50), result.quantile(99), cost.Round(time.Microsecond))
		if float64(result.ok) < minAnsweredShare*float64(result.sent) || result.quantile(99) > maxP99 {
			break
		}
		highest = rate
	}
	return highest, nil
}
