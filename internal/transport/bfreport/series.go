// Package bfreport draws what the logs of all processes tell about a run: latency by
// route, outcomes and refusals by reason, and changes of belief, over time.
package bfreport

import (
	"cmp"
	"slices"
	"time"

	"briarferry/internal/transport/bfexplain"
)

const (
	// bucket is the span of one point of a curve.
	bucket = time.Second
	// maxCurves bounds the curves of one panel; the rest is added up as "other".
	maxCurves = 6
	otherName = "other"
	// quantile is the share of the requests of a second that are as fast as the curve.
	quantile = 0.99
)

type (
	// Series are the curves of a run by the second since its start.
	Series struct {
		Start time.Time
		// Latency is the 99th percentile in milliseconds of the routes with the most requests.
		Latency map[string][]float64
		// Outcomes counts requests by how they ended, and Beliefs other lines by message.
		Outcomes map[string][]float64
		Beliefs  map[string][]float64
	}

	// sample is one logged request; ordinary answers stand for several.
	sample struct {
		took, weight float64
	}
)

// NewSeries counts the lines, which may be in any order.
func NewSeries(lines []bfexplain.Line) *Series {
	s := &Series{Latency: map[string][]float64{}, Outcomes: map[string][]float64{}, Beliefs: map[string][]float64{}}
	if len(lines) == 0 {
		return s
	}
	byTime := func(a, b bfexplain.Line) int { return a.Time.Compare(b.Time) }
	s.Start = slices.MinFunc(lines, byTime).Time
	n := int(slices.MaxFunc(lines, byTime).Time.Sub(s.Start)/bucket) + 1
	samples := map[string][][]sample{}
	for _, l := range lines {
		i := int(l.Time.Sub(s.Start) / bucket)
		if !l.IsRequest() {
			at(s.Beliefs, l.Message(), n)[i]++
			continue
		}
		weight := max(1, l.Number("stands_for"))
		at(s.Outcomes, outcome(l), n)[i] += weight
		if route := l.Text("route"); route != "" {
			list := at(samples, route, n)
			list[i] = append(list[i], sample{took: l.Number("took_ms"), weight: weight})
		}
	}
	for _, route := range busiest(samples) {
		curve := at(s.Latency, route, n)
		for i, list := range samples[route] {
			curve[i] = percentile(list)
		}
	}
	for _, m := range []map[string][]float64{s.Outcomes, s.Beliefs} {
		fold(m)
	}
	return s
}

func at[V any](m map[string][]V, name string, n int) []V {
	if m[name] == nil {
		m[name] = make([]V, n)
	}
	return m[name]
}

// outcome names how a request ended; refusals and failures carry their reason.
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

// busiest returns the routes with the most requests, as percentiles can't be added up.
func busiest(samples map[string][][]sample) []string {
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

func percentile(list []sample) float64 {
	slices.SortFunc(list, func(a, b sample) int { return cmp.Compare(a.took, b.took) })
	all := 0.0
	for _, x := range list {
		all += x.weight
	}
	sum := 0.0
	for _, x := range list {
		if sum += x.weight; sum >= quantile*all {
			return x.took
		}
	}
	return 0
}

// fold adds the smallest curves up.
func fold(m map[string][]float64) {
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
