// Package bfgateway implements the entry VM of a routed deployment: a reverse proxy that
// matches callers' requests to routes and forwards them to backend servers.
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
	"briarferry/internal/coordination/bfquota"
	"briarferry/internal/coordination/bfroute"
	"briarferry/internal/coordination/bfsteering"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bffleet"
	"briarferry/internal/transport/bfgossip"
	"briarferry/internal/transport/bflistener"
	"briarferry/internal/transport/bfrpc"
	"briarferry/internal/transport/bfupstream"
)

const (
	// abortMargin is the part of the grace period that is left when open requests are
	// answered without a server's answer, and closeMargin when their connections are closed.
	abortMargin = 400 * time.Millisecond
	closeMargin = 200 * time.Millisecond
	// stopTimeFactor is how many times a try's expected time must fit into the time until
	// open requests are aborted. Single tries take longer than expected.
	stopTimeFactor = 2
	// probeInterval is the interval at which the entry looks for servers that are due for a
	// probe, and probeTimeout the time limit of one probe.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	peerTimeout   = 500 * time.Millisecond
)

type (
	// Node is an entry VM. Its exported fields must be set before Run.
	Node struct {
		VM briarferry.VM
		// Bind is the IP address to listen on if it isn't the VM's own.
		Bind netip.Addr
		// Regions maps each failure domain to its region.
		Regions map[string]string
		// Seeds returns the addresses of some control VMs; ControlGossipPort is the port on
		// which all control VMs receive heartbeats.
		Seeds             func() []netip.Addr
		ControlGossipPort uint16
		// ReadyAddress and ReadyPath are the address and path of the readiness check.
		ReadyAddress netip.AddrPort
		ReadyPath    string
		Dialect      *bfapi.Dialect
		Limits       bfsteering.Limits
		// GracePeriod is the time from the stop signal to the end of the process, and
		// DrainTime the first part of it, in which new requests are still accepted.
		GracePeriod time.Duration
		DrainTime   time.Duration
		// MaxBodyMemory limits the total bytes of request bodies that are buffered at the
		// same time; zero means no limit.
		MaxBodyMemory int64
		// MaxAnswerMemory limits the total bytes of servers' answers that are held at the
		// same time; zero means the default of bfupstream.
		MaxAnswerMemory int64
		// QuotaTolerance is the excess over organisations' quotas that is accepted. It must be
		// the same at all entries.
		QuotaTolerance bfquota.Tolerance
		// LinkBandwidth is the bandwidth of the VM's link in each direction, in bytes per
		// second; zero means unknown.
		LinkBandwidth float64
		Log           zerolog.Logger

		bodyMemory bodyMemory
		meter      linkMeter
		fleet      *fleetSync
		quotas     *quotaSync
		steering   *bfsteering.Steering
		plan       planSync
		quarantine *bfquarantine.Quarantine
		upstream   *bfupstream.Client
		server     *callerServer
		listener   *bflistener.Listener
		routes     atomic.Pointer[bfroute.Table]
		active     atomic.Int64
		stopPhase  atomic.Int32
		// abortsAt is when open requests are aborted; it is nil unless the entry stops.
		abortsAt atomic.Pointer[time.Time]
		// aborting ends when open requests are aborted.
		aborting   context.Context
		abort      context.CancelFunc
		logSampler logSampler
		// invalidLoads logs invalid load reports.
		invalidLoads invalidHeaderLog
		// invalidNotices logs invalid times for which servers want no requests.
		invalidNotices invalidHeaderLog
	}
)

// The phases of a stop. A draining entry isn't ready but accepts new requests.
const (
	running int32 = iota
	draining
	refusing
)

func (n *Node) stopping() bool   { return n.stopPhase.Load() != running }
func (n *Node) refusesNew() bool { return n.stopPhase.Load() == refusing }

// isReady reports whether callers should be directed to this entry.
func (n *Node) isReady() bool { return n.routes.Load() != nil && !n.stopping() }

func (n *Node) setup() {
	n.aborting, n.abort = context.WithCancel(context.Background())
	n.fleet = &fleetSync{
		self: bfwire.EntryInfo{
			Name: n.VM.Name, Region: n.VM.Region, FailureDomain: n.VM.FailureDomain,
			HTTP: n.VM.HTTP, RPC: n.VM.RPC, Gossip: n.VM.Gossip, Incarnation: n.VM.Incarnation,
		},
		regions: n.Regions, seeds: n.Seeds, controlPort: n.ControlGossipPort, isReady: n.isReady, linkUtilization: n.meter.sample, onChange: n.update, log: n.Log,
	}
	n.quotas = newQuotaSync(n)
	n.fleet.onGrant, n.fleet.onEntries = n.quotas.receive, n.quotas.setEntries
	n.meter.bandwidth = n.LinkBandwidth
	n.fleet.setup()
	n.bodyMemory.limit = n.MaxBodyMemory
	n.steering = &bfsteering.Steering{
		Name: n.VM.Name, Region: n.VM.Region, FailureDomain: n.VM.FailureDomain, Regions: n.Regions, Limits: n.Limits, Log: n.Log,
		LinkBandwidth: n.LinkBandwidth,
		Entries:       func() int { return len(n.fleet.Live()) }, RegionPeers: n.fleet.regionPeerCount,
	}
	n.plan.node = n
	n.fleet.onPlan = n.plan.receive
	n.fleet.onRTT = n.steering.SetRoundTripTime
	n.steering.InContact, n.steering.LastContact = n.fleet.Connected, n.fleet.lastContact
	n.steering.Connected = func(address netip.AddrPort) bool { return n.upstream.HasIdle(address) }
	n.quarantine = &bfquarantine.Quarantine{
		Members: n.fleet, Peers: bfrpc.QuarantinePeers{HTTP: &http.Client{Timeout: peerTimeout}},
	}
	n.upstream = &bfupstream.Client{Dialect: n.Dialect, EntryCount: n.steering.Entries, MayUse: n.mayUse, Dial: n.dial, AnswerMemory: n.MaxAnswerMemory}
	n.server = &callerServer{handler: n, meter: &n.meter, log: n.Log}
	n.logSampler.log = n.Log
	n.invalidLoads.log, n.invalidLoads.message = n.Log, "invalid load report of a backend server ignored"
	n.invalidNotices.log, n.invalidNotices.message = n.Log, "invalid Retry-After of a backend server ignored"
	publishMetrics(n)
}

