// Package bfslot shares the slots of backend servers between entries. Each backend
// server is owned by one entry that is up, which leases its slots to all entries.
package bfslot

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarferry"
	"briarferry/internal/state/bfbackend"
)

// tickInterval is the time between two updates of servers, leases and grants.
const tickInterval = 50 * time.Millisecond

type (
	// Members is the part of the membership that slot sharing needs.
	Members interface {
		briarferry.Members
		// Up returns the VMs that are up; VMs that receive each other's heartbeats
		// get the same list.
		Up() []briarferry.VM
		// Converged reports whether all VMs in Up report the same Up.
		Converged() bool
		// Epoch increases whenever this VM was disconnected or its process frozen.
		Epoch() uint64
	}

	// Sender sends messages to other VMs; it may lose, duplicate and reorder them.
	Sender interface {
		SendRequest(to string, r *Request)
		SendGrant(to string, g *Grant)
	}

	// Pool holds the slots that this entry has leased and grants the slots of the
	// servers that it owns. It implements briarferry.SlotPool. Its exported fields are
	// set before Run.
	Pool struct {
		Members  Members
		Table    *bfbackend.Table
		Balancer briarferry.Balancer
		Sender   Sender
		// Delay returns the one-way delay to a region; nil means no delay.
		Delay func(region string) time.Duration
		// FloorShare returns the share of a service's slots that is reserved for an
		// urgency while more urgent requests wait; nil means 10%.
		FloorShare func(urgency int) float64

		once   sync.Once
		wakeCh chan struct{}
		owner  *owner
		epoch  uint64

		mu        sync.Mutex
		sequence  uint64
		backends  map[uint64]*backend
		byService map[string]*serviceBackends
		owners    map[string]bool
		leases    map[uint64]*lease
		sessions  map[string]*session
		services  map[string]*serviceState
		// free and avoided are buffers that the method candidates reuses.
		free, avoided candidateSet
	}

	// serviceBackends is the list of backend servers of one service.
	serviceBackends struct {
		all        []*backend
		localSlots int
		// owners has the owners of servers with grantable slots; the value is true if
		// one of these servers is in the local region.
		owners map[string]bool
	}

	// backend is a backend server with the name of its owner, the entry that grants
	// its slots.
	backend struct {
		key   uint64
		id    briarferry.BackendID
		owner string
		slots int
		local bool
		// latest is the server's record as of the last tick; reading the table for each
		// request would cost a lock and a copy for each server.
		latest briarferry.Backend
		delay  time.Duration
	}
)

var _ briarferry.SlotPool = (*Pool)(nil)

func (p *Pool) init() {
	p.once.Do(func() {
		p.wakeCh = make(chan struct{}, 1)
		p.owner = newOwner()
		if p.FloorShare != nil {
			p.owner.floorShare = p.FloorShare
		}
		p.backends = make(map[uint64]*backend)
		p.byService = make(map[string]*serviceBackends)
		p.leases = make(map[uint64]*lease)
		p.sessions = make(map[string]*session)
		p.services = make(map[string]*serviceState)
	})
}

// Run renews leases and grants until ctx is done.
func (p *Pool) Run(ctx context.Context) error {
	p.init()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	p.tick(time.Now())
	for {
		p.sendDue(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.tick(time.Now())
		case <-p.wakeCh:
		}
	}
}

func (p *Pool) tick(now time.Time) {
	up := p.Members.Up()
	owned := p.updateBackends(now, up)
	p.owner.setServers(now, p.Members.Self(), owned, func(key uint64, region string) bool {
		return ownerOf(key, region, up) == p.Members.Self().Name
	})
	p.expireLeases(now)
	p.askRemoteOwners(now)
	p.deliverGrants(p.owner.tick(now, p.membersView(now)))
}

// membersView returns the current membership. After this VM was disconnected or
// frozen it also restarts the delay before grants.
func (p *Pool) membersView(now time.Time) membersView {
	v := membersView{up: make(map[holderID]bool), regions: make(map[string]string), connected: p.Members.Connected(), converged: p.Members.Converged()}
	for _, vm := range p.Members.Up() {
		v.up[holderID{vm.Name, vm.Incarnation}] = true
		v.regions[vm.Name] = vm.Region
	}
	epoch := p.Members.Epoch()
	p.mu.Lock()
	changed := epoch != p.epoch
	p.epoch = epoch
	p.mu.Unlock()
	if changed {
		p.owner.restartGrantDelay(now)
	}
	return v
}

