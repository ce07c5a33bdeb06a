// Package bfentry implements the HTTP interface of an entry VM for callers, backend servers
// and operators.
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
	// Announcements stores the announcements of backend servers.
	Announcements interface {
		// Announce stores an announcement and shares it with the other entries.
		Announce(a briarferry.Announcement) error
		// Synced reports whether the table is as complete as those of the other entries.
		Synced() bool
	}

	// Steering measures the demand of callers and applies the leader's placement to their
	// requests.
	Steering interface {
		// CountLookup counts a look-up of a caller.
		CountLookup(caller netip.Addr)
		// Synced reports whether the entry has the leader's placement or need not wait for it
		// any longer.
		Synced() bool
		// Admits counts a request and reports whether the placement admits its class.
		Admits(caller netip.Addr, cfg *briarferry.Config, s briarferry.Service, class briarferry.PriorityClass) bool
	}

	// Entry answers the HTTP requests of one entry VM. Its fields must be set before use.
	Entry struct {
		Config        briarferry.ConfigSource
		Members       briarferry.Members
		Placement     briarferry.Placement
		Announcements Announcements
		// Steering counts and admits requests; if nil, nothing is counted or refused.
		Steering Steering
		Pipeline *Pipeline
		// TrustedResolvers are the resolvers that may name the caller of a look-up.
		TrustedResolvers []netip.Prefix
		// Operators handles the operator API; if nil, its paths are answered with 404.
		Operators http.Handler
		// StatusClient fetches the status of other VMs.
		StatusClient bftls.Caller
		// AddStatus adds the status of the process's other components; it may be nil.
		AddStatus func(s *bfapi.VMStatus)
		// Stopping is closed when the entry starts to refuse new requests because the
		// process stops.
		Stopping <-chan struct{}

		// DrainedByOperator reports whether an operator drains this VM; nil means never.
		DrainedByOperator func() bool

		inFlight atomic.Int64
		// drainStarted is true while the process drains before it stops. Answers then close
		// their connections, so that no connection is reused when the process stops.
		drainStarted atomic.Bool
	}
)

// Handler returns the handler for all paths of the entry.
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

// serveVars writes all expvar variables except the command line, which may contain the
// operators' token.
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
	if reason := e.unreadyReason(); reason != "" {
		bfapi.WriteProblem(w, bfapi.Problem{Status: http.StatusServiceUnavailable, Detail: reason}, time.Second)
		return
	}
	bfapi.WriteJSON(w, http.StatusOK, map[string]string{"status": "ready"})
}

// MayBeLookedUp reports whether look-ups may name this VM: it can take new requests and does
// not drain. The readiness path also succeeds while the VM drains, until the VM refuses new
// requests.
func (e *Entry) MayBeLookedUp() bool { return !e.isDraining() && e.missingPrerequisite() == "" }

// InFlight returns the counter of the requests in flight.
func (e *Entry) InFlight() *atomic.Int64 { return &e.inFlight }

// isDraining reports whether the VM drains, either before a stop or for an operator. It takes
// new requests until Stopping is closed, but callers should move to other VMs.
func (e *Entry) isDraining() bool {
	return e.drainStarted.Load() || e.DrainedByOperator != nil && e.DrainedByOperator()
}

// unreadyReason returns why the entry refuses new requests, or "" if it takes them.
func (e *Entry) unreadyReason() string {
	if e.isStopping() {
		return "the VM is draining"
	}
	return e.missingPrerequisite()
}

// missingPrerequisite returns what the entry lacks to serve requests, or "" if nothing is
// missing. Drains are not considered.
func (e *Entry) missingPrerequisite() string {
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

// isStopping reports whether the entry refuses new requests because the process stops.
func (e *Entry) isStopping() bool {
	select {
	case <-e.Stopping:
		return true
	default:
		return false
	}
}
