package bfgateway

import (
	"context"
	"net/http"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bfsteering"
)

const (
	// healthTick is the interval at which the entry looks for health checks that are due, and
	// healthTimeout the time limit of one.
	healthTick    = 50 * time.Millisecond
	healthTimeout = 600 * time.Millisecond
)

// lastContact returns when a control VM was last heard, or the zero time.
func (f *fleetSync) lastContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var last time.Time
	for _, c := range f.controls {
		if c.lastHeartbeat.After(last) {
			last = c.lastHeartbeat
		}
	}
	return last
}

// checkHealth asks servers whether they are cold while no control VM tells.
func (n *Node) checkHealth(ctx context.Context) {
	if n.Dialect.ColdTimeHeader == "" {
		return
	}
	ticker := time.NewTicker(healthTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, c := range n.steering.HealthChecks(time.Now()) {
			go n.askHealth(ctx, c)
		}
	}
}

// askHealth sends one health check and reports the result.
func (n *Node) askHealth(ctx context.Context, c bfsteering.HealthCheck) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	counters.healthChecks.Add(1)
	answer, err := n.upstream.CheckHealth(ctx, c.Backend, c.Path)
	var h bfsteering.Health
	if err == nil {
		h = n.parseHealth(c.Backend, answer)
	}
	if !h.Valid {
		counters.invalidHealth.Add(1)
	}
	n.steering.ReportHealth(time.Now(), c, h)
}

// parseHealth reads the answer to a health check. That of another instance says nothing, and
// neither does a refusal without a cold time.
func (n *Node) parseHealth(b briarferry.Backend, a *briarferry.Answer) bfsteering.Health {
	if n.Dialect.InstanceHeader != "" && a.Header.Get(n.Dialect.InstanceHeader) != b.InstanceID {
		return bfsteering.Health{}
	}
	text := a.Header.Get(n.Dialect.ColdTimeHeader)
	if text == "" {
		return bfsteering.Health{Valid: a.Status == http.StatusOK}
	}
	cold, ok := n.Dialect.ParseColdTime(text)
	return bfsteering.Health{Valid: ok, ColdFor: cold}
}
