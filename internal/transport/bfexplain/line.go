package bfexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

const (
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
	// requestMessage is the message of the line that a process logs at the end of a request.
	requestMessage = "request"
	fieldTime      = "time"
	fieldMessage   = "message"
	fieldVM        = "vm"
)

// Line is one log line of a process.
type Line struct {
	// Time is the time at which the process logged the line, in UTC.
	Time   time.Time
	fields map[string]any
	keys   []string
}

// ReadLines parses the JSON object in each line of a log. It ignores text in front of the
// object, such as a name that a log collector adds, and skips lines without a valid object.
func ReadLines(r io.Reader) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			continue
		}
		if l, ok := parseLine(s.Bytes()[i:]); ok {
			out = append(out, l)
		}
	}
	if err := s.Err(); err != nil {
		return out, fmt.Errorf("bfexplain: read log: %w", err)
	}
	return out, nil
}

// parseLine parses a JSON object and keeps the order of its keys. It reports false if the
// object is not valid or has no time.
func parseLine(data []byte) (Line, bool) {
	l := Line{fields: map[string]any{}}
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
	l.Time = time.UnixMilli(int64(ms)).UTC()
	return l, ok
}

// Text returns the value of a string field, or "" if there is none.
func (l *Line) Text(field string) string {
	s, _ := l.fields[field].(string)
	return s
}

// Field returns the value of a field of any type, or nil if there is none.
func (l *Line) Field(name string) any { return l.fields[name] }

// Number returns the value of a numeric field, or 0 if there is none.
func (l *Line) Number(field string) float64 { return number(l.fields[field]) }

// Message returns the message of the line.
func (l *Line) Message() string { return l.Text(fieldMessage) }

// IsRequest reports whether the line is about the end of a request.
func (l *Line) IsRequest() bool { return l.Message() == requestMessage }

// requestStart returns the time at which the request of the line started.
func (l *Line) requestStart() time.Time {
	return l.Time.Add(-time.Duration(l.Number("took_ms") * float64(time.Millisecond)))
}
