// Package bfslot shares the slots of backend servers between entries.
package bfslot

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarferry"
	"briarferry/internal/state/bfbackend"
)

const tickInterval = 50 * time.Millisecond

type (
	// Members is the membership as far as slot sharing needs it.
	Members interface {
		briarferry.Members
		// Up returns the VMs on which those that hear each other agree.
		Up() []briarferry.VM
		// Converged tells whether all VMs in Up report the same Up.
		Converged() bool
		// Epoch grows whenever this VM was cut off or frozen.
		Epoch() uint64
	}

	// Sender sends messages to other VMs; it may lose, repeat and reorder them.
	Sender interface {
		SendRequest(to string, r *Request)
		SendGrant(to string, g *Grant)
	}

	// Pool is an entry's part in slot sharing; it implements briarferry.SlotPool.
	// Its exported fields are set before Run.
	Pool struct {
		Members  Members
		Table    *bfbackend.Table
		Balancer briarferry.Balancer
		Sender   Sender
		// Delay returns the one-way delay to a region; nil stands for none.
		Delay func(region string) time.Duration
		// FloorShare returns the share of a service's slots that an urgency keeps
		// while more urgent requests wait; nil stands for 10%.
		FloorShare func(urgency int) float64

		once  sync.Once
		kick  chan struct{}
		home  *home
		epoch uint64

		mu       sync.Mutex
		sequence uint64
		routes   map[uint64]*route
		byName   map[string]*serviceRoutes
		homes    map[string]bool
		leases   map[uint64]*lease
		talks    map[string]*talk
		services map[string]*serviceState
		// free and avoided are reused by each choice of a server.
		free, avoided choices
	}

	// serviceRoutes are the backend servers of one service.
	serviceRoutes struct {
		all        []*route
		localSlots int
		// homes has the homes of servers with open slots; the value is true where one
		// of the servers is in the own region.
		homes map[string]bool
	}

	// route is a backend server with its home entry.
	route struct {
		key   uint64
		id    briarferry.BackendID
		home  string
		slots int
		local bool
		// backend is the server as the last tick found it; reading the table for each
		// request would cost a lock and a copy for each server.
		backend briarferry.Backend
		delay   time.Duration
	}
)

var _ briarferry.SlotPool = (*Pool)(nil)

func (p *Pool) init() {
	p.once.Do(func() {
		p.kick = make(chan struct{}, 1)
		p.home = newHome()
		if p.FloorShare != nil {
			p.home.floorShare = p.FloorShare
		}
		p.routes = make(map[uint64]*route)
		p.byName = make(map[string]*serviceRoutes)
		p.leases = make(map[uint64]*lease)
		p.talks = make(map[string]*talk)
		p.services = make(map[string]*serviceState)
	})
}

// Run renews leases and grants until the context ends.
func (p *Pool) Run(ctx context.Context) error {
	p.init()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	p.tick(time.Now())
	for {
		p.flush(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.tick(time.Now())
		case <-p.kick:
		}
	}
}

func (p *Pool) tick(now time.Time) {
	up := p.Members.Up()
	own := p.updateRoutes(now, up)
	p.home.update(now, p.Members.Self(), own, func(key uint64, region string) bool {
		return homeOf(key, region, up) == p.Members.Self().Name
	})
	p.expire(now)
	p.widen(now)
	p.deliver(p.home.tick(now, p.view(now)))
}

// view also makes the home wait again after this VM was cut off.
func (p *Pool) view(now time.Time) view {
	v := view{up: make(map[holderID]bool), regions: make(map[string]string), connected: p.Members.Connected(), agreed: p.Members.Converged()}
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
		p.home.restart(now)
	}
	return v
}

// HandleRequest takes a request of another entry.
func (p *Pool) HandleRequest(r *Request) {
	p.init()
	now := time.Now()
	p.deliver(p.home.request(now, p.view(now), r))
}

// HandleGrant takes a grant of another entry.
func (p *Pool) HandleGrant(g *Grant) {
	p.init()
	p.accept(time.Now(), g)
}

func (p *Pool) deliver(grants []*Grant) {
	for _, g := range grants {
		if g.To == p.Members.Self().Name {
			p.accept(time.Now(), g)
		} else {
			p.Sender.SendGrant(g.To, g)
		}
	}
}

func (p *Pool) wake() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// updateRoutes finds the home of each server and returns the servers of this VM.
func (p *Pool) updateRoutes(now time.Time, up []briarferry.VM) map[uint64]ownServer {
	self := p.Members.Self()
	routes, byName, homes := make(map[uint64]*route), make(map[string]*serviceRoutes), make(map[string]bool)
	own := make(map[uint64]ownServer)
	p.Table.All(now, func(key uint64, b briarferry.Backend, startedAt time.Time) {
		r := &route{key: key, id: b.ID(), home: homeOf(key, b.Region, up), slots: openSlots(now, b, startedAt),
			local: b.Region == self.Region, backend: b}
		if p.Delay != nil {
			r.delay = p.Delay(b.Region)
		}
		routes[key] = r
		if byName[b.Service] == nil {
			byName[b.Service] = &serviceRoutes{homes: make(map[string]bool)}
		}
		byName[b.Service].add(r)
		homes[r.home] = true
		if r.home == self.Name {
			own[key] = ownServer{service: b.Service, region: b.Region, slots: r.slots}
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(homes, "")
	p.routes, p.byName, p.homes = routes, byName, homes
	return own
}

func (s *serviceRoutes) add(r *route) {
	s.all = append(s.all, r)
	if r.local {
		s.localSlots += r.slots
	}
	if r.home != "" && r.slots > 0 {
		s.homes[r.home] = s.homes[r.home] || r.local
	}
}

// of returns the routes of a service, which may be none. The lock is held.
func (p *Pool) of(service string) *serviceRoutes {
	if s := p.byName[service]; s != nil {
		return s
	}
	return &serviceRoutes{}
}

// openSlots returns how many slots of a server are given out.
func openSlots(now time.Time, b briarferry.Backend, startedAt time.Time) int {
	switch b.State {
	case briarferry.StateDraining:
		return 0
	case briarferry.StateStarting:
		share := min(1, float64(now.Sub(startedAt))/float64(startingRamp))
		return max(1, int(float64(b.Slots)*share))
	}
	return b.Slots
}

// homeOf returns the entry that grants the slots of a server: by rendezvous hash
// over the live entries of the server's region, or over all where it has none.
func homeOf(key uint64, region string, up []briarferry.VM) string {
	best, bestLocal, bestScore := "", false, uint64(0)
	for i := range up {
		local := up[i].Region == region
		if bestLocal && !local {
			continue
		}
		score := rendezvous(key, up[i].Name)
		if best == "" || local && !bestLocal || score > bestScore {
			best, bestLocal, bestScore = up[i].Name, local, score
		}
	}
	return best
}

func rendezvous(key uint64, name string) uint64 {
	var buf [80]byte
	for i := range 8 {
		buf[i] = byte(key >> (8 * i))
	}
	return xxhash.Sum64(append(buf[:8], name...))
}
