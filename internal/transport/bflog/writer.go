// Package bflog provides an asynchronous log writer that never blocks the code that logs.
package bflog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of lines that can wait for the output.
	maxQueuedLines = 4096
	// maxWriteBytes is the size from which a batch of lines is written without waiting for
	// more.
	maxWriteBytes = 64 << 10
	// flushInterval is the time in which lines are collected into one write, as each write
	// costs a system call.
	flushInterval = 50 * time.Millisecond
)

// Writer is an io.Writer that queues lines for a goroutine, which writes them to Out. If the
// queue is full, lines are dropped, and a log line in the output reports how many.
type Writer struct {
	Out io.Writer

	once    sync.Once
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Uint64
}

// Write queues a copy of one line. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.once.Do(w.start)
	c := make([]byte, len(line))
	copy(c, line)
	select {
	case w.lines <- c:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Flush blocks until the queued lines are written, or the first maxWriteBytes of them if there
// are more.
func (w *Writer) Flush() {
	w.once.Do(w.start)
	done := make(chan struct{})
	w.flush <- done
	<-done
}

func (w *Writer) start() {
	w.lines = make(chan []byte, maxQueuedLines)
	w.flush = make(chan chan struct{})
	go w.run()
}

// run writes the queued lines in batches. It never returns.
func (w *Writer) run() {
	var buf []byte
	for {
		var done chan struct{}
		select {
		case line := <-w.lines:
			buf = append(buf, line...)
		case done = <-w.flush:
		}
		if done == nil {
			done = w.collect(&buf)
		}
		buf = w.appendQueued(buf)
		if n := w.dropped.Swap(0); n > 0 {
			buf = fmt.Appendf(buf, "{\"level\":\"warn\",\"lines\":%d,\"message\":\"log lines dropped\"}\n", n)
		}
		// There is nowhere to report a failed write, as this is the log.
		_, _ = w.Out.Write(buf)
		buf = buf[:0]
		if done != nil {
			close(done)
		}
	}
}

// collect appends lines to buf until flushInterval has passed, buf has maxWriteBytes or a
// flush is requested. It returns the channel to close after that flush, or nil.
func (w *Writer) collect(buf *[]byte) chan struct{} {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for len(*buf) < maxWriteBytes {
		select {
		case line := <-w.lines:
			*buf = append(*buf, line...)
		case done := <-w.flush:
			return done
		case <-timer.C:
			return nil
		}
	}
	return nil
}

// appendQueued appends the lines that are already in the queue, without waiting.
func (w *Writer) appendQueued(buf []byte) []byte {
	for len(buf) < maxWriteBytes {
		select {
		case line := <-w.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}
