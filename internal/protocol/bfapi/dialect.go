package bfapi

import (
	"net/http"
	"time"
)

// Dialect names what passes between an entry, its callers and the backend servers where
// a deployment has conventions of its own.
type Dialect struct {
	// RequestID carries the id of a request, and is echoed with its answer.
	RequestID string
	// Remaining carries the time left, as FormatRemaining writes it and ParseRemaining
	// reads it.
	Remaining       string
	FormatRemaining func(d time.Duration) string
	ParseRemaining  func(text string) (time.Duration, bool)
	// AffinityCookie names the object that a request concerns.
	AffinityCookie string
	// Expected names the instance that alone may run the request; an answer 421 says
	// that another one got it.
	Expected string
	// NotRun marks answers of servers that did not run the request.
	NotRun string
	// Receipt is on every answer of a server that ran the request; empty asks for none.
	Receipt string
	// Load carries a server's running requests, waiting requests and slots, as
	// ParseLoad reads them.
	Load      string
	ParseLoad func(text string) (running, waiting, slots int, ok bool)
	// OpenEnded accepts answers without a length that end with their connection.
	OpenEnded bool
	// SkipStrays passes over answers that carry the id of another request.
	SkipStrays bool
}

// OwnDialect is that of the project's own interface.
var OwnDialect = Dialect{
	RequestID: HeaderRequestID, Remaining: HeaderRequestTimeout, FormatRemaining: FormatTimeout, NotRun: HeaderShed,
}

// IsNotRun tells whether the answer says that its server did not run the request.
func (d *Dialect) IsNotRun(status int, h http.Header) bool {
	if d.Expected != "" && status == http.StatusMisdirectedRequest {
		return true
	}
	if d.NotRun == "" || h.Get(d.NotRun) == "" {
		return false
	}
	return status == http.StatusServiceUnavailable || d.Receipt != ""
}
