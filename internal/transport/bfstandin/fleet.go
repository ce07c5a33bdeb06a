package bfstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bftls"
)

const (
	pathExecutions = "/executions"
	pathServers    = "/servers"
	pathBehaviour  = "/behaviour"
)

type (
	// Fleet runs emulated backend servers for all services of a configuration. Its fields
	// must be set before Run.
	Fleet struct {
		Config *briarferry.Config
		// Base is the address of the first server. The others use the ports that follow.
		Base netip.AddrPort
		// Admin is the address of the endpoint that returns the state and the executions of
		// the servers and changes their behaviour.
		Admin netip.AddrPort
		// Entries are the entries to which servers are announced.
		Entries []netip.AddrPort
		// ColdStart is the warm-up time of each server.
		ColdStart time.Duration
		// TLS has the CA certificates for connections to entries; nil disables TLS.
		TLS *bftls.Source
		Log zerolog.Logger

		executions ExecutionLog
		servers    []*Server
	}

	// ServerStatus is the state of a server as the admin endpoint returns it.
	ServerStatus struct {
		Service       string         `json:"service"`
		Address       netip.AddrPort `json:"address"`
		Region        string         `json:"region"`
		FailureDomain string         `json:"failure_domain"`
		Slots         int            `json:"slots"`
		Up            bool           `json:"up"`
		Busy          int64          `json:"busy"`
		MaxBusy       int64          `json:"max_busy"`
		Shed          int64          `json:"shed"`
		Crashes       int64          `json:"crashes"`
		Served        int64          `json:"served"`
		Behaviour     Behaviour      `json:"behaviour"`
	}

	// BehaviourChange changes the behaviour of the selected servers.
	BehaviourChange struct {
		// Service, Address and Region select servers; empty fields match all servers.
		Service string `json:"service"`
		Address string `json:"address"`
		Region  string `json:"region"`
		// Behaviour is a JSON object with the fields to change. Other fields keep their
		// values.
		Behaviour json.RawMessage `json:"behaviour"`
	}

	// Executions is the answer of the admin endpoint about executions of requests with an
	// idempotency key.
	Executions struct {
		Duplicates int                    `json:"duplicates"`
		ByKey      map[string][]Execution `json:"by_key"`
	}
)

// Validate reports a missing behaviour.
func (c *BehaviourChange) Validate() briarferry.Findings {
	var f briarferry.Findings
	if len(c.Behaviour) == 0 {
		f.Add("behaviour", "is missing")
	}
	return f
}

// Run starts all servers and serves the admin endpoint until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	f.buildServers()
	client := bftls.NewCaller(f.TLS, &http.Transport{MaxIdleConnsPerHost: 16})
	for i, s := range f.servers {
		if err := s.Start(); err != nil {
			return err
		}
		defer s.Stop()
		a := &announcer{server: s, entries: f.Entries, client: client, nextEntry: i}
		go a.run(ctx)
	}
	f.Log.Info().Int("servers", len(f.servers)).Msg("emulated backend servers started")
	srv := &http.Server{Addr: f.Admin.String(), Handler: f.adminHandler()}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	if err := srv.ListenAndServe(); ctx.Err() == nil {
		return fmt.Errorf("bfstandin: admin endpoint: %w", err)
	}
	return nil
}

// buildServers creates the servers of each service and distributes them evenly over the
// failure domains of its regions.
func (f *Fleet) buildServers() {
	port := f.Base.Port()
	for _, service := range f.Config.Services {
		locations := f.locations(service)
		for i := range service.Servers {
			loc := locations[i%len(locations)]
			s := &Server{
				Service: service.Name, Address: netip.AddrPortFrom(f.Base.Addr(), port),
				Region: loc.region, FailureDomain: loc.domain, Slots: service.Slots, ExecutionLog: &f.executions,
			}
			b := DefaultBehaviour(service.ExpectedLatency.Std())
			b.ColdStart = briarferry.Duration(f.ColdStart)
			s.SetBehaviour(b)
			f.servers = append(f.servers, s)
			port++
		}
	}
}

type location struct{ region, domain string }

func (f *Fleet) locations(service briarferry.Service) []location {
	var out []location
	for _, r := range f.Config.Regions {
		if len(service.Regions) > 0 && !slices.Contains(service.Regions, r.Name) {
			continue
		}
		for _, d := range r.FailureDomains {
			out = append(out, location{region: r.Name, domain: d})
		}
	}
	return out
}

func (f *Fleet) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathExecutions, func(w http.ResponseWriter, _ *http.Request) {
		bfapi.WriteJSON(w, http.StatusOK, Executions{Duplicates: f.executions.Duplicates(), ByKey: f.executions.ByKey()})
	})
	mux.HandleFunc("GET "+pathServers, func(w http.ResponseWriter, _ *http.Request) {
		bfapi.WriteJSON(w, http.StatusOK, f.serverStatuses())
	})
	mux.HandleFunc("POST "+pathBehaviour, f.serveChange)
	return mux
}

func (f *Fleet) serverStatuses() []ServerStatus {
	out := make([]ServerStatus, len(f.servers))
	for i, s := range f.servers {
		out[i] = ServerStatus{
			Service: s.Service, Address: s.Address, Region: s.Region, FailureDomain: s.FailureDomain,
			Slots: s.Slots, Up: s.isUp(), Busy: s.busy.Load(), MaxBusy: s.maxBusy.Load(), Shed: s.shed.Load(),
			Crashes: s.crashes.Load(), Served: s.served.Load(), Behaviour: s.Behaviour(),
		}
	}
	return out
}

func (f *Fleet) serveChange(w http.ResponseWriter, r *http.Request) {
	var c BehaviourChange
	if err := bfapi.DecodeBody(w, r, &c); err != nil {
		bfapi.WriteError(w, "", err)
		return
	}
	n := 0
	for _, s := range f.servers {
		if !c.matches(s) {
			continue
		}
		b := s.Behaviour()
		if err := bfapi.DecodeJSON(c.Behaviour, &b); err != nil {
			bfapi.WriteError(w, "", err)
			return
		}
		s.SetBehaviour(b)
		n++
	}
	bfapi.WriteJSON(w, http.StatusOK, map[string]int{"servers": n})
}

func (c *BehaviourChange) matches(s *Server) bool {
	return (c.Service == "" || c.Service == s.Service) &&
		(c.Address == "" || c.Address == s.Address.String()) &&
		(c.Region == "" || c.Region == s.Region)
}
