package bfapi

import "net/netip"

// ParamScope with the value ScopeLocal limits a status to the VM that receives the
// request.
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
	// Status is the status of the whole system.
	Status struct {
		VMs      []VMStatus      `json:"vms"`
		Services []ServiceStatus `json:"services"`
		Drains   []DrainStatus   `json:"drains"`
		// Placement is the state of the planner on the leader; it is absent if there is
		// no planner.
		Placement *PlacementStatus `json:"placement,omitempty"`
		// Degraded lists the parts of the system that don't work as intended, with the
		// reasons.
		Degraded []string `json:"degraded"`
	}

	// VMStatus is the status that a VM reports of itself.
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
		// Voters and Learners are the members of the control group; only a leader
		// reports them.
		Voters   []string        `json:"voters,omitempty"`
		Learners []string        `json:"learners,omitempty"`
		Services []ServiceStatus `json:"services"`
		Drains   []DrainStatus   `json:"drains"`
		// PlacementVersion is the version of the assignment from which the VM answers
		// look-ups.
		PlacementVersion uint64 `json:"placement_version"`
		// PlacementRefused is the number of requests that the VM refused because of the
		// assignment.
		PlacementRefused uint64           `json:"placement_refused"`
		Placement        *PlacementStatus `json:"placement,omitempty"`
	}

	// PlacementStatus is the state of the planner. Loads are in busy slots.
	PlacementStatus struct {
		Version uint64 `json:"version"`
		Blocks  int    `json:"blocks"`
		// OversizeBlocks is the number of blocks whose demand alone exceeds nine tenths of
		// the smallest shift cap.
		OversizeBlocks int `json:"oversize"`
		// StepMillis is the duration of the planner's last step in milliseconds.
		StepMillis float64           `json:"step_millis"`
		Regions    []PlacementRegion `json:"regions"`
		Held       []ConstrainedLoad `json:"held"`
		Refused    []ConstrainedLoad `json:"refused"`
	}

	// PlacementRegion is the planner's view of a region. StaleSites is the number of
	// sites that are not down but have no recent measurements. A site is a group of
	// entries, by default a single VM.
	PlacementRegion struct {
		Region   string  `json:"region"`
		Capacity float64 `json:"capacity"`
		Planned  float64 `json:"planned"`
		Measured float64 `json:"measured"`
		// Shifted is the load that currently counts against ShiftCap.
		Shifted    float64 `json:"shifted"`
		ShiftCap   float64 `json:"shift_cap"`
		StaleSites int     `json:"silent"`
	}

	// ConstrainedLoad is load that the planner holds back or refuses. Reason is the
	// limit that holds it back, or the urgency of the refused class.
	ConstrainedLoad struct {
		Region string  `json:"region"`
		Reason string  `json:"reason"`
		Blocks int     `json:"blocks,omitempty"`
		Load   float64 `json:"load"`
	}

	// ServiceStatus is the status of a service in a region, as seen by one VM or by the
	// whole system.
	ServiceStatus struct {
		Service  string `json:"service"`
		Region   string `json:"region"`
		Servers  int    `json:"servers"`
		Draining int    `json:"draining"`
		Slots    int    `json:"slots"`
		InFlight int    `json:"in_flight"`
		Queue    int    `json:"queue"`
		// Refused is the number of refused requests by priority class since the
		// processes started.
		Refused map[string]int64 `json:"refused"`
	}

	// DrainStatus is the progress of a drain.
	DrainStatus struct {
		ID       string `json:"id"`
		Kind     string `json:"kind"`
		Target   string `json:"target"`
		State    string `json:"state"`
		InFlight int    `json:"in_flight"`
		// Targets is the number of VMs and backend servers that the drain covers, and
		// Empty the number of those that may be stopped.
		Targets int `json:"targets"`
		Empty   int `json:"empty"`
		// InsufficientCapacity reports that the remaining capacity is too small for the
		// load.
		InsufficientCapacity bool `json:"breaks_limit"`
	}
)
