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

// handshakeTimeout is above two round trips of 110 ms with packet loss.
const handshakeTimeout = time.Second

var serverErrors = expvar.NewInt("bftls_server_errors")

// lineCounter counts the lines that net/http logs for failed handshakes and drops them, as
// peers without a certificate could fill the log.
type lineCounter struct{}

// Write counts one line.
func (lineCounter) Write(p []byte) (int, error) {
	serverErrors.Add(1)
	return len(p), nil
}

// ErrorLog returns a log for a server that counts the lines instead of writing them.
func ErrorLog() *log.Logger { return log.New(lineCounter{}, "", 0) }

// Dial returns a function that opens a connection with dial and performs the TLS handshake
// with the certificates in use at that time. The server's certificate must have the name
// that the function name returns for the address.
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

// HostOf returns the host of an address, which is the name to expect if a server is known
// only by its address.
func HostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// HTTPClient returns a client for HTTPS. A server's certificate must be valid for the host
// of the URL.
func (s *Source) HTTPClient(t *http.Transport) *http.Client {
	dialer := net.Dialer{Timeout: handshakeTimeout}
	t.DialTLSContext = s.Dial(dialer.DialContext, HostOf, "http/1.1")
	return &http.Client{Transport: t}
}
