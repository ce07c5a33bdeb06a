package bfgateway

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the longest latency that the histograms record, and latencyDigits their
	// precision in significant decimal digits.
	maxLatency    = 11 * time.Minute
	latencyDigits = 2
	maxHistograms = 512
)

var (
	counters struct {
		badDatagrams, acceptErrors, hedges, hedgesDenied, streamsAborted expvar.Int
		invalidLoads, invalidNotices, lateHeartbeats, leftBeforeDispatch expvar.Int
		keyRefusals, uploadsStreamed, callersStalled                     expvar.Int
		quotaOwnerProbes, homesChanged, homesUnconfirmed                 expvar.Int
		planReports                                                      expvar.Int
		healthChecks, invalidHealth                                      expvar.Int

		// uploadsAborted counts uploads that no server answered, by cause.
		tries, uploadsAborted expvar.Map
	}
	latencies latencyHistograms
	// withdrawals holds the times from the end of a caller's connection to the end of a try.
	withdrawals latencyHistograms
	publishOnce sync.Once
)

// latencyHistograms holds a latency histogram, in microseconds, for each route, result and
// status.
type latencyHistograms struct {
	mu    sync.Mutex
	byKey map[string]*hdrhistogram.Histogram
}

func (h *latencyHistograms) record(route, result string, status int, d time.Duration) {
	h.recordKey(route+" "+result+" "+strconv.Itoa(status), d)
}

func (h *latencyHistograms) recordKey(key string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byKey == nil {
		h.byKey = map[string]*hdrhistogram.Histogram{}
	}
	hist := h.byKey[key]
	if hist == nil {
		if len(h.byKey) >= maxHistograms {
			return
		}
		hist = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
		h.byKey[key] = hist
	}
	// Latencies beyond the range count as maxLatency.
	_ = hist.RecordValue(min(max(1, d.Microseconds()), maxLatency.Microseconds()))
}

func (h *latencyHistograms) summary() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]map[string]int64{}
	for key, hist := range h.byKey {
		out[key] = map[string]int64{
			"count": hist.TotalCount(), "p50_us": hist.ValueAtQuantile(50), "p99_us": hist.ValueAtQuantile(99), "max_us": hist.Max(),
		}
	}
	return out
}

// publishMetrics publishes the metrics of the first entry that is set up. A process has
// only one, except in tests.
func publishMetrics(n *Node) {
	publishOnce.Do(func() {
		counters.tries.Init()
		counters.uploadsAborted.Init()
		m := expvar.NewMap("entry")
		m.Set("bad_datagrams", &counters.badDatagrams)
		m.Set("accept_errors", &counters.acceptErrors)
		m.Set("hedges", &counters.hedges)
		m.Set("streams_aborted", &counters.streamsAborted)
		m.Set("hedges_denied", &counters.hedgesDenied)
		m.Set("invalid_load_reports", &counters.invalidLoads)
		m.Set("late_heartbeats", &counters.lateHeartbeats)
		m.Set("invalid_retry_after", &counters.invalidNotices)
		m.Set("servers_leaving", expvar.Func(func() any { return n.steering.Counts.Leaving.Load() }))
		m.Set("server_pauses", expvar.Func(func() any { return n.steering.Counts.Pauses.Load() }))
		m.Set("health_checks", &counters.healthChecks)
		m.Set("invalid_health_answers", &counters.invalidHealth)
		m.Set("plan_reports", &counters.planReports)
		m.Set("plan", expvar.Func(func() any { return n.steering.PlanStatus(time.Now()) }))
		m.Set("tries", &counters.tries)
		m.Set("refused_after_homes_changed", &counters.homesChanged)
		m.Set("refused_without_confirmation", &counters.homesUnconfirmed)
		m.Set("table_confirmed_ms_ago", expvar.Func(n.fleet.confirmationAge))
		m.Set("requests", expvar.Func(latencies.summary))
		m.Set("left_before_dispatch", &counters.leftBeforeDispatch)
		m.Set("refused_keys", &counters.keyRefusals)
		m.Set("withdrawals", expvar.Func(withdrawals.summary))
		m.Set("revision", expvar.Func(func() any { return n.fleet.state.Load().Revision }))
		m.Set("live_entries", expvar.Func(func() any { return len(n.fleet.Live()) }))
		m.Set("link_utilization", expvar.Func(func() any { return n.meter.last() }))
		m.Set("uploads_streamed", &counters.uploadsStreamed)
		m.Set("uploads_aborted", &counters.uploadsAborted)
		m.Set("callers_stalled", &counters.callersStalled)
		m.Set("body_bytes_held", expvar.Func(func() any { return n.bodyMemory.used.Load() }))
		m.Set("answer_bytes_held", expvar.Func(func() any { bytes, _ := n.upstream.HeldAnswers(); return bytes }))
		m.Set("answers_dropped", expvar.Func(func() any { _, dropped := n.upstream.HeldAnswers(); return dropped }))
		m.Set("quota_admitted", expvar.Func(func() any { return n.quotas.holder.Admitted.Load() }))
		m.Set("quota_waited", expvar.Func(func() any { return n.quotas.holder.Waited.Load() }))
		m.Set("quota_refused", expvar.Func(func() any { return n.quotas.holder.Refused.Load() }))
		m.Set("quota_without_owner", expvar.Func(func() any { return n.quotas.holder.Unowned.Load() }))
		m.Set("quota_organisations", expvar.Func(func() any { return n.quotas.holder.Counts() }))
		m.Set("quota_owner_probes", &counters.quotaOwnerProbes)
		m.Set("active", expvar.Func(func() any { return n.active.Load() }))
	})
}
