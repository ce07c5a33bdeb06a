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
	entryTime  = 2 * time.Second
	entryConns = 64
	// entryService is the time a backend server takes for a request.
	entryService = time.Millisecond
	// entryInTime is the share of requests that must be answered at a rate, and
	// entryWithin the p99 that counts as answered in time.
	entryInTime = 0.99
	entryWithin = 100 * time.Millisecond
	entryTarget = 15_000
)

// entryRates are tried in turn until one isn't served in time.
var entryRates = []float64{4000, 8000, 12_000, 15_000, 18_000, 22_000, 26_000, 30_000}

// Entry compares requests straight to the backend servers with the same through one
// entry: latency of both at half of the highest rate, and that rate.
func Entry(ctx context.Context, w io.Writer, program string, seed uint64) error {
	cfg, err := newConfig(service("fast", "urgent", 6, 100, entryService))
	if err != nil {
		return err
	}
	c, err := startAlone(ctx, program, cfg)
	if err != nil {
		return err
	}
	defer c.stop()
	change, _ := json.Marshal(map[string]any{"service_time": entryService.String(), "spread": 0})
	if err := c.behave(bfstandin.BehaviourChange{Service: "fast", Behaviour: change}); err != nil {
		return err
	}
	if _, _, err := c.pair(ctx, 1000, seed); err != nil { // warms connections up
		return err
	}
	highest, err := c.highestRate(ctx, w, seed)
	if err != nil {
		return err
	}
	for _, rate := range []float64{highest / 2, entryTarget / 2} {
		straight, through, err := c.pair(ctx, rate, seed)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%6.0f requests/s: straight p50 %v p99 %v, through one entry p50 %v p99 %v, added p50 %v p99 %v\n", rate,
			straight.quantile(50), straight.quantile(99), through.quantile(50), through.quantile(99),
			through.quantile(50)-straight.quantile(50), through.quantile(99)-straight.quantile(99))
	}
	return nil
}

// pair runs the same load first straight to the servers and then through the entry.
func (c *cluster) pair(ctx context.Context, rate float64, seed uint64) (straight, through *outcome, err error) {
	var servers []netip.AddrPort
	for _, s := range c.servers("fast") {
		servers = append(servers, s.Address)
	}
	d := &direct{targets: servers, path: "/items", rate: rate, lasts: entryTime, conns: entryConns / len(servers), seed: seed}
	if straight, err = d.run(ctx); err != nil {
		return nil, nil, err
	}
	through, err = c.through(ctx, rate, seed)
	return straight, through, err
}

func (c *cluster) through(ctx context.Context, rate float64, seed uint64) (*outcome, error) {
	d := &direct{targets: c.entries, path: "/s/fast/items", rate: rate, lasts: entryTime, conns: entryConns, seed: seed}
	return d.run(ctx)
}

// highestRate returns the highest rate of the list that the entry serves in time.
func (c *cluster) highestRate(ctx context.Context, w io.Writer, seed uint64) (float64, error) {
	highest := entryRates[0]
	for _, rate := range entryRates {
		before := c.vms[0].used()
		o, err := c.through(ctx, rate, seed)
		if err != nil {
			return 0, err
		}
		cost := (c.vms[0].used() - before) / time.Duration(max(1, o.ok))
		fmt.Fprintf(w, "%6.0f requests/s through one entry: %d of %d answered, p50 %v p99 %v, %v processor time a request in the entry\n",
			rate, o.ok, o.sent, o.quantile(50), o.quantile(99), cost.Round(time.Microsecond))
		if float64(o.ok) < entryInTime*float64(o.sent) || o.quantile(99) > entryWithin {
			break
		}
		highest = rate
	}
	return highest, nil
}
