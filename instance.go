package briarferry

import (
	"net/netip"
	"time"
)

const maxColdRemaining = 10 * time.Minute

type (
	// Instance is a backend server process, from its start to its end, as the server
	// reports it.
	Instance struct {
		// ID identifies the instance. A restarted server may report the same ID again.
		ID            string         `json:"id" cbor:"1,keyasint"`
		Service       string         `json:"service" cbor:"2,keyasint"`
		Address       netip.AddrPort `json:"address" cbor:"3,keyasint"`
		FailureDomain string         `json:"failure_domain" cbor:"4,keyasint"`
		Release       string         `json:"release,omitempty" cbor:"5,keyasint,omitempty"`
		Slots         int            `json:"slots" cbor:"6,keyasint"`
		Draining      bool           `json:"draining" cbor:"7,keyasint,omitempty"`
		// ColdRemaining is the remaining time for which the server's caches are cold.
		ColdRemaining Duration `json:"cold_for" cbor:"8,keyasint,omitempty"`
		// Started is the time of the server's start in Unix milliseconds, by its own
		// clock. It orders the processes with the same ID. Zero means unknown.
		Started int64 `json:"started" cbor:"9,keyasint,omitempty"`
		// Sequence orders the reports of a process.
		Sequence uint64 `json:"sequence" cbor:"10,keyasint,omitempty"`
	}
)

// Validate reports every field that is out of range.
func (i *Instance) Validate() Findings {
	var f Findings
	if !ValidName(i.ID) {
		f.Add("id", "must be a name: %q", i.ID)
	}
	if !ValidName(i.Service) {
		f.Add("service", "must be a name: %q", i.Service)
	}
	if !i.Address.IsValid() || i.Address.Port() == 0 {
		f.Add("address", "must be an IP address with a port")
	}
	if !ValidName(i.FailureDomain) {
		f.Add("failure_domain", "must be a name: %q", i.FailureDomain)
	}
	if i.Slots < 1 || i.Slots > maxSlots {
		f.Add("slots", "must be between 1 and %d", maxSlots)
	}
	if i.ColdRemaining < 0 || i.ColdRemaining.Std() > maxColdRemaining {
		f.Add("cold_for", "must be between 0 and %v", maxColdRemaining)
	}
	if i.Started < 0 {
		f.Add("started", "must not be negative")
	}
	return f
}

// SameProcess reports whether two reports come from the same backend server process.
func (i *Instance) SameProcess(other *Instance) bool {
	return i.ID == other.ID && i.Started == other.Started && i.Address == other.Address && i.Service == other.Service
}
