package bfgateway

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// overheadFactor accounts for packet headers and the traffic between VMs, which are
	// not counted.
	overheadFactor = 1.1
	// sampleWeight is the weight of the latest sample in the moving average of the
	// utilization.
	sampleWeight = 0.5
)

type (
	// linkMeter measures the share of this VM's link bandwidth that connections to callers
	// and backend servers use. The link is full duplex, so the busier direction counts.
	linkMeter struct {
		// bandwidth is that of each direction in bytes per second; zero means unknown.
		bandwidth float64
		in, out   atomic.Int64

		mu          sync.Mutex
		sampledAt   time.Time
		lastIn      int64
		lastOut     int64
		utilization float64
	}

	meteredConn struct {
		net.Conn
		meter *linkMeter
	}
)

// wrap returns a connection whose bytes are counted.
func (m *linkMeter) wrap(c net.Conn) net.Conn { return &meteredConn{Conn: c, meter: m} }

// Read counts the received bytes.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.in.Add(int64(n))
	return n, err
}

// Write counts the sent bytes.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.out.Add(int64(n))
	return n, err
}

// NetConn returns the connection whose bytes are counted.
func (c *meteredConn) NetConn() net.Conn { return c.Conn }

// CloseWrite lets the HTTP server shut down its sending side before it closes the
// connection. Otherwise unread bytes of the caller's request would reset the connection
// before the caller has read the answer.
func (c *meteredConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// sample updates and returns the moving average of the link's utilization.
func (m *linkMeter) sample(now time.Time) float64 {
	in, out := m.in.Load(), m.out.Load()
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := now.Sub(m.sampledAt).Seconds()
	if m.bandwidth <= 0 || elapsed <= 0 {
		return m.utilization
	}
	if !m.sampledAt.IsZero() {
		rate := float64(max(in-m.lastIn, out-m.lastOut)) / elapsed
		m.utilization += sampleWeight * (overheadFactor*rate/m.bandwidth - m.utilization)
	}
	m.sampledAt, m.lastIn, m.lastOut = now, in, out
	return m.utilization
}

// last returns the utilization as of the last sample.
func (m *linkMeter) last() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.utilization
}
