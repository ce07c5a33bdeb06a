package bfgateway

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/coordination/bfsteering"
)

const (
	// sampleEvery is the share of ordinary answers that get a line: one in so many.
	sampleEvery = 100
	// maxLines bounds the lines about requests in one interval.
	maxLines      = 60
	linesInterval = time.Second
	// maxAge stands for a report that never came.
	maxAge = time.Hour
)

// sampler bounds the lines about requests and counts what was left out.
type sampler struct {
	log zerolog.Logger

	mu       sync.Mutex
	ordinary uint64
	lines    int
	left     int
}

// allow tells whether a line may be written now.
func (s *sampler) allow(ordinary bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ordinary {
		s.ordinary++
		if s.ordinary%sampleEvery != 1 {
			return false
		}
	}
	if s.lines >= maxLines {
		s.left++
		return false
	}
	s.lines++
	return true
}

// run starts a new allowance in each interval.
func (s *sampler) run(ctx context.Context) {
	ticker := time.NewTicker(linesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		left := s.left
		s.lines, s.left = 0, 0
		s.mu.Unlock()
		if left > 0 {
			s.log.Warn().Int("lines", left).Msg("lines about requests left out")
		}
	}
}

// record adds a finished try to what the log tells of the request.
func (n *Node) record(c *call, t *bfsteering.Try, o bfsteering.Outcome) {
	counters.tries.Add(string(o), 1)
	took := time.Since(t.Started())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, attemptRecord{
		instance: t.Backend.InstanceID, outcome: o, took: took, expected: t.Expected,
		load: t.Load, loadAge: t.LoadAge, warm: t.Warm,
	})
}

// note counts the end of a request and writes its line.
func (n *Node) note(c *call, how string, status int, r *briarferry.Refusal) {
	took := time.Since(c.received)
	route := ""
	late := false
	if c.route != nil {
		route = c.route.Name
		late = took > c.route.Target.Std()
	}
	latencies.record(route, how, status, took)
	c.mu.Lock()
	attempts := c.attempts
	c.mu.Unlock()
	ordinary := r == nil && status < 300 && !late && len(attempts) == 1 && how == "answered"
	if !n.sampler.allow(ordinary) {
		return
	}
	line := n.Log.Info().Str("request_id", c.request.ID).Str("route", route).Uint64("version", c.version).Str("service", c.service).
		Str("outcome", how).Int("status", status).Dur("took_ms", took).Bool("late", late)
	if ordinary {
		line = line.Int("stands_for", sampleEvery)
	}
	if r != nil {
		line = line.Str("reason", r.Reason).Str("claim", string(r.Outcome)).Dur("retry_after_ms", r.RetryAfter)
	}
	if c.route == nil {
		line = line.Str("host", c.request.Host).Str("target", c.request.Target)
	}
	if s := c.noServer; s != nil {
		line = line.Str("fastest", s.Instance).Dur("estimate_ms", s.Estimate).Dur("limit_ms", s.Limit).Float64("load", s.Load).
			Dur("load_age_ms", min(s.LoadAge, maxAge)).Int("candidates", s.Candidates)
	}
	tries := zerolog.Arr()
	for _, a := range attempts {
		tries = tries.Dict(zerolog.Dict().Str("instance", a.instance).Str("outcome", string(a.outcome)).Dur("took_ms", a.took).
			Dur("expected_ms", a.expected).Float64("load", a.load).Dur("load_age_ms", min(a.loadAge, maxAge)).Bool("warm", a.warm))
	}
	line.Array("tries", tries).Msg("request")
}
