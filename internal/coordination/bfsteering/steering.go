// Package bfsteering chooses the backend server for each request of a routed deployment,
// based on the results of the requests that the entry itself sent.
package bfsteering

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/state/bffleet"
)

// startupPeriod is the time after an entry's first server list in which further servers
// count as part of that list. At the first start of a deployment all servers register one
// after another.
const startupPeriod = 10 * time.Second

type (
	// Steering chooses backend servers. Its exported fields must be set before use; its
	// methods are safe for concurrent use.
	Steering struct {
		// Name is the name of this entry; Region and FailureDomain are its location.
		Name          string
		Region        string
		FailureDomain string
		// Regions maps each failure domain to its region.
		Regions map[string]string
		// Entries returns the number of live entries, which share the request rate of cold
		// servers and the retry budget.
		Entries func() int
		// RegionPeers returns the number of other live entries in this region.
		RegionPeers func() int
		// Connected reports whether there is an idle connection to a server; nil means that
		// there always is one.
		Connected func(address netip.AddrPort) bool
		// InContact reports whether control VMs can be heard, which tell when servers turn cold;
		// nil means that they can.
		InContact func() bool
		// LastContact returns when a control VM was last heard, or the zero time if none was
		// yet; nil means that they are always heard.
		LastContact func() time.Time
		// LinkBandwidth is the bandwidth of this VM's link in each direction, in bytes per
		// second; zero means unknown.
		LinkBandwidth float64
		Limits        Limits
		Log           zerolog.Logger
		// Counts counts the notices of servers.
		Counts NoticeCounts
		// PlanCounts counts requests by how they followed the plan of regions.
		PlanCounts PlanCounts

		shift shiftLimiter
		plan  regionPlan
		rtts  roundTripTimes
		link  localLink
		// coldWatch tells whether servers may turn cold unnoticed.
		coldWatch coldWatch

		mu       sync.RWMutex
		services map[string]*service
	}

	// NoticeCounts counts the servers that said that they leave, and their pauses.
	NoticeCounts struct {
		Leaving, Pauses atomic.Int64
	}

	// Limits apply to all entries together.
	Limits struct {
		// RetryShare is the number of retries allowed per request of a service. RetrySlack
		// is the number of retries allowed in addition in each RetryWindow.
		RetryShare  float64
		RetrySlack  float64
		RetryWindow time.Duration
		// MaxShift is the most by which the share of the requests that run in one region
		// may grow from one window of 2 s to the next; 0 means no limit.
		MaxShift float64
	}

	// Request describes a request for which a server is chosen.
	Request struct {
		Route *briarferry.Route
		// Organisation is that of the caller; nil means an anonymous caller.
		Organisation *briarferry.Organisation
		// CurrentRoute and CurrentOrganisation are those of the newest route table. Their home
		// regions apply too, as they may have changed since the request was bound to Route.
		// They are nil if the table has none.
		CurrentRoute        *briarferry.Route
		CurrentOrganisation *briarferry.Organisation
		Service             string
		// Key names the object that the request concerns; it may be empty.
		Key string
		// Remaining is the time left until the request must be answered.
		Remaining time.Duration
		// Avoid lists the instances that were already tried.
		Avoid []string
		// Retry marks a try that follows one that reached a server.
		Retry bool
		// OnTimeOnly requests a server only if one can answer within the target.
		OnTimeOnly bool
		// StreamedBytes is the size of a body that is sent to the server while it arrives.
		StreamedBytes int64
		// PlannedRegion is the Try.PlannedRegion of the request's first try, for later ones.
		PlannedRegion string

		// cacheKey is the result of key, which is needed for each server.
		cacheKey string
	}

	// service holds the state of one service, guarded by its own mutex.
	service struct {
		name string

		mu      sync.Mutex
		config  briarferry.RouteService
		servers []*server
		// firstListAt is the time at which the entry got its first server list.
		firstListAt time.Time
		models      map[string]*routeModel
		retries     retryBudget
		// eligible and ejected are the memory for the lists of candidates, which every
		// request would allocate otherwise.
		eligible, ejected []candidate
		// inRegion is the memory for the candidates of a planned region.
		inRegion []candidate
	}
)

// ServesIn reports whether servers in the region may handle the request: the home regions of
// its route and of its organisation both apply, as it was bound to them and as they are now.
func (r *Request) ServesIn(region string) bool {
	return r.Route.ServesIn(region) && r.Organisation.ServesIn(region) &&
		(r.CurrentRoute == nil || r.CurrentRoute.ServesIn(region)) && r.CurrentOrganisation.ServesIn(region)
}

// HasHomes reports whether only some regions may handle the request.
func (r *Request) HasHomes() bool {
	return len(r.Route.HomeRegions) > 0 || r.CurrentRoute != nil && len(r.CurrentRoute.HomeRegions) > 0 ||
		r.Organisation.HasHomes() || r.CurrentOrganisation.HasHomes()
}

