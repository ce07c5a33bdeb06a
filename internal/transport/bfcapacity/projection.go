package bfcapacity

const (
	// The limits of control overhead on each node.
	limitCPU    = 0.025
	limitMemory = 32.0
	limitBytes  = 16_000.0

	nodesPerSite   = targetNodes / targetSites
	sitesPerRegion = 6

	beatsPerSecond = 5.0
	syncsPerSecond = 2.0
	// raftBeats is the leader's calls to each follower per second while idle.
	raftBeats = 4.0
	replicas  = 7
	// demandEvery is the period in seconds of a site's report of changed demand.
	demandEvery = 60.0
	// shiftWindow is the seconds over which a cap's worth of shifts is distributed.
	shiftWindow = 15.0
	// headerBytes is the IP and UDP header of a datagram.
	headerBytes = 28.0
	// typicalServices is the size of the configuration document in the projection.
	typicalServices = 300.0
	secondsPerDay   = 86_400.0
	stepsPerSecond  = 0.2
)

type (
	// Load is what a role costs per second: messages, bytes and microseconds of
	// processor time.
	Load struct {
		Messages   float64
		Bytes, CPU Estimate
	}

	// Role is one row of the page's table.
	Role struct {
		Name, Mechanism, State string
		// Load is the steady cost.
		Load
		// Copies is how often the role receives and sends each assignment delta.
		Copies float64
		// Memory is in MB.
		Memory Estimate
		// Reserved marks a role on a VM that is reserved for control.
		Reserved bool
	}

	// Break is the size at which a mechanism passes a limit.
	Break struct {
		Mechanism, Limit, Instead string
		Size                      int
		Unit                      string
	}

	// Model holds everything measured.
	Model struct {
		*messageFits
		*routedFits
		*placementFits
		callBytes, callCPU Fit
		Days               []Event
		Policies           []PolicyResult
	}
)

// Measure runs all measurements.
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
	if m.Days, err = Events(targetBlocks); err != nil {
		return nil, err
	}
	m.Policies, err = ComparePolicies(targetBlocks / 3)
	return m, err
}

func (l Load) plus(o Load) Load {
	return Load{l.Messages + o.Messages, l.Bytes.Plus(o.Bytes), l.CPU.Plus(o.CPU)}
}

func (l Load) times(k float64) Load { return Load{l.Messages * k, l.Bytes.Times(k), l.CPU.Times(k)} }

// datagrams is one message sent and one received per second.
func (m *Model) datagrams(size, codec Estimate) Load {
	return Load{2, size.Plus(Estimate{Value: headerBytes}).Times(2), codec.Plus(m.datagramCPU.At(size.Value))}
}

// members returns the lines that were measured near a number of nodes.
func (m *Model) members(nodes float64) memberFits {
	if nodes <= m.small.bytes.X[len(m.small.bytes.X)-1] {
		return m.small
	}
	return m.large
}

// mesh is heartbeats to and from the other nodes of a full mesh.
func (m *Model) mesh(nodes float64) Load {
	f := m.members(nodes)
	l := m.datagrams(f.bytes.At(nodes), f.receive.At(nodes)).times(beatsPerSecond * (nodes - 1))
	return l.plus(Load{CPU: f.tick.At(nodes * nodes).Times(beatsPerSecond)})
}

// compactMesh is the same with compact heartbeats.
func (m *Model) compactMesh(nodes float64) Load {
	f := m.members(nodes)
	l := m.datagrams(m.compactBytes.At(nodes), m.compactCPU.At(nodes)).times(beatsPerSecond * (nodes - 1))
	return l.plus(Load{CPU: f.tick.At(nodes * nodes).Times(beatsPerSecond)})
}

// digests is site digests one way, at a rate.
func (m *Model) digests(sites, rate float64) Load {
	return m.datagrams(m.digestBytes.At(sites), m.digestCPU.At(sites)).times(rate / 2)
}

// calls is one end of calls with a body of the given size each way, at a rate.
func (m *Model) calls(body, rate float64) Load {
	return Load{2, m.callBytes.At(body), m.callCPU.At(body).Times(0.5)}.times(rate)
}

// deltaRate returns the bytes per second of one copy of an event's deltas, spread
// over the time in which a cap counts.
func (m *Model) deltaRate(event string) float64 {
	for _, e := range m.Days {
		if e.Name == event {
			return float64(e.DeltaSum) / max(shiftWindow, e.Until.Seconds())
		}
	}
	return 0
}

// applied is the cost of applying a delta each step.
func (m *Model) applied() Load {
	return Load{0, Estimate{}, m.deltaCPU.At(24_000).Times(1000 * stepsPerSecond)}
}

// changes is the configuration changes of a day as deltas of one service.
func (m *Model) changes(times float64) Load {
	perSecond := targetChangesPerDay / secondsPerDay
	l := m.calls(m.changeBytes.At(typicalServices).Value/2, perSecond*times)
	return l.plus(Load{CPU: m.changeCPU.At(typicalServices).Times(perSecond)})
}

func (m *Model) demandReports(sites float64) Load {
	size := m.demandBytes.At(float64(targetBlocks / targetSites))
	return m.calls(size.Value/2, sites/demandEvery)
}

// configMemory counts two documents, as one replaces the other.
func (m *Model) configMemory() Estimate { return m.configHeap.At(typicalServices).Times(2) }

// leases is the sync replies that ride on heartbeats and digests of relays.
func (m *Model) leases(rate float64) Load {
	return Load{0, Estimate{Value: m.syncBytes * rate}, Estimate{}}
}

