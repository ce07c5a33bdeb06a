package bfgateway

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/coordination/bfquota"
	"briarferry/internal/coordination/bfroute"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bffleet"
	"briarferry/internal/transport/bfclock"
	"briarferry/internal/transport/bfgossip"
	"briarferry/internal/transport/bfrpc"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// controlExpiry is the time without a heartbeat after which a control VM counts as lost.
	controlExpiry = 1800 * time.Millisecond
	// maxHeartbeatDelay is the delay of a heartbeat from which it is logged. The process then
	// was frozen, or had too little processor time to keep its state up to date.
	maxHeartbeatDelay = time.Second
	// signalBuffer is the capacity of signal channels. One pending signal is enough, as it
	// covers all earlier ones.
	signalBuffer = 1
)

type (
	// fleetSync keeps the entry's copy of the fleet state up to date. Every control VM
	// answers the entry's heartbeats with its revision, and the entry fetches changes
	// from the nearest one that has them.
	fleetSync struct {
		self    bfwire.EntryInfo
		regions map[string]string
		seeds   func() []netip.Addr
		// controlPort is the gossip port of control VMs.
		controlPort     uint16
		isReady         func() bool
		linkUtilization func(now time.Time) float64
		// onChange is called with each new state, and onRTT with each measured round trip
		// time to a region.
		onChange func(s *bffleet.State)
		onRTT    func(region string, rtt time.Duration)
		// onEntries is called with each list of live entries, this one included.
		onEntries func(vms []briarferry.VM)
		// onGrant is called with each grant of quotas.
		onGrant func(g *bfquota.Grant)
		log     zerolog.Logger
		// onPlan is called with each reply about the plan of regions.
		onPlan func(now time.Time, r *bfwire.PlanReply)
		// confirmations tell whether the route table is known to be the newest, by the clock,
		// which also counts the suspension of the VM.
		confirmations bfroute.Confirmations
		clock         func() time.Duration

		gossip *bfgossip.UDPNetwork
		client *http.Client
		state  atomic.Pointer[bffleet.State]
		live   atomic.Pointer[[]briarferry.VM]
		// regionPeers is the number of other entries in live that are in this entry's region.
		regionPeers atomic.Int64
		// fetchNow and heartbeatNow are signals to fetch and to send a heartbeat.
		fetchNow     chan struct{}
		heartbeatNow chan struct{}
		// needsWholeTable is true after a reply with a change of another route table. Only the
		// fetch loop uses it.
		needsWholeTable bool
		// timeouts is the number of fetches in a row that timed out. Only the fetch loop uses it.
		timeouts int

		mu sync.Mutex
		// sequence is that of the last heartbeat. It starts at random, as an answer to an earlier
		// process of the entry may still be on its way.
		sequence uint64
		// tableUnconfirmed is true while the log says that the route table isn't confirmed.
		tableUnconfirmed bool
		// sentAt holds the send times of recent heartbeats by their sequence.
		sentAt   map[uint64]sendTime
		controls map[netip.AddrPort]*controlState
		// controlAddrs holds the addresses of the control VMs according to the last
		// heartbeat that listed them.
		controlAddrs []netip.Addr
		// entriesDigest identifies the set of entries that was fetched last.
		entriesDigest uint64
	}

	// controlState is what is known of a control VM.
	controlState struct {
		domain        string
		revision      uint64
		entriesDigest uint64
		lastHeartbeat time.Time
		rtt           time.Duration
		lost          bool
		// lastFailure is the time of the last failed fetch.
		lastFailure time.Time
	}

	// sendTime is when a heartbeat was sent, by the runtime's clock and by fleetSync.clock.
	sendTime struct {
		wall  time.Time
		clock time.Duration
	}

	// announcedState is what a control VM had according to its heartbeats when it was chosen
	// for a fetch.
	announcedState struct {
		revision      uint64
		entriesDigest uint64
	}
)

func (c *controlState) announced() announcedState {
	return announcedState{revision: c.revision, entriesDigest: c.entriesDigest}
}

func (f *fleetSync) setup() {
	f.state.Store(&bffleet.State{})
	f.live.Store(&[]briarferry.VM{f.self.VM()})
	f.fetchNow, f.heartbeatNow = make(chan struct{}, signalBuffer), make(chan struct{}, signalBuffer)
	f.sequence, f.sentAt = firstSequence(), map[uint64]sendTime{}
	if f.clock == nil {
		f.clock = bfclock.SinceBoot
	}
	f.controls = map[netip.AddrPort]*controlState{}
	f.client = bfrpc.NewFleetClient()
}

// firstSequence returns the number before that of the first heartbeat, which is answered with the
// list of control VMs.
func firstSequence() uint64 {
	return rand.Uint64N(math.MaxUint32) * bfwire.MemberListInterval
}

