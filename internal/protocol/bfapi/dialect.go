package bfapi

import (
	"net/http"
	"time"
)

// Dialect names what passes between an entry, its callers and the backend servers where
// a deployment has conventions of its own.
type Dialect struct {
	// RequestIDHeader carries the id of a request, and is echoed with its answer.
	RequestIDHeader string
	// RemainingTimeHeader carries the time left, as FormatRemaining writes it and ParseRemaining
	// reads it.
	RemainingTimeHeader string
	FormatRemainingTime func(d time.Duration) string
	ParseRemainingTime  func(text string) (time.Duration, bool)
	// AffinityCookie names the object that a request concerns.
	AffinityCookie string
	// ExpectedInstanceHeader names the instance that alone may run the request; an answer 421 says
	// that another one got it.
	ExpectedInstanceHeader string
	// NotRunHeader marks answers of servers that did not run the request.
	NotRunHeader string
	// ServerSignatureHeader is on every answer of a server that ran the request; empty asks for none.
	ServerSignatureHeader string
	// LoadHeader carries a server's running requests, waiting requests and slots, as
	// ParseLoad reads them.
	LoadHeader string
	ParseLoad  func(text string) (running, waiting, slots int, ok bool)
	// AllowCloseDelimited accepts answers without a length that end with their connection.
	AllowCloseDelimited bool
	// DiscardMismatched passes over answers that carry the id of another request.
	DiscardMismatched bool
}

// DefaultDialect is that of the project's own interface.
var DefaultDialect = Dialect{
	RequestIDHeader: HeaderRequestID, RemainingTimeHeader: HeaderRequestTimeout, FormatRemainingTime: FormatTimeout, NotRunHeader: HeaderShed,
}

// IsNotRun tells whether the answer says that its server did not run the request.
func (d *Dialect) IsNotRun(status int, h http.Header) bool {
	if d.ExpectedInstanceHeader != "" && status == http.StatusMisdirectedRequest {
		return true
	}
	if d.NotRunHeader == "" || h.Get(d.NotRunHeader) == "" {
		return false
	}
	return status == http.StatusServiceUnavailable || d.ServerSignatureHeader != ""
}
