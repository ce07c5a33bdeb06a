package bfcontrol

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// callerConnKey is the context key of the connection on which a call arrived.
type callerConnKey struct{}

// withCallerConn is the ConnContext of servers for operators and backend servers.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerGone reports whether the caller has given up the call: its context was cancelled, or
// the other end has closed the connection. It asks the socket, as net/http ends the context only
// some time after the end of the connection has arrived, and a process that was frozen finds
// a request and the end of its connection at the same moment.
func callerGone(ctx context.Context) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return true
	}
	c, ok := ctx.Value(callerConnKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) { gone = isClosedByPeer(int(fd)) })
	return gone || err != nil
}

// isClosedByPeer reports whether the socket has nothing left to read but the end of the
// connection, or an error.
func isClosedByPeer(fd int) bool {
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
