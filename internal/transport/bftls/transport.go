package bftls

import (
	"context"
	"crypto/tls"
	"expvar"
	"fmt"
	"log"
	"net"
	"net/http"
	"time"
)

// handshakeTimeout is above two round trips of 110 ms with losses.
const handshakeTimeout = time.Second

var serverErrors = expvar.NewInt("bftls_server_errors")

// countLines counts what net/http would log for each failed handshake: peers without
// a certificate could fill the log.
type countLines struct{}

// Write counts one line.
func (countLines) Write(p []byte) (int, error) {
	serverErrors.Add(1)
	return len(p), nil
}

// ErrorLog returns a log for a server that only counts.
func ErrorLog() *log.Logger { return log.New(countLines{}, "", 0) }

// Dial wraps a transport's dialing in TLS: each connection uses the files that are in
// use at that time. name returns the name that the server at an address must have.
func (s *Source) Dial(dial func(ctx context.Context, network, address string) (net.Conn, error), name func(address string) string,
	protocols ...string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		conn := tls.Client(raw, s.Client(name(address), protocols...))
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, fmt.Errorf("bftls: connect to %s: %w", address, err)
		}
		return conn, nil
	}
}

// HostOf is the name to expect where a server is known by its address alone.
func HostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// HTTPClient returns a client for HTTPS whose servers must have the host of the URL.
func (s *Source) HTTPClient(t *http.Transport) *http.Client {
	dialer := net.Dialer{Timeout: handshakeTimeout}
	t.DialTLSContext = s.Dial(dialer.DialContext, HostOf, "http/1.1")
	return &http.Client{Transport: t}
}
