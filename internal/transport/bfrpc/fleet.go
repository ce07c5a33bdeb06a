package bfrpc

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"briarferry/internal/protocol/bfwire"
)

const (
	procedureFleetQuery    = "/briarferry.Fleet/Query"
	procedureFleetChange   = "/briarferry.Fleet/Change"
	procedureRecentReports = "/briarferry.Fleet/Heard"

	// fleetDialTimeout is above two round trips between the most distant regions.
	fleetDialTimeout = 300 * time.Millisecond
	// fleetIdleTimeout is the time after which an idle connection is closed, and
	// fleetIdleConns the number of idle connections that are kept for each VM.
	fleetIdleTimeout = 20 * time.Second
	fleetIdleConns   = 4
)

// FleetService handles the calls between the VMs of a routed deployment.
type FleetService interface {
	// Query returns the changes after a revision.
	Query(ctx context.Context, q *bfwire.FleetQuery) (*bfwire.FleetReply, error)
	// Change executes a command if this VM is the leader.
	Change(ctx context.Context, c *bfwire.FleetChange) (*bfwire.FleetChangeReply, error)
	// RecentReports returns the backend servers that reported to this VM recently.
	RecentReports(ctx context.Context, q *bfwire.FleetHeard) (*bfwire.RecentReportsReply, error)
}

// HandleFleet registers the procedures of a routed deployment.
func HandleFleet(mux *http.ServeMux, s FleetService) {
	Handle(mux, procedureFleetQuery, s.Query)
	Handle(mux, procedureFleetChange, s.Change)
	Handle(mux, procedureRecentReports, s.RecentReports)
}

// NewFleetClient returns a client for the calls of a routed deployment.
func NewFleetClient() *http.Client {
	dialer := net.Dialer{Timeout: fleetDialTimeout}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: fleetIdleConns, IdleConnTimeout: fleetIdleTimeout}}
}

// QueryFleet asks a control VM for the changes after a revision.
func QueryFleet(ctx context.Context, c *http.Client, to netip.AddrPort, q *bfwire.FleetQuery) (*bfwire.FleetReply, error) {
	return NewCall[bfwire.FleetQuery, bfwire.FleetReply](c, (*Security)(nil).baseURL(to), procedureFleetQuery)(ctx, q)
}

// ChangeFleet asks a control VM to execute a command, which only the leader does.
func ChangeFleet(ctx context.Context, c *http.Client, to netip.AddrPort, change *bfwire.FleetChange) (*bfwire.FleetChangeReply, error) {
	return NewCall[bfwire.FleetChange, bfwire.FleetChangeReply](c, (*Security)(nil).baseURL(to), procedureFleetChange)(ctx, change)
}

// QueryRecentReports asks a control VM which backend servers reported to it recently.
func QueryRecentReports(ctx context.Context, c *http.Client, to netip.AddrPort, q *bfwire.FleetHeard) (*bfwire.RecentReportsReply, error) {
	return NewCall[bfwire.FleetHeard, bfwire.RecentReportsReply](c, (*Security)(nil).baseURL(to), procedureRecentReports)(ctx, q)
}
