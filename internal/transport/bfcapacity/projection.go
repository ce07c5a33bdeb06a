package bfcapacity

const (
	// Limits of the control overhead on each VM.
	limitCPUCores       = 0.025
	limitMemoryMB       = 32.0
	limitBytesPerSecond = 16_000.0

	vmsPerSite = targetVMs / targetSites
	// sitesPerRegion is the number of sites in each region but the last, which has 4.
	sitesPerRegion = 6

	heartbeatsPerSecond = 5.0
	syncsPerSecond      = 2.0
	// raftHeartbeatsPerSecond is the rate of the leader's calls to each follower while
	// the log is idle.
	raftHeartbeatsPerSecond = 4.0
	controlReplicas         = 7
	// demandReportSeconds is the interval of a site's reports of its blocks' demand.
	demandReportSeconds = 60.0
	// shiftWindowSeconds is the window in which the shift cap limits the shifts.
	shiftWindowSeconds = 15.0
	// datagramHeaderBytes is the size of the IP and UDP headers of a datagram.
	datagramHeaderBytes = 28.0
	// typicalServices is the number of services in the projected configuration.
	typicalServices       = 300.0
	secondsPerDay         = 86_400.0
	plannerStepsPerSecond = 0.2
)

type (
	// Load is the cost per second of a role or mechanism: messages, bytes and
	// microseconds of processor time.
	Load struct {
		Messages   float64
		Bytes, CPU Estimate
	}

	// Role is one row of the page's table of roles.
	Role struct {
		Name, Mechanism, State string
		// Load is the cost without failures.
		Load
		// DeltaCopies is the number of copies of each assignment delta that the role receives
		// and sends, added up.
		DeltaCopies float64
		// Memory is in MB.
		Memory Estimate
		// Reserved reports whether the role runs on a VM that is reserved for control.
		Reserved bool
	}

	// ScalingLimit is the size from which a mechanism exceeds a limit.
	ScalingLimit struct {
		// Replacement is the mechanism to use beyond Size.
		Mechanism, Limit, Replacement string
		// Size is counted in Unit. It is 0 if the mechanism stays within the limit at
		// all projected sizes.
		Size int
		Unit string
	}

	// Model holds all measurements and simulations.
	Model struct {
		*messageFits
		*routedFits
		*placementFits
		callBytes, callCPU Fit
		Events             []Event
		Policies           []PolicyResult
	}
)

// Measure runs all measurements and simulations.
func Measure() (*Model, error) {
	m := &Model{}
	var err error
	if m.messageFits, err = measureMessages(); err != nil {
		return nil, err
	}
	if m.routedFits, err = measureRouted(); err != nil {
		return nil, err
	}
	m.callBytes, m.callCPU = callFits()
	if m.placementFits, err = measurePlacement(); err != nil {
		return nil, err
	}
	if m.Events, err = Events(targetBlocks); err != nil {
		return nil, err
	}
	m.Policies, err = ComparePolicies(targetBlocks / 3)
	return m, err
}

func (l Load) plus(o Load) Load {
	return Load{l.Messages + o.Messages, l.Bytes.Plus(o.Bytes), l.CPU.Plus(o.CPU)}
}

func (l Load) times(k float64) Load { return Load{l.Messages * k, l.Bytes.Times(k), l.CPU.Times(k)} }

// datagrams returns the load of sending one message and receiving one per second.
func (m *Model) datagrams(size, codec Estimate) Load {
	return Load{2, size.Plus(Estimate{Value: datagramHeaderBytes}).Times(2), codec.Plus(m.datagramCPU.At(size.Value))}
}

// membershipAt returns the membership fits of a site up to its largest measured size, and
// those of the full mesh for more VMs.
func (m *Model) membershipAt(vms float64) membershipFits {
	if vms <= m.siteMembership.bytes.X[len(m.siteMembership.bytes.X)-1] {
		return m.siteMembership
	}
	return m.meshMembership
}

// meshHeartbeats returns the load of a VM that exchanges heartbeats with all other
// VMs of a full mesh.
func (m *Model) meshHeartbeats(vms float64) Load {
	f := m.membershipAt(vms)
	l := m.datagrams(f.bytes.At(vms), f.receive.At(vms)).times(heartbeatsPerSecond * (vms - 1))
	return l.plus(Load{CPU: f.tick.At(vms * vms).Times(heartbeatsPerSecond)})
}

