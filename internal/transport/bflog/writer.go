// Package bflog writes log lines without ever holding up the code that logs.
package bflog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait for the output.
	queueLines = 4096
	// maxPending bounds the bytes of one write.
	maxPending = 64 << 10
	// flushInterval is how long lines are collected, as each write costs a system call.
	flushInterval = 50 * time.Millisecond
)

// Writer is an io.Writer that hands lines to a goroutine and drops what has no room. It
// reports the number of dropped lines in the output.
type Writer struct {
	Out io.Writer

	once    sync.Once
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Uint64
}

// Write queues a copy of one line.
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

// Flush waits until all queued lines are written.
func (w *Writer) Flush() {
	w.once.Do(w.start)
	done := make(chan struct{})
	w.flush <- done
	<-done
}

func (w *Writer) start() {
	w.lines = make(chan []byte, queueLines)
	w.flush = make(chan chan struct{})
	go w.run()
}

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
		buf = w.drain(buf)
		if n := w.dropped.Swap(0); n > 0 {
			buf = fmt.Appendf(buf, "{\"level\":\"warn\",\"lines\":%d,\"message\":\"log lines dropped\"}\n", n)
		}
		// A failed write leaves nothing to tell it to.
		_, _ = w.Out.Write(buf)
		buf = buf[:0]
		if done != nil {
			close(done)
		}
	}
}

// collect waits for more lines, so that one write takes many; a flush ends the wait.
func (w *Writer) collect(buf *[]byte) chan struct{} {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for len(*buf) < maxPending {
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

// drain takes the lines that are already there.
func (w *Writer) drain(buf []byte) []byte {
	for len(buf) < maxPending {
		select {
		case line := <-w.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}
