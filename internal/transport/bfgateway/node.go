// Package bfgateway is the process of an entry VM in a routed deployment: it takes
// callers' requests, finds their route and forwards them to backend servers.
package bfgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"briarferry"
	"briarferry/internal/coordination/bfquarantine"
	"briarferry/internal/coordination/bfroute"
	"briarferry/internal/coordination/bfsteering"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bffleet"
	"briarferry/internal/transport/bfgossip"
	"briarferry/internal/transport/bfrpc"
	"briarferry/internal/transport/bfupstream"
)

const (
	// stopMargin is kept free at the end of the grace time.
	stopMargin = 400 * time.Millisecond
	// checkInterval is the time between checks of servers that were left out, and
	// checkTimeout bounds one check.
	checkInterval = 100 * time.Millisecond
	checkTimeout  = 400 * time.Millisecond
	peerTimeout   = 500 * time.Millisecond
)

type (
	// Node is the process of an entry VM. Its exported fields are set before Run.
	Node struct {
		VM briarferry.VM
		// Bind is the IP address to listen on where it isn't the VM's own.
		Bind    netip.Addr
		Regions map[string]string
		// Seeds returns the addresses of some control VMs; ControlGossip is the port at
		// which they hear beats.
		Seeds         func() []netip.Addr
		ControlGossip uint16
		// Ready is the address at which the platform asks whether the entry is ready;
		// ReadyPath is the path.
		Ready     netip.AddrPort
		ReadyPath string
		Dialect   *bfapi.Dialect
		Limits    bfsteering.Limits
		// Grace is the time between the order to stop and the end of the process, and
		// DrainFor the time in which new requests are still taken.
		Grace    time.Duration
		DrainFor time.Duration
		// BodyRoom bounds the bytes of callers' bodies that are held at the same time;
		// zero sets no bound.
		BodyRoom int64
		// Bandwidth is that of the VM's link each way, in bytes per second; zero stands
		// for a link without a known limit.
		Bandwidth float64
		Log       zerolog.Logger

		room       bodyRoom
		meter      meter
		sync       *fleetSync
		steering   *bfsteering.Steering
		quarantine *bfquarantine.Quarantine
		upstream   *bfupstream.Client
		door       *door
		listener   net.Listener
		routes     atomic.Pointer[bfroute.Table]
		active     atomic.Int64
		stops      atomic.Int32
		sampler    sampler
	}
)

const (
	running int32 = iota
	draining
	refusing
)

func (n *Node) stopping() bool   { return n.stops.Load() != running }
func (n *Node) refusesNew() bool { return n.stops.Load() == refusing }

// isReady tells whether callers should be sent here.
func (n *Node) isReady() bool { return n.routes.Load() != nil && !n.stopping() }

func (n *Node) setup() {
	n.sync = &fleetSync{
		self: bfwire.EntryInfo{
			Name: n.VM.Name, Region: n.VM.Region, FailureDomain: n.VM.FailureDomain,
			HTTP: n.VM.HTTP, RPC: n.VM.RPC, Gossip: n.VM.Gossip, Incarnation: n.VM.Incarnation,
		},
		regions: n.Regions, seeds: n.Seeds, port: n.ControlGossip, ready: n.isReady, load: n.meter.sample, changed: n.update, log: n.Log,
	}
	n.meter.bandwidth = n.Bandwidth
	n.sync.setup()
	n.room.limit = n.BodyRoom
	n.steering = &bfsteering.Steering{
		Name: n.VM.Name, Region: n.VM.Region, FailureDomain: n.VM.FailureDomain, Regions: n.Regions, Limits: n.Limits, Log: n.Log,
		Entries: func() int { return len(n.sync.Live()) }, RegionPeers: n.sync.neighbours,
	}
	n.sync.delay = n.steering.SetRoundTripTime
	n.quarantine = &bfquarantine.Quarantine{
		Members: n.sync, Peers: bfrpc.QuarantinePeers{HTTP: &http.Client{Timeout: peerTimeout}},
	}
	n.upstream = &bfupstream.Client{Dialect: n.Dialect, Entries: n.steering.Entries, Dial: n.dial}
	n.door = &door{handler: n, meter: &n.meter, log: n.Log}
	n.sampler.log = n.Log
	publish(n)
}

// dial opens a connection to a backend server.
func (n *Node) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return n.meter.wrap(c), nil
}

