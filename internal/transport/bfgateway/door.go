package bfgateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
)

const (
	// acceptPause is the wait after a connection could not be accepted, such as where
	// descriptors have run out.
	acceptPause = 10 * time.Millisecond
	// The defaults apply until the route table sets limits.
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 30 * time.Second
	defaultMaxHeaderBytes = 64 << 10
)

type (
	// door accepts callers' connections. Each connection lives under the limits that
	// were in force when it was opened.
	door struct {
		handler http.Handler
		meter   *meter
		log     zerolog.Logger

		mu      sync.Mutex
		limits  briarferry.EdgeLimits
		current *feed
		servers []*http.Server
	}

	// feed is a listener that hands out the connections it is given.
	feed struct {
		address net.Addr
		conns   chan net.Conn
		closed  chan struct{}
		once    sync.Once
	}
)

// configure lets new connections live under other limits.
func (d *door) configure(address net.Addr, l briarferry.EdgeLimits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil && d.limits == l {
		return
	}
	d.limits = l
	d.current = &feed{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	s := &http.Server{
		Handler:           d.handler,
		ReadHeaderTimeout: orDefault(l.HeaderTimeout.Std(), defaultHeaderTimeout),
		IdleTimeout:       orDefault(l.IdleTimeout.Std(), defaultIdleTimeout),
		MaxHeaderBytes:    orDefault(l.MaxHeaderBytes, defaultMaxHeaderBytes),
		ErrorLog:          discardLog(),
	}
	d.servers = append(d.servers, s)
	go func(f *feed) { _ = s.Serve(f) }(d.current)
	d.log.Info().Int("max_header_bytes", s.MaxHeaderBytes).Dur("header_timeout_ms", s.ReadHeaderTimeout).Dur("idle_timeout_ms", s.IdleTimeout).Msg("limits for callers")
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// serve accepts connections until the listener is closed.
func (d *door) serve(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			counters.acceptErrors.Add(1)
			time.Sleep(acceptPause)
			continue
		}
		d.mu.Lock()
		f := d.current
		d.mu.Unlock()
		select {
		case f.conns <- d.meter.wrap(c):
		case <-f.closed:
			_ = c.Close()
		}
	}
}

// shutdown closes idle connections and waits for requests until the context ends.
func (d *door) shutdown(ctx context.Context) {
	d.mu.Lock()
	servers := d.servers
	d.mu.Unlock()
	var group sync.WaitGroup
	for _, s := range servers {
		group.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				d.log.Warn().Err(err).Msg("connections cut at the end of the stop")
				_ = s.Close()
			}
		})
	}
	group.Wait()
}

// Accept returns the next connection.
func (f *feed) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the feed.
func (f *feed) Close() error {
	f.once.Do(func() { close(f.closed) })
	return nil
}

// Addr returns the address of the real listener.
func (f *feed) Addr() net.Addr { return f.address }
