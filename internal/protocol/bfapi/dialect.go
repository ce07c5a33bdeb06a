package bfapi

import (
	"net/http"
	"time"

	"briarferry"
)

// Dialect describes the HTTP headers and conventions that a deployment uses between
// callers, entries and backend servers.
type Dialect struct {
	// RequestIDHeader carries the ID of a request and is repeated in its answer.
	RequestIDHeader string
	// RemainingTimeHeader carries the time left until the request's deadline, as
	// FormatRemainingTime writes it and ParseRemainingTime reads it.
	RemainingTimeHeader string
	FormatRemainingTime func(d time.Duration) string
	ParseRemainingTime  func(text string) (time.Duration, bool)
	// AffinityCookie is the name of the cookie that carries the session affinity key.
	AffinityCookie string
	// KeyHeader carries the caller's organisation key, and OrganisationHeader the name of
	// the organisation, which the entry sets for servers. If they are empty, requests have
	// no organisation.
	KeyHeader          string
	OrganisationHeader string
	// ExpectedInstanceHeader carries the ID of the only instance that may run the
	// request. Any other instance answers 421 without running it.
	ExpectedInstanceHeader string
	// NotRunHeader marks the answer of a server that did not run the request.
	NotRunHeader string
	// ServerSignatureHeader is present on every answer of a server that ran the
	// request. If it is empty, no signature is required.
	ServerSignatureHeader string
	// LoadHeader carries a server's load report, as ParseLoad reads it.
	LoadHeader string
	ParseLoad  func(text string) (briarferry.ServerLoad, bool)
	// ColdTimeHeader carries, in the answer to a health check, how long the server stays
	// cold, as ParseColdTime reads it, and InstanceHeader the ID of the instance that
	// answers. If ColdTimeHeader is empty, servers don't say whether they are cold.
	ColdTimeHeader string
	ParseColdTime  func(text string) (time.Duration, bool)
	InstanceHeader string
	// ParseNotice reads what a server says about further requests in an answer with this
	// status and these headers. Nil means that servers say nothing. An error reports an
	// invalid part, which is left out of the notice.
	ParseNotice func(status int, h http.Header, now time.Time) (briarferry.ServerNotice, error)
	// AllowCloseDelimited accepts answers without a length whose body ends when the
	// connection closes.
	AllowCloseDelimited bool
	// DiscardMismatched discards answers that carry the ID of another request and reads
	// the next answer on the connection.
	DiscardMismatched bool
}

// DefaultDialect is the dialect of the interface that this package defines.
var DefaultDialect = Dialect{
	RequestIDHeader: HeaderRequestID, RemainingTimeHeader: HeaderRequestTimeout, FormatRemainingTime: FormatTimeout, NotRunHeader: HeaderShed,
}

// IsNotRun reports whether an answer with this status and these headers says that the
// server did not run the request.
func (d *Dialect) IsNotRun(status int, h http.Header) bool {
	if d.ExpectedInstanceHeader != "" && status == http.StatusMisdirectedRequest {
		return true
	}
	if d.NotRunHeader == "" || h.Get(d.NotRunHeader) == "" {
		return false
	}
	return status == http.StatusServiceUnavailable || d.ServerSignatureHeader != ""
}
