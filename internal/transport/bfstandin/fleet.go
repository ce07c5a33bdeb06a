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
	// Fleet runs the backend servers of a configuration in one process. Its fields
	// are set before Run.
	Fleet struct {
		Config *briarferry.Config
		// Base is the address of the first server; the others follow by port.
		Base netip.AddrPort
		// Admin is the address of the endpoint that changes behaviours.
		Admin   netip.AddrPort
		Entries []netip.AddrPort
		// ColdStart is how long each server starts cold.
		ColdStart time.Duration
		// TLS has the CAs of the entries' certificates; nil stands for cleartext.
		TLS *bftls.Source
		Log zerolog.Logger

		record  ExecutionLog
		servers []*Server
	}

	// ServerStatus is what the admin endpoint tells of a server.
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

	// BehaviourChange sets the behaviour of some servers.
	BehaviourChange struct {
		// Service, Address and Region select servers; an empty one selects all.
		Service string `json:"service"`
		Address string `json:"address"`
		Region  string `json:"region"`
		// Behaviour holds the fields to change; the others stay as they are.
		Behaviour json.RawMessage `json:"behaviour"`
	}

	// Executions is the admin endpoint's record of keyed requests.
	Executions struct {
		Duplicates int                    `json:"duplicates"`
		ByKey      map[string][]Execution `json:"by_key"`
	}
)

// Validate reports a change without a valid behaviour.
func (c *BehaviourChange) Validate() briarferry.Findings {
	var f briarferry.Findings
	if len(c.Behaviour) == 0 {
		f.Add("behaviour", "is missing")
	}
	return f
}

// Run starts every server and serves the admin endpoint until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	f.build()
	client := bftls.NewCaller(f.TLS, &http.Transport{MaxIdleConnsPerHost: 16})
	for i, s := range f.servers {
		if err := s.Start(); err != nil {
			return err
		}
		defer s.Stop()
		a := &announcer{server: s, entries: f.Entries, client: client, next: i}
		go a.run(ctx)
	}
	f.Log.Info().Int("servers", len(f.servers)).Msg("stand-in servers run")
	srv := &http.Server{Addr: f.Admin.String(), Handler: f.adminHandler()}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	if err := srv.ListenAndServe(); ctx.Err() == nil {
		return fmt.Errorf("bfstandin: admin endpoint: %w", err)
	}
	return nil
}

// build places the backend servers of each service round the failure domains in turn.
func (f *Fleet) build() {
	port := f.Base.Port()
	for _, service := range f.Config.Services {
		places := f.places(service)
		for i := range service.Servers {
			place := places[i%len(places)]
			s := &Server{
				Service: service.Name, Address: netip.AddrPortFrom(f.Base.Addr(), port),
				Region: place.region, FailureDomain: place.domain, Slots: service.Slots, ExecutionLog: &f.record,
			}
			b := DefaultBehaviour(service.Expected.Std())
			b.ColdStart = briarferry.Duration(f.ColdStart)
			s.SetBehaviour(b)
			f.servers = append(f.servers, s)
			port++
		}
	}
}

type place struct{ region, domain string }

func (f *Fleet) places(service briarferry.Service) []place {
	var out []place
	for _, r := range f.Config.Regions {
		if len(service.Regions) > 0 && !slices.Contains(service.Regions, r.Name) {
			continue
		}
		for _, d := range r.FailureDomains {
			out = append(out, place{region: r.Name, domain: d})
		}
	}
	return out
}

func (f *Fleet) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathExecutions, func(w http.ResponseWriter, _ *http.Request) {
		bfapi.WriteJSON(w, http.StatusOK, Executions{Duplicates: f.record.Duplicates(), ByKey: f.record.ByKey()})
	})
	mux.HandleFunc("GET "+pathServers, func(w http.ResponseWriter, _ *http.Request) {
		bfapi.WriteJSON(w, http.StatusOK, f.status())
	})
	mux.HandleFunc("POST "+pathBehaviour, f.serveChange)
	return mux
}

func (f *Fleet) status() []ServerStatus {
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
		if !c.selects(s) {
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

func (c *BehaviourChange) selects(s *Server) bool {
	return (c.Service == "" || c.Service == s.Service) &&
		(c.Address == "" || c.Address == s.Address.String()) &&
		(c.Region == "" || c.Region == s.Region)
}
