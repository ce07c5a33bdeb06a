package briarferry

import (
	"net/netip"
	"time"
)

const (
	// StateStarting is a backend server with cold caches.
	StateStarting BackendState = "starting"
	// StateReady is a backend server that takes new work.
	StateReady BackendState = "ready"
	// StateDraining is a backend server that finishes its work and takes no more.
	StateDraining BackendState = "draining"

	maxSlots       = 100_000
	maxConnections = 1_000_000
)

type (
	// BackendState is the state that a backend server announces.
	BackendState string

	// BackendID names a backend server of one service.
	BackendID struct {
		Service string         `json:"service"`
		Address netip.AddrPort `json:"address"`
	}

	// Announcement is what a backend server tells about itself.
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
		// Sequence orders announcements of one server; the receiving entry sets it
		// to the Unix time in milliseconds where the server sends none.
		Sequence uint64 `json:"sequence,omitempty"`
	}

	// Backend is a backend server as one entry knows it.
	Backend struct {
		Announcement
		// InstanceID names the start of the server that is meant; empty means any.
		InstanceID string
		// HeardAt is when the entry that was told heard the announcement, by this
		// entry's clock.
		HeardAt time.Time
		// ExpiresAt is when the announcement's lease ends.
		ExpiresAt time.Time
	}
)

// ID returns the key of the backend server.
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
