// Package bfnode assembles the process of an entry VM from the other packages.
package bfnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"briarferry"
	"briarferry/internal/coordination/bfadmission"
	"briarferry/internal/coordination/bfplacement"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bfentry"
)

const (
	shutdownTimeout = 60 * time.Second
	// rpcShutdownDelay is how long the RPC server and the network of the replica keep running
	// after the entry has stopped, so that the last claims are completed and leadership is
	// transferred.
	rpcShutdownDelay = time.Second
)

// Node is the process of one entry VM. Its fields must be set before Run.
type Node struct {
	VM briarferry.VM
	// Peers are the gossip addresses of the other VMs.
	Peers []netip.AddrPort
	// Control maps the names of the control VMs to their RPC addresses.
	Control map[string]netip.AddrPort
	// DataDir is the data directory. If it is set, this VM runs a replica of the control group.
	DataDir string
	// StandaloneConfig is the configuration of a process without a control group.
	StandaloneConfig *briarferry.Config
	// TrustedResolvers are the resolvers that may name the caller of a look-up.
	TrustedResolvers []netip.Prefix
	// Token authorizes changes by operators. If it is empty and Security has no tokens,
	// changes need no token.
	Token    string
	Security Security
	// DrainFor is the time from the start of a drain until new requests are refused.
	DrainFor time.Duration
	Log      zerolog.Logger
}

// Run serves until ctx ends, then drains and shuts down.
func (n *Node) Run(ctx context.Context) error {
	// The components run longer than ctx because the entry needs them while it drains.
	componentCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, componentCtx := errgroup.WithContext(componentCtx)
	mux := http.NewServeMux()
	n.Security.watchFiles(componentCtx, group, n.Log)

	control, err := n.startControl(componentCtx, group, mux)
	if err != nil {
		return err
	}
	entry, shared, err := n.startEntry(componentCtx, group, mux, control)
	if err != nil {
		return err
	}
	server := &bfentry.Server{
		Listen: n.VM.HTTP, Entry: entry, TLS: n.Security.HTTP, Log: n.Log, DrainFor: n.DrainFor, ShutdownTimeout: shutdownTimeout,
	}
	group.Go(func() error {
		defer stop()
		defer func() {
			control.stopReplica()
			shared.Members.Leave()
			time.Sleep(rpcShutdownDelay)
		}()
		// The server must also stop if another component has failed.
		serverCtx, cancel := context.WithCancel(ctx)
		defer context.AfterFunc(componentCtx, cancel)()
		return server.Run(serverCtx)
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// startEntry assembles the entry and starts the components that it depends on.
func (n *Node) startEntry(ctx context.Context, group *errgroup.Group, mux *http.ServeMux, control *control) (*bfentry.Entry, *SharedState, error) {
	shared := n.newSharedState(control)
	admitter := &bfadmission.Admitter{Pool: shared.Slots, Slots: shared.Slots.TotalSlots}
	entry := &bfentry.Entry{
		Config:           control.config,
		Members:          shared.Members,
		Announcements:    shared,
		TrustedResolvers: n.TrustedResolvers,
		Pipeline:         n.newPipeline(ctx, group, mux, control, shared, admitter),
		Operators:        control.operators,
		StatusClient:     n.Security.statusClient(),
	}
	drains := n.newDrainMonitor(control, shared, entry.InFlight())
	selector := &bfplacement.EntrySelector{Members: shared.Members, MayTakeRequests: drains.mayTakeRequests}
	entry.Placement = selector
	agent := n.startPlacement(ctx, group, control, shared, drains, selector)
	entry.Steering = agent
	entry.DrainedByOperator = func() bool { return !drains.tracker.VMMayTakeRequests(n.VM) }
	entry.AddStatus = func(s *bfapi.VMStatus) {
		control.addStatus(s)
		drains.addStatus(s)
		addPlacementStatus(s, control.coordinator, agent)
		if cfg, _, ok := control.config.Current(); ok {
			addServiceStatus(s, shared, admitter, cfg)
		}
	}
	group.Go(func() error { return drains.Run(ctx) })
	if err := n.serveRPC(ctx, group, mux); err != nil {
		return nil, nil, err
	}
	group.Go(func() error { return shared.Run(ctx, entry.MayBeLookedUp) })
	return entry, shared, nil
}

// serveRPC starts the server for calls between VMs, which runs until ctx ends.
func (n *Node) serveRPC(ctx context.Context, group *errgroup.Group, mux *http.ServeMux) error {
	ln, err := net.Listen("tcp", n.VM.RPC.String())
	if err != nil {
		return fmt.Errorf("bfnode: listen for RPC: %w", err)
	}
	security := n.rpcSecurity(nil)
	srv := security.NewServer(mux)
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	group.Go(func() error {
		if err := security.Serve(srv, ln); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("bfnode: serve RPC: %w", err)
		}
		return nil
	})
	return nil
}
