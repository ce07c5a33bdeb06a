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
	"briarferry/internal/transport/bftls"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
)

// Server serves an entry over HTTP and stops without cutting requests in flight.
// Its fields are set before Run.
type Server struct {
	Listen netip.AddrPort
	Entry  *Entry
	// TLS has the certificate; nil stands for cleartext.
	TLS *bftls.Source
	Log zerolog.Logger
	// DrainFor is how long the server still answers after a stop was asked for, so
	// that callers with a cached look-up have gone elsewhere.
	DrainFor time.Duration
	// ShutdownTimeout bounds the wait for requests in flight.
	ShutdownTimeout time.Duration
}

// Run serves until ctx ends, then drains.
func (s *Server) Run(ctx context.Context) error {
	draining := make(chan struct{})
	s.Entry.Stopping = draining
	s.Entry.leaving.Store(false)
	ln, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return fmt.Errorf("bfentry: listen: %w", err)
	}
	srv := &http.Server{
		Handler:           s.Entry.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    bfapi.MaxHeaderBytes,
	}
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		s.drain(srv, draining)
	})
	defer stop()
	s.Log.Info().Stringer("address", s.Listen).Msg("entry listens")
	if err := s.serve(srv, ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("bfentry: serve: %w", err)
	}
	<-done
	return nil
}

// serve keeps to HTTP/1.1 over TLS too, so that the end of a connection means the same.
func (s *Server) serve(srv *http.Server, ln net.Listener) error {
	if s.TLS == nil {
		return srv.Serve(ln)
	}
	srv.Protocols = new(http.Protocols)
	srv.Protocols.SetHTTP1(true)
	srv.TLSConfig, srv.ErrorLog = s.TLS.Server(false, "http/1.1"), bftls.ErrorLog()
	return srv.ServeTLS(ln, "", "")
}

func (s *Server) drain(srv *http.Server, draining chan struct{}) {
	s.Log.Info().Msg("entry drains")
	s.Entry.leaving.Store(true)
	time.Sleep(s.DrainFor)
	close(draining)
	ctx, cancel := context.WithTimeout(context.Background(), s.ShutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		s.Log.Error().Err(err).Msg("requests were still in flight at the end of the drain")
		_ = srv.Close()
	}
}
