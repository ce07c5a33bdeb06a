package bfgateway

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// packetOverhead covers the headers of packets and the traffic between VMs, which
	// the meter doesn't see.
	packetOverhead = 1.1
	// meterShare is the weight of the latest interval in the link's utilization.
	meterShare = 0.5
)

type (
	// meter measures how much of this VM's link callers' and backend servers' connections
	// use. The link carries its bandwidth in each direction.
	meter struct {
		// bandwidth is in bytes per second; zero stands for a link without a known limit.
		bandwidth float64
		in, out   atomic.Int64

		mu          sync.Mutex
		at          time.Time
		lastIn      int64
		lastOut     int64
		utilization float64
	}

	meteredConn struct {
		net.Conn
		meter *meter
	}
)

// wrap counts the bytes of a connection.
func (m *meter) wrap(c net.Conn) net.Conn { return &meteredConn{Conn: c, meter: m} }

// Read counts what was received.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.in.Add(int64(n))
	return n, err
}

// Write counts what was sent.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.out.Add(int64(n))
	return n, err
}

// CloseWrite lets the HTTP server end its side first, so that unread bytes of a caller
// don't reset the connection before the caller has read the answer.
func (c *meteredConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// sample returns the share of the link's bandwidth in use, averaged over the last calls.
func (m *meter) sample(now time.Time) float64 {
	in, out := m.in.Load(), m.out.Load()
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := now.Sub(m.at).Seconds()
	if m.bandwidth <= 0 || elapsed <= 0 {
		return m.utilization
	}
	if !m.at.IsZero() {
		rate := float64(max(in-m.lastIn, out-m.lastOut)) / elapsed
		m.utilization += meterShare * (packetOverhead*rate/m.bandwidth - m.utilization)
	}
	m.at, m.lastIn, m.lastOut = now, in, out
	return m.utilization
}

// last returns the utilization of the last sample.
func (m *meter) last() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.utilization
}
