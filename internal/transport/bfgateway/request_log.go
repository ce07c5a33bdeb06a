package bfgateway

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/coordination/bfsteering"
	"briarferry/internal/transport/bfcaller"
)

const (
	// sampleEvery sets the sampling of ordinary requests: one in this many is logged.
	sampleEvery = 100
	// maxLogLines is the number of requests that may be logged in one logInterval.
	maxLogLines = 60
	logInterval = time.Second
	// maxLoadAge caps the logged age of a load report. The same value is logged if no report
	// has arrived.
	maxLoadAge = time.Hour
	// lateWithdrawal is the time from the end of a caller's connection to the end of a try
	// from which the try is logged.
	lateWithdrawal = 200 * time.Millisecond
)

// logSampler limits the log lines about requests and counts those over the limit.
type logSampler struct {
	log zerolog.Logger

	mu       sync.Mutex
	ordinary uint64
	lines    int
	dropped  int
}

// allow reports whether a request may be logged now. Ordinary requests, which were answered
// on time with a status below 300 and have one finished try, are sampled.
func (s *logSampler) allow(ordinary bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ordinary {
		s.ordinary++
		if s.ordinary%sampleEvery != 1 {
			return false
		}
	}
	if s.lines >= maxLogLines {
		s.dropped++
		return false
	}
	s.lines++
	return true
}

// run restarts the count of log lines in each logInterval and logs how many were dropped.
func (s *logSampler) run(ctx context.Context) {
	ticker := time.NewTicker(logInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		dropped := s.dropped
		s.lines, s.dropped = 0, 0
		s.mu.Unlock()
		if dropped > 0 {
			s.log.Warn().Int("lines", dropped).Msg("request log limit exceeded")
		}
	}
}

// recordTry adds a finished try to the request's log line.
func (n *Node) recordTry(c *call, t *bfsteering.Try, o bfsteering.Outcome) {
	counters.tries.Add(string(o), 1)
	took := time.Since(t.Started())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tries = append(c.tries, tryRecord{
		instance: t.Backend.InstanceID, region: t.Region, outcome: o, after: t.Started().Sub(c.received), took: took, expected: t.Expected,
		load: t.Load, loadAge: t.LoadAge, warm: t.Warm, left: t.LeaveReason,
	})
}

// recordWithdrawal records how long a try went on after the entry had read the end of its
// caller's connection, and logs long times.
func (n *Node) recordWithdrawal(ctx context.Context, c *call, t *bfsteering.Try) {
	conn := bfcaller.FromContext(ctx)
	if conn == nil {
		return
	}
	endedAt, ended := conn.EndedAt()
	if !ended {
		return
	}
	took := time.Since(endedAt)
	withdrawals.recordKey(c.request.Service, took)
	if took >= lateWithdrawal && n.logSampler.allow(false) {
		n.Log.Warn().Str("request_id", c.request.ID).Str("instance", t.Backend.InstanceID).Dur("took_ms", took).Msg("try ended late after its caller had left")
	}
}

// logRequest counts a finished request and logs it, subject to sampling.
func (n *Node) logRequest(c *call, result string, status int, r *briarferry.Refusal) {
	took := time.Since(c.received)
	route := ""
	late := false
	if c.route != nil {
		route = c.route.Name
		late = took > c.route.Target.Std()
	}
	latencies.record(route, result, status, took)
	c.mu.Lock()
	tries := c.tries
	c.mu.Unlock()
	ordinary := r == nil && status < 300 && !late && len(tries) == 1 && result == "answered"
	if !n.logSampler.allow(ordinary) {
		return
	}
	line := n.Log.Info().Str("request_id", c.request.ID).Str("route", route).Uint64("version", c.tableVersion).Str("service", c.service).
		Str("outcome", result).Int("status", status).Dur("took_ms", took).Bool("late", late)
	if c.request.Organisation != "" {
		line = line.Str("organisation", c.request.Organisation)
	}
	if ordinary {
		line = line.Int("stands_for", sampleEvery)
	}
	if r != nil {
		line = line.Str("reason", r.Reason).Str("claim", string(r.Outcome)).Dur("retry_after_ms", r.RetryAfter)
	}
	if c.route == nil {
		line = line.Str("host", c.keys.hide(c.request.Host)).Str("target", c.keys.hide(c.request.Target))
	}
	if s := c.noServer; s != nil {
		line = line.Str("fastest", s.Instance).Dur("estimate_ms", s.Estimate).Dur("limit_ms", s.Limit).Float64("load", s.Load).
			Dur("load_age_ms", min(s.LoadAge, maxLoadAge)).Int("candidates", s.Candidates)
	}
	if homes := c.homeRegions(); len(homes) > 0 {
		line = line.Strs("homes", homes)
	}
	list := zerolog.Arr()
	for _, t := range tries {
		try := zerolog.Dict().Str("instance", t.instance).Str("region", t.region).Str("outcome", string(t.outcome)).Dur("after_ms", t.after).Dur("took_ms", t.took).
			Dur("expected_ms", t.expected).Float64("load", t.load).Dur("load_age_ms", min(t.loadAge, maxLoadAge)).Bool("warm", t.warm)
		if t.left != "" {
			try = try.Str("left_region", string(t.left))
		}
		list = list.Dict(try)
	}
	if c.leftBeforeDispatch.Load() {
		line = line.Bool("left_before_dispatch", true)
	}
	line.Array("tries", list).Msg("request")
}
