package bfgateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bffleet"
	"briarferry/internal/transport/bfrpc"
)

// TestUnconfirmedHomesChooseNoServer guards against an entry that opens connections for requests
// which it has to refuse, as its table isn't confirmed, and against another reason in the answer.
func TestUnconfirmedHomesChooseNoServer(t *testing.T) {
	h := newHomesEntry(t, []string{"q"}, answer(200, "X-Signature"))
	h.node.fleet.confirmations.Require()
	var opened atomic.Int64
	h.node.upstream.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		opened.Add(1)
		return h.node.dial(ctx, to)
	}
	got, err := h.send(t.Context(), "/read/1", "")
	if err != nil {
		t.Fatal(err)
	}
	if got.status != http.StatusServiceUnavailable || got.problem.Outcome != briarferry.OutcomeNotRun || !strings.Contains(got.problem.Detail, "newest") {
		t.Errorf("status %d (%s, %q), want 503 (not_run) for an unconfirmed table", got.status, got.problem.Outcome, got.problem.Detail)
	}
	if n := opened.Load(); n != 0 {
		t.Errorf("%d connections were opened", n)
	}
}

// TestRefusalAfterNewHomes guards against callers that are told to wait for another table although
// the newest one has a region for their requests.
func TestRefusalAfterNewHomes(t *testing.T) {
	var h *homesEntry
	h = newHomesEntry(t, []string{"q"}, func(w http.ResponseWriter, r *http.Request) {
		h.setHomes("r")
		answer(503, "X-Not-Run")(w, r)
	})
	got, err := h.send(t.Context(), "/read/1", "")
	if err != nil {
		t.Fatal(err)
	}
	if after := got.header.Get("Retry-After"); after != "0.10" || !strings.Contains(got.problem.Detail, "have changed") {
		t.Errorf("Retry-After %q (%q), want 0.10 for changed homes", after, got.problem.Detail)
	}
}

// TestNewHomesOfOrganisation guards against a try outside the home regions that the request's
// organisation got after the request had come.
func TestNewHomesOfOrganisation(t *testing.T) {
	e := newOrganisationEntry(t, answer(200, "X-Signature"))
	c := e.read("/read/1", northKey)
	if !e.node.mayRunIn(c, "r") {
		t.Fatal("the request may not run in its home region")
	}
	e.changeTable(func(table *briarferry.RouteTable) {
		table.Organisations = append([]briarferry.Organisation(nil), table.Organisations...)
		table.Organisations[0].HomeRegions = []string{"s"}
	})
	if e.node.mayRunIn(c, "r") || e.node.mayRunIn(c, "s") {
		t.Error("the request may run outside the old or the new home regions of its organisation")
	}
}

// confirmingControl is a control VM that confirms route tables.
type confirmingControl struct{ *fakeControl }

func (c confirmingControl) Query(ctx context.Context, q *bfwire.FleetQuery) (*bfwire.FleetReply, error) {
	reply, err := c.fakeControl.Query(ctx, q)
	reply.ConfirmsTables = true
	return reply, err
}

// TestFirstTableNeedsConfirmation guards against an entry that starts again beside a control VM
// that lags, and uses its outdated table although control VMs confirm tables.
func TestFirstTableNeedsConfirmation(t *testing.T) {
	control := &fakeControl{state: bffleet.State{Revision: 3}}
	mux := http.NewServeMux()
	bfrpc.HandleFleet(mux, confirmingControl{control})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	control.address = netip.MustParseAddrPort(s.Listener.Addr().String())
	f := &fleetSync{onChange: func(*bffleet.State) {}, onRTT: func(string, time.Duration) {}, log: zerolog.Nop()}
	f.setup()
	f.controls[control.address] = &controlState{revision: 3, lastHeartbeat: time.Now()}
	if !f.fetch(t.Context()) || f.state.Load().Revision != 3 {
		t.Fatal("nothing was fetched")
	}
	if f.confirmations.IsCurrent(f.clock()) {
		t.Error("the first table counts as the newest without a confirmation")
	}
}
