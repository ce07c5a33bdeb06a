// Package bfcontrol is the process of a control VM in a routed deployment: a replica of
// the agreement log, the registry of backend servers, the operators' orders and the
// directory of entries.
package bfcontrol

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
	"briarferry/internal/coordination/bfreplica"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bffleet"
	"briarferry/internal/transport/bfgossip"
	"briarferry/internal/transport/bfrpc"
)

const (
	// stopTimeout bounds what is left to do once leadership is handed over.
	stopTimeout = 500 * time.Millisecond
	// apiHeaderTimeout and apiIdleTimeout bound connections of operators, backend
	// servers and look-ups.
	apiHeaderTimeout = 5 * time.Second
	apiIdleTimeout   = 30 * time.Second
	// minNotice is the shortest time between two notices of new states.
	minNotice = 20 * time.Millisecond
)

type (
	// Node is the process of a control VM. Its exported fields are set before Run.
	Node struct {
		// Address names this VM's replica; other VMs reach it there at the RPC port.
		Address netip.Addr
		// Bind is the IP address to listen on where it isn't Address.
		Bind          netip.Addr
		FailureDomain string
		RPC           netip.AddrPort
		Gossip        netip.AddrPort
		// Seeds returns the addresses of some control VMs.
		Seeds func() []netip.Addr
		// Bootstrap lets the seeds form a new group.
		Bootstrap bool
		// Data is the data folder.
		Data string
		// Regions gives the region of each failure domain.
		Regions map[string]string
		// LookupTTL bounds how long callers may use the answer of a look-up; zero sets
		// no bound of its own.
		LookupTTL time.Duration
		// MaxShift is the share of a region's requests that may move to another region
		// within 2 s; 0 sets no limit.
		MaxShift float64
		// HTTP serves the given handlers.
		HTTP map[netip.AddrPort]http.Handler
		Log  zerolog.Logger

		machine  *bffleet.Machine
		replica  *bfreplica.Node
		gossip   *bfgossip.UDPNetwork
		entries  *entryTable
		registry registry
		reports  reportTimes
		leaders  leaderCalls
	}
)

// Setup prepares the parts that handlers use; Run calls it too.
func (n *Node) Setup() {
	if n.machine != nil {
		return
	}
	n.machine = bffleet.New()
	n.entries = &entryTable{regions: n.Regions, log: n.Log, spread: spread{maxShift: n.MaxShift, log: n.Log}}
	n.registry.log = n.Log
	n.reports.since = time.Now()
	n.leaders.setup()
	network := &bfrpc.RaftClient{Resolve: n.resolve}
	n.replica = &bfreplica.Node{
		VM: n.Address.String(), Control: names(n.Seeds()), OpenMembership: true, JoinOnly: !n.Bootstrap, PersistCommit: true,
		Seeds: func() []string { return names(n.Seeds()) },
		Dir:   n.Data, Machine: n.machine, Transport: network, Discovery: network, Log: n.Log,
	}
	publish(n)
}

// resolve returns the RPC address of a control VM, which is named by its IP address.
func (n *Node) resolve(vm string) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddr(vm)
	if err != nil {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(addr, n.RPC.Port()), true
}

func names(addrs []netip.Addr) []string {
	out := make([]string, len(addrs))
	for i, a := range addrs {
		out[i] = a.String()
	}
	return out
}

// Run serves until the context ends, hands leadership over and stops.
func (n *Node) Run(ctx context.Context) error {
	n.Setup()
	n.Log.Info().Str("address", n.Address.String()).Strs("seeds", names(n.Seeds())).Bool("bootstrap", n.Bootstrap).Msg("control VM starts")
	n.gossip = &bfgossip.UDPNetwork{Listen: briarferry.ListenAt(n.Bind, n.Gossip), Receive: n.receive, Log: n.Log}
	stopGossip, err := n.gossip.Start()
	if err != nil {
		return err
	}
	defer stopGossip()
	network, stopNetwork := context.WithCancel(context.WithoutCancel(ctx))
	group, network := errgroup.WithContext(network)
	servers, err := n.listen(group)
	if err != nil {
		stopNetwork()
		return err
	}
	raft := n.replica.Transport.(*bfrpc.RaftClient)
	group.Go(func() error { return raft.Run(network) })
	group.Go(func() error { n.notify(network); return nil })
	group.Go(func() error { n.sweepLoop(network); return nil })
	err = n.replica.Run(ctx)
	n.Log.Info().Err(err).Msg("control VM stops")
	stopNetwork()
	n.shutdown(servers)
	if waitErr := group.Wait(); err == nil && !errors.Is(waitErr, context.Canceled) {
		err = waitErr
	}
	return err
}

// listen opens all HTTP servers: one for other VMs, and those of the callers' side.
func (n *Node) listen(group *errgroup.Group) ([]*http.Server, error) {
	mux := http.NewServeMux()
	bfrpc.HandleRaft(mux, n.replica)
	bfrpc.HandleFleet(mux, n)
	rpc := bfrpc.NewServer(mux)
	servers := []*http.Server{rpc}
	if err := n.serve(group, rpc, n.RPC); err != nil {
		return nil, err
	}
	for address, handler := range n.HTTP {
		s := &http.Server{Handler: handler, ReadHeaderTimeout: apiHeaderTimeout, IdleTimeout: apiIdleTimeout}
		if err := n.serve(group, s, address); err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

func (n *Node) serve(group *errgroup.Group, s *http.Server, address netip.AddrPort) error {
	ln, err := net.Listen("tcp", briarferry.ListenAt(n.Bind, address).String())
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
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close()
		}
	}
}

// receive handles the datagram of an entry.
func (n *Node) receive(data []byte) {
	m, err := bfwire.Decode(data)
	if err != nil {
		counters.badDatagrams.Add(1)
		return
	}
	beat, ok := m.(*bfwire.EntryHeartbeat)
	if !ok {
		counters.badDatagrams.Add(1)
		return
	}
	if n.entries.hear(time.Now(), beat) {
		n.tell(beat.Entry.Gossip, beat.Sequence)
	}
}

// tell sends the entry what this VM knows.
func (n *Node) tell(to netip.AddrPort, echo uint64) {
	data, err := bfwire.Encode(&bfwire.ControlHeartbeat{
		From: n.RPC, FailureDomain: n.FailureDomain, Revision: n.machine.State().Revision, EchoSequence: echo,
		ControlAddrs: n.controls(), EntriesDigest: n.entries.digest(time.Now()),
	})
	if err != nil {
		n.Log.Error().Err(err).Msg("beat not encoded")
		return
	}
	n.gossip.Send(to, data)
}

// controls returns the addresses of the group's members.
func (n *Node) controls() []netip.Addr {
	s := n.replica.Status()
	var out []netip.Addr
	for _, id := range append(s.Voters, s.Learners...) {
		if a, ok := n.resolve(bfreplica.VMOf(id)); ok {
			out = append(out, a.Addr())
		}
	}
	return out
}

// notify tells all live entries about each new state.
func (n *Node) notify(ctx context.Context) {
	for {
		changed := n.machine.Changed()
		for _, to := range n.entries.live(time.Now()) {
			n.tell(to.Gossip, 0)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		time.Sleep(minNotice)
	}
}
