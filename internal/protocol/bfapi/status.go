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
		// Placement is what the planner on the leader tells; it is absent without one.
		Placement *PlacementStatus `json:"placement,omitempty"`
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
		// PlacementVersion is that of the assignment that the VM answers look-ups from.
		PlacementVersion uint64 `json:"placement_version"`
		// PlacementRefused counts requests that the assignment refused.
		PlacementRefused uint64           `json:"placement_refused"`
		Placement        *PlacementStatus `json:"placement,omitempty"`
	}

	// PlacementStatus is the planner's state. Loads are in busy slots.
	PlacementStatus struct {
		Version uint64 `json:"version"`
		Blocks  int    `json:"blocks"`
		// OversizeBlocks counts blocks with more demand than a shift cap lets move at once.
		OversizeBlocks int               `json:"oversize"`
		StepMillis     float64           `json:"step_millis"`
		Regions        []PlacementRegion `json:"regions"`
		Held           []ConstrainedLoad `json:"held"`
		Refused        []ConstrainedLoad `json:"refused"`
	}

	// PlacementRegion is a region with its loads.
	PlacementRegion struct {
		Region   string  `json:"region"`
		Capacity float64 `json:"capacity"`
		Planned  float64 `json:"planned"`
		Measured float64 `json:"measured"`
		// Shifted is what counts against ShiftCap now.
		Shifted     float64 `json:"shifted"`
		ShiftCap    float64 `json:"shift_cap"`
		SilentSites int     `json:"silent"`
	}

	// ConstrainedLoad is load that is held back or refused, with the reason or the class.
	ConstrainedLoad struct {
		Region string  `json:"region"`
		Reason string  `json:"reason"`
		Blocks int     `json:"blocks,omitempty"`
		Load   float64 `json:"load"`
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
		// InsufficientCapacity tells that the remaining capacity is too small for the load.
		InsufficientCapacity bool `json:"breaks_limit"`
	}
)
