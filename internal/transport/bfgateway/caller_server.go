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
	"briarferry/internal/transport/bfcaller"
	"briarferry/internal/transport/bflistener"
)

const (
	// acceptRetryDelay is the delay after a failed accept, such as when the process is
	// out of file descriptors.
	acceptRetryDelay = 10 * time.Millisecond
	// The defaults apply until the route table sets limits.
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 30 * time.Second
	defaultMaxHeaderBytes = 64 << 10
	// readHeaderBytes is how much of a header a connection reads at least, whatever the limit
	// is when it opens. The limit in force is applied to each request, so that a raised one
	// holds on open connections too.
	readHeaderBytes = 128 << 10
	// headerLineOverhead is the number of bytes of a header line besides name and value.
	headerLineOverhead = len(": \r\n")
)

type (
	// callerServer accepts callers' connections. Each connection keeps the limits that
	// were in force when it was opened: every change of limits adds an http.Server.
	callerServer struct {
		handler http.Handler
		meter   *linkMeter
		log     zerolog.Logger

		mu       sync.Mutex
		limits   briarferry.EntryLimits
		listener *chanListener
		servers  []*http.Server
	}

	// chanListener is a net.Listener that returns the connections sent to its channel.
	chanListener struct {
		address net.Addr
		conns   chan net.Conn
		closed  chan struct{}
		once    sync.Once
	}
)

// configure applies the limits to connections that are opened from now on. It does nothing
// if they are already in force.
func (cs *callerServer) configure(address net.Addr, l briarferry.EntryLimits) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.listener != nil && cs.limits == l {
		return
	}
	cs.limits = l
	cs.listener = &chanListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	s := &http.Server{
		Handler:           cs.handler,
		ReadHeaderTimeout: orDefault(l.HeaderTimeout.Std(), defaultHeaderTimeout),
		IdleTimeout:       orDefault(l.IdleTimeout.Std(), defaultIdleTimeout),
		MaxHeaderBytes:    max(readHeaderBytes, l.MaxHeaderBytes),
		ErrorLog:          discardLog(),
		ConnContext:       bfcaller.WithConn,
	}
	cs.servers = append(cs.servers, s)
	go func(ln *chanListener) { _ = s.Serve(ln) }(cs.listener)
	cs.log.Info().Int("max_header_bytes", orDefault(l.MaxHeaderBytes, defaultMaxHeaderBytes)).Dur("header_timeout_ms", s.ReadHeaderTimeout).Dur("idle_timeout_ms", s.IdleTimeout).Msg("limits set for new caller connections")
}

// headerBytes returns the size of a request's line and headers, without the Host header.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerLineOverhead
		}
	}
	return n
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// serve accepts connections until the listener is closed.
func (cs *callerServer) serve(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			counters.acceptErrors.Add(1)
			time.Sleep(acceptRetryDelay)
			continue
		}
		cs.mu.Lock()
		current := cs.listener
		cs.mu.Unlock()
		select {
		case current.conns <- bfcaller.Wrap(&progressConn{Conn: cs.meter.wrap(c), stall: answerStall}):
		case <-current.closed:
			_ = c.Close()
		}
	}
}

// stopAccepting closes the listener and waits until all connections of its backlog have been
// handed to the servers.
func (cs *callerServer) stopAccepting(ln *bflistener.Listener) {
	_ = ln.Close()
	<-ln.Closed()
}

// shutdown closes idle connections and waits for requests until the context ends.
func (cs *callerServer) shutdown(ctx context.Context) {
	cs.mu.Lock()
	servers := cs.servers
	cs.mu.Unlock()
	var group sync.WaitGroup
	for _, s := range servers {
		group.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				cs.log.Warn().Err(err).Msg("connections still open shortly before the end of the grace period; closing them")
				_ = s.Close()
			}
		})
	}
	group.Wait()
}

// Accept returns the next connection.
func (l *chanListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (l *chanListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address of the listener that accepted the connections.
func (l *chanListener) Addr() net.Addr { return l.address }
