// Package bfload generates open-loop load, as callers with cached look-ups would.
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
	maxOutstanding   = 20_000
	clientDialWithin = 500 * time.Millisecond
)

type (
	// Flow is the load of one service and urgency.
	Flow struct {
		Service string `json:"service"`
		// Urgency is sent as Priority; a negative one sends none.
		Urgency int     `json:"urgency"`
		Rate    float64 `json:"rate"`
		// Timeout is the time a caller waits.
		Timeout briarferry.Duration `json:"timeout"`
		// Keyed flows send POST requests with an idempotency key.
		Keyed bool `json:"keyed"`
		// MaxResends is how often a keyed request is sent again after an unknown outcome.
		MaxResends int `json:"resend"`
	}

	// Generator sends the flows on schedule, whatever the answers do. Its fields are
	// set before Run.
	Generator struct {
		Entries  []netip.AddrPort
		Flows    []Flow
		Duration time.Duration
		Seed     uint64
		// TLS has the CAs of the entries' certificates; nil stands for cleartext.
		TLS *bftls.Source

		lookups *lookups
		client  bftls.Caller
		// call answers a request in place of send where it is set.
		call func(f Flow, scheduled time.Time) result
	}
)

// Run sends the load and returns what the callers saw.
func (g *Generator) Run(ctx context.Context) (*Report, error) {
	if len(g.Entries) == 0 || len(g.Flows) == 0 {
		return nil, fmt.Errorf("bfload: needs at least one entry and one flow")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: 10 * time.Second}
	g.client = bftls.NewCaller(g.TLS, transport)
	defer transport.CloseIdleConnections()
	g.lookups = &lookups{seeds: g.Entries, client: g.client}
	report := &Report{Flows: make([]*FlowReport, len(g.Flows))}
	var wg sync.WaitGroup
	for i, f := range g.Flows {
		report.Flows[i] = newFlowReport(f)
		wg.Go(func() { g.runFlow(ctx, f, report.Flows[i], rand.New(rand.NewPCG(g.Seed, uint64(i)))) })
	}
	wg.Wait()
	report.finish()
	return report, nil
}

// runFlow starts each request at its scheduled time; gaps are exponential.
func (g *Generator) runFlow(ctx context.Context, f Flow, out *FlowReport, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxOutstanding)
	start := time.Now()
	next := start
	out.since, out.until = start.Add(min(time.Second, g.Duration/4)), start.Add(g.Duration)
	for ctx.Err() == nil {
		next = next.Add(time.Duration(rng.ExpFloat64() / f.Rate * float64(time.Second)))
		if next.Sub(start) > g.Duration {
			return
		}
		if !sleepUntil(ctx, next) {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			out.skip()
			continue
		}
		scheduled, seed := next, rng.Uint64()
		wg.Go(func() {
			defer func() { <-slots }()
			if g.call != nil {
				out.add(g.call(f, scheduled))
				return
			}
			out.add(g.send(ctx, f, scheduled, rand.New(rand.NewPCG(seed, 1))))
		})
	}
}

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
