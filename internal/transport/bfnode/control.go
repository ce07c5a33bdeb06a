package bfnode

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"

	"golang.org/x/sync/errgroup"

	"briarferry"
	"briarferry/internal/coordination/bflease"
	"briarferry/internal/coordination/bfplacement"
	"briarferry/internal/coordination/bfreplica"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/state/bfmachine"
	"briarferry/internal/transport/bfentry"
	"briarferry/internal/transport/bfrpc"
)

// control is this VM's access to the control group.
type control struct {
	config briarferry.ConfigSource
	claims briarferry.Claimer
	// operators handles the operator API; it may be nil.
	operators http.Handler
	// drains returns the drains in force.
	drains func() []briarferry.Drain
	// addStatus adds the state of the control group to this VM's status.
	addStatus func(s *bfapi.VMStatus)
	// placement sends reports to the leader; it is nil without a control group.
	placement bfplacement.Transport
	// coordinator plans the placement while this VM is the leader; it is nil without a data
	// directory.
	coordinator *bfplacement.Coordinator
	// stopReplica stops the replica, which then transfers its leadership to another VM.
	stopReplica func()
}

// startControl starts the clients of the control group, and the replica if this VM has a data
// directory.
func (n *Node) startControl(ctx context.Context, group *errgroup.Group, mux *http.ServeMux) (*control, error) {
	if err := n.validateControl(); err != nil {
		return nil, err
	}
	if len(n.Control) == 0 {
		return n.standaloneControl(), nil
	}
	client := &bfrpc.ControlClient{Targets: slices.Collect(maps.Values(n.Control)), Security: n.rpcSecurity(nil)}
	holder := &bflease.Holder{Name: n.VM.Name, Incarnation: n.VM.Incarnation, Transport: client}
	client.OnIndex = holder.ObserveIndex
	replica, coordinator, stopReplica := n.startReplica(ctx, group, mux)
	group.Go(func() error {
		holder.Run(ctx)
		return nil
	})
	publishLease(holder)
	return &control{
		config: holder, claims: client, stopReplica: stopReplica, placement: client, coordinator: coordinator,
		operators: (&bfentry.OperatorAPI{Control: client, Tokens: n.operatorTokens}).Handler(),
		drains:    func() []briarferry.Drain { return holder.State().Drains },
		addStatus: func(s *bfapi.VMStatus) { addControlStatus(s, holder, replica) },
	}, nil
}

// validateControl checks that the control VMs, the configuration of a standalone process and the
// data directory fit together.
func (n *Node) validateControl() error {
	switch {
	case len(n.Control) == 0 && n.StandaloneConfig == nil:
		return errors.New("bfnode: either control VMs or the configuration of a standalone process must be given")
	case len(n.Control) > 0 && n.StandaloneConfig != nil:
		return errors.New("bfnode: the configuration of a standalone process must not be given together with control VMs")
	case n.DataDir != "" && !n.Control[n.VM.Name].IsValid():
		return fmt.Errorf("bfnode: %s has a data directory but is not among the control VMs", n.VM.Name)
	}
	return nil
}

// standaloneControl returns the control of a process without a control group.
func (n *Node) standaloneControl() *control {
	return &control{
		config:      bfentry.FixedConfig{Config: n.StandaloneConfig},
		claims:      &bfentry.MemoryClaims{},
		drains:      func() []briarferry.Drain { return nil },
		addStatus:   func(*bfapi.VMStatus) {},
		stopReplica: func() {},
	}
}

// startReplica starts the replica and its control service if this VM has a data directory. The
// returned function stops only the replica. The network must run longer, since the replica
// transfers its leadership with its last messages.
func (n *Node) startReplica(ctx context.Context, group *errgroup.Group, mux *http.ServeMux) (briarferry.Replica, *bfplacement.Coordinator, func()) {
	if n.DataDir == "" {
		return nil, nil, func() {}
	}
	network := &bfrpc.RaftClient{Peers: n.Control, Security: n.rpcSecurity(nil)}
	machine := bfmachine.New()
	replica := &bfreplica.Node{
		VM: n.VM.Name, Control: slices.Sorted(maps.Keys(n.Control)), Dir: n.DataDir,
		Machine: machine, Transport: network, Discovery: network, Log: n.Log,
	}
	coordinator := &bfplacement.Coordinator{
		Term:   func() (uint64, bool) { s := replica.Status(); return s.Term, s.IsLeader },
		Config: func() *briarferry.Config { return machine.State().Config },
	}
	service := &bfrpc.Control{
		Replica: replica, Machine: machine, Address: n.controlAddress, Placement: coordinator,
		Leases: &bflease.Leader{Replica: replica, Source: machine},
	}
	publishReplica(replica, machine, service.Leases)
	bfrpc.HandleRaft(mux, replica)
	service.Register(mux)
	group.Go(func() error { return network.Run(ctx) })
	replicaCtx, stopReplica := context.WithCancel(ctx)
	group.Go(func() error { return replica.Run(replicaCtx) })
	return replica, coordinator, stopReplica
}

// controlAddress returns the RPC address of a replica, whose id has the form "vm/disk".
func (n *Node) controlAddress(id string) (netip.AddrPort, bool) {
	address, ok := n.Control[bfreplica.VMOf(id)]
	return address, ok
}

// addControlStatus adds the version of the configuration, and on the leader the members of the
// control group.
func addControlStatus(s *bfapi.VMStatus, holder *bflease.Holder, replica briarferry.Replica) {
	if replica != nil {
		if r := replica.Status(); r.IsLeader {
			s.Role, s.Voters, s.Learners = bfapi.RoleLeader, r.Voters, r.Learners
		}
	}
	state := holder.State()
	s.ConfigVersion = state.Version()
	s.ConfigChecksum = fmt.Sprintf("%016x", state.Checksum())
}
