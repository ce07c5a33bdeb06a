package bfgateway

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency and latencyDigits are the range and precision of the histograms.
	maxLatency    = 11 * time.Minute
	latencyDigits = 2
	maxHistograms = 512
)

var (
	counters struct {
		badDatagrams, acceptErrors, hedges, hedgesDenied expvar.Int

		tries expvar.Map
	}
	latencies   histograms
	publishOnce sync.Once
)

// histograms holds a latency histogram, in microseconds, for each route and outcome.
type histograms struct {
	mu   sync.Mutex
	sets map[string]*hdrhistogram.Histogram
}

func (h *histograms) record(route, how string, status int, d time.Duration) {
	key := route + " " + how + " " + strconv.Itoa(status)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sets == nil {
		h.sets = map[string]*hdrhistogram.Histogram{}
	}
	hist := h.sets[key]
	if hist == nil {
		if len(h.sets) >= maxHistograms {
			return
		}
		hist = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
		h.sets[key] = hist
	}
	// A latency beyond the range counts as the longest one.
	_ = hist.RecordValue(min(max(1, d.Microseconds()), maxLatency.Microseconds()))
}

func (h *histograms) summary() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]map[string]int64{}
	for key, hist := range h.sets {
		out[key] = map[string]int64{
			"count": hist.TotalCount(), "p50_us": hist.ValueAtQuantile(50), "p99_us": hist.ValueAtQuantile(99), "max_us": hist.Max(),
		}
	}
	return out
}

// publish makes the counters visible; a process has one entry.
func publish(n *Node) {
	publishOnce.Do(func() {
		counters.tries.Init()
		m := expvar.NewMap("entry")
		m.Set("bad_datagrams", &counters.badDatagrams)
		m.Set("accept_errors", &counters.acceptErrors)
		m.Set("hedges", &counters.hedges)
		m.Set("hedges_denied", &counters.hedgesDenied)
		m.Set("tries", &counters.tries)
		m.Set("requests", expvar.Func(latencies.summary))
		m.Set("revision", expvar.Func(func() any { return n.sync.state.Load().Revision }))
		m.Set("live_entries", expvar.Func(func() any { return len(n.sync.Live()) }))
		m.Set("link_utilization", expvar.Func(func() any { return n.meter.last() }))
		m.Set("active", expvar.Func(func() any { return n.active.Load() }))
	})
}
