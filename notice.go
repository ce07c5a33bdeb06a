package briarferry

import "time"

// ServerNotice is what a backend server says in an answer about further requests.
type ServerNotice struct {
	// Leaving means that the server's process is about to end and wants no new requests.
	Leaving bool
	// Pause is the time for which the server wants no requests from this entry, or 0.
	Pause time.Duration
}
