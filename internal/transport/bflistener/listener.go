// Package bflistener implements a TCP listener that can be closed without losing connections.
package bflistener

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// backlogTime is how long Accept waits for another connection after Close, and
	// maxBacklogTime how long it accepts connections at most.
	backlogTime    = 50 * time.Millisecond
	maxBacklogTime = time.Second
)

// Listener is a TCP listener. Closing a socket resets the connections in its backlog, on
// which callers may already have sent a request. So Accept still returns connections for a
// short time after Close, which empties the backlog.
type Listener struct {
	*net.TCPListener

	closing atomic.Bool
	// endsAt is when Accept stops at the latest; it is set before closing.
	endsAt time.Time
	closed chan struct{}
	once   sync.Once
	// closeOnce guards closed.
	closeOnce sync.Once
}

// Listen listens on the address.
func Listen(address netip.AddrPort) (*Listener, error) {
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("bflistener: %w", err)
	}
	return &Listener{TCPListener: ln, closed: make(chan struct{})}, nil
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil || !l.closing.Load() {
		return c, err
	}
	// The deadline may have passed while the process had no processor time, before the
	// backlog was empty. A call with a new deadline looks at the backlog first.
	if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(l.endsAt) {
		_ = l.SetDeadline(time.Now().Add(backlogTime))
		if c, err = l.TCPListener.Accept(); err == nil {
			return c, nil
		}
	}
	l.closeSocket()
	return nil, net.ErrClosed
}

// Close lets Accept return the connections of the backlog and then net.ErrClosed. It doesn't
// wait for that.
func (l *Listener) Close() error {
	if l.closing.Load() {
		return nil
	}
	l.once.Do(func() {
		l.endsAt = time.Now().Add(maxBacklogTime)
		l.closing.Store(true)
		// Closes the socket if Accept isn't called any more.
		time.AfterFunc(2*maxBacklogTime, l.closeSocket)
		_ = l.SetDeadline(time.Now().Add(backlogTime))
	})
	return nil
}

// Closed returns a channel that is closed when the socket is. All connections that were
// accepted have been returned then.
func (l *Listener) Closed() <-chan struct{} { return l.closed }

func (l *Listener) closeSocket() {
	l.closeOnce.Do(func() {
		_ = l.TCPListener.Close()
		close(l.closed)
	})
}