// compactMeshHeartbeats returns the load of meshHeartbeats with compact heartbeats.
func (m *Model) compactMeshHeartbeats(vms float64) Load {
	f := m.membershipAt(vms)
	l := m.datagrams(m.compactBytes.At(vms), m.compactCPU.At(vms)).times(heartbeatsPerSecond * (vms - 1))
	return l.plus(Load{CPU: f.tick.At(vms * vms).Times(heartbeatsPerSecond)})
}

// siteDigests returns the load of sending or receiving site digests at a rate per
// second.
func (m *Model) siteDigests(sites, rate float64) Load {
	return m.datagrams(m.digestBytes.At(sites), m.digestCPU.At(sites)).times(rate / 2)
}

// calls returns the load on one side of calls at a rate per second, with a body of the
// given size in each direction.
func (m *Model) calls(body, rate float64) Load {
	return Load{2, m.callBytes.At(body), m.callCPU.At(body).Times(0.5)}.times(rate)
}

// deltaRate returns the bytes per second of one copy of an event's deltas. They are
// spread over the shift window, or over the event's length if that is longer.
func (m *Model) deltaRate(event string) float64 {
	for _, e := range m.Events {
		if e.Name == event {
			return float64(e.TotalDelta) / max(shiftWindowSeconds, e.RecoveryTime.Seconds())
		}
	}
	return 0
}

// deltaApplication returns the load of applying an assignment delta at each planner
// step.
func (m *Model) deltaApplication() Load {
	return Load{0, Estimate{}, m.deltaCPU.At(24_000).Times(1000 * plannerStepsPerSecond)}
}

// configChanges returns the load of a day's configuration changes, each a delta of one
// service that is sent or received the given number of times and applied once.
func (m *Model) configChanges(times float64) Load {
	perSecond := targetChangesPerDay / secondsPerDay
	l := m.calls(m.changeBytes.At(typicalServices).Value/2, perSecond*times)
	return l.plus(Load{CPU: m.changeCPU.At(typicalServices).Times(perSecond)})
}

func (m *Model) demandReports(sites float64) Load {
	size := m.demandBytes.At(float64(targetBlocks / targetSites))
	return m.calls(size.Value/2, sites/demandReportSeconds)
}

// configMemory returns the memory of two configurations, as both are held while one
// replaces the other.
func (m *Model) configMemory() Estimate { return m.configHeap.At(typicalServices).Times(2) }

// piggybackedLeases returns the load of leases that heartbeats and digests carry. They add
// only their bytes.
func (m *Model) piggybackedLeases(rate float64) Load {
	return Load{0, Estimate{Value: m.syncBytes * rate}, Estimate{}}
}

// Roles returns the table of roles at the target size.
func (m *Model) Roles() []Role {
	entryTables := m.lookupTablesMemory.At(targetBlocks).Plus(m.configMemory())
	entryFullMesh := m.meshHeartbeats(targetVMs).plus(m.calls(m.syncBytes, syncsPerSecond)).plus(m.deltaApplication())
	// Inside a site, digests and changes are passed along a chain of its VMs.
	commonLoad := m.siteDigests(targetSites, 2).plus(m.piggybackedLeases(syncsPerSecond)).plus(m.deltaApplication()).plus(m.configChanges(2))
	entryFullHeartbeats, entryCompactHeartbeats := m.meshHeartbeats(vmsPerSite).plus(commonLoad), m.compactMeshHeartbeats(vmsPerSite).plus(commonLoad)
	siteRelay := entryCompactHeartbeats.plus(m.siteDigests(1, 2*heartbeatsPerSecond*(sitesPerRegion-1))).
		plus(m.piggybackedLeases(syncsPerSecond * vmsPerSite)).plus(m.configChanges(1)).plus(m.demandReports(1))
	regionRelay := siteRelay.plus(m.siteDigests(sitesPerRegion, 2*(targetRegions-1))).
		plus(m.calls(m.syncBytes, syncsPerSecond)).plus(m.piggybackedLeases(syncsPerSecond * (sitesPerRegion - 1))).
		plus(m.demandReports(2 * (sitesPerRegion - 1)))
	replica := m.calls(64, raftHeartbeatsPerSecond).plus(m.configChanges(1))
	leader := m.calls(64, raftHeartbeatsPerSecond*(controlReplicas-1)).plus(m.calls(m.syncBytes, syncsPerSecond*targetRegions)).
		plus(m.siteDigests(sitesPerRegion, targetRegions)).plus(m.configChanges(targetRegions + controlReplicas)).
		plus(m.demandReports(targetSites))
	entrySync := m.calls(m.syncBytes, syncsPerSecond*targetVMs).
		plus(m.calls(m.configBytes.At(typicalServices).Value/2, targetVMs*targetChangesPerDay/secondsPerDay))
	planner := Load{0, Estimate{}, m.idleStepTime.At(targetBlocks).Times(1000 * plannerStepsPerSecond)}
	configOnly := m.configMemory()
	return []Role{
		{"entry", "today: full mesh, sync with the leader", "ages of 520 VMs from each, blocks, assignment", entryFullMesh, 1, entryTables.Plus(m.meshMembership.memory.At(targetVMs * targetVMs)), false},
		{"entry", "site mesh with today's heartbeats; digests, leases and deltas along a chain", "ages of 10 VMs, digest of 52 sites, blocks, assignment", entryFullHeartbeats, 2, entryTables, false},
		{"entry", "the same with compact heartbeats", "the same", entryCompactHeartbeats, 2, entryTables, false},
		{"site relay", "entry + mesh with the region's relays, leases for 9 nodes", "as an entry", siteRelay, 3, entryTables, false},
		{"region relay", "site relay + digests with 8 regions, leases for 5 relays", "as an entry", regionRelay, 3, entryTables, false},
		{"control replica", "log", "configuration, drains, results of changes", replica, 0, configOnly, true},
		{"leader", "today: sync with every entry, full document", "as a control replica", entrySync, 0, configOnly, true},
		{"leader", "sync with 9 region relays, deltas", "as a control replica, leases of 9 relays", leader, targetRegions, configOnly, true},
		{"planner", "on the leader, a step each 5 s", "blocks with demand and delays, assignment, shifts of 15 s", planner, 0, m.planMemory.At(targetBlocks), true},
	}
}

