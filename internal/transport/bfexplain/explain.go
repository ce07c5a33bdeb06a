// Package bfexplain finds the log lines about a request, or of a time range, in the logs of
// all processes.
package bfexplain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	fieldRequestID = "request_id"
	fieldLevel     = "level"
	fieldTries     = "tries"
)

type (
	// Query selects log lines: those about a request and other events near it or, without a
	// request ID, the events between From and To. An event is a line that is not about the
	// end of a request.
	Query struct {
		RequestID string
		// Margin is the time before the start and after the end of the request in which events
		// are selected.
		Margin   time.Duration
		From, To time.Time
	}
)

// Explain writes the lines that the query selects, sorted by time. It returns an error if
// no input has a line about the request.
func Explain(w io.Writer, q Query, inputs ...io.Reader) error {
	var lines []Line
	for _, r := range inputs {
		got, err := ReadLines(r)
		if err != nil {
			return err
		}
		lines = append(lines, got...)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	from, to := q.From, q.To
	if q.RequestID != "" {
		i := slices.IndexFunc(lines, func(l Line) bool { return l.Text(fieldRequestID) == q.RequestID })
		if i < 0 {
			return fmt.Errorf("bfexplain: no log line about request %q: successful requests are sampled, and busy processes drop lines (look for warnings with a \"lines\" field)", q.RequestID)
		}
		from, to = lines[i].requestStart().Add(-q.Margin), lines[i].Time.Add(q.Margin)
	}
	for _, l := range lines {
		aboutRequest := q.RequestID != "" && l.Text(fieldRequestID) == q.RequestID
		nearbyEvent := !l.IsRequest() && !l.Time.Before(from) && !l.Time.After(to)
		if aboutRequest || nearbyEvent {
			l.write(w, aboutRequest)
		}
	}
	return nil
}

// write prints the line, marked with ">" if it is about the request of the query, and one
// more line for each try of the request at a backend server.
func (l *Line) write(w io.Writer, aboutRequest bool) {
	mark := " "
	if aboutRequest {
		mark = ">"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %-24s %s", mark, l.Time.Format("15:04:05.000"), l.Text(fieldVM), l.Message())
	for _, key := range l.keys {
		switch key {
		case fieldTime, fieldMessage, fieldVM, fieldLevel, fieldTries:
			continue
		}
		if v := l.fields[key]; v != "" && v != nil {
			fmt.Fprintf(&b, " %s=%v", key, v)
		}
	}
	fmt.Fprintln(w, b.String())
	tries, _ := l.fields[fieldTries].([]any)
	for i, t := range tries {
		fields, _ := t.(map[string]any)
		fmt.Fprintf(w, "      try %d at %v: %v after %.0f ms, expected %.0f ms, load %.1f (last report %.0f ms ago), key expected in cache: %v", i+1,
			fields["instance"], fields["outcome"], number(fields["took_ms"]), number(fields["expected_ms"]), number(fields["load"]), number(fields["load_age_ms"]), fields["warm"])
		if reason, ok := fields["left_region"].(string); ok {
			fmt.Fprintf(w, ", outside the region of its entry: %s", reason)
		}
		fmt.Fprintln(w)
	}
}

func number(v any) float64 {
	f, _ := v.(float64)
	return f
}
