package bfnode

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/coordination/bfbalancer"
	"briarferry/internal/coordination/bfmember"
	"briarferry/internal/coordination/bfslot"
	"briarferry/internal/state/bfbackend"
	"briarferry/internal/transport/bfgossip"
)

const readyUpdateInterval = 50 * time.Millisecond

var errTableFull = &briarferry.Refusal{
	Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun,
	Reason: "the table of backend servers is full", RetryAfter: time.Second,
}

// SharedState is the state that an entry exchanges with the other VMs by gossip: membership,
// announced backend servers and their slots. The exported fields up to Log must be set before
// Init.
type SharedState struct {
	VM       briarferry.VM
	Seeds    []netip.AddrPort
	Balancer briarferry.Balancer
	// Config provides the delays between regions and the floor shares of classes; if nil, all
	// of them are 0.
	Config briarferry.ConfigSource
	// Keys returns the keyring for datagrams; if nil, datagrams are not authenticated.
	Keys func() *bfgossip.Keyring
	Log  zerolog.Logger

	// Members, Table and Slots are set by Init.
	Members *bfmember.Members
	Table   *bfbackend.Table
	Slots   *bfslot.Pool

	node *bfgossip.Node
	net  *bfgossip.UDPNetwork
}

// newSharedState returns the initialized shared state of this VM.
func (n *Node) newSharedState(c *control) *SharedState {
	s := &SharedState{
		VM: n.VM, Seeds: n.Peers, Balancer: &bfbalancer.Balancer{Seed: n.VM.Incarnation}, Config: c.config, Keys: n.Security.gossipKeyring(), Log: n.Log,
	}
	s.Init()
	return s
}

// Init creates Members, Table and Slots, so that other components can refer to them before Run.
func (s *SharedState) Init() {
	s.Members = bfmember.NewMembers(s.VM, s.Seeds)
	s.Table = &bfbackend.Table{Origin: s.VM.Name}
	s.net = &bfgossip.UDPNetwork{Listen: s.VM.Gossip, Log: s.Log}
	s.node = &bfgossip.Node{Members: s.Members, Table: s.Table, Network: s.net, Keys: s.Keys, Log: s.Log}
	s.Slots = &bfslot.Pool{Members: s.Members, Table: s.Table, Balancer: s.Balancer, Sender: s.node, Delay: s.delay, FloorShare: s.floorShare}
	s.node.Slots = s.Slots
	s.net.Receive = s.node.Receive
}

// Run exchanges messages with other VMs until the context ends. ready reports whether this VM
// may get new requests.
func (s *SharedState) Run(ctx context.Context, ready func() bool) error {
	stop, err := s.net.Start()
	if err != nil {
		return err
	}
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _ = s.Slots.Run(ctx) })
	wg.Go(func() { s.updateReadyFlag(ctx, ready) })
	return s.node.Run(ctx)
}

// updateReadyFlag regularly updates the flag that tells other VMs whether this VM may get new
// requests.
func (s *SharedState) updateReadyFlag(ctx context.Context, ready func() bool) {
	ticker := time.NewTicker(readyUpdateInterval)
	defer ticker.Stop()
	for {
		s.Members.SetFlag(bfmember.FlagReady, ready())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Announce stores an announcement of a backend server. Heartbeats carry it to the other VMs.
func (s *SharedState) Announce(a briarferry.Announcement) error {
	_, err := s.Table.Announce(time.Now(), a)
	switch {
	case errors.Is(err, bfbackend.ErrStale):
		return nil // a newer announcement of the server is already stored
	case errors.Is(err, bfbackend.ErrFull):
		return errTableFull
	}
	return err
}

// Synced reports whether this VM knows all announced backend servers.
func (s *SharedState) Synced() bool { return s.node.Synced() }

// MayTakeRequests reports whether a live VM may get new requests according to its own flag.
func (s *SharedState) MayTakeRequests(vm briarferry.VM) bool { return s.Members.IsReady(vm.Name) }

// delay returns the configured one-way delay to a region, or 0 if none is configured.
func (s *SharedState) delay(region string) time.Duration {
	if s.Config == nil || region == s.VM.Region {
		return 0
	}
	cfg, _, ok := s.Config.Current()
	if !ok {
		return 0
	}
	for _, l := range cfg.Links {
		if l.Regions == [2]string{region, s.VM.Region} || l.Regions == [2]string{s.VM.Region, region} {
			return l.OneWayDelay.Std()
		}
	}
	return 0
}

// floorShare returns the configured floor share of the class with the given urgency.
func (s *SharedState) floorShare(urgency int) float64 {
	if s.Config == nil {
		return 0
	}
	if cfg, _, ok := s.Config.Current(); ok {
		for _, class := range cfg.Classes {
			if class.Urgency == urgency {
				return class.FloorShare
			}
		}
	}
	return 0
}