// ScalingLimits returns the sizes from which the current mechanisms exceed a limit.
func (m *Model) ScalingLimits() []ScalingLimit {
	first := func(maxSize int, exceeds func(n float64) bool) int {
		for n := 2; n <= maxSize; n++ {
			if exceeds(float64(n)) {
				return n
			}
		}
		return 0
	}
	fullMesh := func(n float64) Load { return m.meshHeartbeats(n).plus(m.calls(m.syncBytes, syncsPerSecond)) }
	entrySync := func(n float64) Load { return m.calls(m.syncBytes, syncsPerSecond*n) }
	cpu, bytes := "2.5% of a core", "16 KB/s"
	return []ScalingLimit{
		{"today's heartbeats in a full mesh, at an entry", bytes, "compact heartbeats, mesh inside a site, digests through relays", first(2000, func(n float64) bool { return fullMesh(n).Bytes.Value > limitBytesPerSecond }), "VMs"},
		{"today's heartbeats in a full mesh, at an entry", cpu, "compact heartbeats, mesh inside a site, digests through relays", first(2000, func(n float64) bool { return fullMesh(n).CPU.Value/1e6 > limitCPUCores }), "VMs"},
		{"compact heartbeats in a full mesh, at an entry", bytes, "mesh inside a site, digests through relays", first(2000, func(n float64) bool { return m.compactMeshHeartbeats(n).Bytes.Value > limitBytesPerSecond }), "VMs"},
		{"sync of every entry with the leader", bytes, "sync through region and site relays", first(2000, func(n float64) bool { return entrySync(n).Bytes.Value > limitBytesPerSecond }), "VMs"},
		{"sync of every entry with the leader", cpu, "sync through region and site relays", first(2000, func(n float64) bool { return entrySync(n).CPU.Value/1e6 > limitCPUCores }), "VMs"},
		{"full document to every entry within 15 s, 300 services", bytes, "delta with the result's checksum", first(2000, func(n float64) bool {
			return n*m.configBytes.At(typicalServices).Value/15 > limitBytesPerSecond
		}), "VMs"},
		{"membership of a full mesh with the look-up tables", "32 MB", "mesh inside a site, digests through relays", first(2000, func(n float64) bool {
			return m.lookupTablesMemory.At(targetBlocks).Value+m.meshMembership.memory.At(n*n).Value > limitMemoryMB
		}), "VMs"},
		{"planner's memory", "32 MB", "the planner runs on the VMs reserved for control", 1000 * first(2000, func(n float64) bool {
			return m.planMemory.At(1000*n).Value > limitMemoryMB
		}), "blocks"},
	}
}
