// Package bfexplain finds in the log lines of all processes what happened to a request.
package bfexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// maxLine bounds one log line.
	maxLine = 1 << 20
	// requestMessage is the message of the lines about requests.
	requestMessage = "request"
	fieldTime      = "time"
	fieldMessage   = "message"
	fieldVM        = "vm"
	fieldRequest   = "request_id"
	fieldLevel     = "level"
	fieldTries     = "tries"
)

type (
	// Query selects lines. Without a request ID, From and To select a span.
	Query struct {
		RequestID string
		// Around is how far before and after the request changes of belief are shown.
		Around   time.Duration
		From, To time.Time
	}

	// line is one log line.
	line struct {
		at     time.Time
		fields map[string]any
		keys   []string
	}
)

// Explain writes the lines of the query, in order of time. It fails where the request
// is in none of the inputs.
func Explain(w io.Writer, q Query, inputs ...io.Reader) error {
	var lines []line
	for _, r := range inputs {
		got, err := read(r)
		if err != nil {
			return fmt.Errorf("bfexplain: read log: %w", err)
		}
		lines = append(lines, got...)
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	from, to := q.From, q.To
	if q.RequestID != "" {
		i := slices.IndexFunc(lines, func(l line) bool { return l.text(fieldRequest) == q.RequestID })
		if i < 0 {
			return fmt.Errorf("bfexplain: no line about request %q; ordinary answers are sampled, and a busy entry leaves lines out (see the lines left out)", q.RequestID)
		}
		from, to = lines[i].begin().Add(-q.Around), lines[i].at.Add(q.Around)
	}
	for _, l := range lines {
		own := q.RequestID != "" && l.text(fieldRequest) == q.RequestID
		belief := l.text(fieldMessage) != requestMessage && !l.at.Before(from) && !l.at.After(to)
		if own || belief {
			l.write(w, own)
		}
	}
	return nil
}

// read takes the JSON part of each line; what stands before it, such as a name that a
// collector adds, is passed over, as are lines of other kinds.
func read(r io.Reader) ([]line, error) {
	var out []line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			continue
		}
		if l, ok := parse(s.Bytes()[i:]); ok {
			out = append(out, l)
		}
	}
	return out, s.Err()
}

func parse(data []byte) (line, bool) {
	l := line{fields: map[string]any{}}
	dec := json.NewDecoder(bytes.NewReader(data))
	if _, err := dec.Token(); err != nil {
		return l, false
	}
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return l, false
		}
		var value any
		if err := dec.Decode(&value); err != nil {
			return l, false
		}
		name, _ := key.(string)
		l.fields[name] = value
		l.keys = append(l.keys, name)
	}
	ms, ok := l.fields[fieldTime].(float64)
	l.at = time.UnixMilli(int64(ms)).UTC()
	return l, ok
}

func (l *line) text(field string) string {
	s, _ := l.fields[field].(string)
	return s
}

// begin returns when the request of the line began.
func (l *line) begin() time.Time {
	took, _ := l.fields["took_ms"].(float64)
	return l.at.Add(-time.Duration(took * float64(time.Millisecond)))
}

func (l *line) write(w io.Writer, own bool) {
	mark := " "
	if own {
		mark = ">"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %-24s %s", mark, l.at.Format("15:04:05.000"), l.text(fieldVM), l.text(fieldMessage))
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
