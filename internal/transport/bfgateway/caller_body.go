package bfgateway

import (
	"context"
	"errors"
	"io"
	"os"
	"sync"
	"time"
)

const (
	// bodyStall is the time without a byte from the caller after which its body is given up.
	// It covers several retransmissions.
	bodyStall = 1500 * time.Millisecond
	// streamChunkBytes is how much of a streamed body the entry holds.
	streamChunkBytes = 32 << 10
	// discardChunkBytes is the size of one read of bytes that nobody needs.
	discardChunkBytes = 4 << 10
	// drainTime limits the reading of the rest of a body after the request was answered.
	drainTime = 2 * time.Second
)

// errBodyClosed is the cause of reading a body after its request has ended.
var errBodyClosed = errors.New("bfgateway: the request has ended")

// longAgo is a deadline that ends a pending read.
var longAgo = time.Unix(1, 0)

// callerBody is a request's body that is read while it is sent to a server. Only one chunk of
// it is held. It implements briarferry.BodyStream.
type callerBody struct {
	body   io.Reader
	length int64
	// setDeadline sets the deadline of reads from the caller's connection.
	setDeadline func(time.Time) error
	// ctx is the context of the caller's request, and expectsContinue is true if the caller
	// waits for status 100 before it sends the body.
	ctx             context.Context
	expectsContinue bool
	// received is closed when the whole body was read.
	received chan struct{}
	// freed and filled wake the reader of the caller's connection and that of the stream.
	freed, filled chan struct{}
	// readerEnded is closed at the end of the reader of the caller's connection.
	readerEnded chan struct{}

	mu      sync.Mutex
	started bool
	// chunk holds the bytes that begin at position first of the body. The reader of the
	// caller's connection writes to its unused capacity.
	chunk []byte
	first int64
	// next is the position of the next byte of the stream.
	next int64
	// err is the error with which reading ended: io.EOF after the whole body.
	err error
	// readUntil is the deadline of the last read, and stalled is true if it passed without a
	// byte.
	readUntil time.Time
	stalled   bool
	// drainUntil is set when the rest of the body is discarded.
	drainUntil time.Time
	closed     bool
	// sentAt is when the stream had been read to its end.
	sentAt time.Time
	// interrupted is true if the last read of the stream ended before it got a byte.
	interrupted bool
}

func newCallerBody(body io.Reader, length int64, setDeadline func(time.Time) error) *callerBody {
	return &callerBody{
		body: body, length: length, setDeadline: setDeadline, received: make(chan struct{}), readerEnded: make(chan struct{}),
		freed: make(chan struct{}, 1), filled: make(chan struct{}, 1),
	}
}

// Length returns the size of the whole body.
func (b *callerBody) Length() int64 { return b.length }

// Next waits for further bytes.
func (b *callerBody) Next(ctx context.Context) ([]byte, error) {
	b.start()
	for {
		if data, err := b.take(); data != nil || err != nil {
			return data, err
		}
		select {
		case <-b.filled:
		case <-ctx.Done():
			b.mu.Lock()
			b.interrupted = true
			b.mu.Unlock()
			return nil, context.Cause(ctx)
		}
	}
}

// take returns the bytes that are there, or frees the chunk if all of it was taken before.
func (b *callerBody) take() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.interrupted = false
	end := b.first + int64(len(b.chunk))
	switch {
	case b.closed, !b.drainUntil.IsZero():
		return nil, errBodyClosed
	case b.next < end:
		data := b.chunk[b.next-b.first:]
		b.next = end
		return data, nil
	case b.err != nil:
		b.noteEnd()
		return nil, b.err
	case len(b.chunk) == cap(b.chunk):
		b.first, b.chunk = end, b.chunk[:0]
		notify(b.freed)
	}
	return nil, nil
}

// noteEnd records that the try was told the end of the body.
func (b *callerBody) noteEnd() {
	switch {
	case !errors.Is(b.err, io.EOF):
		b.interrupted = true
	case b.sentAt.IsZero():
		b.sentAt = time.Now()
	}
}

// Rewind lets the next try read the body from its start.
func (b *callerBody) Rewind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.first > 0 {
		return false
	}
	b.next, b.sentAt, b.interrupted = 0, time.Time{}, false
	return true
}

// start begins to read from the caller, who may wait for status 100 until then.
func (b *callerBody) start() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.started || b.closed {
		return
	}
	b.started = true
	if b.drainUntil.IsZero() {
		b.chunk = make([]byte, 0, min(b.length, streamChunkBytes))
	}
	go b.receive()
}

// receive reads the body until its end.
func (b *callerBody) receive() {
	defer close(b.readerEnded)
	for {
		space, err := b.space()
		if err != nil {
			return
		}
		if len(space) == 0 {
			<-b.freed
			continue
		}
		n, err := b.body.Read(space)
		if b.add(n, err) {
			return
		}
	}
}

// space returns the unused capacity of the chunk and sets the deadline for reading into it.
// The chunk stays as it is once the rest of the body is discarded, as a try may still be
// writing it.
func (b *callerBody) space() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil, errBodyClosed
	}
	until, space := time.Now().Add(bodyStall), b.chunk[len(b.chunk):cap(b.chunk)]
	if !b.drainUntil.IsZero() {
		space = make([]byte, discardChunkBytes)
		if b.drainUntil.Before(until) {
			until = b.drainUntil
		}
	}
	if len(space) > 0 {
		b.readUntil = until
		_ = b.setDeadline(until)
	}
	return space, nil
}

// add adds bytes that were read and reports whether reading has ended.
func (b *callerBody) add(n int, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.drainUntil.IsZero() {
		b.chunk = b.chunk[:len(b.chunk)+n]
	}
	if err != nil {
		b.err = err
		b.stalled = errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(b.readUntil)
		if errors.Is(err, io.EOF) {
			close(b.received)
		}
	}
	notify(b.filled)
	return err != nil
}

// hasStalled reports whether the caller stopped sending.
func (b *callerBody) hasStalled() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stalled
}

// canDrain reports whether the rest of the body can be expected from the caller.
func (b *callerBody) canDrain() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ctx.Err() == nil && (b.started || !b.expectsContinue)
}

// isComplete reports whether the whole body was read.
func (b *callerBody) isComplete() bool {
	select {
	case <-b.received:
		return true
	default:
		return false
	}
}

// sent returns when the last try had sent the whole body, or zero. awaitedCaller is true if that
// try ended while it waited for further bytes, or because the caller's body failed.
func (b *callerBody) sent() (at time.Time, awaitedCaller bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sentAt, b.interrupted
}

// drain reads the rest of the body and discards it. It returns whether the end was reached.
func (b *callerBody) drain() bool {
	b.mu.Lock()
	b.drainUntil = time.Now().Add(drainTime)
	b.mu.Unlock()
	b.start()
	notify(b.freed)
	select {
	case <-b.readerEnded:
	case <-time.After(drainTime):
	}
	return b.isComplete()
}

// close ends the reading of an incomplete body. It returns when nothing reads from the
// caller's connection any more. The connection can't be used again.
func (b *callerBody) close() {
	b.mu.Lock()
	b.closed = true
	_ = b.setDeadline(longAgo)
	started := b.started
	b.mu.Unlock()
	notify(b.freed)
	if started {
		<-b.readerEnded
	}
}

// notify wakes the receiver of the channel.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
