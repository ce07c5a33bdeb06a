package bfupstream

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"briarferry"
)

// healthIdleTimeout is how long a connection for health checks stays open without one.
const healthIdleTimeout = 2 * time.Second

// CheckHealth sends a health check to the server and returns the answer, whatever its status.
// Answers to health checks have no id. A second copy of one can't be told from the answer to
// the next request, so these checks have a connection of their own.
func (c *Client) CheckHealth(ctx context.Context, b briarferry.Backend, path string) (*briarferry.Answer, error) {
	out, err := http.NewRequest(http.MethodGet, "http://"+b.Address.String()+path, nil)
	if err != nil {
		return nil, fmt.Errorf("bfupstream: build health check: %w", err)
	}
	p := c.acquirePool(b.Address)
	defer c.releasePool(p)
	conn, err := p.getHealth(ctx, c.connectionLimit(b))
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, conn.close)
	defer stop()
	results, err := conn.send(try{client: c, request: out, backend: b.ID()})
	if err != nil {
		conn.close()
		releaseLater(results)
		return nil, err
	}
	got := <-results
	if got.err != nil {
		conn.close()
		return nil, fmt.Errorf("bfupstream: health check: %w", got.err)
	}
	got.memory.release()
	if got.response.Close || !p.putHealth(conn) {
		conn.close()
	}
	return &briarferry.Answer{Status: got.response.StatusCode, Header: got.response.Header}, nil
}

// getHealth returns the idle connection for health checks, or opens a new one.
func (p *pool) getHealth(ctx context.Context, limit int) (*conn, error) {
	p.mu.Lock()
	c := p.health
	p.health = nil
	if c != nil {
		c.idleTimer.Stop()
	}
	p.mu.Unlock()
	if c != nil && c.usable() {
		return c, nil
	}
	return p.open(ctx, limit)
}

// putHealth keeps the connection for the next health check. It returns false if the connection
// must be closed instead.
func (p *pool) putHealth(c *conn) bool {
	if !c.usable() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.health != nil || c.stale || !slices.Contains(p.conns, c) {
		return false
	}
	p.health = c
	c.idleTimer = time.AfterFunc(min(healthIdleTimeout, c.maxIdle()), func() { p.expireHealth(c) })
	return true
}

// expireHealth closes the connection if it still waits for a health check.
func (p *pool) expireHealth(c *conn) {
	p.mu.Lock()
	idle := p.health == c
	if idle {
		p.health = nil
	}
	p.mu.Unlock()
	if idle {
		c.close()
	}
}
