package bflog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

// TestWriteDoesNotBlock guards against a Write that blocks while nothing reads the output, and
// against dropped lines that the output does not report.
func TestWriteDoesNotBlock(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := &Writer{Out: out}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 3 * maxQueuedLines {
			_, _ = fmt.Fprintf(w, "line %d\n", i)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocks on the output")
	}
	close(out.release)
	w.Flush()
	w.Flush()
	out.mu.Lock()
	defer out.mu.Unlock()
	if got := out.buf.String(); !strings.Contains(got, "line 0\n") || !strings.Contains(got, "log lines dropped") {
		t.Errorf("output of %d bytes lacks the first line or the report of dropped lines", len(got))
	}
}

// TestFlushWritesAll guards against lines that are lost at the end of a process because Flush
// returns before they are written.
func TestFlushWritesAll(t *testing.T) {
	var out bytes.Buffer
	w := &Writer{Out: &out}
	for i := range 100 {
		_, _ = fmt.Fprintf(w, "%d\n", i)
	}
	w.Flush()
	if got := strings.Count(out.String(), "\n"); got != 100 {
		t.Errorf("output has %d of 100 lines", got)
	}
}