// run sends heartbeats and fetches changes until the context ends.
func (f *fleetSync) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.fetchLoop(ctx) })
	defer group.Wait()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for last := time.Now(); ; {
		now := time.Now()
		f.checkDelay(now.Sub(last) - heartbeatInterval)
		last = now
		f.sendHeartbeat(now)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.heartbeatNow:
		}
	}
}

// checkDelay counts and logs a heartbeat that is late by more than maxHeartbeatDelay.
func (f *fleetSync) checkDelay(delay time.Duration) {
	if delay <= maxHeartbeatDelay {
		return
	}
	counters.lateHeartbeats.Add(1)
	f.log.Warn().Dur("delay_ms", delay).Uint64("revision", f.state.Load().Revision).Msg("heartbeat was sent late")
}

// announce sends a heartbeat at once. It is called when readiness has changed.
func (f *fleetSync) announce() { signal(f.heartbeatNow) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (f *fleetSync) sendHeartbeat(now time.Time) {
	f.mu.Lock()
	f.sequence++
	sequence := f.sequence
	f.sentAt[sequence] = sendTime{wall: now, clock: f.clock()}
	delete(f.sentAt, sequence-16)
	targets := slices.Concat(f.seeds(), f.controlAddrs)
	f.markLost(now)
	f.logConfirmation()
	f.mu.Unlock()
	data, err := bfwire.Encode(&bfwire.EntryHeartbeat{Entry: f.self, Ready: f.isReady(), Revision: f.state.Load().Revision, Sequence: sequence, Load: f.linkUtilization(now)})
	if err != nil {
		f.log.Error().Err(err).Msg("encoding heartbeat failed")
		return
	}
	slices.SortFunc(targets, netip.Addr.Compare)
	for _, a := range slices.Compact(targets) {
		f.gossip.Send(netip.AddrPortFrom(a, f.controlPort), data)
	}
}

// markLost marks the control VMs without a recent heartbeat as lost.
func (f *fleetSync) markLost(now time.Time) {
	for from, c := range f.controls {
		if !c.lost && now.Sub(c.lastHeartbeat) > controlExpiry {
			c.lost = true
			f.log.Warn().Str("control", from.String()).Dur("silent_ms", now.Sub(c.lastHeartbeat)).Uint64("revision", c.revision).Msg("no heartbeat from control VM")
		}
	}
}

// receive handles a datagram from a control VM.
func (f *fleetSync) receive(data []byte) {
	m, err := bfwire.Decode(data)
	if err != nil {
		counters.badDatagrams.Add(1)
		return
	}
	if g, ok := m.(*bfquota.Grant); ok && f.onGrant != nil {
		f.onGrant(g)
		return
	}
	if r, ok := m.(*bfwire.PlanReply); ok && f.onPlan != nil {
		f.onPlan(time.Now(), r)
		return
	}
	if c, ok := m.(*bfwire.TableConfirmation); ok {
		f.confirm(c)
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
		f.log.Info().Str("control", b.From.String()).Uint64("revision", b.Revision).Msg("receiving heartbeats from control VM")
		c = &controlState{}
		f.controls[b.From] = c
	}
	c.domain, c.lastHeartbeat = b.FailureDomain, now
	// Datagrams may arrive out of order, but a control VM's revision never decreases.
	c.revision, c.entriesDigest = max(c.revision, b.Revision), b.EntriesDigest
	if at, ok := f.sentAt[b.EchoSequence]; ok {
		c.rtt = now.Sub(at.wall)
		if region := f.regions[b.FailureDomain]; region != "" {
			f.onRTT(region, c.rtt)
		}
	}
	if len(b.ControlAddrs) > 0 {
		f.controlAddrs = b.ControlAddrs
	}
	if b.Revision > f.state.Load().Revision || b.EntriesDigest != f.entriesDigest {
		signal(f.fetchNow)
	}
}

func (f *fleetSync) setLiveEntries(list []bfwire.EntryInfo) {
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
	if f.onEntries != nil {
		f.onEntries(vms)
	}
	f.regionPeers.Store(countRegionPeers(f.self, vms))
}

// countRegionPeers returns the number of other VMs in the entry's region. It is not counted for
// each request and server, which would cost entries times servers.
func countRegionPeers(self bfwire.EntryInfo, vms []briarferry.VM) int64 {
	count := int64(0)
	for _, vm := range vms {
		if vm.Region == self.Region && vm.Name != self.Name {
			count++
		}
	}
	return count
}

// Self returns this entry.
func (f *fleetSync) Self() briarferry.VM { return f.self.VM() }

// Live returns the live entries, this one included.
func (f *fleetSync) Live() []briarferry.VM { return *f.live.Load() }

// regionPeerCount returns the number of other live entries in the region.
func (f *fleetSync) regionPeerCount() int { return int(f.regionPeers.Load()) }

// Connected reports whether heartbeats arrive from any control VM.
func (f *fleetSync) Connected() bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.controls {
		if now.Sub(c.lastHeartbeat) <= controlExpiry {
			return true
		}
	}
	return false
}
