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
	// maxLine bounds one log line.
	maxLine = 1 << 20
	// requestMessage is the message of the lines about requests.
	requestMessage = "request"
	fieldTime      = "time"
	fieldMessage   = "message"
	fieldVM        = "vm"
)

// Line is one log line of a process.
type Line struct {
	// Time is when it was written.
	Time   time.Time
	fields map[string]any
	keys   []string
}

// ReadLines takes the JSON part of each line; what stands before it, such as a name that a
// collector adds, is passed over, as are lines of other kinds.
func ReadLines(r io.Reader) ([]Line, error) {
	var out []Line
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
	if err := s.Err(); err != nil {
		return out, fmt.Errorf("bfexplain: read log: %w", err)
	}
	return out, nil
}

func parse(data []byte) (Line, bool) {
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

// Text returns a field that holds a text, or "".
func (l *Line) Text(field string) string {
	s, _ := l.fields[field].(string)
	return s
}

// Field returns a field of any type, or nil.
func (l *Line) Field(name string) any { return l.fields[name] }

// Number returns a field that holds a number, or 0.
func (l *Line) Number(field string) float64 { return number(l.fields[field]) }

// Message returns the line's message.
func (l *Line) Message() string { return l.Text(fieldMessage) }

// IsRequest tells whether the line is about the end of a request.
func (l *Line) IsRequest() bool { return l.Message() == requestMessage }

// begin returns when the request of the line began.
func (l *Line) begin() time.Time {
	return l.Time.Add(-time.Duration(l.Number("took_ms") * float64(time.Millisecond)))
}
