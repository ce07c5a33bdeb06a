// Package bfentry serves callers, backend servers and operators on an entry VM.
package bfentry

import (
	"encoding/json"
	"expvar"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bftls"
)

var tracer = otel.Tracer("briarferry/entry")

type (
	// Announcements takes what backend servers announce.
	Announcements interface {
		// Announce stores an announcement and tells the other entries.
		Announce(a briarferry.Announcement) error
		// Synced tells whether the table is as complete as that of the other entries.
		Synced() bool
	}

	// Steering counts what callers ask for and knows which of it the placement refuses.
	Steering interface {
		// CountLookup counts a look-up of a client.
		CountLookup(client netip.Addr)
		// Synced tells whether the leader's assignment is known.
		Synced() bool
		// Admits counts a request and tells whether its class may run.
		Admits(client netip.Addr, cfg *briarferry.Config, s briarferry.Service, class briarferry.PriorityClass) bool
	}

	// Entry answers the HTTP requests of one entry VM. Its fields are set before use.
	Entry struct {
		Config        briarferry.ConfigSource
		Members       briarferry.Members
		Placement     briarferry.Placement
		Announcements Announcements
		// Steering may be nil: nothing is counted or refused then.
		Steering Steering
		Pipeline *Pipeline
		// TrustedResolvers may name the client of a look-up.
		TrustedResolvers []netip.Prefix
		// Operators serves the operators' paths; nil answers them with 404.
		Operators http.Handler
		// StatusClient asks other VMs for their status.
		StatusClient bftls.Caller
		// AddStatus adds to this VM's status what the entry itself does not know.
		AddStatus func(s *bfapi.VMStatus)
		// Stopping is closed when the VM takes no new work because it stops.
		Stopping <-chan struct{}

		// DrainedByOperator tells whether an operator drains this VM; nil stands for never.
		DrainedByOperator func() bool

		serving atomic.Int64
		// leaving is true from the start of a drain: answers then close their
		// connections, so that none is reused when the VM stops.
		leaving atomic.Bool
	}
)

// Handler returns the entry's routes.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(bfapi.PathRequests, e.serveRequest)
	mux.HandleFunc("GET "+bfapi.PathLookup, e.serveLookup)
	mux.HandleFunc("POST "+bfapi.PathAnnouncements, e.serveAnnouncement)
	mux.HandleFunc("GET "+bfapi.PathHealth, serveHealth)
	mux.HandleFunc("GET "+bfapi.PathReady, e.serveReady)
	mux.HandleFunc("GET "+bfapi.PathStatus, e.serveStatus)
	mux.HandleFunc("GET "+bfapi.PathVars, serveVars)
	if e.Operators != nil {
		mux.Handle("/v1/", e.Operators)
	}
	return mux
}

// serveVars shows all counters, but not the command line, which may have the token.
func serveVars(w http.ResponseWriter, _ *http.Request) {
	all := map[string]json.RawMessage{}
	expvar.Do(func(v expvar.KeyValue) {
		if v.Key != "cmdline" {
			all[v.Key] = json.RawMessage(v.Value.String())
		}
	})
	bfapi.WriteJSON(w, http.StatusOK, all)
}

func serveHealth(w http.ResponseWriter, _ *http.Request) {
	bfapi.WriteJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := e.unready(); reason != "" {
		bfapi.WriteProblem(w, bfapi.Problem{Status: http.StatusServiceUnavailable, Detail: reason}, time.Second)
		return
	}
	bfapi.WriteJSON(w, http.StatusOK, map[string]string{"status": "ready"})
}

// Ready tells whether look-ups may name this VM: it takes new work and doesn't drain.
func (e *Entry) Ready() bool { return !e.isLeaving() && e.unfit() == "" }

// InFlight counts the requests in flight.
func (e *Entry) InFlight() *atomic.Int64 { return &e.serving }

// isLeaving tells whether callers should go to other VMs.
func (e *Entry) isLeaving() bool {
	return e.leaving.Load() || e.DrainedByOperator != nil && e.DrainedByOperator()
}

// unready returns why the entry takes no new work, or "".
func (e *Entry) unready() string {
	if e.isDraining() {
		return "the VM is draining"
	}
	return e.unfit()
}

// unfit returns why the entry takes no new work apart from a drain, or "".
func (e *Entry) unfit() string {
	if _, _, ok := e.Config.Current(); !ok {
		return "no valid configuration lease"
	}
	if !e.Members.Connected() {
		return "cut off from most other VMs"
	}
	if !e.Announcements.Synced() {
		return "the table of backend servers is not complete yet"
	}
	if e.Steering != nil && !e.Steering.Synced() {
		return "no placement from the leader yet"
	}
	return ""
}

func (e *Entry) isDraining() bool {
	select {
	case <-e.Stopping:
		return true
	default:
		return false
	}
}
