// Package bfreport draws charts from the logs of all processes of a run: latency by route,
// requests by outcome or reason of refusal, and other events by log message, each over time.
package bfreport

import (
	"cmp"
	"slices"
	"time"

	"briarferry/internal/transport/bfexplain"
)

const (
	// bucketWidth is the time range of one point of a curve.
	bucketWidth = time.Second
	// maxCurves is the maximum number of curves of one panel. If a panel has more, the
	// smallest curves are merged into the curve "other". The latency panel leaves out the
	// routes with the fewest requests instead.
	maxCurves       = 6
	otherName       = "other"
	latencyQuantile = 0.99
)

type (
	// Series holds the curves of a run by name, with one value for each second since Start.
	Series struct {
		Start time.Time
		// Latency is the 99th percentile in milliseconds of the routes with the most requests.
		Latency map[string][]float64
		// Outcomes counts requests by outcome or, for refusals and failures, by reason. Events
		// counts the other log lines by message.
		Outcomes map[string][]float64
		Events   map[string][]float64
	}

	// sample is one logged request. took is its duration in milliseconds, and weight the number
	// of requests that it stands for, as successful requests are sampled.
	sample struct {
		took, weight float64
	}
)

// NewSeries computes the curves from log lines, which may be in any order.
func NewSeries(lines []bfexplain.Line) *Series {
	s := &Series{Latency: map[string][]float64{}, Outcomes: map[string][]float64{}, Events: map[string][]float64{}}
	if len(lines) == 0 {
		return s
	}
	byTime := func(a, b bfexplain.Line) int { return a.Time.Compare(b.Time) }
	s.Start = slices.MinFunc(lines, byTime).Time
	n := int(slices.MaxFunc(lines, byTime).Time.Sub(s.Start)/bucketWidth) + 1
	samples := map[string][][]sample{}
	for _, l := range lines {
		i := int(l.Time.Sub(s.Start) / bucketWidth)
		if !l.IsRequest() {
			curveOf(s.Events, l.Message(), n)[i]++
			continue
		}
		weight := max(1, l.Number("stands_for"))
		curveOf(s.Outcomes, outcome(l), n)[i] += weight
		if route := l.Text("route"); route != "" {
			list := curveOf(samples, route, n)
			list[i] = append(list[i], sample{took: l.Number("took_ms"), weight: weight})
		}
	}
	for _, route := range busiestRoutes(samples) {
		curve := curveOf(s.Latency, route, n)
		for i, list := range samples[route] {
			curve[i] = weightedQuantile(list)
		}
	}
	for _, m := range []map[string][]float64{s.Outcomes, s.Events} {
		mergeSmallest(m)
	}
	return s
}

// curveOf returns the curve with the name and adds one of n points if there is none.
func curveOf[V any](m map[string][]V, name string, n int) []V {
	if m[name] == nil {
		m[name] = make([]V, n)
	}
	return m[name]
}

// outcome returns the name of the outcome curve for a request: the reason of a refusal or
// failure if the line has one, or else the logged outcome, with a suffix for late answers.
// Answers with a server error (status 500 or more) have a curve of their own.
func outcome(l bfexplain.Line) string {
	if reason := l.Text("reason"); reason != "" {
		return reason
	}
	if l.Text("outcome") == "answered" && l.Number("status") >= 500 {
		return "failed at the backend server"
	}
	if late, _ := l.Field("late").(bool); late {
		return l.Text("outcome") + " late"
	}
	return l.Text("outcome")
}

// busiestRoutes returns at most maxCurves routes, those with the most requests. Other routes
// are left out, as percentiles can't be added up.
func busiestRoutes(samples map[string][][]sample) []string {
	weight := func(route string) float64 {
		sum := 0.0
		for _, list := range samples[route] {
			for _, x := range list {
				sum += x.weight
			}
		}
		return sum
	}
	routes := sortedNames(samples)
	slices.SortStableFunc(routes, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return routes[:min(len(routes), maxCurves)]
}

// weightedQuantile returns the quantile of the durations, or 0 if there are none.
func weightedQuantile(list []sample) float64 {
	slices.SortFunc(list, func(a, b sample) int { return cmp.Compare(a.took, b.took) })
	totalWeight := 0.0
	for _, x := range list {
		totalWeight += x.weight
	}
	sum := 0.0
	for _, x := range list {
		if sum += x.weight; sum >= latencyQuantile*totalWeight {
			return x.took
		}
	}
	return 0
}

// mergeSmallest replaces the smallest curves by their sum if there are more than maxCurves.
func mergeSmallest(m map[string][]float64) {
	if len(m) <= maxCurves {
		return
	}
	names := sortedNames(m)
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(total(m[b]), total(m[a])) })
	other := make([]float64, len(m[names[0]]))
	for _, name := range names[maxCurves-1:] {
		for i, v := range m[name] {
			other[i] += v
		}
		delete(m, name)
	}
	m[otherName] = other
}

func total(curve []float64) float64 {
	sum := 0.0
	for _, v := range curve {
		sum += v
	}
	return sum
}

func sortedNames[V any](m map[string]V) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
