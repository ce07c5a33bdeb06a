package bftls

import (
	"net/http"
	"net/netip"
)

// Caller sends requests to the HTTP addresses of entries, over HTTPS if it was created with
// a Source. The zero value uses cleartext.
type Caller struct {
	client *http.Client
	scheme string
}

// NewCaller returns a caller that uses the transport; a nil source means cleartext.
func NewCaller(s *Source, t *http.Transport) Caller {
	if s == nil {
		return Caller{client: &http.Client{Transport: t}, scheme: "http"}
	}
	return Caller{client: s.HTTPClient(t), scheme: "https"}
}

// Do sends a request.
func (c Caller) Do(r *http.Request) (*http.Response, error) {
	if c.client == nil {
		return http.DefaultClient.Do(r)
	}
	return c.client.Do(r)
}

// URL returns the URL of a path at an entry.
func (c Caller) URL(entry netip.AddrPort, path string) string {
	if c.scheme == "" {
		return "http://" + entry.String() + path
	}
	return c.scheme + "://" + entry.String() + path
}
