package bfrpc

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"briarferry/internal/transport/bftls"
)

const (
	// headerSystem names the caller's system: addresses of two systems may overlap.
	headerSystem = "Briarferry-System"

	protocolHTTP1 = "http/1.1"
	protocolHTTP2 = "h2"
)

type (
	// Security protects the calls between the system's processes. A nil one, or one
	// without TLS, stands for cleartext.
	Security struct {
		// System is the name that callers and servers must share.
		System string
		// TLS holds the own certificate and the CAs that sign those of other VMs.
		TLS *bftls.Source
		// NameOf returns the name of the VM with an RPC address, or "" where it isn't
		// known; nil knows none.
		NameOf func(address netip.AddrPort) string
	}

	// systemTransport adds the system's name to each call.
	systemTransport struct {
		*http.Transport
		system string
	}
)

// RoundTrip sends one call.
func (t systemTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	named := *r
	named.Header = r.Header.Clone()
	named.Header.Set(headerSystem, t.system)
	return t.Transport.RoundTrip(&named)
}

// NewClient returns a client for calls to other VMs over the transport.
func (s *Security) NewClient(t *http.Transport, timeout time.Duration) *http.Client {
	if s == nil {
		return &http.Client{Transport: t, Timeout: timeout}
	}
	if s.TLS != nil {
		dial := t.DialContext
		if dial == nil {
			dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
		}
		protocol := protocolHTTP1
		if t.Protocols != nil && t.Protocols.UnencryptedHTTP2() {
			protocol = protocolHTTP2
			t.Protocols.SetHTTP2(true)
		}
		t.DialTLSContext = s.TLS.Dial(dial, s.nameOf, protocol)
	}
	return &http.Client{Transport: systemTransport{t, s.System}, Timeout: timeout}
}

func (s *Security) nameOf(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil || s.NameOf == nil {
		return ""
	}
	return s.NameOf(a)
}

// base returns the base URL for calls to an address.
func (s *Security) base(address netip.AddrPort) string {
	if s == nil || s.TLS == nil {
		return "http://" + address.String()
	}
	return "https://" + address.String()
}

// NewServer returns a server that takes calls of the own system alone.
func (s *Security) NewServer(handler http.Handler) *http.Server {
	srv := NewServer(handler)
	if s == nil {
		return srv
	}
	srv.Handler = s.checkSystem(handler)
	if s.TLS != nil {
		protocols := new(http.Protocols)
		protocols.SetHTTP1(true)
		protocols.SetHTTP2(true)
		srv.Protocols = protocols
		srv.TLSConfig = s.TLS.Server(true, protocolHTTP2, protocolHTTP1)
		srv.ErrorLog = bftls.ErrorLog()
	}
	return srv
}

// Serve takes calls until the server is closed.
func (s *Security) Serve(srv *http.Server, ln net.Listener) error {
	if s == nil || s.TLS == nil {
		return srv.Serve(ln)
	}
	return srv.ServeTLS(ln, "", "")
}

func (s *Security) checkSystem(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerSystem) != s.System {
			http.Error(w, "the call is meant for another system", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}
