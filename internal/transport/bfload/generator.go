// Package bfload generates open-loop load like that of callers that cache look-ups.
package bfload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"briarferry"
	"briarferry/internal/transport/bftls"
)

const (
	maxOutstanding    = 20_000
	clientDialTimeout = 500 * time.Millisecond
)

type (
	// Flow is the load for one service with one urgency.
	Flow struct {
		Service string `json:"service"`
		// Urgency is sent in the Priority header unless it is negative.
		Urgency int `json:"urgency"`
		// Rate is the mean number of requests per second.
		Rate float64 `json:"rate"`
		// Timeout is the time from the scheduled start of a request to its deadline.
		Timeout briarferry.Duration `json:"timeout"`
		// Keyed flows send POST requests with an idempotency key.
		Keyed bool `json:"keyed"`
		// MaxResends limits how often a request is resent after an unknown outcome.
		MaxResends int `json:"resend"`
	}

	// Generator sends the requests of its flows on schedule, independently of answers. Its
	// fields must be set before Run.
	Generator struct {
		Entries  []netip.AddrPort
		Flows    []Flow
		Duration time.Duration
		Seed     uint64
		// TLS has the CA certificates for connections to entries; nil disables TLS.
		TLS *bftls.Source

		lookups *lookupCache
		client  bftls.Caller
		// simulate replaces send unless it is nil.
		simulate func(f Flow, scheduled time.Time) result
	}
)

// Run sends the load and returns a report of the results.
func (g *Generator) Run(ctx context.Context) (*Report, error) {
	if len(g.Entries) == 0 || len(g.Flows) == 0 {
		return nil, fmt.Errorf("bfload: needs at least one entry and one flow")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: 10 * time.Second}
	g.client = bftls.NewCaller(g.TLS, transport)
	defer transport.CloseIdleConnections()
	g.lookups = &lookupCache{entries: g.Entries, client: g.client}
	report := &Report{Flows: make([]*FlowReport, len(g.Flows))}
	var wg sync.WaitGroup
	for i, f := range g.Flows {
		report.Flows[i] = newFlowReport(f)
		wg.Go(func() { g.runFlow(ctx, f, report.Flows[i], rand.New(rand.NewPCG(g.Seed, uint64(i)))) })
	}
	wg.Wait()
	report.summarize()
	return report, nil
}

// runFlow starts each request at its scheduled time. The intervals between requests are
// exponentially distributed.
func (g *Generator) runFlow(ctx context.Context, f Flow, out *FlowReport, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	outstanding := make(chan struct{}, maxOutstanding)
	start := time.Now()
	next := start
	out.windowStart, out.windowEnd = start.Add(min(time.Second, g.Duration/4)), start.Add(g.Duration)
	for ctx.Err() == nil {
		next = next.Add(time.Duration(rng.ExpFloat64() / f.Rate * float64(time.Second)))
		if next.Sub(start) > g.Duration {
			return
		}
		if !sleepUntil(ctx, next) {
			return
		}
		select {
		case outstanding <- struct{}{}:
		default:
			out.addSkipped()
			continue
		}
		scheduled, seed := next, rng.Uint64()
		wg.Go(func() {
			defer func() { <-outstanding }()
			if g.simulate != nil {
				out.add(g.simulate(f, scheduled))
				return
			}
			out.add(g.send(ctx, f, scheduled, rand.New(rand.NewPCG(seed, 1))))
		})
	}
}

// sleepUntil sleeps until t and reports false if ctx ends before that.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
