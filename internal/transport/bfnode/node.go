// Package bfnode assembles the process of an entry VM from its parts.
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
	stopWithin = 60 * time.Second
	// lingerFor keeps the RPC server and the replica up after the entry has stopped,
	// so that the last claims are completed and leadership is handed over.
	lingerFor = time.Second
)

// Node is the process of one entry VM. Its fields are set before Run.
type Node struct {
	VM briarferry.VM
	// Peers are the gossip addresses of the other VMs.
	Peers []netip.AddrPort
	// Control gives the RPC addresses of the control VMs by name.
	Control map[string]netip.AddrPort
	// DataDir is the data folder; it makes this VM a control replica.
	DataDir string
	// StandaloneConfig is the configuration of a process that runs without a control group.
	StandaloneConfig *briarferry.Config
	// TrustedResolvers are the resolvers that may name the client of a look-up.
	TrustedResolvers []netip.Prefix
	// Token must come with operators' changes; empty asks for none.
	Token    string
	Security Security
	DrainFor time.Duration
	Log      zerolog.Logger
}

// Run serves until ctx ends, then drains and stops.
func (n *Node) Run(ctx context.Context) error {
	// Parts outlive ctx: they serve the entry while it drains.
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, parts := errgroup.WithContext(parts)
	mux := http.NewServeMux()
	n.Security.watch(parts, group, n.Log)

	control, err := n.startControl(parts, group, mux)
	if err != nil {
		return err
	}
	entry, sharing, err := n.startEntry(parts, group, mux, control)
	if err != nil {
		return err
	}
	server := &bfentry.Server{
		Listen: n.VM.HTTP, Entry: entry, TLS: n.Security.HTTP, Log: n.Log, DrainFor: n.DrainFor, ShutdownTimeout: stopWithin,
	}
	group.Go(func() error {
		defer stop()
		defer func() {
			control.handOver()
			sharing.Members.Leave()
			time.Sleep(lingerFor)
		}()
		// The server also stops where another part has failed.
		both, cancel := context.WithCancel(ctx)
		defer context.AfterFunc(parts, cancel)()
		return server.Run(both)
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// startEntry assembles the entry and starts what it shares with other VMs.
func (n *Node) startEntry(parts context.Context, group *errgroup.Group, mux *http.ServeMux, control *control) (*bfentry.Entry, *Sharing, error) {
	sharing := n.newSharing(control)
	queue := &bfadmission.Admitter{Pool: sharing.Slots, Slots: sharing.Slots.Slots}
	entry := &bfentry.Entry{
		Config:           control.config,
		Members:          sharing.Members,
		Announcements:    sharing,
		TrustedResolvers: n.TrustedResolvers,
		Pipeline:         n.newPipeline(parts, group, mux, control, sharing, queue),
		Operators:        control.operators,
		StatusClient:     n.Security.caller(),
	}
	drains := n.newDrains(control, sharing, entry.InFlight())
	placed := &bfplacement.Entry{Members: sharing.Members, MayTakeWork: drains.mayTakeWork}
	entry.Placement = placed
	steering := n.startPlacement(parts, group, control, sharing, drains, placed)
	entry.Steering = steering
	entry.DrainedByOperator = func() bool { return !drains.tracker.MayTakeVM(n.VM) }
	entry.AddStatus = func(s *bfapi.VMStatus) {
		control.describe(s)
		drains.describe(s)
		describePlacement(s, control.planner, steering)
		if cfg, _, ok := control.config.Current(); ok {
			describeServices(s, sharing, queue, cfg)
		}
	}
	group.Go(func() error { return drains.Run(parts) })
	if err := n.serveRPC(parts, group, mux); err != nil {
		return nil, nil, err
	}
	group.Go(func() error { return sharing.Run(parts, entry.Ready) })
	return entry, sharing, nil
}

func (n *Node) serveRPC(ctx context.Context, group *errgroup.Group, mux *http.ServeMux) error {
	ln, err := net.Listen("tcp", n.VM.RPC.String())
	if err != nil {
		return fmt.Errorf("bfnode: listen for calls: %w", err)
	}
	calls := n.calls(nil)
	srv := calls.NewServer(mux)
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	group.Go(func() error {
		if err := calls.Serve(srv, ln); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("bfnode: serve calls: %w", err)
		}
		return nil
	})
	return nil
}
