package bflog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// TestNeverBlocks guards against requests that wait for a log whose reader is gone, and
// against dropped lines that nobody learns of.
func TestNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := &Writer{Out: out}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 3 * queueLines {
			_, _ = fmt.Fprintf(w, "line %d\n", i)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writing a line waits for the output")
	}
	close(out.release)
	w.Flush()
	w.Flush()
	out.mu.Lock()
	defer out.mu.Unlock()
	if got := out.buf.String(); !strings.Contains(got, "line 0\n") || !strings.Contains(got, "log lines dropped") {
		t.Errorf("output of %d bytes lacks the first line or the report of dropped ones", len(got))
	}
}

// TestFlushWritesAll guards against lines that are lost when a process ends.
func TestFlushWritesAll(t *testing.T) {
	var out bytes.Buffer
	w := &Writer{Out: &out}
	for i := range 100 {
		_, _ = fmt.Fprintf(w, "%d\n", i)
	}
	w.Flush()
	if got := strings.Count(out.String(), "\n"); got != 100 {
		t.Errorf("%d of 100 lines", got)
	}
}
