// Package bflistener implements a TCP listener that can be closed without losing connections.
package bflistener

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"
)

// backlogTime is how long connections are still accepted after Close.
const backlogTime = 50 * time.Millisecond

// Listener is a TCP listener. Closing a socket resets the connections in its backlog, on
// which callers may already have sent a request. So Accept still returns connections for a
// short time after Close, which frees the backlog.
type Listener struct {
	*net.TCPListener

	closing atomic.Bool
}

// Listen listens on the address.
func Listen(address netip.AddrPort) (*Listener, error) {
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("bflistener: %w", err)
	}
	return &Listener{TCPListener: ln}, nil
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil && l.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		_ = l.TCPListener.Close()
		return nil, net.ErrClosed
	}
	return c, err
}

// Close lets Accept return the connections of the backlog and then net.ErrClosed. It doesn't
// wait for that.
func (l *Listener) Close() error {
	if l.closing.Swap(true) {
		return nil
	}
	// Closes the socket if Accept isn't called any more.
	time.AfterFunc(2*backlogTime, func() { _ = l.TCPListener.Close() })
	return l.SetDeadline(time.Now().Add(backlogTime))
}
