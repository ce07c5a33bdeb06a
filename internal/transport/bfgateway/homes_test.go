package bfgateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bfroute"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bffleet"
)

// homesEntry is an entry in region r with two servers in region r and two in region q. The route
// "read" is bound to some of these regions.
type homesEntry struct {
	*testEntry
	// inR and inQ count the requests that reached servers of each region.
	inR, inQ atomic.Int64
}

// newHomesEntry starts the entry. Its servers handle the n-th request with the n-th behaviour.
func newHomesEntry(t *testing.T, homes []string, behaviours ...behaviour) *homesEntry {
	t.Helper()
	h := &homesEntry{testEntry: newTestEntry(t, answer(200, "X-Signature"))}
	h.node.Regions["b"] = "q"
	var runs atomic.Int64
	h.state.Servers = nil
	for i, domain := range []string{"a", "a", "b", "b"} {
		count := &h.inR
		if domain == "b" {
			count = &h.inQ
		}
		h.addServer(string(rune('0'+i)), domain, func(w http.ResponseWriter, r *http.Request) {
			count.Add(1)
			behaviours[min(int(runs.Add(1)), len(behaviours))-1](w, r)
		})
	}
	h.setHomes(homes...)
	return h
}

func (h *homesEntry) addServer(id, domain string, b behaviour) {
	backend := httptest.NewServer(http.HandlerFunc(b))
	h.t.Cleanup(backend.Close)
	h.state.Servers = append(h.state.Servers, bffleet.Server{Instance: briarferry.Instance{
		ID: "j-" + id, Service: "s", FailureDomain: domain, Slots: 8, Address: netip.MustParseAddrPort(backend.Listener.Addr().String()),
	}})
}

// setHomes puts a table in force in which the route "read" has the home regions.
func (h *homesEntry) setHomes(homes ...string) {
	next := *h.state
	table := *next.Routes
	table.Version++
	table.Routes = []briarferry.Route{route("read", true), route("order", false), route("chart", true)}
	table.Routes[0].HomeRegions = homes
	next.Routes = &table
	next.Revision++
	h.state = &next
	h.node.update(h.state)
}

// TestRetryOutsideNewHomes guards against a retry in a region that stopped being a home of the
// route after the request had come.
func TestRetryOutsideNewHomes(t *testing.T) {
	cases := []struct {
		name        string
		first       behaviour
		before, now []string
		status      int
		outcome     briarferry.Outcome
		inR, inQ    int64
	}{
		{"homes swapped, first server lost", abortConnection, []string{"q"}, []string{"r"}, 502, briarferry.OutcomeUnknown, 0, 1},
		{"homes swapped, first server full", answer(503, "X-Not-Run"), []string{"q"}, []string{"r"}, 503, briarferry.OutcomeNotRun, 0, 1},
		{"one home of two left", answer(503, "X-Not-Run"), []string{"q", "r"}, []string{"q"}, 200, "", 1, 1},
		{"home added", answer(503, "X-Not-Run"), []string{"q"}, []string{"q", "r"}, 200, "", 0, 2},
		{"bound to its own region", answer(503, "X-Not-Run"), nil, []string{"r"}, 200, "", 2, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var h *homesEntry
			h = newHomesEntry(t, c.before, func(w http.ResponseWriter, r *http.Request) {
				h.setHomes(c.now...)
				c.first(w, r)
			}, answer(200, "X-Signature"))
			got, err := h.send(t.Context(), "/read/1", "")
			if err != nil {
				t.Fatal(err)
			}
			if got.status != c.status || got.problem.Outcome != c.outcome {
				t.Errorf("status %d (%s), want %d (%s)", got.status, got.problem.Outcome, c.status, c.outcome)
			}
			if r, q := h.inR.Load(), h.inQ.Load(); r != c.inR || q != c.inQ {
				t.Errorf("%d requests reached region r and %d region q, want %d and %d", r, q, c.inR, c.inQ)
			}
		})
	}
}

// TestSentOutsideNewHomes guards against sending a request, once its connection is open, to a
// region that stopped being a home of the route meanwhile.
func TestSentOutsideNewHomes(t *testing.T) {
	h := newHomesEntry(t, []string{"q"}, answer(200, "X-Signature"))
	var opened atomic.Int64
	h.node.upstream.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		if opened.Add(1) == 1 {
			h.setHomes("r")
		}
		var d net.Dialer
		return d.DialContext(ctx, "tcp", to.String())
	}
	got, err := h.send(t.Context(), "/read/1", "")
	if err != nil {
		t.Fatal(err)
	}
	if got.status != http.StatusServiceUnavailable || got.problem.Outcome != briarferry.OutcomeNotRun {
		t.Errorf("status %d (%s), want 503 (not_run)", got.status, got.problem.Outcome)
	}
	if r, q := h.inR.Load(), h.inQ.Load(); r+q != 0 {
		t.Errorf("%d requests reached region r and %d region q, want none", r, q)
	}
}

// useClock makes the entry take the time for confirmations of its table from the returned clock.
func (h *homesEntry) useClock() *atomic.Int64 {
	var now atomic.Int64
	now.Store(int64(time.Minute))
	h.node.fleet.clock = func() time.Duration { return time.Duration(now.Load()) }
	return &now
}

