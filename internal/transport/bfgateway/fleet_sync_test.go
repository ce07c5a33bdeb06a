package bfgateway

import (
	"bytes"
	"context"
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

// fakeControl is a control VM with a fixed state.
type fakeControl struct {
	bfrpc.FleetService
	state   bffleet.State
	entries []bfwire.EntryInfo
	queries atomic.Int64
	address netip.AddrPort
}

// Query returns the changes since the revision.
func (c *fakeControl) Query(_ context.Context, q *bfwire.FleetQuery) (*bfwire.FleetReply, error) {
	c.queries.Add(1)
	return &bfwire.FleetReply{Update: *c.state.UpdateSince(q.Revision, q.AcceptsRouteChange), Entries: c.entries}, nil
}

// startControl serves the fleet procedures at a loopback address.
func startControl(t *testing.T, revision uint64, entries ...bfwire.EntryInfo) *fakeControl {
	t.Helper()
	c := &fakeControl{state: bffleet.State{Revision: revision}, entries: entries}
	mux := http.NewServeMux()
	bfrpc.HandleFleet(mux, c)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	c.address = netip.MustParseAddrPort(s.Listener.Addr().String())
	return c
}

// TestRestartedControlVM guards against an entry that keeps asking a restarted control VM
// for the state that it announced before, stays behind although others have that state, and
// takes its list of entries.
func TestRestartedControlVM(t *testing.T) {
	entry := func(name, address string) bfwire.EntryInfo {
		a := netip.MustParseAddrPort(address)
		return bfwire.EntryInfo{Name: name, HTTP: a, RPC: a, Gossip: a}
	}
	restarted := startControl(t, 3)
	other := startControl(t, 10, entry("one", "127.0.0.1:1"), entry("two", "127.0.0.1:2"))
	f := &fleetSync{
		self: entry("one", "127.0.0.1:1"), onChange: func(*bffleet.State) {}, onRTT: func(string, time.Duration) {}, log: zerolog.Nop(),
	}
	f.setup()
	f.state.Store(&bffleet.State{Revision: 5})
	for i, c := range []*fakeControl{restarted, other} {
		f.controls[c.address] = &controlState{rtt: time.Duration(i+1) * time.Millisecond, lastHeartbeat: time.Now()}
		data, err := bfwire.Encode(&bfwire.ControlHeartbeat{From: c.address, Revision: 10, EntriesDigest: 1})
		if err != nil {
			t.Fatal(err)
		}
		f.receive(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	f.fetchLoop(ctx)
	if got := f.state.Load().Revision; got != 10 {
		t.Errorf("the entry has revision %d, want 10", got)
	}
	if got := restarted.queries.Load(); got > 2 {
		t.Errorf("the restarted control VM got %d queries within a second, want 2 at most", got)
	}
	if got := len(f.Live()); got != 2 {
		t.Errorf("%d live entries, want 2", got)
	}
}

// TestOlderTableAfterRestart guards against a withdrawn key that is in use again because a
// control VM with an older table, such as one whose disk was restored, answers first.
func TestOlderTableAfterRestart(t *testing.T) {
	e := newOrganisationEntry(t, answer(200, "X-Signature"))
	older := startControl(t, 2)
	older.state.Routes, older.state.RoutesRevision = e.state.Routes, 2
	e.changeTable(func(table *briarferry.RouteTable) { table.Organisations = table.Organisations[1:] })
	f := e.node.fleet
	f.state.Store(e.state)
	f.onChange = e.node.update
	f.controls[older.address] = &controlState{rtt: time.Millisecond, lastHeartbeat: time.Now()}
	c := e.dial()
	for _, announced := range []uint64{2, e.state.Revision, e.state.Revision + 7} {
		data, err := bfwire.Encode(&bfwire.ControlHeartbeat{From: older.address, Revision: announced, EntriesDigest: announced})
		if err != nil {
			t.Fatal(err)
		}
		f.receive(data)
		for range 2 {
			f.fetch(t.Context())
		}
		if resp := c.send("/read/1", "X-Key: "+northKey); resp.StatusCode != 401 {
			t.Errorf("revision %d announced: status %d with a withdrawn key", announced, resp.StatusCode)
		}
	}
	if older.queries.Load() == 0 || f.state.Load().RoutesVersion() != e.state.Routes.Version {
		t.Errorf("%d queries, version %d, want version %d", older.queries.Load(), f.state.Load().RoutesVersion(), e.state.Routes.Version)
	}
}

// slowControl takes a time for each reply, as a large table on a narrow link does.
type slowControl struct {
	*fakeControl
	delay time.Duration
}

func (c slowControl) Query(ctx context.Context, q *bfwire.FleetQuery) (*bfwire.FleetReply, error) {
	select {
	case <-time.After(c.delay):
	case <-ctx.Done():
	}
	return c.fakeControl.Query(ctx, q)
}

// TestLargeTableOnNarrowLink guards against an entry that never gets a large table, as each
// fetch ends before the table has arrived.
func TestLargeTableOnNarrowLink(t *testing.T) {
	c := &fakeControl{state: bffleet.State{Revision: 9, RoutesRevision: 9, Routes: &briarferry.RouteTable{Version: 3}}}
	mux := http.NewServeMux()
	bfrpc.HandleFleet(mux, slowControl{c, fetchTimeout + fetchTimeout/2})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	c.address = netip.MustParseAddrPort(s.Listener.Addr().String())
	f := &fleetSync{onChange: func(*bffleet.State) {}, log: zerolog.Nop()}
	f.setup()
	for range 2 {
		f.controls[c.address] = &controlState{revision: 9, lastHeartbeat: time.Now()}
		f.fetch(t.Context())
	}
	if got := f.state.Load().RoutesVersion(); got != 3 || f.timeouts != 0 {
		t.Errorf("version %d after two fetches, %d timeouts", got, f.timeouts)
	}
}

// TestLateHeartbeats guards against an entry that has too little processor time to keep its
// state up to date without a line in its log that says so.
func TestLateHeartbeats(t *testing.T) {
	var log bytes.Buffer
	f := &fleetSync{log: zerolog.New(&log)}
	f.state.Store(&bffleet.State{Revision: 7})
	for _, delay := range []time.Duration{-heartbeatInterval, 0, maxHeartbeatDelay} {
		f.checkDelay(delay)
	}
	if log.Len() > 0 {
		t.Errorf("logged without a delay: %s", log.String())
	}
	f.checkDelay(1800 * time.Millisecond)
	if line := log.String(); !strings.Contains(line, `"delay_ms":1800`) || !strings.Contains(line, `"revision":7`) {
		t.Errorf("logged %q", line)
	}
}

// wrongBaseControl sends a change of a route table that entries don't have, unless they ask
// for the whole table.
type wrongBaseControl struct{ *fakeControl }

func (c wrongBaseControl) Query(ctx context.Context, q *bfwire.FleetQuery) (*bfwire.FleetReply, error) {
	reply, err := c.fakeControl.Query(ctx, q)
	if q.AcceptsRouteChange {
		reply.Update.Routes, reply.Update.RouteChange = nil, &bffleet.RouteChange{Base: 7, Version: 8}
	}
	return reply, err
}

// TestChangeOfUnknownTable guards against an entry that stays behind because it can't apply
// the changes that it gets, and against one that asks for them without pause.
func TestChangeOfUnknownTable(t *testing.T) {
	c := &fakeControl{state: bffleet.State{Revision: 9, RoutesRevision: 9, Routes: &briarferry.RouteTable{Version: 3}}}
	mux := http.NewServeMux()
	bfrpc.HandleFleet(mux, wrongBaseControl{c})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	c.address = netip.MustParseAddrPort(s.Listener.Addr().String())
	f := &fleetSync{onChange: func(*bffleet.State) {}, log: zerolog.Nop()}
	f.setup()
	f.state.Store(&bffleet.State{Revision: 2, RoutesRevision: 2, Routes: &briarferry.RouteTable{Version: 1}})
	f.controls[c.address] = &controlState{revision: 9, lastHeartbeat: time.Now()}
	for range 2 {
		if !f.fetch(t.Context()) {
			t.Error("no fetch although a control VM has a newer state")
		}
	}
	if got := f.state.Load(); got.RoutesVersion() != 3 || f.fetch(t.Context()) {
		t.Errorf("the entry has version %d, want 3 and no further fetch", got.RoutesVersion())
	}
}
