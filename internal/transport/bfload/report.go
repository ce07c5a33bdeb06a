package bfload

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMax    = int64(2 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

type (
	// Report has the results of all flows.
	Report struct {
		Flows []*FlowReport `json:"flows"`
		Total Counts        `json:"total"`
	}

	// Counts has the numbers of requests by result.
	Counts struct {
		Requests int `json:"requests"`
		OK       int `json:"ok"`
		InTime   int `json:"in_time"`
		// InWindow counts requests that were answered in time within the Window of the
		// flow. Rates are based on it, as they must not include the start of the load
		// or the queues that remain at its end.
		InWindow int `json:"in_window"`
		NotRun   int `json:"not_run"`
		Unknown  int `json:"unknown"`
		// Cut counts requests that got no complete answer, or the answer to another
		// request.
		Cut int `json:"cut"`
		// Skipped counts requests that were not sent because too many were outstanding.
		Skipped int `json:"skipped"`
	}

	// FlowReport has the results of one flow.
	FlowReport struct {
		Flow    Flow           `json:"flow"`
		Counts  Counts         `json:"counts"`
		Reasons map[string]int `json:"reasons"`
		P50     time.Duration  `json:"p50_ns"`
		P99     time.Duration  `json:"p99_ns"`
		P999    time.Duration  `json:"p999_ns"`
		// NotRunKeys are the idempotency keys whose last answer was "not run".
		NotRunKeys []string `json:"not_run_keys,omitempty"`

		mu                     sync.Mutex
		windowStart, windowEnd time.Time
		latencies              *hdrhistogram.Histogram
	}
)

func newFlowReport(f Flow) *FlowReport {
	return &FlowReport{Flow: f, Reasons: map[string]int{}, latencies: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

// Window returns the time in which answers count as InWindow: from 1 s after the start of
// the load, or a quarter of its duration if that is shorter, to its end.
func (r *FlowReport) Window() time.Duration { return r.windowEnd.Sub(r.windowStart) }

func (r *FlowReport) addSkipped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Counts.Requests++
	r.Counts.Skipped++
}

func (r *FlowReport) add(res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Counts.Requests++
	if res.inTime {
		r.Counts.InTime++
		if res.ended.After(r.windowStart) && !res.ended.After(r.windowEnd) {
			r.Counts.InWindow++
		}
	}
	if res.reason != "" {
		r.Reasons[res.reason]++
	}
	switch res.status {
	case statusOK:
		r.Counts.OK++
		_ = r.latencies.RecordValue(max(1, res.latency.Microseconds()))
	case statusNotRun:
		r.Counts.NotRun++
		if res.key != "" {
			r.NotRunKeys = append(r.NotRunKeys, res.key)
		}
	case statusUnknown:
		r.Counts.Unknown++
	case statusNoValidAnswer:
		r.Counts.Cut++
	}
}

// summarize computes the percentiles of each flow and the totals.
func (r *Report) summarize() {
	for _, f := range r.Flows {
		f.P50 = time.Duration(f.latencies.ValueAtQuantile(50)) * time.Microsecond
		f.P99 = time.Duration(f.latencies.ValueAtQuantile(99)) * time.Microsecond
		f.P999 = time.Duration(f.latencies.ValueAtQuantile(99.9)) * time.Microsecond
		r.Total.Requests += f.Counts.Requests
		r.Total.OK += f.Counts.OK
		r.Total.InTime += f.Counts.InTime
		r.Total.InWindow += f.Counts.InWindow
		r.Total.NotRun += f.Counts.NotRun
		r.Total.Unknown += f.Counts.Unknown
		r.Total.Cut += f.Counts.Cut
		r.Total.Skipped += f.Counts.Skipped
	}
}

// WriteTable prints a table with a line for each flow.
func (r *Report) WriteTable(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "service\turgency\trequests\tok\tin time\tnot run\tunknown\tcut\tp50\tp99\tp99.9\t")
	for _, f := range r.Flows {
		c := f.Counts
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", f.Flow.Service, f.Flow.Urgency,
			c.Requests, c.OK, c.InTime, c.NotRun, c.Unknown, c.Cut, f.P50, f.P99, f.P999)
	}
	t.Flush()
}
