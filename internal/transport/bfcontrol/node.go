// Package bfcontrol implements the control VM of a routed deployment: a Raft replica of the
// fleet state, the registry of backend servers, the operators' API and the look-up of
// entries.
package bfcontrol

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"briarferry"
	"briarferry/internal/coordination/bfquota"
	"briarferry/internal/coordination/bfreplica"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bffleet"
	"briarferry/internal/transport/bfcaller"
	"briarferry/internal/transport/bfgossip"
	"briarferry/internal/transport/bflistener"
	"briarferry/internal/transport/bfrpc"
)

const (
	// shutdownTimeout limits the wait for open requests after the replica has stopped.
	shutdownTimeout = 500 * time.Millisecond
	// apiHeaderTimeout and apiIdleTimeout apply to connections of operators, backend
	// servers and callers.
	apiHeaderTimeout = 5 * time.Second
	apiIdleTimeout   = 30 * time.Second
	// minNotifyInterval is the shortest time between two notifications of new states.
	minNotifyInterval = 20 * time.Millisecond
)

type (
	// Node is a control VM. Its exported fields must be set before Setup, except for
	// Handlers, which must be set before Run.
	Node struct {
		// Address is the address at which other VMs reach this one. It also names this VM's
		// replica.
		Address netip.Addr
		// Bind is the IP address to listen on if it isn't Address.
		Bind          netip.Addr
		FailureDomain string
		RPC           netip.AddrPort
		Gossip        netip.AddrPort
		// Seeds returns the addresses of some control VMs.
		Seeds func() []netip.Addr
		// Bootstrap allows the seeds to form a new group.
		Bootstrap bool
		// MaxLostVMs is the number of control VMs that may be lost at the same time, with their
		// disks.
		MaxLostVMs int
		// DataDir is the directory of the replica's files.
		DataDir string
		// Regions maps each failure domain to its region.
		Regions map[string]string
		// LookupTTL limits how long callers may cache a look-up, if it is shorter than
		// maxLookupTTL; zero means no limit besides maxLookupTTL.
		LookupTTL time.Duration
		// MaxShift is the largest share of a region's requests that may move to another
		// region within 2 s; zero means no limit.
		MaxShift float64
		// Handlers are the HTTP handlers to serve, by listen address.
		Handlers map[netip.AddrPort]http.Handler
		Log      zerolog.Logger

		machine *bffleet.Machine
		replica *bfreplica.Node
		gossip  *bfgossip.UDPNetwork
		entries *entryTable
		cold    coldTracker
		reports reportTimes
		// memberNews decides which heartbeats list the members of the group.
		memberNews memberNews
		clients    fleetClients
		homes      homeHosts
		quotas     *quotaOwner
		confirmer  tableConfirmer
		plan       planState
	}
)

// Setup creates the components that calls from Handlers use, such as the fleet state, the
// replica and the entry table. Run calls it if it was not called before.
func (n *Node) Setup() {
	if n.machine != nil {
		return
	}
	n.machine = bffleet.New()
	n.entries = &entryTable{regions: n.Regions, log: n.Log, spillover: spillover{maxShift: n.MaxShift, log: n.Log}}
	n.cold.log = n.Log
	n.plan.regions, n.plan.domains, n.plan.maxShift, n.plan.log = regionNames(n.Regions), n.Regions, n.MaxShift, n.Log
	n.reports.since = time.Now()
	n.clients.setup()
	network := &bfrpc.RaftClient{Resolve: n.resolve}
	n.replica = &bfreplica.Node{
		VM: n.Address.String(), Control: addressStrings(n.Seeds()), OpenMembership: true,
		MinVoters: 2*n.MaxLostVMs + 1, JoinOnly: !n.Bootstrap, PersistCommit: true,
		Seeds: func() []string { return addressStrings(n.Seeds()) },
		Dir:   n.DataDir, Machine: n.machine, Transport: network, Discovery: network, Log: n.Log,
	}
	n.quotas = newQuotaOwner(n)
	publishMetrics(n)
}

// resolve returns the RPC address of a control VM, whose name is its IP address.
func (n *Node) resolve(vm string) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddr(vm)
	if err != nil {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(addr, n.RPC.Port()), true
}

func addressStrings(addrs []netip.Addr) []string {
	out := make([]string, len(addrs))
	for i, a := range addrs {
		out[i] = a.String()
	}
	return out
}

