package bfwire

import (
	"net/netip"
	"time"

	"briarferry"
	"briarferry/internal/state/bffleet"
)

const (
	maxControls = 64
	maxEntries  = 4096
)

type (
	// EntryHeartbeat is what an entry of a routed deployment tells each control VM.
	EntryHeartbeat struct {
		_     struct{} `cbor:",toarray"`
		Entry EntryInfo
		// Ready is false for an entry that takes no new connections.
		Ready bool
		// Revision is the state that the entry acts on.
		Revision uint64
		Sequence uint64
		// Load is the share of the entry's link that is in use.
		Load float64
	}

	// EntryInfo describes an entry to the control VMs and to other entries.
	EntryInfo struct {
		_             struct{} `cbor:",toarray"`
		Name          string
		Region        string
		FailureDomain string
		HTTP          netip.AddrPort
		RPC           netip.AddrPort
		Gossip        netip.AddrPort
		// Incarnation is larger after each start of the process.
		Incarnation uint64
	}

	// ControlHeartbeat is a control VM's answer to a beat, and its notice of a new state.
	ControlHeartbeat struct {
		_ struct{} `cbor:",toarray"`
		// From is the control VM's address for calls.
		From netip.AddrPort
		// FailureDomain is where the control VM is.
		FailureDomain string
		Revision      uint64
		// EchoSequence is the sequence of the beat that this answers, 0 for a notice.
		EchoSequence uint64
		// ControlAddrs are the addresses of the VMs with a control replica.
		ControlAddrs []netip.Addr
		// EntriesDigest identifies the set of live entries that the control VM knows.
		EntriesDigest uint64
	}

	// FleetQuery asks a control VM for what changed after a revision.
	FleetQuery struct {
		Revision uint64 `cbor:"1,keyasint"`
		// IncludeEntries asks for the live entries too.
		IncludeEntries bool `cbor:"2,keyasint,omitempty"`
	}

	// FleetReply answers a FleetQuery.
	FleetReply struct {
		Update  bffleet.Update `cbor:"1,keyasint"`
		Entries []EntryInfo    `cbor:"2,keyasint,omitempty"`
	}

	// FleetChange carries an encoded command to the leader.
	FleetChange struct {
		Command []byte `cbor:"1,keyasint"`
	}

	// RecentReportsQuery asks a control VM which backend servers reported to it lately.
	RecentReportsQuery struct {
		Within time.Duration `cbor:"1,keyasint"`
	}

	// RecentReportsReply answers a RecentReportsQuery.
	RecentReportsReply struct {
		// Uptime is how long the control VM has been running.
		Uptime time.Duration `cbor:"1,keyasint"`
		// InstanceIDs are the IDs of the instances.
		InstanceIDs []string `cbor:"2,keyasint,omitempty"`
	}

	// FleetResult is the leader's answer to a FleetChange.
	FleetResult struct {
		// NotLeader says that the receiver doesn't lead and appended nothing.
		NotLeader bool           `cbor:"1,keyasint,omitempty"`
		Result    bffleet.Result `cbor:"2,keyasint"`
	}
)

// VM returns the entry in the form that the rest of the system uses.
func (e EntryInfo) VM() briarferry.VM {
	return briarferry.VM{
		Name: e.Name, Region: e.Region, FailureDomain: e.FailureDomain,
		HTTP: e.HTTP, RPC: e.RPC, Gossip: e.Gossip, Incarnation: e.Incarnation,
	}
}

// Validate reports every field that is out of range.
func (b *EntryHeartbeat) Validate() briarferry.Findings {
	f := validateFrom(b.Entry.Name)
	if !b.Entry.HTTP.IsValid() || !b.Entry.Gossip.IsValid() {
		f.Add("entry.address", "must be IP addresses with ports")
	}
	if !(b.Load >= 0) {
		f.Add("load", "must be a number from 0 on")
	}
	return f
}

// Validate reports every field that is out of range.
func (b *ControlHeartbeat) Validate() briarferry.Findings {
	var f briarferry.Findings
	if !b.From.IsValid() {
		f.Add("from", "must be an IP address with a port")
	}
	if len(b.ControlAddrs) > maxControls {
		f.Add("controls", "must have at most %d entries", maxControls)
	}
	return f
}

// Validate reports every field that is out of range.
func (r *FleetReply) Validate() briarferry.Findings {
	f := r.Update.Validate()
	if len(r.Entries) > maxEntries {
		f.Add("entries", "must have at most %d entries", maxEntries)
	}
	return f
}
