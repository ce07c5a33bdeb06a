package bfmember

import (
	"fmt"
	"net/netip"

	"briarferry"
)

const (
	maxVMs     = 1024
	maxLearned = 8
)

const (
	// FlagLeaving is set by a VM that is shutting down.
	FlagLeaving Flags = 1 << iota
	// FlagSynced is set by a VM that has the full table of backend servers.
	FlagSynced
	// FlagReady is set by a VM that takes new requests.
	FlagReady
)

type (
	// Flags is the status that a VM reports in each heartbeat.
	Flags uint8

	// Descriptor is a briarferry.VM in compact encoding.
	Descriptor struct {
		_                 struct{} `cbor:",toarray"`
		Name              string
		Region            string
		FailureDomain     string
		HTTP, RPC, Gossip netip.AddrPort
		Incarnation       uint64
		Control           bool
	}

	// Heartbeat is the message that each VM sends to all others.
	Heartbeat struct {
		_        struct{} `cbor:",toarray"`
		VM       Descriptor
		Sequence uint64
		Flags    Flags
		// ViewHash is a hash of the names of the VMs that the sender considers up.
		ViewHash uint64
		// Heard lists the VMs from which the sender has received heartbeats.
		Heard []LastHeard
		// Learned carries descriptors of other VMs in rotation, so that a VM with few
		// seeds discovers all VMs.
		Learned []Descriptor
	}

	// LastHeard is the last heartbeat that the sender received from another VM.
	LastHeard struct {
		_           struct{} `cbor:",toarray"`
		Name        string
		Incarnation uint64
		Sequence    uint64
		AgeMillis   uint32
	}
)

// Describe returns the descriptor of a VM.
func Describe(vm briarferry.VM) Descriptor {
	return Descriptor{Name: vm.Name, Region: vm.Region, FailureDomain: vm.FailureDomain, HTTP: vm.HTTP,
		RPC: vm.RPC, Gossip: vm.Gossip, Incarnation: vm.Incarnation, Control: vm.Control}
}

// VM returns the VM that the descriptor describes.
func (d *Descriptor) VM() briarferry.VM {
	return briarferry.VM{Name: d.Name, Region: d.Region, FailureDomain: d.FailureDomain, HTTP: d.HTTP,
		RPC: d.RPC, Gossip: d.Gossip, Incarnation: d.Incarnation, Control: d.Control}
}

// Validate reports every field that is out of range.
func (d *Descriptor) Validate() briarferry.Findings {
	var f briarferry.Findings
	for place, s := range map[string]string{"name": d.Name, "region": d.Region, "failure_domain": d.FailureDomain} {
		if !briarferry.ValidName(s) {
			f.Add(place, "must be a name: %q", s)
		}
	}
	if !d.Gossip.IsValid() || d.Gossip.Port() == 0 {
		f.Add("gossip", "must be an IP address with a port")
	}
	return f
}

// Validate reports every field that is out of range.
func (h *Heartbeat) Validate() briarferry.Findings {
	f := h.VM.Validate()
	if h.Sequence == 0 {
		f.Add("sequence", "must be set")
	}
	if len(h.Heard) > maxVMs {
		f.Add("heard", "must have at most %d entries", maxVMs)
		return f
	}
	for i := range h.Heard {
		if !briarferry.ValidName(h.Heard[i].Name) {
			f.Add(fmt.Sprintf("heard[%d].name", i), "must be a name")
		}
	}
	if len(h.Learned) > maxLearned {
		f.Add("learned", "must have at most %d entries", maxLearned)
		return f
	}
	for i := range h.Learned {
		f.Merge(fmt.Sprintf("learned[%d]", i), h.Learned[i].Validate())
	}
	return f
}