// Run serves until the context ends or the replica fails. It transfers leadership before
// it returns.
func (n *Node) Run(ctx context.Context) error {
	n.Setup()
	n.Log.Info().Str("address", n.Address.String()).Strs("seeds", addressStrings(n.Seeds())).Bool("bootstrap", n.Bootstrap).Msg("starting control VM")
	n.gossip = &bfgossip.UDPNetwork{Listen: briarferry.ListenAt(n.Bind, n.Gossip), Receive: n.receive, Log: n.Log}
	stopGossip, err := n.gossip.Start()
	if err != nil {
		return err
	}
	defer stopGossip()
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	group, runCtx := errgroup.WithContext(runCtx)
	servers, err := n.listen(group)
	if err != nil {
		cancel()
		return err
	}
	raft := n.replica.Transport.(*bfrpc.RaftClient)
	group.Go(func() error { return raft.Run(runCtx) })
	group.Go(func() error { n.notify(runCtx); return nil })
	group.Go(func() error { n.expireLoop(runCtx); return nil })
	group.Go(func() error { n.quotas.run(runCtx); return nil })
	group.Go(func() error { n.planLoop(runCtx); return nil })
	group.Go(func() error { n.confirmLoop(runCtx); return nil })
	err = n.replica.Run(ctx)
	n.Log.Info().Err(err).Msg("stopping control VM")
	cancel()
	n.shutdown(servers)
	if waitErr := group.Wait(); err == nil && !errors.Is(waitErr, context.Canceled) {
		err = waitErr
	}
	return err
}

// listen starts the HTTP servers: one for other VMs, and those of Handlers.
func (n *Node) listen(group *errgroup.Group) ([]*http.Server, error) {
	mux := http.NewServeMux()
	bfrpc.HandleRaft(mux, n.replica)
	bfrpc.HandleFleet(mux, n)
	rpc := bfrpc.NewServer(mux)
	servers := []*http.Server{rpc}
	if err := n.serve(group, rpc, n.RPC); err != nil {
		return nil, err
	}
	for address, handler := range n.Handlers {
		s := &http.Server{Handler: handler, ReadHeaderTimeout: apiHeaderTimeout, IdleTimeout: apiIdleTimeout, ConnContext: bfcaller.WithConn}
		if err := n.serve(group, s, address); err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

func (n *Node) serve(group *errgroup.Group, s *http.Server, address netip.AddrPort) error {
	ln, err := bflistener.Listen(briarferry.ListenAt(n.Bind, address))
	if err != nil {
		return fmt.Errorf("bfcontrol: %w", err)
	}
	group.Go(func() error {
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("bfcontrol: serve %s: %w", address, err)
		}
		return nil
	})
	return nil
}

func (n *Node) shutdown(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close()
		}
	}
}

// receive handles a datagram from an entry.
func (n *Node) receive(data []byte) {
	m, err := bfwire.Decode(data)
	if err != nil {
		counters.badDatagrams.Add(1)
		return
	}
	if r, ok := m.(*bfquota.Report); ok {
		n.receiveReport(r)
		return
	}
	if report, ok := m.(*bfwire.PlanReport); ok {
		n.receivePlanReport(time.Now(), report)
		return
	}
	heartbeat, ok := m.(*bfwire.EntryHeartbeat)
	if !ok {
		counters.badDatagrams.Add(1)
		return
	}
	if n.entries.heartbeat(time.Now(), heartbeat) {
		if data, ok := n.encodeHeartbeat(heartbeat.Sequence); ok {
			n.gossip.Send(heartbeat.Entry.Gossip, data)
		}
		n.sendConfirmation(heartbeat)
	}
}

// encodeHeartbeat returns a message with this VM's revision and its digest of the live entries.
// Echo is the sequence of the entry's heartbeat that it answers, or 0.
func (n *Node) encodeHeartbeat(echo uint64) ([]byte, bool) {
	now := time.Now()
	h := &bfwire.ControlHeartbeat{
		From: n.RPC, FailureDomain: n.FailureDomain, Revision: n.machine.State().Revision, EchoSequence: echo,
		EntriesDigest: n.entries.digest(now),
	}
	if members := n.memberAddresses(); n.memberNews.due(now, echo, members) {
		h.ControlAddrs = members
	}
	data, err := bfwire.Encode(h)
	if err != nil {
		n.Log.Error().Err(err).Msg("encoding heartbeat failed")
		return nil, false
	}
	return data, true
}

// memberAddresses returns the addresses of the Raft group's members.
func (n *Node) memberAddresses() []netip.Addr {
	s := n.replica.Status()
	var out []netip.Addr
	for _, id := range append(s.Voters, s.Learners...) {
		if a, ok := n.resolve(bfreplica.VMOf(id)); ok {
			out = append(out, a.Addr())
		}
	}
	return out
}

// notify sends a heartbeat to all live entries whenever the state has changed.
func (n *Node) notify(ctx context.Context) {
	for {
		changed := n.machine.Changed()
		if data, ok := n.encodeHeartbeat(0); ok {
			for _, to := range n.entries.live(time.Now()) {
				n.gossip.Send(to.Gossip, data)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		time.Sleep(minNotifyInterval)
	}
}
