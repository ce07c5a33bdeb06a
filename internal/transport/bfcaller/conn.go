package bfcaller

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// maxAheadBytes limits the bytes of a connection that are kept while its request is
	// handled. A caller that has sent more than that isn't noticed when it leaves.
	maxAheadBytes = 16 << 10
	// aheadChunkBytes is the size of one read of such bytes.
	aheadChunkBytes = 4 << 10
)

// longAgo is a deadline that ends a pending read.
var longAgo = time.Unix(1, 0)

type (
	// Conn is a caller's connection that notices its end while a request is handled. net/http
	// reads one byte at most until then, and misses the end behind bytes of a further request.
	Conn struct {
		net.Conn
		// reading is held while a goroutine reads from the wrapped connection.
		reading sync.Mutex

		mu sync.Mutex
		// onEnd is called at the end of the connection. It is nil unless a request is watched.
		onEnd   func()
		endedAt time.Time
		// ahead are the bytes that were read but not returned yet.
		ahead []byte
		// returnedByte is true if the last read asked for one byte and got it, as net/http does
		// while it handles a request. It then reads no further until the request has ended.
		returnedByte bool
	}

	// aheadReader is a goroutine that reads ahead because net/http doesn't read. Its fields are
	// guarded by the connection's mu.
	aheadReader struct {
		// active is true once it may read, and interrupted once the watch has ended.
		active, interrupted bool
		// done is closed at its end.
		done chan struct{}
	}
)

// Listener returns its connections as Conns.
type Listener struct{ net.Listener }

// Accept returns the next connection.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Wrap(c), nil
}

// Wrap returns the connection as a Conn.
func Wrap(c net.Conn) *Conn { return &Conn{Conn: c} }

// watch calls onEnd once the caller has left, unless the returned function is called before.
// It does nothing if the request did not arrive on a Conn.
func watch(ctx context.Context, onEnd func()) (stop func()) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return func() {}
	}
	return c.watch(onEnd)
}

func (c *Conn) watch(onEnd func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.endedAt.IsZero() {
		go onEnd()
		return func() {}
	}
	c.onEnd = onEnd
	if !c.returnedByte {
		return func() { c.stopWatching(nil) }
	}
	a := &aheadReader{done: make(chan struct{})}
	go c.runAheadReader(a)
	return func() { c.stopWatching(a) }
}

// stopWatching ends the watch and its reader, if there is one.
func (c *Conn) stopWatching(a *aheadReader) {
	c.mu.Lock()
	c.onEnd = nil
	active := a != nil && a.active
	if a != nil {
		a.interrupted = true
	}
	c.mu.Unlock()
	if !active {
		return
	}
	// The deadline must stay until the reader has noticed it.
	_ = c.SetReadDeadline(longAgo)
	<-a.done
	_ = c.SetReadDeadline(time.Time{})
}

// runAheadReader reads ahead until the watch ends. A read of net/http that was about to begin
// waits until then.
func (c *Conn) runAheadReader(a *aheadReader) {
	defer close(a.done)
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.setActive(a) {
		c.readAhead()
	}
}

// setActive returns false if the watch has already ended.
func (c *Conn) setActive(a *aheadReader) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.active = !a.interrupted
	return a.active
}

// Read reads from the connection. Bytes that arrive while a request is watched are returned
// when the connection ends, when the read's deadline passes or when maxAheadBytes are kept.
func (c *Conn) Read(b []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	c.setReturnedByte(false)
	n, err := c.read(b)
	c.setReturnedByte(n == 1 && len(b) == 1)
	return n, err
}

func (c *Conn) setReturnedByte(v bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.returnedByte = v
}

func (c *Conn) read(b []byte) (int, error) {
	if n := c.takeAhead(b); n > 0 {
		return n, nil
	}
	n, err := c.Conn.Read(b)
	if n == 0 || !c.isWatched() {
		c.noteEnd(err)
		return n, err
	}
	if c.keep(b[:n], err) {
		c.readAhead()
	}
	return c.takeAhead(b), nil
}

// readAhead keeps what the caller sends until the connection ends, the read's deadline passes
// or maxAheadBytes are kept.
func (c *Conn) readAhead() {
	buf := make([]byte, aheadChunkBytes)
	for {
		n, err := c.Conn.Read(buf)
		if !c.keep(buf[:n], err) {
			return
		}
	}
}

// keep adds bytes to those that were read ahead, and reports whether to read more.
func (c *Conn) keep(b []byte, err error) bool {
	c.noteEnd(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead = append(c.ahead, b...)
	return err == nil && c.onEnd != nil && len(c.ahead) < maxAheadBytes
}

// takeAhead moves bytes that were read ahead to b.
func (c *Conn) takeAhead(b []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(b, c.ahead)
	c.ahead = c.ahead[n:]
	if len(c.ahead) == 0 {
		c.ahead = nil
	}
	return n
}

// noteEnd records the end of the connection if the error is one.
func (c *Conn) noteEnd(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	if c.endedAt.IsZero() {
		c.endedAt = time.Now()
	}
	onEnd := c.onEnd
	c.onEnd = nil
	c.mu.Unlock()
	if onEnd != nil {
		onEnd()
	}
}

func (c *Conn) isWatched() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.onEnd != nil
}

// EndedAt returns when the end of the connection was read, and false if it was not.
func (c *Conn) EndedAt() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endedAt, !c.endedAt.IsZero()
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite lets the HTTP server shut down its sending side before it closes the
// connection. Otherwise unread bytes of the caller's request would reset the connection
// before the caller has read the answer.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
