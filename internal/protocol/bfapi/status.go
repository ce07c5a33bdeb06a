package bfapi

import "net/netip"

// ParamScope limits a status to the VM that is asked, with the value ScopeLocal.
const (
	ParamScope = "scope"
	ScopeLocal = "local"
)

// Roles of a VM.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
	RoleLeader  = "leader"
)

type (
	// Status is what operators see of the whole system.
	Status struct {
		VMs      []VMStatus      `json:"vms"`
		Services []ServiceStatus `json:"services"`
		Drains   []DrainStatus   `json:"drains"`
		// Degraded lists what does not work as it should, with the reason.
		Degraded []string `json:"degraded"`
	}

	// VMStatus is what one VM tells about itself.
	VMStatus struct {
		Name           string         `json:"name"`
		Region         string         `json:"region"`
		FailureDomain  string         `json:"failure_domain"`
		HTTP           netip.AddrPort `json:"http"`
		Role           string         `json:"role"`
		Ready          bool           `json:"ready"`
		Reason         string         `json:"reason,omitempty"`
		ConfigVersion  uint64         `json:"config_version"`
		ConfigChecksum string         `json:"config_checksum"`
		LeaseSeconds   float64        `json:"lease_seconds"`
		// Voters and Learners are the members of the control group, as a leader tells.
		Voters   []string        `json:"voters,omitempty"`
		Learners []string        `json:"learners,omitempty"`
		Services []ServiceStatus `json:"services"`
		Drains   []DrainStatus   `json:"drains"`
	}

	// ServiceStatus is a service as one VM or the whole system sees it in a region.
	ServiceStatus struct {
		Service  string `json:"service"`
		Region   string `json:"region"`
		Servers  int    `json:"servers"`
		Draining int    `json:"draining"`
		Slots    int    `json:"slots"`
		InFlight int    `json:"in_flight"`
		Queue    int    `json:"queue"`
		// Refused counts refusals by priority class since the start of the processes.
		Refused map[string]int64 `json:"refused"`
	}

	// DrainStatus is a drain with its progress.
	DrainStatus struct {
		ID       string `json:"id"`
		Kind     string `json:"kind"`
		Target   string `json:"target"`
		State    string `json:"state"`
		InFlight int    `json:"in_flight"`
		Targets  int    `json:"targets"`
		Empty    int    `json:"empty"`
		// BreaksLimit tells that the remaining capacity is too small for the load.
		BreaksLimit bool `json:"breaks_limit"`
	}
)
