// Package bfcaller tells whether the caller of an HTTP request still waits for its answer.
package bfcaller

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// ErrLeft is the cause of the end of a context whose caller has left.
var ErrLeft = errors.New("bfcaller: caller has left")

// connKey is the context key of the connection on which a request arrived.
type connKey struct{}

// WithConn is the ConnContext of HTTP servers whose handlers use this package.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// FromContext returns the connection on which a request arrived, or nil if the server does
// not use WithConn with connections of this package.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Follow returns a context that ends when the caller of the request leaves. HasLeft asks the
// caller's socket, and ends the context too. The whole request must have been read, and stop
// must be called when it has been handled.
func Follow(ctx context.Context) (following context.Context, hasLeft func() bool, stop func()) {
	following, cancel := context.WithCancelCause(ctx)
	stopWatching := watch(ctx, func() { cancel(ErrLeft) })
	hasLeft = func() bool {
		if !HasLeft(following) {
			return false
		}
		cancel(ErrLeft)
		return true
	}
	return following, hasLeft, func() { stopWatching(); cancel(nil) }
}

// HasLeft reports whether the caller has given up the request: its context was cancelled, or
// the other end has closed the connection. It asks the socket, as net/http ends the context only
// some time after the end of the connection has arrived, and a process that was frozen finds
// a request and the end of its connection at the same moment.
func HasLeft(ctx context.Context) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return true
	}
	c, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && isClosedByPeer(c)
}

// isClosedByPeer reports whether the connection has nothing left to read but its end, or an
// error. Connections without a socket count as open.
func isClosedByPeer(c net.Conn) bool {
	closed := false
	hidden, err := ControlSocket(c, func(fd int) { closed = isEnd(fd) })
	return !hidden && (closed || err != nil)
}

// isEnd reports whether the next read of the socket returns the end of the connection or its
// error.
func isEnd(fd int) bool {
	var buf [1]byte
	count, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch err {
	case nil:
		return count == 0
	case syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.ENOTCONN:
		return true
	}
	return false
}
