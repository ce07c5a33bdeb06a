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
	fleetQuery  = "/briarferry.Fleet/Query"
	fleetChange = "/briarferry.Fleet/Change"
	fleetHeard  = "/briarferry.Fleet/Heard"

	// fleetDial covers the round trip between the most distant regions twice.
	fleetDial = 300 * time.Millisecond
	// fleetIdle is how long a connection for calls is kept without one, and
	// fleetConns the number that is kept.
	fleetIdle  = 20 * time.Second
	fleetConns = 4
)

// FleetService answers the calls between the VMs of a routed deployment.
type FleetService interface {
	// Query returns what changed after a revision.
	Query(ctx context.Context, q *bfwire.FleetQuery) (*bfwire.FleetReply, error)
	// Change runs a command where this VM leads.
	Change(ctx context.Context, c *bfwire.FleetChange) (*bfwire.FleetChangeReply, error)
	// Heard returns the backend servers that reported to this VM.
	Heard(ctx context.Context, q *bfwire.FleetHeard) (*bfwire.RecentReportsReply, error)
}

// HandleFleet registers the calls of a routed deployment.
func HandleFleet(mux *http.ServeMux, s FleetService) {
	Handle(mux, fleetQuery, s.Query)
	Handle(mux, fleetChange, s.Change)
	Handle(mux, fleetHeard, s.Heard)
}

// NewFleetClient returns a client for the calls of a routed deployment.
func NewFleetClient() *http.Client {
	dialer := net.Dialer{Timeout: fleetDial}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: fleetConns, IdleConnTimeout: fleetIdle}}
}

// QueryFleet asks a control VM for what changed after a revision.
func QueryFleet(ctx context.Context, c *http.Client, to netip.AddrPort, q *bfwire.FleetQuery) (*bfwire.FleetReply, error) {
	return NewCall[bfwire.FleetQuery, bfwire.FleetReply](c, (*Security)(nil).base(to), fleetQuery)(ctx, q)
}

// ChangeFleet has a control VM run a command, if it leads.
func ChangeFleet(ctx context.Context, c *http.Client, to netip.AddrPort, change *bfwire.FleetChange) (*bfwire.FleetChangeReply, error) {
	return NewCall[bfwire.FleetChange, bfwire.FleetChangeReply](c, (*Security)(nil).base(to), fleetChange)(ctx, change)
}

// HeardFleet asks a control VM which backend servers reported to it lately.
func HeardFleet(ctx context.Context, c *http.Client, to netip.AddrPort, q *bfwire.FleetHeard) (*bfwire.RecentReportsReply, error) {
	return NewCall[bfwire.FleetHeard, bfwire.RecentReportsReply](c, (*Security)(nil).base(to), fleetHeard)(ctx, q)
}
