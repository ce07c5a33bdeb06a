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
	// users counts open connections and tries; it belongs to the client's lock.
	users int

	mu       sync.Mutex
	conns    []*conn
	idle     []*conn
	dialling int
	sequence uint64
}

// take returns an idle connection, the last used first, or opens one.
func (p *pool) take(ctx context.Context, limit int) (*conn, error) {
	p.mu.Lock()
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		c.idle.Stop()
		if c.usable() {
			p.mu.Unlock()
			return c, nil
		}
	}
	p.mu.Unlock()
	return p.open(ctx, limit)
}

// open connects within the server's connection limit.
func (p *pool) open(ctx context.Context, limit int) (*conn, error) {
	p.mu.Lock()
	if len(p.conns)+p.dialling >= limit {
		p.mu.Unlock()
		return nil, ErrConnectionLimit
	}
	p.dialling++
	// The order counts from before the connection is made: one that is made while
	// the server falls silent counts as opened earlier.
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
	c := &conn{pool: p, raw: raw, sequence: sequence}
	c.writer = bufio.NewWriter(c)
	p.conns = append(p.conns, c)
	p.client.pool(p.address)
	go c.read()
	return c, nil
}

// put makes a connection idle; it is false where the connection must be closed.
func (p *pool) put(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.stale || !slices.Contains(p.conns, c) {
		return false
	}
	p.idle = append(p.idle, c)
	c.idle = time.AfterFunc(c.idleFor(), func() { p.expire(c) })
	return true
}

// idleFor returns how long the connection may stay idle: well below what the server
// allows, so that a request doesn't meet its close.
func (c *conn) idleFor() time.Duration {
	if c.keepFor == 0 {
		return idleTimeout
	}
	return max(c.keepFor/4, min(c.keepFor-keepMargin, c.keepFor*3/4))
}

// expire closes a connection that is still idle.
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

// remove forgets a closed connection.
func (p *pool) remove(c *conn) {
	p.mu.Lock()
	i := slices.Index(p.conns, c)
	if i >= 0 {
		p.conns = slices.Delete(p.conns, i, i+1)
	}
	if j := slices.Index(p.idle, c); j >= 0 {
		p.idle = slices.Delete(p.idle, j, j+1)
		c.idle.Stop()
	}
	p.mu.Unlock()
	if i >= 0 {
		p.client.release(p)
	}
}

// discardBefore closes the idle connections that were opened before the given one.
// Those in use may still answer; they are not used again.
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
