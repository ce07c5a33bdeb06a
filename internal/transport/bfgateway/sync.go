package bfgateway

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bffleet"
	"briarferry/internal/transport/bfgossip"
	"briarferry/internal/transport/bfrpc"
)

const (
	beatInterval = 500 * time.Millisecond
	// queryTimeout bounds one fetch; a large route table needs some of it on a slow link.
	queryTimeout = 800 * time.Millisecond
	// controlExpiry is the time without a beat after which a control VM counts as lost.
	controlExpiry = 1800 * time.Millisecond
	// wakeQueue bounds the notices that wait; each one covers all earlier ones.
	wakeQueue = 1
)

type (
	// fleetSync keeps the entry's copy of the fleet's state up to date. Every control VM
	// answers the entry's beats with its revision, and the entry fetches what is new
	// from the nearest one that has it.
	fleetSync struct {
		self    bfwire.EntryInfo
		regions map[string]string
		seeds   func() []netip.Addr
		// port is the gossip port of control VMs.
		port  uint16
		ready func() bool
		// load measures the use of this VM's link.
		load    func(now time.Time) float64
		changed func(s *bffleet.State)
		delay   func(region string, rtt time.Duration)
		log     zerolog.Logger

		gossip *bfgossip.UDPNetwork
		client *http.Client
		state  atomic.Pointer[bffleet.State]
		live   atomic.Pointer[[]briarferry.VM]
		wake   chan struct{}
		beats  chan struct{}

		mu       sync.Mutex
		sequence uint64
		sent     map[uint64]time.Time
		controls map[netip.AddrPort]*controlState
		members  []netip.Addr
		// entriesSeen is the digest of the entries that were fetched last.
		entriesSeen uint64
	}

	// controlState is what a control VM has told.
	controlState struct {
		domain   string
		revision uint64
		entries  uint64
		heard    time.Time
		rtt      time.Duration
		lost     bool
		// failed is when a fetch failed last.
		failed time.Time
	}
)

func (f *fleetSync) setup() {
	f.state.Store(&bffleet.State{})
	f.live.Store(&[]briarferry.VM{f.self.VM()})
	f.wake, f.beats = make(chan struct{}, wakeQueue), make(chan struct{}, wakeQueue)
	f.sent = map[uint64]time.Time{}
	f.controls = map[netip.AddrPort]*controlState{}
	f.client = bfrpc.NewFleetClient()
}

// run beats and fetches until the context ends.
func (f *fleetSync) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.fetchLoop(ctx) })
	defer group.Wait()
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		f.beat(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.beats:
		}
	}
}

// announce sends a beat at once, as readiness has changed.
func (f *fleetSync) announce() { poke(f.beats) }

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (f *fleetSync) beat(now time.Time) {
	f.mu.Lock()
	f.sequence++
	sequence := f.sequence
	f.sent[sequence] = now
	delete(f.sent, sequence-16)
	targets := slices.Concat(f.seeds(), f.members)
	f.noteLosses(now)
	f.mu.Unlock()
	data, err := bfwire.Encode(&bfwire.EntryHeartbeat{Entry: f.self, Ready: f.ready(), Revision: f.state.Load().Revision, Sequence: sequence, Load: f.load(now)})
	if err != nil {
		f.log.Error().Err(err).Msg("beat not encoded")
		return
	}
	slices.SortFunc(targets, netip.Addr.Compare)
	for _, a := range slices.Compact(targets) {
		f.gossip.Send(netip.AddrPortFrom(a, f.port), data)
	}
}

func (f *fleetSync) noteLosses(now time.Time) {
	for from, c := range f.controls {
		if !c.lost && now.Sub(c.heard) > controlExpiry {
			c.lost = true
			f.log.Warn().Str("control", from.String()).Dur("silent_ms", now.Sub(c.heard)).Uint64("revision", c.revision).Msg("control VM lost")
		}
	}
}

