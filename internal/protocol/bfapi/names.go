// Package bfapi defines the HTTP interface that callers, backend servers and operators
// use: its paths, headers, parameters and documents. They are kept in one package, so
// that a change of the interface needs no change of the code that makes decisions.
package bfapi

import "time"

// Paths of the HTTP interface.
const (
	PathLookup        = "/v1/lookup"
	PathRequests      = "/s/"
	PathAnnouncements = "/v1/announcements"
	PathConfig        = "/v1/config"
	PathDrains        = "/v1/drains"
	PathStatus        = "/v1/status"
	PathHealth        = "/healthz"
	PathReady         = "/readyz"
	PathVars          = "/debug/vars"
)

// Request and response headers.
const (
	HeaderRequestTimeout = "Request-Timeout"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "Priority"
	HeaderRequestID      = "Request-Id"
	HeaderRetryAfter     = "Retry-After"
	HeaderCacheControl   = "Cache-Control"
	HeaderETag           = "ETag"
	HeaderIfMatch        = "If-Match"
	// HeaderShed marks a 503 answer of a backend server that did not run the request.
	HeaderShed = "Request-Shed"
)

// Query parameters of a look-up.
const (
	ParamService = "service"
	ParamClient  = "client"
)

// Content types of the documents.
const (
	TypeJSON    = "application/json"
	TypeProblem = "application/problem+json"
)

const (
	// MaxHeaderBytes is the maximum size of the headers of a request to an entry.
	MaxHeaderBytes = 32 << 10
	// MaxControlBodyBytes is the maximum size of the body of an announcement or of an
	// operator's change.
	MaxControlBodyBytes = 4 << 20
	// MaxKeyLength is the maximum length of an idempotency key in bytes.
	MaxKeyLength = 255
	// DefaultTimeout applies to requests without a Request-Timeout header.
	DefaultTimeout = 10 * time.Second
	// AnnouncementLease is how long an announcement stays valid unless it is renewed.
	AnnouncementLease = 3 * time.Second
)
