// Package bfapi holds every path, header and field that callers, backend servers
// and operators use, so that an edge can change without touching a decision.
package bfapi

import "time"

// Paths of the HTTP edges.
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

// Headers of requests and answers.
const (
	HeaderRequestTimeout = "Request-Timeout"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "Priority"
	HeaderRequestID      = "Request-Id"
	HeaderRetryAfter     = "Retry-After"
	HeaderCacheControl   = "Cache-Control"
	HeaderETag           = "ETag"
	HeaderIfMatch        = "If-Match"
	// HeaderShed marks a 503 of a backend server that did not start the request.
	HeaderShed = "Request-Shed"
)

// Query parameters of a look-up.
const (
	ParamService = "service"
	ParamClient  = "client"
)

// Content types of the own formats.
const (
	TypeJSON    = "application/json"
	TypeProblem = "application/problem+json"
)

const (
	// MaxHeaderBytes bounds the headers of a request to an entry.
	MaxHeaderBytes = 32 << 10
	// MaxControlBodyBytes bounds the body of an announcement or an operator's change.
	MaxControlBodyBytes = 4 << 20
	// MaxKeyLength bounds an idempotency key.
	MaxKeyLength = 255
	// DefaultTimeout is the time a caller waits who does not send Request-Timeout.
	DefaultTimeout = 10 * time.Second
	// AnnouncementLease is how long an announcement counts without being repeated.
	AnnouncementLease = 3 * time.Second
)
