package bfwire

import (
	"net/netip"
	"time"

	"briarferry"
	"briarferry/internal/state/bffleet"
)

const (
	maxControlAddrs = 64
	maxEntries      = 4096
	// MemberListInterval is the number of an entry's heartbeats of which one is answered with
	// the members of the group: that whose sequence leaves the remainder 1. The list is half of
	// an answer in a group of 11.
	MemberListInterval = 8
)

type (
	// EntryHeartbeat is sent by an entry of a routed deployment to each control VM.
	EntryHeartbeat struct {
		_     struct{} `cbor:",toarray"`
		Entry EntryInfo
		// Ready is false for an entry that takes no new connections.
		Ready bool
		// Revision is the revision of the state that the entry uses.
		Revision uint64
		// Sequence grows by 1 with each heartbeat. An entry starts with a random one that leaves
		// the remainder 1 when divided by MemberListInterval.
		Sequence uint64
		// Load is the utilization of the entry's link, as a share of its capacity.
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
		// Incarnation increases with each start of the process.
		Incarnation uint64
	}

	// ControlHeartbeat answers an EntryHeartbeat, or announces a new state.
	ControlHeartbeat struct {
		_ struct{} `cbor:",toarray"`
		// From is the control VM's RPC address.
		From netip.AddrPort
		// FailureDomain is the control VM's failure domain.
		FailureDomain string
		Revision      uint64
		// EchoSequence is the sequence of the answered EntryHeartbeat, or 0 where the
		// message announces a new state.
		EchoSequence uint64
		// ControlAddrs are the addresses of the VMs that run a control replica.
		ControlAddrs []netip.Addr
		// EntriesDigest is a hash of the live entries that the control VM knows.
		EntriesDigest uint64
	}

	// FleetQuery asks a control VM for the changes after a revision.
	FleetQuery struct {
		Revision uint64 `cbor:"1,keyasint"`
		// IncludeEntries also asks for the live entries.
		IncludeEntries bool `cbor:"2,keyasint,omitempty"`
		// AcceptsRouteChange allows the reply to have a RouteChange. Entries of earlier
		// versions don't know it.
		AcceptsRouteChange bool `cbor:"3,keyasint,omitempty"`
	}

	// FleetReply answers a FleetQuery.
	FleetReply struct {
		Update  bffleet.Update `cbor:"1,keyasint"`
		Entries []EntryInfo    `cbor:"2,keyasint,omitempty"`
		// ConfirmsTables is true if the control VM sends TableConfirmations. Those of earlier
		// versions don't.
		ConfirmsTables bool `cbor:"3,keyasint,omitempty"`
	}

	// FleetChange carries an encoded bffleet.Command to the leader.
	FleetChange struct {
		Command []byte `cbor:"1,keyasint"`
	}

	// FleetHeard asks a control VM which backend servers reported to it within the given
	// time. The error that a peer receives for a request that can't be decoded contains
	// the name of this type, so the name must stay.
	FleetHeard struct {
		Within time.Duration `cbor:"1,keyasint"`
	}

	// RecentReportsReply answers a FleetHeard.
	RecentReportsReply struct {
		// Uptime is the time since the control VM started.
		Uptime time.Duration `cbor:"1,keyasint"`
		// InstanceIDs are the IDs of the backend servers that reported.
		InstanceIDs []string `cbor:"2,keyasint,omitempty"`
	}

	// FleetChangeReply is the leader's answer to a FleetChange.
	FleetChangeReply struct {
		// NotLeader means that the receiver is not the leader and appended nothing.
		NotLeader bool           `cbor:"1,keyasint,omitempty"`
		Result    bffleet.Result `cbor:"2,keyasint"`
	}
)

// VM returns the entry as a briarferry.VM.
func (e EntryInfo) VM() briarferry.VM {
	return briarferry.VM{
		Name: e.Name, Region: e.Region, FailureDomain: e.FailureDomain,
		HTTP: e.HTTP, RPC: e.RPC, Gossip: e.Gossip, Incarnation: e.Incarnation,
	}
}

// Validate reports every field that is out of range.
func (h *EntryHeartbeat) Validate() briarferry.Findings {
	f := validateSender(h.Entry.Name)
	if !h.Entry.HTTP.IsValid() || !h.Entry.Gossip.IsValid() {
		f.Add("entry.address", "must be IP addresses with ports")
	}
	if !(h.Load >= 0) {
		f.Add("load", "must be a number from 0 on")
	}
	return f
}

// Validate reports every field that is out of range.
func (h *ControlHeartbeat) Validate() briarferry.Findings {
	var f briarferry.Findings
	if !h.From.IsValid() {
		f.Add("from", "must be an IP address with a port")
	}
	if len(h.ControlAddrs) > maxControlAddrs {
		f.Add("controls", "must have at most %d entries", maxControlAddrs)
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