// TestHomesOfUnconfirmedTable guards against an entry that is cut off from the control VMs, frozen
// or just restarted, and runs requests in the home regions of an outdated table.
func TestHomesOfUnconfirmedTable(t *testing.T) {
	h := newHomesEntry(t, []string{"q"}, answer(200, "X-Signature"))
	now := h.useClock()
	f := h.node.fleet
	steps := []struct {
		name          string
		before        func()
		bound, others int
	}{
		{"control VMs confirm nothing", func() {}, 200, 200},
		{"restarted, not confirmed yet", func() { f.confirmations.Require() }, 503, 200},
		{"confirmed", func() { f.confirmations.Confirm(h.state.RoutesVersion(), f.clock()) }, 200, 200},
		{"almost too old", func() { now.Add(int64(bfroute.MaxConfirmationAge)) }, 200, 200},
		{"cut off or frozen", func() { now.Add(1) }, 503, 200},
		{"a newer table is confirmed", func() { f.confirmations.Confirm(h.state.RoutesVersion()+1, f.clock()) }, 503, 200},
		{"newer table in use", func() { h.setHomes("r") }, 200, 200},
	}
	for _, s := range steps {
		s.before()
		for path, want := range map[string]int{"/read/1": s.bound, "/order/1": s.others} {
			ran := h.inR.Load() + h.inQ.Load()
			got, err := h.send(t.Context(), path, "")
			if err != nil {
				t.Fatal(err)
			}
			if got.status != want {
				t.Errorf("%s: %s has status %d, want %d (%s)", s.name, path, got.status, want, got.problem.Detail)
			}
			if reached := h.inR.Load()+h.inQ.Load() > ran; reached != (want == 200) {
				t.Errorf("%s: %s reached a server: %v", s.name, path, reached)
			}
		}
	}
}

// TestFrozenBeforeSending guards against an entry that chose a server, was frozen while the
// connection opened, and sends the request although newer homes may be in force.
func TestFrozenBeforeSending(t *testing.T) {
	h := newHomesEntry(t, []string{"q"}, answer(200, "X-Signature"))
	now := h.useClock()
	h.node.fleet.confirmations.Confirm(h.state.RoutesVersion(), h.node.fleet.clock())
	h.node.upstream.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		now.Add(int64(10 * time.Second))
		var d net.Dialer
		return d.DialContext(ctx, "tcp", to.String())
	}
	got, err := h.send(t.Context(), "/read/1", "")
	if err != nil {
		t.Fatal(err)
	}
	if ran := h.inR.Load() + h.inQ.Load(); got.status != http.StatusServiceUnavailable || got.problem.Outcome != briarferry.OutcomeNotRun || ran != 0 {
		t.Errorf("status %d (%s) and %d requests at servers, want 503 (not_run) and none", got.status, got.problem.Outcome, ran)
	}
}

// TestConfirmationCountsFromQuestion guards against a confirmation that was delayed on its way and
// makes a table look newer than it is known to be.
func TestConfirmationCountsFromQuestion(t *testing.T) {
	h := newHomesEntry(t, []string{"q"}, answer(200, "X-Signature"))
	now := h.useClock()
	f := h.node.fleet
	f.sentAt[7] = sendTime{clock: f.clock()}
	receive := func(sequence uint64, age time.Duration) {
		data, err := bfwire.Encode(&bfwire.TableConfirmation{EchoSequence: sequence, Version: h.state.RoutesVersion(), Age: age})
		if err != nil {
			t.Fatal(err)
		}
		f.receive(data)
	}
	now.Add(int64(time.Second))
	receive(8, 0)
	if _, ok := f.confirmations.Age(f.clock()); ok {
		t.Error("an answer to an unknown heartbeat confirmed the table")
	}
	receive(7, 500*time.Millisecond)
	if age, _ := f.confirmations.Age(f.clock()); age != 1500*time.Millisecond {
		t.Errorf("the confirmation is %v old, want 1.5s", age)
	}
}

// TestAnswerToEarlierProcess guards against an entry that starts again and takes a delayed answer
// to a heartbeat of its earlier process for one to its own.
func TestAnswerToEarlierProcess(t *testing.T) {
	earlier, h := newTestEntry(t, answer(200, "X-Signature")), newHomesEntry(t, []string{"q"}, answer(200, "X-Signature"))
	h.node.fleet.confirmations.Require()
	for _, n := range []*Node{earlier.node, h.node} {
		n.fleet.seeds = func() []netip.Addr { return nil }
		for i := range 3 {
			n.fleet.sendHeartbeat(time.Now())
			if i == 0 && n.fleet.sequence%bfwire.MemberListInterval != 1 {
				t.Errorf("the first heartbeat has sequence %d, whose answer lists no control VMs", n.fleet.sequence)
			}
		}
	}
	h.node.fleet.confirm(&bfwire.TableConfirmation{EchoSequence: earlier.node.fleet.sequence, Version: h.state.RoutesVersion()})
	got, err := h.send(t.Context(), "/read/1", "")
	if err != nil {
		t.Fatal(err)
	}
	if ran := h.inR.Load() + h.inQ.Load(); got.status != http.StatusServiceUnavailable || ran != 0 {
		t.Errorf("status %d and %d requests at servers, want 503 and none", got.status, ran)
	}
}
