package bfnode

import (
	"context"

	"golang.org/x/sync/errgroup"

	"briarferry"
	"briarferry/internal/transport/bfentry"
)

// fleet is what this VM knows of the other VMs and of the backend servers.
type fleet struct {
	members       briarferry.Members
	announcements bfentry.Announcements
	pool          briarferry.SlotPool
	// serviceSlots returns the number of slots of a whole service.
	serviceSlots func(service string) int
	// leave tells the other VMs that this one drains.
	leave func()
}

// startFleet starts membership, announcements and the slot pool.
func (n *Node) startFleet(_ context.Context, _ *errgroup.Group, _ *control) (*fleet, error) {
	pool := &bfentry.PlainPool{Share: 1}
	return &fleet{
		members:       bfentry.FixedMembers{Own: n.VM, All: []briarferry.VM{n.VM}},
		announcements: pool,
		pool:          pool,
		serviceSlots:  pool.Capacity,
		leave:         func() {},
	}, nil
}
