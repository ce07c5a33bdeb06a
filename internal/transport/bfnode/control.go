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

// control is this VM's side of the control group.
type control struct {
	config briarferry.ConfigSource
	claims briarferry.Claimer
	// operators serves the operators' paths; it may be nil.
	operators http.Handler
	// drains returns the drains in force.
	drains func() []briarferry.Drain
	// describe adds the control group to this VM's status.
	describe func(s *bfapi.VMStatus)
	// placement carries reports to the leader; it is nil without a control group.
	placement bfplacement.Transport
	// planner runs while this VM leads; it is nil without a data folder.
	planner *bfplacement.Coordinator
	// handOver stops the replica, which hands leadership to another VM.
	handOver func()
}

// startControl starts the replica where this VM has a data folder, and the clients
// of the control group.
func (n *Node) startControl(ctx context.Context, group *errgroup.Group, mux *http.ServeMux) (*control, error) {
	if err := n.checkControl(); err != nil {
		return nil, err
	}
	if len(n.Control) == 0 {
		return n.aloneControl(), nil
	}
	client := &bfrpc.ControlClient{Targets: slices.Collect(maps.Values(n.Control)), Security: n.calls(nil)}
	holder := &bflease.Holder{Name: n.VM.Name, Incarnation: n.VM.Incarnation, Transport: client}
	client.OnIndex = holder.ObserveIndex
	replica, planner, handOver := n.startReplica(ctx, group, mux)
	group.Go(func() error {
		holder.Run(ctx)
		return nil
	})
	publishLease(holder)
	return &control{
		config: holder, claims: client, handOver: handOver, placement: client, planner: planner,
		operators: (&bfentry.Operators{Control: client, Tokens: n.tokens}).Handler(),
		drains:    func() []briarferry.Drain { return holder.State().Drains },
		describe:  func(s *bfapi.VMStatus) { describeControl(s, holder, replica) },
	}, nil
}

func (n *Node) checkControl() error {
	switch {
	case len(n.Control) == 0 && n.Alone == nil:
		return errors.New("bfnode: neither control VMs nor a configuration for a process that runs alone are given")
	case len(n.Control) > 0 && n.Alone != nil:
		return errors.New("bfnode: a configuration file is for a process without control VMs")
	case n.Data != "" && !n.Control[n.VM.Name].IsValid():
		return fmt.Errorf("bfnode: %s has a data folder but is not among the control VMs", n.VM.Name)
	}
	return nil
}

func (n *Node) aloneControl() *control {
	return &control{
		config:   bfentry.FixedConfig{Config: n.Alone},
		claims:   &bfentry.MemoryClaims{},
		drains:   func() []briarferry.Drain { return nil },
		describe: func(*bfapi.VMStatus) {},
		handOver: func() {},
	}
}

// startReplica starts the replica and its control service where this VM has a data
// folder. The returned function stops the replica alone: the network must outlive
// it, since its last messages hand leadership over.
func (n *Node) startReplica(ctx context.Context, group *errgroup.Group, mux *http.ServeMux) (briarferry.Replica, *bfplacement.Coordinator, func()) {
	if n.Data == "" {
		return nil, nil, func() {}
	}
	network := &bfrpc.RaftClient{Peers: n.Control, Security: n.calls(nil)}
	machine := bfmachine.New()
	replica := &bfreplica.Node{
		VM: n.VM.Name, Control: slices.Sorted(maps.Keys(n.Control)), Dir: n.Data,
		Machine: machine, Transport: network, Discovery: network, Log: n.Log,
	}
	planner := &bfplacement.Coordinator{
		Term:   func() (uint64, bool) { s := replica.Status(); return s.Term, s.IsLeader },
		Config: func() *briarferry.Config { return machine.State().Config },
	}
	service := &bfrpc.Control{
		Replica: replica, Machine: machine, Address: n.controlAddress, Placement: planner,
		Leases: &bflease.Leader{Replica: replica, Source: machine},
	}
	publishReplica(replica, machine, service.Leases)
	bfrpc.HandleRaft(mux, replica)
	service.Register(mux)
	group.Go(func() error { return network.Run(ctx) })
	work, handOver := context.WithCancel(ctx)
	group.Go(func() error { return replica.Run(work) })
	return replica, planner, handOver
}

// controlAddress returns the RPC address of a replica, whose id is "vm/disk".
func (n *Node) controlAddress(id string) (netip.AddrPort, bool) {
	address, ok := n.Control[bfreplica.VMOf(id)]
	return address, ok
}

func describeControl(s *bfapi.VMStatus, holder *bflease.Holder, replica briarferry.Replica) {
	if replica != nil {
		if r := replica.Status(); r.IsLeader {
			s.Role, s.Voters, s.Learners = bfapi.RoleLeader, r.Voters, r.Learners
		}
	}
	state := holder.State()
	s.ConfigVersion = state.Version()
	s.ConfigChecksum = fmt.Sprintf("%016x", state.Checksum())
}
