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

const readyInterval = 50 * time.Millisecond

var errTableFull = &briarferry.Refusal{
	Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun,
	Reason: "the table of backend servers is full", RetryAfter: time.Second,
}

// Sharing is what an entry shares with the other VMs: membership, announced
// backend servers and their slots. Its exported fields are set before Open.
type Sharing struct {
	VM       briarferry.VM
	Seeds    []netip.AddrPort
	Balancer briarferry.Balancer
	// Config gives the delays between regions; nil stands for none.
	Config briarferry.ConfigSource
	// Keys returns the keyring for datagrams; nil leaves them without tags.
	Keys func() *bfgossip.Keyring
	Log  zerolog.Logger

	// Members, Table and Slots are set by Open.
	Members *bfmember.Members
	Table   *bfbackend.Table
	Slots   *bfslot.Pool

	node *bfgossip.Node
	net  *bfgossip.UDPNetwork
}

// newSharing creates what this VM shares with the others.
func (n *Node) newSharing(c *control) *Sharing {
	s := &Sharing{
		VM: n.VM, Seeds: n.Peers, Balancer: &bfbalancer.Balancer{Seed: n.VM.Incarnation}, Config: c.config, Keys: n.Security.keys(), Log: n.Log,
	}
	s.Open()
	return s
}

// Open creates the parts, so that others can refer to them before Run.
func (s *Sharing) Open() {
	s.Members = bfmember.NewMembers(s.VM, s.Seeds)
	s.Table = &bfbackend.Table{Origin: s.VM.Name}
	s.net = &bfgossip.UDPNetwork{Listen: s.VM.Gossip, Log: s.Log}
	s.node = &bfgossip.Node{Members: s.Members, Table: s.Table, Network: s.net, Keys: s.Keys, Log: s.Log}
	s.Slots = &bfslot.Pool{Members: s.Members, Table: s.Table, Balancer: s.Balancer, Sender: s.node, Delay: s.delay, FloorShare: s.floorShare}
	s.node.Slots = s.Slots
	s.net.Receive = s.node.Receive
}

// Run exchanges messages until the context ends; ready tells whether this VM takes
// new work.
func (s *Sharing) Run(ctx context.Context, ready func() bool) error {
	stop, err := s.net.Start()
	if err != nil {
		return err
	}
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _ = s.Slots.Run(ctx) })
	wg.Go(func() { s.publishReady(ctx, ready) })
	return s.node.Run(ctx)
}

func (s *Sharing) publishReady(ctx context.Context, ready func() bool) {
	ticker := time.NewTicker(readyInterval)
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

// Announce stores what a backend server told this VM; the heartbeats spread it.
func (s *Sharing) Announce(a briarferry.Announcement) error {
	_, err := s.Table.Announce(time.Now(), a)
	switch {
	case errors.Is(err, bfbackend.ErrStale):
		return nil // the server announced something newer meanwhile
	case errors.Is(err, bfbackend.ErrFull):
		return errTableFull
	}
	return err
}

// Synced tells whether this VM knows all announced backend servers.
func (s *Sharing) Synced() bool { return s.node.Synced() }

// MayTakeWork tells whether a live VM reports that it takes new work.
func (s *Sharing) MayTakeWork(vm briarferry.VM) bool { return s.Members.IsReady(vm.Name) }

func (s *Sharing) delay(region string) time.Duration {
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

// floorShare returns the configured floor of the class with an urgency.
func (s *Sharing) floorShare(urgency int) float64 {
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