// Roles returns the table of roles at the target size.
func (m *Model) Roles() []Role {
	table := m.tableMemory.At(targetBlocks).Plus(m.configMemory())
	today := m.mesh(targetNodes).plus(m.calls(m.syncBytes, syncsPerSecond)).plus(m.applied())
	// Digests and changes pass from node to node along a chain in each site.
	besides := m.digests(targetSites, 2).plus(m.leases(syncsPerSecond)).plus(m.applied()).plus(m.changes(2))
	heavy, entry := m.mesh(nodesPerSite).plus(besides), m.compactMesh(nodesPerSite).plus(besides)
	relay := entry.plus(m.digests(1, 2*beatsPerSecond*(sitesPerRegion-1))).
		plus(m.leases(syncsPerSecond * nodesPerSite)).plus(m.changes(1)).plus(m.demandReports(1))
	regional := relay.plus(m.digests(sitesPerRegion, 2*(targetRegions-1))).
		plus(m.calls(m.syncBytes, syncsPerSecond)).plus(m.leases(syncsPerSecond * (sitesPerRegion - 1))).
		plus(m.demandReports(2 * (sitesPerRegion - 1)))
	replica := m.calls(64, raftBeats).plus(m.changes(1))
	leader := m.calls(64, raftBeats*(replicas-1)).plus(m.calls(m.syncBytes, syncsPerSecond*targetRegions)).
		plus(m.digests(sitesPerRegion, targetRegions)).plus(m.changes(targetRegions + replicas)).
		plus(m.demandReports(targetSites))
	flat := m.calls(m.syncBytes, syncsPerSecond*targetNodes).
		plus(m.calls(m.configBytes.At(typicalServices).Value/2, targetNodes*targetChangesPerDay/secondsPerDay))
	planner := Load{0, Estimate{}, m.idle.At(targetBlocks).Times(1000 * stepsPerSecond)}
	document := m.configMemory()
	return []Role{
		{"entry", "today: full mesh, sync with the leader", "ages of 520 VMs from each, blocks, assignment", today, 1, table.Plus(m.large.memory.At(targetNodes * targetNodes)), false},
		{"entry", "site mesh with today's heartbeats; digests, leases and deltas along a chain", "ages of 10 VMs, digest of 52 sites, blocks, assignment", heavy, 2, table, false},
		{"entry", "the same with compact heartbeats", "the same", entry, 2, table, false},
		{"site relay", "entry + mesh with the region's relays, leases for 9 nodes", "as an entry", relay, 3, table, false},
		{"region relay", "site relay + digests with 8 regions, leases for 5 relays", "as an entry", regional, 3, table, false},
		{"control replica", "log", "configuration, drains, results of changes", replica, 0, document, true},
		{"leader", "today: sync with every entry, full document", "as a control replica", flat, 0, document, true},
		{"leader", "sync with 9 region relays, deltas", "as a control replica, leases of 9 relays", leader, targetRegions, document, true},
		{"planner", "on the leader, a step each 5 s", "blocks with demand and delays, assignment, shifts of 15 s", planner, 0, m.planMemory.At(targetBlocks), true},
	}
}

// Breaks returns the sizes from which today's mechanisms pass a limit.
func (m *Model) Breaks() []Break {
	first := func(most int, over func(n float64) bool) int {
		for n := 2; n <= most; n++ {
			if over(float64(n)) {
				return n
			}
		}
		return 0
	}
	mesh := func(n float64) Load { return m.mesh(n).plus(m.calls(m.syncBytes, syncsPerSecond)) }
	flat := func(n float64) Load { return m.calls(m.syncBytes, syncsPerSecond*n) }
	cpu, bytes := "2.5% of a core", "16 KB/s"
	return []Break{
		{"today's heartbeats in a full mesh, at an entry", bytes, "compact heartbeats, mesh inside a site, digests through relays", first(2000, func(n float64) bool { return mesh(n).Bytes.Value > limitBytes }), "VMs"},
		{"today's heartbeats in a full mesh, at an entry", cpu, "compact heartbeats, mesh inside a site, digests through relays", first(2000, func(n float64) bool { return mesh(n).CPU.Value/1e6 > limitCPU }), "VMs"},
		{"compact heartbeats in a full mesh, at an entry", bytes, "mesh inside a site, digests through relays", first(2000, func(n float64) bool { return m.compactMesh(n).Bytes.Value > limitBytes }), "VMs"},
		{"sync of every entry with the leader", bytes, "sync through region and site relays", first(2000, func(n float64) bool { return flat(n).Bytes.Value > limitBytes }), "VMs"},
		{"sync of every entry with the leader", cpu, "sync through region and site relays", first(2000, func(n float64) bool { return flat(n).CPU.Value/1e6 > limitCPU }), "VMs"},
		{"full document to every entry within 15 s, 300 services", bytes, "delta with the result's checksum", first(2000, func(n float64) bool {
			return n*m.configBytes.At(typicalServices).Value/15 > limitBytes
		}), "VMs"},
		{"membership of a full mesh with the look-up tables", "32 MB", "mesh inside a site, digests through relays", first(2000, func(n float64) bool {
			return m.tableMemory.At(targetBlocks).Value+m.large.memory.At(n*n).Value > limitMemory
		}), "VMs"},
		{"planner's memory", "32 MB", "the planner runs on the VMs reserved for control", 1000 * first(2000, func(n float64) bool {
			return m.planMemory.At(1000*n).Value > limitMemory
		}), "blocks"},
	}
}
