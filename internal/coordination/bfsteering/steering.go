// Package bfsteering chooses the backend server for each request of a routed
// deployment from what the entry's own requests have shown.
package bfsteering

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/state/bffleet"
)

// startSpan is the time after an entry's first list of servers in which others that appear
// count as part of it: at the first start of a deployment all servers register.
const startSpan = 10 * time.Second

type (
	// Steering chooses backend servers. Its exported fields are set before use; its
	// methods may be called at the same time.
	Steering struct {
		// Name is this entry's name; Region and FailureDomain are where it is.
		Name          string
		Region        string
		FailureDomain string
		// Regions gives the region of each failure domain.
		Regions map[string]string
		// Entries returns the number of live entries, which share cold servers, connections
		// and retries.
		Entries func() int
		// Neighbours returns the number of other live entries in this region.
		Neighbours func() int
		Limits     Limits
		Log        zerolog.Logger

		shift shiftLimit
		delay delays
		path  ownPath

		mu       sync.RWMutex
		services map[string]*service
	}

	// Limits are the promises that all entries keep together.
	Limits struct {
		// RetryShare is the number of second tries for each request of a service, and
		// RetrySlack what may be added to it in RetryWindow.
		RetryShare  float64
		RetrySlack  float64
		RetryWindow time.Duration
		// MaxShift is the share of a region's requests that may move to another region
		// from one window of 2 s to the next; 0 sets no limit.
		MaxShift float64
	}

	// Request describes what a server is chosen for.
	Request struct {
		Route   *briarferry.Route
		Service string
		// Key names the object that the request concerns; it may be empty.
		Key string
		// Remaining is the time until the request must be answered.
		Remaining time.Duration
		// Avoid lists instances that were tried.
		Avoid []string
		// Retry marks every try that follows one that reached a server.
		Retry bool
		// OnTimeOnly asks for a server only where one can answer within the target.
		OnTimeOnly bool
	}

	// service is the shard of one service, under its own lock.
	service struct {
		name string

		mu      sync.Mutex
		config  briarferry.RouteService
		servers []*server
		// listed is when the entry got its first list of servers.
		listed time.Time
		models map[string]*model
		budget budget
	}
)

// Update takes over a new state.
func (s *Steering) Update(now time.Time, state *bffleet.State) {
	s.shift.configure(s.Limits.MaxShift)
	s.path.configure(s.FailureDomain, len(s.Regions), s.Log)
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
			s.services[name] = &service{name: name, models: map[string]*model{}}
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
			s.shift.disturb(now)
		}
	}
}

// update replaces the servers and tells whether the set of usable ones changed. What is
// known of a server lasts as long as its start.
func (v *service) update(now time.Time, config briarferry.RouteService, list []bffleet.Server, evacuated []string, s *Steering) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.config = config
	known := map[string]*server{}
	for _, srv := range v.servers {
		known[srv.ID] = srv
	}
	if v.listed.IsZero() && len(list) > 0 {
		v.listed = now
	}
	changed := len(list) != len(v.servers)
	next := make([]*server, 0, len(list))
	for _, reported := range list {
		srv := known[reported.ID]
		if srv == nil || !srv.SameStart(&reported.Instance) {
			srv = &server{region: s.Regions[reported.FailureDomain], score: scoreSeed(reported.ID), coldPhase: phaseOf(s.Name, reported.ID)}
			srv.joined = now.Sub(v.listed) > startSpan
			changed = true
		}
		if reported.ColdRevision > srv.ColdRevision {
			srv.chill(now, now.Add(reported.ColdFor.Std()))
		}
		shut := slices.Contains(evacuated, reported.FailureDomain)
		if srv.evacuated && !shut {
			// Servers of an evacuated domain may have lost their caches meanwhile.
			srv.chill(now, now.Add(config.ColdStart.Std()))
		}
		if srv.evacuated != shut || srv.Draining != reported.Draining {
			changed = true
		}
		srv.Server, srv.evacuated = reported, shut
		next = append(next, srv)
	}
	v.servers = next
	return changed
}

// SetDelay tells the round trip time to a region.
func (s *Steering) SetDelay(region string, rtt time.Duration) { s.delay.set(region, rtt) }

func (s *Steering) service(name string) *service {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.services[name]
}

func (s *Steering) neighbours() int {
	if s.Neighbours == nil {
		return 0
	}
	return s.Neighbours()
}

func (s *Steering) entries() int {
	if s.Entries == nil {
		return 1
	}
	return max(1, s.Entries())
}
