package bfgateway

import (
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"briarferry/internal/transport/bfcaller"
)

// answerStall is the time without progress after which, or after twice of which, a caller that
// doesn't read its answer is given up, as the answer occupies memory.
const answerStall = 2500 * time.Millisecond

// queueUnknown stands for a socket's queue that was not read yet.
const queueUnknown = -1

// progressConn is a caller's connection whose writes fail when the caller has taken nothing
// for some time. Writes to a slow caller continue as long as it takes anything.
type progressConn struct {
	net.Conn
	stall time.Duration
}

// Write writes all bytes, or fails after one or two times stall without progress. It asks for
// the socket's queue only when a write has blocked that long, so that others cost no more.
func (c *progressConn) Write(b []byte) (int, error) {
	written, queued := 0, queueUnknown
	for {
		_ = c.SetWriteDeadline(time.Now().Add(c.stall))
		n, err := c.Conn.Write(b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		// A caller that reads slowly may have taken bytes of the socket's queue, but not
		// enough of them for another write.
		left := queuedBytes(c.Conn)
		if n == 0 && queued != queueUnknown && left >= queued {
			counters.callersStalled.Add(1)
			return written, err
		}
		queued = left
	}
}

// NetConn returns the wrapped connection.
func (c *progressConn) NetConn() net.Conn { return c.Conn }

// CloseWrite lets the HTTP server shut down its sending side before it closes the
// connection. Otherwise unread bytes of the caller's request would reset the connection
// before the caller has read the answer.
func (c *progressConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// queuedBytes returns how many written bytes the other end has not acknowledged, or 0 where
// the operating system doesn't tell.
func queuedBytes(c net.Conn) int {
	queued := 0
	_, _ = bfcaller.ControlSocket(c, func(fd int) {
		if v, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			queued = v
		}
	})
	return queued
}
