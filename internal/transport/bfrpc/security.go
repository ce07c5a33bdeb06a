package bfrpc

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"briarferry/internal/transport/bftls"
)

const (
	// headerSystem carries the name of the caller's system. Servers reject the calls of
	// other systems, as the addresses of two systems may overlap and a call may reach the
	// wrong one.
	headerSystem = "Briarferry-System"

	protocolHTTP1 = "http/1.1"
	protocolHTTP2 = "h2"
)

type (
	// Security secures the calls between the system's processes. A nil Security, or one
	// without TLS, means cleartext.
	Security struct {
		// System is the name of the system; clients and servers must have the same one.
		System string
		// TLS holds the certificate of this VM and the CAs of the other VMs' certificates.
		TLS *bftls.Source
		// NameOf returns the name of the VM with an RPC address, or "" if it is unknown.
		// In that case, or if NameOf is nil, the VM's certificate may have any name.
		NameOf func(address netip.AddrPort) string
	}

	// systemTransport adds the name of the system to each request.
	systemTransport struct {
		*http.Transport
		system string
	}
)

// RoundTrip sends a request with the name of the system.
func (t systemTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	request := *r
	request.Header = r.Header.Clone()
	request.Header.Set(headerSystem, t.system)
	return t.Transport.RoundTrip(&request)
}

// NewClient returns an HTTP client for calls to other VMs.
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

// baseURL returns the base URL of calls to an address.
func (s *Security) baseURL(address netip.AddrPort) string {
	if s == nil || s.TLS == nil {
		return "http://" + address.String()
	}
	return "https://" + address.String()
}

// NewServer returns a server that accepts only calls of the same system.
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

// Serve accepts connections until the server is closed.
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