// HandleRequest handles a request that an entry sent to this VM as the owner of
// servers.
func (p *Pool) HandleRequest(r *Request) {
	p.init()
	now := time.Now()
	p.deliverGrants(p.owner.handleRequest(now, p.membersView(now), r))
}

// HandleGrant handles a grant that an owner sent to this entry.
func (p *Pool) HandleGrant(g *Grant) {
	p.init()
	p.applyGrant(time.Now(), g)
}

func (p *Pool) deliverGrants(grants []*Grant) {
	for _, g := range grants {
		if g.To == p.Members.Self().Name {
			p.applyGrant(time.Now(), g)
		} else {
			p.Sender.SendGrant(g.To, g)
		}
	}
}

// wake makes Run send the requests that are due.
func (p *Pool) wake() {
	select {
	case p.wakeCh <- struct{}{}:
	default:
	}
}

// updateBackends determines the owner of each server and returns the servers that
// this VM owns.
func (p *Pool) updateBackends(now time.Time, up []briarferry.VM) map[uint64]ownedServerInfo {
	self := p.Members.Self()
	backends, byService, owners := make(map[uint64]*backend), make(map[string]*serviceBackends), make(map[string]bool)
	owned := make(map[uint64]ownedServerInfo)
	p.Table.ForEach(now, func(key uint64, b briarferry.Backend, startedAt time.Time) {
		info := &backend{key: key, id: b.ID(), owner: ownerOf(key, b.Region, up), slots: grantableSlots(now, b, startedAt),
			local: b.Region == self.Region, latest: b}
		if p.Delay != nil {
			info.delay = p.Delay(b.Region)
		}
		backends[key] = info
		if byService[b.Service] == nil {
			byService[b.Service] = &serviceBackends{owners: make(map[string]bool)}
		}
		byService[b.Service].add(info)
		owners[info.owner] = true
		if info.owner == self.Name {
			owned[key] = ownedServerInfo{service: b.Service, region: b.Region, slots: info.slots}
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(owners, "")
	p.backends, p.byService, p.owners = backends, byService, owners
	return owned
}

func (s *serviceBackends) add(b *backend) {
	s.all = append(s.all, b)
	if b.local {
		s.localSlots += b.slots
	}
	if b.owner != "" && b.slots > 0 {
		s.owners[b.owner] = s.owners[b.owner] || b.local
	}
}

// backendsOf returns the servers of a service, which may be none. mu is held.
func (p *Pool) backendsOf(service string) *serviceBackends {
	if backends := p.byService[service]; backends != nil {
		return backends
	}
	return &serviceBackends{}
}

// grantableSlots returns how many slots of a server may be granted: none while it
// drains, and a growing number while it starts.
func grantableSlots(now time.Time, b briarferry.Backend, startedAt time.Time) int {
	switch b.State {
	case briarferry.StateDraining:
		return 0
	case briarferry.StateStarting:
		share := min(1, float64(now.Sub(startedAt))/float64(startupRampDuration))
		return max(1, int(float64(b.Slots)*share))
	}
	return b.Slots
}

// ownerOf returns the entry that grants the slots of a server. It is chosen by
// rendezvous hashing among the entries in up that are in the server's region, or
// among all in up if none is.
func ownerOf(key uint64, region string, up []briarferry.VM) string {
	best, bestLocal, bestScore := "", false, uint64(0)
	for i := range up {
		local := up[i].Region == region
		if bestLocal && !local {
			continue
		}
		score := rendezvousScore(key, up[i].Name)
		if best == "" || local && !bestLocal || score > bestScore {
			best, bestLocal, bestScore = up[i].Name, local, score
		}
	}
	return best
}

func rendezvousScore(key uint64, name string) uint64 {
	var buf [80]byte
	for i := range 8 {
		buf[i] = byte(key >> (8 * i))
	}
	return xxhash.Sum64(append(buf[:8], name...))
}
