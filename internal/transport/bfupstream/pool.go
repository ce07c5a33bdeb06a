package bfupstream

import (
	"bufio"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// pool holds the connections to one backend server.
type pool struct {
	client  *Client
	address netip.AddrPort
	// refs counts open connections and running calls. It is guarded by the client's mu.
	refs int

	mu    sync.Mutex
	conns []*conn
	idle  []*conn
	// health is the idle connection for health checks, or nil.
	health   *conn
	dialling int
	// sequence is the highest sequence number assigned to a connection.
	sequence uint64
}

// get returns the most recently used idle connection, or opens a new one.
func (p *pool) get(ctx context.Context, limit int) (*conn, error) {
	p.mu.Lock()
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		c.idleTimer.Stop()
		if c.usable() {
			p.mu.Unlock()
			return c, nil
		}
	}
	p.mu.Unlock()
	return p.open(ctx, limit)
}

// open opens a connection within the server's connection limit.
func (p *pool) open(ctx context.Context, limit int) (*conn, error) {
	p.mu.Lock()
	if len(p.conns)+p.dialling >= limit {
		p.mu.Unlock()
		return nil, ErrConnectionLimit
	}
	p.dialling++
	// The sequence is assigned before dialing, so that a connection established while the
	// server becomes unreachable counts as earlier than those opened afterwards.
	p.sequence++
	sequence := p.sequence
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.client.dial(ctx, p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialling--
	if err != nil {
		return nil, fmt.Errorf("bfupstream: connect: %w", err)
	}
	c := &conn{pool: p, raw: raw, sequence: sequence, answered: true, writing: make(chan struct{}, 1)}
	c.writer = bufio.NewWriter(c)
	p.conns = append(p.conns, c)
	p.client.acquirePool(p.address)
	go c.read()
	return c, nil
}

// put adds a connection to the idle ones. It returns false if the connection must be closed
// instead.
func (p *pool) put(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.stale || !slices.Contains(p.conns, c) {
		return false
	}
	p.idle = append(p.idle, c)
	c.idleTimer = time.AfterFunc(c.maxIdle(), func() { p.expire(c) })
	return true
}

// maxIdle returns how long the connection may stay idle: idleTimeout if the server announced
// no timeout, and otherwise well below the announced one, so that the server doesn't close
// the connection while a request is on its way.
func (c *conn) maxIdle() time.Duration {
	if c.keepAlive == 0 {
		return idleTimeout
	}
	return max(c.keepAlive/4, min(c.keepAlive-keepAliveMargin, c.keepAlive*3/4))
}

// expire closes a connection if it is still idle.
func (p *pool) expire(c *conn) {
	p.mu.Lock()
	i := slices.Index(p.idle, c)
	if i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	p.mu.Unlock()
	if i >= 0 {
		c.close()
	}
}

// remove deletes a closed connection from the pool.
func (p *pool) remove(c *conn) {
	p.mu.Lock()
	i := slices.Index(p.conns, c)
	if i >= 0 {
		p.conns = slices.Delete(p.conns, i, i+1)
	}
	if j := slices.Index(p.idle, c); j >= 0 {
		p.idle = slices.Delete(p.idle, j, j+1)
		c.idleTimer.Stop()
	}
	if p.health == c {
		p.health = nil
		c.idleTimer.Stop()
	}
	p.mu.Unlock()
	if i >= 0 {
		p.client.releasePool(p)
	}
}

// discardBefore closes the idle connections with a lower sequence. Those in use may still
// deliver an answer, but are not used again.
func (p *pool) discardBefore(sequence uint64) {
	p.mu.Lock()
	var idle []*conn
	for _, c := range p.conns {
		if c.sequence < sequence {
			c.stale = true
			if slices.Contains(p.idle, c) {
				idle = append(idle, c)
			}
		}
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.expire(c)
	}
}