// update takes over a new state.
func (n *Node) update(s *bffleet.State) {
	if s.Routes != nil {
		if old := n.routes.Load(); old == nil || old.Version != s.Routes.Version {
			n.door.configure(n.listener.Addr(), s.Routes.Limits)
			n.routes.Store(bfroute.New(s.Routes))
			if old == nil {
				n.sync.announce()
			}
		}
	}
	n.steering.Update(time.Now(), s)
}

// Run serves until the context ends, then finishes its requests and stops.
func (n *Node) Run(ctx context.Context) error {
	n.setup()
	n.Log.Info().Str("http", n.VM.HTTP.String()).Str("region", n.VM.Region).Str("failure_domain", n.VM.FailureDomain).Msg("entry starts")
	var err error
	if n.listener, err = net.Listen("tcp", briarferry.ListenAt(n.Bind, n.VM.HTTP).String()); err != nil {
		return fmt.Errorf("bfgateway: %w", err)
	}
	n.door.configure(n.listener.Addr(), briarferry.EdgeLimits{})
	n.sync.gossip = &bfgossip.UDPNetwork{Listen: briarferry.ListenAt(n.Bind, n.VM.Gossip), Receive: n.sync.receive, Log: n.Log}
	stopGossip, err := n.sync.gossip.Start()
	if err != nil {
		return err
	}
	defer stopGossip()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	mux := http.NewServeMux()
	bfrpc.HandleQuarantine(mux, n.quarantine)
	n.listen(work, group, n.VM.RPC, bfrpc.NewServer(mux))
	n.listen(work, group, n.Ready, &http.Server{Handler: n.readiness(), ReadHeaderTimeout: defaultHeaderTimeout})
	group.Go(func() error { return n.door.serve(n.listener) })
	group.Go(func() error { n.sync.run(work); return nil })
	group.Go(func() error { return n.quarantine.Run(work) })
	group.Go(func() error { n.check(work); return nil })
	group.Go(func() error { n.sampler.run(work); return nil })
	select {
	case <-ctx.Done():
	case <-work.Done():
	}
	n.stop(work)
	stop()
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	n.Log.Info().Msg("entry stopped")
	return nil
}

// stop takes new requests until callers have heard of the stop, and finishes those in
// flight.
func (n *Node) stop(ctx context.Context) {
	started := time.Now()
	n.Log.Info().Int64("active", n.active.Load()).Dur("drain_for_ms", n.DrainFor).Dur("grace_ms", n.Grace).Msg("entry stops")
	n.stops.Store(draining)
	n.sync.announce()
	select {
	case <-time.After(n.DrainFor):
	case <-ctx.Done():
	}
	n.stops.Store(refusing)
	_ = n.listener.Close()
	end, cancel := context.WithDeadline(context.Background(), started.Add(n.Grace-stopMargin))
	defer cancel()
	n.door.shutdown(end)
}

func (n *Node) listen(ctx context.Context, group *errgroup.Group, address netip.AddrPort, s *http.Server) {
	s.ErrorLog = discardLog()
	group.Go(func() error {
		ln, err := net.Listen("tcp", briarferry.ListenAt(n.Bind, address).String())
		if err != nil {
			return fmt.Errorf("bfgateway: %w", err)
		}
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stop()
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("bfgateway: serve %s: %w", address, err)
		}
		return nil
	})
}

// discardLog drops the lines of net/http about single connections; counters show them.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// readiness answers whether callers should be sent here.
func (n *Node) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != n.ReadyPath:
			w.WriteHeader(http.StatusNotFound)
		case !n.isReady():
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			w.WriteHeader(http.StatusOK)
		}
	})
}

// check opens a connection to each server that was left out, to see whether it is back.
func (n *Node) check(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, b := range n.steering.ServersToCheck(time.Now()) {
			go func() {
				ctx, cancel := context.WithTimeout(ctx, checkTimeout)
				defer cancel()
				n.steering.ReportCheck(time.Now(), b, checkOutcome(n.upstream.Probe(ctx, b)))
			}()
		}
	}
}

// checkOutcome classifies the result of opening a connection.
func checkOutcome(err error) bfsteering.Outcome {
	switch {
	case err == nil:
		return bfsteering.Answered
	case errors.Is(err, context.DeadlineExceeded):
		return bfsteering.Unreachable
	}
	return bfsteering.Refused
}
