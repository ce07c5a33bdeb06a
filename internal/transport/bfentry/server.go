package bfentry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bfcaller"
	"briarferry/internal/transport/bflistener"
	"briarferry/internal/transport/bftls"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
)

// Server serves an entry over HTTP or HTTPS and shuts down gracefully. Its fields must be set
// before Run.
type Server struct {
	Listen netip.AddrPort
	Entry  *Entry
	// TLS holds the certificate; if nil, the server uses cleartext.
	TLS *bftls.Source
	Log zerolog.Logger
	// DrainFor is how long the server still takes new requests after the stop was
	// requested, so that callers with a cached look-up can move to other VMs.
	DrainFor time.Duration
	// ShutdownTimeout is the maximum wait for requests in flight after that.
	ShutdownTimeout time.Duration
}

// Run serves until ctx ends, then drains and shuts down.
func (s *Server) Run(ctx context.Context) error {
	stopping := make(chan struct{})
	s.Entry.Stopping = stopping
	s.Entry.drainStarted.Store(false)
	ln, err := bflistener.Listen(s.Listen)
	if err != nil {
		return fmt.Errorf("bfentry: listen: %w", err)
	}
	srv := &http.Server{
		Handler:           s.Entry.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    bfapi.MaxHeaderBytes,
		ConnContext:       bfcaller.WithConn,
	}
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		s.drain(srv, stopping)
	})
	defer stop()
	s.Log.Info().Stringer("address", s.Listen).Msg("entry is listening")
	if err := s.serve(srv, ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("bfentry: serve: %w", err)
	}
	<-done
	return nil
}

// serve uses HTTP/1.1 over TLS too, so that the end of a connection has the same meaning as in
// cleartext.
func (s *Server) serve(srv *http.Server, ln net.Listener) error {
	if s.TLS == nil {
		return srv.Serve(bfcaller.Listener{Listener: ln})
	}
	srv.Protocols = new(http.Protocols)
	srv.Protocols.SetHTTP1(true)
	srv.TLSConfig, srv.ErrorLog = s.TLS.Server(false, "http/1.1"), bftls.ErrorLog()
	return srv.ServeTLS(ln, "", "")
}

// drain marks the entry as draining and waits for DrainFor, so that callers can move to other VMs.
// It then refuses new requests and waits for those in flight.
func (s *Server) drain(srv *http.Server, stopping chan struct{}) {
	s.Log.Info().Msg("entry is draining")
	s.Entry.drainStarted.Store(true)
	time.Sleep(s.DrainFor)
	close(stopping)
	ctx, cancel := context.WithTimeout(context.Background(), s.ShutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		s.Log.Error().Err(err).Msg("requests still in flight after the shutdown timeout; closing their connections")
		_ = srv.Close()
	}
}
