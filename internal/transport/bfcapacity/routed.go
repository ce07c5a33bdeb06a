package bfcapacity

import (
	"fmt"
	"net/netip"

	"briarferry"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bffleet"
)

const (
	fromFleet = "`bffleet`, `bfwire`"
	// routedBeats is an entry's beats per second to each control VM.
	routedBeats = 2.0
	// routedServers is the registry in the projection: 52 sites with 20 backend servers.
	routedServers = 52 * 20
	// routedRoutes is the route table in the projection.
	routedRoutes = 1000.0
	// routedChanges are the changes of the registry in a day: each server is replaced
	// once, in three steps (a new one, a drain, an end).
	routedChanges = 3.0 * routedServers
)

// routedFits holds the measured lines of a routed deployment.
type routedFits struct {
	controlBytes, controlCPU Fit
	listBytes, listCPU       Fit
	changedBytes, changedCPU Fit
	routeBytes, routeCPU     Fit
	// entryBytes is the size of an entry's beat.
	entryBytes float64
}

func measureRouted() (*routedFits, error) {
	m := &routedFits{}
	beat, err := bfwire.Encode(newEntryBeat())
	if err != nil {
		return nil, fmt.Errorf("bfcapacity: %w", err)
	}
	m.entryBytes = float64(len(beat))
	m.controlBytes, m.controlCPU = codecFits("control VM's beat", "control VM", fromFleet, []int{3, 5, 7, 11}, newControlBeat)
	m.listBytes, m.listCPU = codecFits("whole list of backend servers", "backend server", fromFleet, []int{44, 312, 1040, 4000}, func(n int) bffleet.Update {
		servers := newServers(n)
		return bffleet.Update{Revision: 1 << 20, Servers: &servers}
	})
	m.changedBytes, m.changedCPU = codecFits("changed backend servers", "changed backend server", fromFleet, []int{1, 2, 5, 20}, func(n int) bffleet.Update {
		return bffleet.Update{Revision: 1 << 20, ChangedServers: newServers(n)}
	})
	m.routeBytes, m.routeCPU = codecFits("route table", "route", fromFleet, []int{10, 100, 300, 1000}, func(n int) bffleet.Update {
		return bffleet.Update{Revision: 1 << 20, Routes: newRoutes(n)}
	})
	return m, nil
}

func newEntryBeat() *bfwire.EntryHeartbeat {
	vm := newVM(7)
	return &bfwire.EntryHeartbeat{Ready: true, Revision: 1 << 20, Sequence: 1 << 20, Load: 0.61, Entry: bfwire.EntryInfo{
		Name: vm.Name, Region: vm.Region, FailureDomain: vm.FailureDomain, HTTP: vm.HTTP, RPC: vm.RPC, Gossip: vm.Gossip, Incarnation: vm.Incarnation,
	}}
}

func newControlBeat(n int) bfwire.ControlHeartbeat {
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

// routedBeat is an entry's beat with its answer, at each end.
func (m *Model) routedBeat() Load {
	size := m.controlBytes.At(replicas)
	l := Load{2, size.Plus(Estimate{Value: m.entryBytes + 2*headerBytes}), m.controlCPU.At(replicas).Plus(m.datagramCPU.At(size.Value))}
	return l.times(routedBeats)
}

// routedUpdates is what one entry fetches for changes of the registry and the routes.
func (m *Model) routedUpdates() Load {
	servers := Load{2, m.callBytes.At(1).Plus(m.changedBytes.At(1)), m.callCPU.At(1).Plus(m.changedCPU.At(1))}.times(routedChanges / secondsPerDay)
	routes := Load{2, m.callBytes.At(1).Plus(m.routeBytes.At(routedRoutes)), m.callCPU.At(1).Plus(m.routeCPU.At(routedRoutes))}.times(targetChangesPerDay / secondsPerDay)
	return servers.plus(routes)
}

// RoutedRoles returns the roles of a routed deployment at the target size.
func (m *Model) RoutedRoles() []Role {
	entries := float64(targetNodes - replicas)
	state := m.listBytes.At(routedServers).Plus(m.routeBytes.At(routedRoutes)).Times(1e-6)
	entry := m.routedBeat().times(replicas).plus(m.routedUpdates())
	control := m.routedBeat().times(entries).plus(m.routedUpdates().times(entries / replicas))
	return []Role{
		{Name: "entry", Mechanism: "beats to 7 control VMs, changes fetched from the nearest", State: "registry, route table, own load", Load: entry, Memory: state},
		{Name: "control VM", Mechanism: "beats of 513 entries, a seventh of the fetches", State: "the same, removals, accepted digests, entries", Load: control, Memory: state.Times(2), Reserved: true},
	}
}

func (m *Model) writeRouted(p *page) {
	p.printf("## Routed deployments at the target size\n\n%s\n", pageRouted)
	p.head("role", "mechanism", "state", "messages/s", "KB/s", "processor, % of a core", "state as encoded, MB", "limits")
	for _, r := range m.RoutedRoles() {
		p.row(r.Name, r.Mechanism, r.State, number(r.Messages), r.Bytes.Times(1e-3).String(), r.CPU.Times(1e-4).String(), r.Memory.String(), r.verdict(0, 0))
	}
	p.printf("\nAn entry's beat has %.0f bytes. One changed backend server costs an entry %s bytes; the whole list of %d would cost %s.\n\n",
		m.entryBytes, number(m.changedBytes.At(1).Value), routedServers, number(m.listBytes.At(routedServers).Value))
}