// mayUse reports whether a backend server may still get a request that was meant for it.
func (n *Node) mayUse(b briarferry.Backend) bool { return n.steering.MayUse(time.Now(), b) }

// dial opens a metered connection to a backend server.
func (n *Node) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return n.meter.wrap(c), nil
}

// update applies a new fleet state.
func (n *Node) update(s *bffleet.State) {
	if s.Routes != nil {
		if old := n.routes.Load(); old == nil || old.Version != s.Routes.Version {
			n.server.configure(n.listener.Addr(), s.Routes.Limits)
			n.quotas.update(s.Routes)
			n.routes.Store(bfroute.New(s.Routes))
			n.fleet.confirmations.Use(s.Routes.Version)
			if old == nil {
				n.fleet.announce()
			}
		}
	}
	n.steering.Update(time.Now(), s)
}

// Run serves until the context ends, then drains the entry and returns.
func (n *Node) Run(ctx context.Context) error {
	n.setup()
	n.Log.Info().Str("http", n.VM.HTTP.String()).Str("region", n.VM.Region).Str("failure_domain", n.VM.FailureDomain).Msg("starting entry")
	var err error
	if n.listener, err = bflistener.Listen(briarferry.ListenAt(n.Bind, n.VM.HTTP)); err != nil {
		return fmt.Errorf("bfgateway: %w", err)
	}
	n.server.configure(n.listener.Addr(), briarferry.EntryLimits{})
	n.fleet.gossip = &bfgossip.UDPNetwork{Listen: briarferry.ListenAt(n.Bind, n.VM.Gossip), Receive: n.fleet.receive, Log: n.Log}
	stopGossip, err := n.fleet.gossip.Start()
	if err != nil {
		return err
	}
	defer stopGossip()
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, runCtx := errgroup.WithContext(runCtx)
	mux := http.NewServeMux()
	bfrpc.HandleQuarantine(mux, n.quarantine)
	n.listen(runCtx, group, n.VM.RPC, bfrpc.NewServer(mux))
	n.listen(runCtx, group, n.ReadyAddress, &http.Server{Handler: n.readyHandler(), ReadHeaderTimeout: defaultHeaderTimeout})
	group.Go(func() error { return n.server.serve(n.listener) })
	group.Go(func() error { n.fleet.run(runCtx); return nil })
	group.Go(func() error { n.quotas.run(runCtx); return nil })
	group.Go(func() error { n.plan.run(runCtx); return nil })
	group.Go(func() error { return n.quarantine.Run(runCtx) })
	group.Go(func() error { n.probeServers(runCtx); return nil })
	group.Go(func() error { n.checkHealth(runCtx); return nil })
	group.Go(func() error { n.logSampler.run(runCtx); return nil })
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
	}
	n.drain(runCtx)
	cancel()
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	n.Log.Info().Msg("entry stopped")
	return nil
}

// drain accepts new requests for the drain time, while callers switch to other entries, and
// then waits for the requests in flight.
func (n *Node) drain(ctx context.Context) {
	started := time.Now()
	abortsAt := started.Add(n.GracePeriod - abortMargin)
	n.abortsAt.Store(&abortsAt)
	n.Log.Info().Int64("active", n.active.Load()).Dur("drain_for_ms", n.DrainTime).Dur("grace_ms", n.GracePeriod).Msg("draining entry")
	n.stopPhase.Store(draining)
	n.fleet.announce()
	select {
	case <-time.After(n.DrainTime):
	case <-ctx.Done():
	}
	n.stopPhase.Store(refusing)
	n.server.stopAccepting(n.listener)
	timer := time.AfterFunc(time.Until(abortsAt), n.abort)
	defer timer.Stop()
	end, cancel := context.WithDeadline(context.Background(), started.Add(n.GracePeriod-closeMargin))
	defer cancel()
	n.server.shutdown(end)
}

// timeForTry limits the time that a try may be expected to take, so that it ends before open
// requests are aborted.
func (n *Node) timeForTry(left time.Duration) time.Duration {
	abortsAt := n.abortsAt.Load()
	if abortsAt == nil {
		return left
	}
	return min(left, time.Until(*abortsAt)/stopTimeFactor)
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

// discardLog returns a logger that discards net/http's messages about single connections.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// readyHandler serves the readiness check.
func (n *Node) readyHandler() http.Handler {
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

// probeServers connects to ejected servers, and to those suspected because of an overdue
// answer, when they are due for a probe. It finds out whether they are available.
func (n *Node) probeServers(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, b := range n.steering.ServersToCheck(time.Now()) {
			go func() {
				ctx, cancel := context.WithTimeout(ctx, probeTimeout)
				defer cancel()
				n.steering.ReportCheck(time.Now(), b, probeOutcome(n.upstream.Probe(ctx, b)))
			}()
		}
	}
}

// probeOutcome classifies the result of a probe.
func probeOutcome(err error) bfsteering.Outcome {
	switch {
	case err == nil:
		return bfsteering.Answered
	case errors.Is(err, context.DeadlineExceeded):
		return bfsteering.Unreachable
	}
	return bfsteering.Refused
}
