package bfcapacity

import (
	"fmt"
	"net/netip"

	"briarferry"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bffleet"
)

const (
	sourceFleet = "`bffleet`, `bfwire`"
	// controlHeartbeatsPerSecond is the rate of an entry's heartbeats to each control VM.
	controlHeartbeatsPerSecond = 2.0
	// routedServers is the number of backend servers in the projected registry: 20 at
	// each of 52 sites.
	routedServers = 52 * 20
	// routedRoutes is the number of routes in the projected route table.
	routedRoutes = 1000.0
	// routedChangesPerDay is the number of registry changes per day: each backend server
	// is replaced once, with a registration, a drain and a removal.
	routedChangesPerDay = 3.0 * routedServers
)

// routedFits holds the fits of a deployment with routes, whose entries fetch the
// registry and the route table from control VMs.
type routedFits struct {
	controlBytes, controlCPU Fit
	listBytes, listCPU       Fit
	changedBytes, changedCPU Fit
	routeBytes, routeCPU     Fit
	// entryHeartbeatBytes is the size of an entry's heartbeat to a control VM.
	entryHeartbeatBytes float64
}

func measureRouted() (*routedFits, error) {
	m := &routedFits{}
	heartbeat, err := bfwire.Encode(newEntryHeartbeat())
	if err != nil {
		return nil, fmt.Errorf("bfcapacity: %w", err)
	}
	m.entryHeartbeatBytes = float64(len(heartbeat))
	m.controlBytes, m.controlCPU = codecFits("control VM's heartbeat", "control VM", sourceFleet, []int{3, 5, 7, 11}, newControlHeartbeat)
	m.listBytes, m.listCPU = codecFits("whole list of backend servers", "backend server", sourceFleet, []int{44, 312, 1040, 4000}, func(n int) bffleet.Update {
		servers := newServers(n)
		return bffleet.Update{Revision: 1 << 20, Servers: &servers}
	})
	m.changedBytes, m.changedCPU = codecFits("changed backend servers", "changed backend server", sourceFleet, []int{1, 2, 5, 20}, func(n int) bffleet.Update {
		return bffleet.Update{Revision: 1 << 20, ChangedServers: newServers(n)}
	})
	m.routeBytes, m.routeCPU = codecFits("route table", "route", sourceFleet, []int{10, 100, 300, 1000}, func(n int) bffleet.Update {
		return bffleet.Update{Revision: 1 << 20, Routes: newRoutes(n)}
	})
	return m, nil
}

func newEntryHeartbeat() *bfwire.EntryHeartbeat {
	vm := newVM(7)
	return &bfwire.EntryHeartbeat{Ready: true, Revision: 1 << 20, Sequence: 1 << 20, Load: 0.61, Entry: bfwire.EntryInfo{
		Name: vm.Name, Region: vm.Region, FailureDomain: vm.FailureDomain, HTTP: vm.HTTP, RPC: vm.RPC, Gossip: vm.Gossip, Incarnation: vm.Incarnation,
	}}
}

func newControlHeartbeat(n int) bfwire.ControlHeartbeat {
	b := bfwire.ControlHeartbeat{From: newVM(1).RPC, FailureDomain: newVM(1).FailureDomain, Revision: 1 << 20, EchoSequence: 1 << 20, EntriesDigest: 1 << 60}
	for i := range n {
		b.ControlAddrs = append(b.ControlAddrs, newVM(i).RPC.Addr())
	}
	return b
}

func newServers(n int) []bffleet.Server {
	var out []bffleet.Server
	for i := range n {
		out = append(out, bffleet.Server{ColdRevision: 1 << 20, Revision: 1<<20 + uint64(i), Instance: briarferry.Instance{
			ID: fmt.Sprintf("i-%010x", 0x5bd1e995*uint64(i+1)), Service: "service-0001", FailureDomain: "domain-3-1", Release: "v1", Slots: 9,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080), Started: 1764832000000 + int64(i), Sequence: 40,
		}})
	}
	return out
}

func newRoutes(n int) *briarferry.RouteTable {
	t := &briarferry.RouteTable{Version: 1 << 20, Services: []briarferry.RouteService{{Name: "service-0001", HealthPath: "/health", ConnectionLimit: 400}}}
	for i := range n {
		t.Routes = append(t.Routes, briarferry.Route{
			Name: fmt.Sprintf("route-%06d", i), Host: "shop.example", Prefix: fmt.Sprintf("/path-%06d/", i), Idempotent: true,
			Timeout: 1_200_000_000, Target: 600_000_000, MaxAttempts: 2, Affinity: true, Split: []briarferry.SplitPart{{Service: "service-0001", Weight: 1}},
		})
	}
	return t
}

// controlHeartbeats returns the load of one entry's heartbeats to one control VM with
// their answers. It is the same at both ends.
func (m *Model) controlHeartbeats() Load {
	size := m.controlBytes.At(controlReplicas)
	l := Load{2, size.Plus(Estimate{Value: m.entryHeartbeatBytes + 2*datagramHeaderBytes}), m.controlCPU.At(controlReplicas).Plus(m.datagramCPU.At(size.Value))}
	return l.times(controlHeartbeatsPerSecond)
}

// routedUpdates returns the load of one entry that fetches the changes of the registry
// and of the routes.
func (m *Model) routedUpdates() Load {
	servers := Load{2, m.callBytes.At(1).Plus(m.changedBytes.At(1)), m.callCPU.At(1).Plus(m.changedCPU.At(1))}.times(routedChangesPerDay / secondsPerDay)
	routes := Load{2, m.callBytes.At(1).Plus(m.routeBytes.At(routedRoutes)), m.callCPU.At(1).Plus(m.routeCPU.At(routedRoutes))}.times(targetChangesPerDay / secondsPerDay)
	return servers.plus(routes)
}

// RoutedRoles returns the roles of a deployment with routes at the target size.
func (m *Model) RoutedRoles() []Role {
	entries := float64(targetVMs - controlReplicas)
	state := m.listBytes.At(routedServers).Plus(m.routeBytes.At(routedRoutes)).Times(1e-6)
	entry := m.controlHeartbeats().times(controlReplicas).plus(m.routedUpdates())
	control := m.controlHeartbeats().times(entries).plus(m.routedUpdates().times(entries / controlReplicas))
	return []Role{
		{Name: "entry", Mechanism: "heartbeats to 7 control VMs, changes fetched from the nearest", State: "registry, route table, own load", Load: entry, Memory: state},
		{Name: "control VM", Mechanism: "heartbeats of 513 entries, a seventh of the fetches", State: "the same, removals, accepted digests, entries", Load: control, Memory: state.Times(2), Reserved: true},
	}
}

func (m *Model) writeRouted(p *page) {
	p.printf("## Routed deployments at the target size\n\n%s\n", pageRouted)
	p.head("role", "mechanism", "state", "messages/s", "KB/s", "processor, % of a core", "state as encoded, MB", "limits")
	for _, r := range m.RoutedRoles() {
		p.row(r.Name, r.Mechanism, r.State, number(r.Messages), r.Bytes.Times(1e-3).String(), r.CPU.Times(1e-4).String(), r.Memory.String(), r.limitStatus(0, 0))
	}
	p.printf("\nAn entry's heartbeat has %.0f bytes. One changed backend server costs an entry %s bytes; the whole list of %d would cost %s bytes.\n\n",
		m.entryHeartbeatBytes, number(m.changedBytes.At(1).Value), routedServers, number(m.listBytes.At(routedServers).Value))
}
