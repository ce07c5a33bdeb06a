package bfupstream

import (
	"errors"
	"net"
	"sync"
	"time"

	"briarferry"
)

// withdrawInterval is the interval at which a request is checked that the server has not
// acknowledged. It covers a round trip between the most distant regions.
const withdrawInterval = 250 * time.Millisecond

// withdrawal closes the connection of a request that may not be sent any more while the server has
// not acknowledged all of it. Otherwise the operating system would go on sending it, for example
// after a partition.
type withdrawal struct {
	conn    *conn
	maySend func() bool

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// withdrawn is true if the connection was closed.
	withdrawn bool
}

// watch starts the checks of a request on the connection. It returns nil if the request always may
// be sent.
func watch(c *conn, r *briarferry.Request) *withdrawal {
	if r.MaySend == nil {
		return nil
	}
	w := &withdrawal{conn: c, maySend: r.MaySend}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(withdrawInterval, w.check)
	return w
}

func (w *withdrawal) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if tcp := tcpConn(w.conn.raw); tcp != nil && !w.maySend() && !isAcknowledged(tcp) {
		w.withdrawn = true
		w.conn.close()
		return
	}
	w.timer.Reset(withdrawInterval)
}

// stop ends the checks. The connection may carry another request afterwards.
func (w *withdrawal) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// failure returns the error of a try, which isn't the server's fault if the request was withdrawn.
func (w *withdrawal) failure(err error) error {
	var failure *briarferry.TryError
	if w != nil && w.withdrawn && errors.As(err, &failure) && failure.ConnectionLost {
		failure.ConnectionLost, failure.Err = false, ErrWithdrawn
	}
	return err
}

// tcpConn returns the TCP connection below any wrappers, or nil.
func tcpConn(c net.Conn) *net.TCPConn {
	if wrapper, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapper.NetConn()
	}
	tcp, _ := c.(*net.TCPConn)
	return tcp
}
