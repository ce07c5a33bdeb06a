package bfcaller

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// Conn is a caller's connection that records when its end was read.
type Conn struct {
	net.Conn
	endedAt atomic.Pointer[time.Time]
}

// Wrap returns the connection as a Conn.
func Wrap(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read reads from the connection.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		now := time.Now()
		c.endedAt.CompareAndSwap(nil, &now)
	}
	return n, err
}

// EndedAt returns when the end of the connection was read, and false if it was not.
func (c *Conn) EndedAt() (time.Time, bool) {
	at := c.endedAt.Load()
	if at == nil {
		return time.Time{}, false
	}
	return *at, true
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