// HasRegion reports whether any region may handle the request: no homes are set, or they have
// a region in common.
func (r *Request) HasRegion() bool {
	if !r.HasHomes() {
		return true
	}
	homes := r.Route.HomeRegions
	switch {
	case len(homes) > 0:
	case r.Organisation.HasHomes():
		homes = r.Organisation.HomeRegions
	case r.CurrentRoute != nil && len(r.CurrentRoute.HomeRegions) > 0:
		homes = r.CurrentRoute.HomeRegions
	default:
		homes = r.CurrentOrganisation.HomeRegions
	}
	return slices.ContainsFunc(homes, r.ServesIn)
}

// Urgency returns the request's urgency: that of its organisation, or else of its route.
func (r *Request) Urgency() int { return r.Organisation.UrgencyOn(r.Route) }

// Update applies a new fleet state.
func (s *Steering) Update(now time.Time, state *bffleet.State) {
	s.shift.configure(s.Limits.MaxShift)
	s.plan.configure(now, s)
	s.link.configure(s.FailureDomain, len(s.Regions), s.Log)
	groups := map[string][]bffleet.Server{}
	for _, srv := range state.Servers {
		groups[srv.Service] = append(groups[srv.Service], srv)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services == nil {
		s.services = map[string]*service{}
	}
	for name := range groups {
		if s.services[name] == nil {
			s.services[name] = &service{name: name, models: map[string]*routeModel{}}
		}
	}
	for name, svc := range s.services {
		config := briarferry.RouteService{Name: name}
		if state.Routes != nil {
			if c, ok := state.Routes.Service(name); ok {
				config = c
			}
		}
		if svc.update(now, config, groups[name], state.Evacuated, s) {
			s.shift.suspend(now)
		}
	}
}

// update replaces the servers and reports whether the set of usable ones changed. Servers
// that join within startupPeriod don't count as a change. What is known about a server is
// kept until the server restarts.
func (v *service) update(now time.Time, config briarferry.RouteService, list []bffleet.Server, evacuated []string, s *Steering) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.config = config
	previous := map[string]*server{}
	for _, srv := range v.servers {
		previous[srv.ID] = srv
	}
	if v.firstListAt.IsZero() && len(list) > 0 {
		v.firstListAt = now
	}
	changed := false
	next := make([]*server, 0, len(list))
	for _, reported := range list {
		srv := previous[reported.ID]
		if srv == nil || !srv.SameProcess(&reported.Instance) {
			if srv != nil {
				s.logLeavingEnd(srv)
			}
			srv = &server{region: s.Regions[reported.FailureDomain], hashSeed: hashSeed(reported.ID), coldPhase: phase(s.Name, reported.ID)}
			srv.joinedAfterStart = now.Sub(v.firstListAt) > startupPeriod
			changed = changed || srv.joinedAfterStart || previous[reported.ID] != nil
		}
		if reported.ColdRevision > srv.ColdRevision {
			srv.markCold(now, now.Add(reported.ColdRemaining.Std()))
		}
		isEvacuated := slices.Contains(evacuated, reported.FailureDomain)
		if srv.evacuated && !isEvacuated {
			// Servers of an evacuated domain may have lost their caches in the meantime.
			srv.markCold(now, now.Add(config.ColdStart.Std()))
		}
		if srv.evacuated != isEvacuated || srv.Draining != reported.Draining {
			changed = true
		}
		srv.Server, srv.evacuated = reported, isEvacuated
		delete(previous, reported.ID)
		next = append(next, srv)
	}
	v.servers = next
	for _, gone := range previous {
		s.logLeavingEnd(gone)
	}
	return changed || len(previous) > 0
}

// MayUse reports whether the instance is still registered at its address, is neither leaving
// nor evacuated, and has not asked for a pause.
func (s *Steering) MayUse(now time.Time, b briarferry.Backend) bool {
	svc := s.service(b.Service)
	if svc == nil {
		return false
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	// The servers are sorted by ID, as in the fleet state.
	i, ok := slices.BinarySearchFunc(svc.servers, b.InstanceID, func(srv *server, id string) int { return cmp.Compare(srv.ID, id) })
	if !ok {
		return false
	}
	srv := svc.servers[i]
	return srv.Address == b.Address && !srv.withdrawn() && !srv.availability.closed(now)
}

// SetRoundTripTime records the round trip time to a region.
func (s *Steering) SetRoundTripTime(region string, rtt time.Duration) { s.rtts.set(region, rtt) }

func (s *Steering) service(name string) *service {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.services[name]
}

func (s *Steering) regionPeers() int {
	if s.RegionPeers == nil {
		return 0
	}
	return s.RegionPeers()
}

// connected reports whether a request to the server needs no new connection.
func (s *Steering) connected(srv *server) bool {
	return s.Connected == nil || srv.sent > 0 && s.Connected(srv.Address)
}

func (s *Steering) entries() int {
	if s.Entries == nil {
		return 1
	}
	return max(1, s.Entries())
}
