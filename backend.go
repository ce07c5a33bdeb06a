package briarferry

import (
	"net/netip"
	"time"
)

const (
	// StateStarting is the state of a backend server whose caches are still cold.
	StateStarting BackendState = "starting"
	// StateReady is the state of a backend server that accepts new requests.
	StateReady BackendState = "ready"
	// StateDraining is the state of a backend server that finishes its requests and
	// accepts no new ones.
	StateDraining BackendState = "draining"

	maxSlots       = 100_000
	maxConnections = 1_000_000
)

type (
	// BackendState is the announced state of a backend server.
	BackendState string

	// BackendID identifies a backend server of a service.
	BackendID struct {
		Service string         `json:"service"`
		Address netip.AddrPort `json:"address"`
	}

	// Announcement is the state and load that a backend server announces to an entry.
	Announcement struct {
		Service         string         `json:"service"`
		Address         netip.AddrPort `json:"address"`
		Region          string         `json:"region"`
		FailureDomain   string         `json:"failure_domain"`
		Slots           int            `json:"slots"`
		ConnectionLimit int            `json:"connection_limit"`
		State           BackendState   `json:"state"`
		// Load is the share of its slots that the server reports as busy.
		Load float64 `json:"load"`
		// Sequence orders the announcements of a server. If the server sends none, the
		// receiving entry sets it to the Unix time in milliseconds.
		Sequence uint64 `json:"sequence,omitempty"`
	}

	// Backend is a backend server as known to an entry.
	Backend struct {
		Announcement
		// InstanceID is the ID of the only instance that may run a request; empty means
		// any.
		InstanceID string
		// HeardAt is the time, by this entry's clock, at which the announcement reached
		// the entry that it was sent to.
		HeardAt time.Time
		// ExpiresAt is the time at which the announcement's lease expires.
		ExpiresAt time.Time
	}
)

// ID returns the ID of the backend server that the announcement is for.
func (a Announcement) ID() BackendID { return BackendID{Service: a.Service, Address: a.Address} }

// Validate reports every field that is out of range.
func (a *Announcement) Validate() Findings {
	var f Findings
	if !ValidName(a.Service) {
		f.Add("service", "must be a name: %q", a.Service)
	}
	if !a.Address.IsValid() {
		f.Add("address", "must be an IP address with a port")
	}
	if !ValidName(a.Region) {
		f.Add("region", "must be a name: %q", a.Region)
	}
	if !ValidName(a.FailureDomain) {
		f.Add("failure_domain", "must be a name: %q", a.FailureDomain)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		f.Add("slots", "must be between 1 and %d", maxSlots)
	}
	if a.ConnectionLimit < 1 || a.ConnectionLimit > maxConnections {
		f.Add("connection_limit", "must be between 1 and %d", maxConnections)
	}
	switch a.State {
	case StateStarting, StateReady, StateDraining:
	default:
		f.Add("state", "must be starting, ready or draining: %q", a.State)
	}
	if !(a.Load >= 0 && a.Load <= 1000) {
		f.Add("load", "must be between 0 and 1000")
	}
	return f
}
