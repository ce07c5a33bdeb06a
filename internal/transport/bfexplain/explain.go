// Package bfexplain finds in the log lines of all processes what happened to a request.
package bfexplain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	fieldRequest = "request_id"
	fieldLevel   = "level"
	fieldTries   = "tries"
)

type (
	// Query selects lines. Without a request ID, From and To select a span.
	Query struct {
		RequestID string
		// Margin is how far before and after the request changes of belief are shown.
		Margin   time.Duration
		From, To time.Time
	}
)

// Explain writes the lines of the query, in order of time. It fails where the request
// is in none of the inputs.
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
		i := slices.IndexFunc(lines, func(l Line) bool { return l.Text(fieldRequest) == q.RequestID })
		if i < 0 {
			return fmt.Errorf("bfexplain: no line about request %q; ordinary answers are sampled, and a busy entry leaves lines out (see the lines left out)", q.RequestID)
		}
		from, to = lines[i].begin().Add(-q.Margin), lines[i].Time.Add(q.Margin)
	}
	for _, l := range lines {
		own := q.RequestID != "" && l.Text(fieldRequest) == q.RequestID
		belief := !l.IsRequest() && !l.Time.Before(from) && !l.Time.After(to)
		if own || belief {
			l.write(w, own)
		}
	}
	return nil
}

func (l *Line) write(w io.Writer, own bool) {
	mark := " "
	if own {
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
		fmt.Fprintf(w, "      try %d at %v: %v after %.0f ms, expected %.0f ms, load %.1f told %.0f ms ago, key warm: %v\n", i+1,
			fields["instance"], fields["outcome"], number(fields["took_ms"]), number(fields["expected_ms"]), number(fields["load"]), number(fields["load_age_ms"]), fields["warm"])
	}
}

func number(v any) float64 {
	f, _ := v.(float64)
	return f
}