// receive takes the datagram of a control VM.
func (f *fleetSync) receive(data []byte) {
	m, err := bfwire.Decode(data)
	if err != nil {
		counters.badDatagrams.Add(1)
		return
	}
	b, ok := m.(*bfwire.ControlHeartbeat)
	if !ok {
		counters.badDatagrams.Add(1)
		return
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.controls[b.From]
	if c == nil || c.lost {
		f.log.Info().Str("control", b.From.String()).Uint64("revision", b.Revision).Msg("control VM heard")
		c = &controlState{}
		f.controls[b.From] = c
	}
	c.domain, c.heard = b.FailureDomain, now
	// Datagrams may overtake each other; a control VM's revision only grows.
	c.revision, c.entries = max(c.revision, b.Revision), b.EntriesDigest
	if at, ok := f.sent[b.EchoSequence]; ok {
		c.rtt = now.Sub(at)
		if region := f.regions[b.FailureDomain]; region != "" {
			f.delay(region, c.rtt)
		}
	}
	if len(b.ControlAddrs) > 0 {
		f.members = b.ControlAddrs
	}
	if b.Revision > f.state.Load().Revision || b.EntriesDigest != f.entriesSeen {
		poke(f.wake)
	}
}

func (f *fleetSync) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		for ctx.Err() == nil && f.fetch(ctx) {
		}
	}
}

// fetch gets what is new from the nearest control VM that has it, and tells whether to
// look again.
func (f *fleetSync) fetch(ctx context.Context) bool {
	from, want, ok := f.source(time.Now())
	if !ok {
		return false
	}
	have := f.state.Load()
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	started := time.Now()
	reply, err := bfrpc.QueryFleet(ctx, f.client, from, &bfwire.FleetQuery{Revision: have.Revision, IncludeEntries: true})
	if err != nil {
		f.failed(from, err)
		return true
	}
	if next, newer := have.Apply(&reply.Update); newer {
		f.log.Info().Str("control", from.String()).Uint64("from", have.Revision).Uint64("to", next.Revision).Uint64("version", next.RoutesVersion()).
			Int("servers", len(next.Servers)).Strs("evacuated", next.Evacuated).Dur("took_ms", time.Since(started)).Msg("state updated")
		f.state.Store(next)
		f.changed(next)
	}
	f.setLive(reply.Entries)
	f.mu.Lock()
	f.entriesSeen = want
	f.mu.Unlock()
	return true
}

// source returns the control VM to fetch from, if one has anything new.
func (f *fleetSync) source(now time.Time) (netip.AddrPort, uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	revision := f.state.Load().Revision
	var nearest, newest netip.AddrPort
	for from, c := range f.controls {
		if now.Sub(c.heard) > controlExpiry || now.Sub(c.failed) < queryTimeout {
			continue
		}
		if near := f.controls[nearest]; near == nil || c.rtt < near.rtt {
			nearest = from
		}
		if c.revision <= revision {
			continue
		}
		if near := f.controls[newest]; near == nil || c.rtt < near.rtt {
			newest = from
		}
	}
	if c := f.controls[newest]; c != nil {
		return newest, c.entries, true
	}
	// Control VMs may know different entries for a while; the nearest one's count.
	if c := f.controls[nearest]; c != nil && c.entries != f.entriesSeen && c.revision >= revision {
		return nearest, c.entries, true
	}
	return netip.AddrPort{}, 0, false
}

func (f *fleetSync) failed(from netip.AddrPort, err error) {
	f.log.Warn().Str("control", from.String()).Err(err).Msg("fetch failed")
	// The client's connections may have gone silent.
	f.client.CloseIdleConnections()
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.controls[from]; c != nil {
		c.failed = time.Now()
	}
}

func (f *fleetSync) setLive(list []bfwire.EntryInfo) {
	vms := []briarferry.VM{f.self.VM()}
	for _, e := range list {
		if e.Name != f.self.Name {
			vms = append(vms, e.VM())
		}
	}
	slices.SortFunc(vms, func(a, b briarferry.VM) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	f.live.Store(&vms)
}

// Self returns this entry.
func (f *fleetSync) Self() briarferry.VM { return f.self.VM() }

// Live returns the live entries, this one included.
func (f *fleetSync) Live() []briarferry.VM { return *f.live.Load() }

// neighbours returns the number of other live entries in this region.
func (f *fleetSync) neighbours() int {
	count := 0
	for _, vm := range f.Live() {
		if vm.Region == f.self.Region && vm.Name != f.self.Name {
			count++
		}
	}
	return count
}

// Connected is false while no control VM is heard.
func (f *fleetSync) Connected() bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.controls {
		if now.Sub(c.heard) <= controlExpiry {
			return true
		}
	}
	return false
}
