package bfgateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/coordination/bfroute"
	"briarferry/internal/coordination/bfsteering"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/state/bffleet"
	"briarferry/internal/transport/bflistener"
)

const testTimeout = 400 * time.Millisecond

var testDialect = &bfapi.Dialect{
	RequestIDHeader: "X-Id", RemainingTimeHeader: "X-Left", ExpectedInstanceHeader: "X-Expected", NotRunHeader: "X-Not-Run", ServerSignatureHeader: "X-Signature", AffinityCookie: "affinity",
	KeyHeader: "X-Key", OrganisationHeader: "X-Org",
	AllowCloseDelimited: true, DiscardMismatched: true,
	FormatRemainingTime: func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) },
	ParseRemainingTime: func(text string) (time.Duration, bool) {
		n, err := strconv.Atoi(text)
		return time.Duration(n) * time.Millisecond, err == nil
	},
	ParseNotice: func(status int, h http.Header, _ time.Time) (briarferry.ServerNotice, error) {
		seconds, err := strconv.Atoi(h.Get("Retry-After"))
		if status != http.StatusServiceUnavailable || h.Get("Retry-After") == "" {
			seconds, err = 0, nil
		}
		return briarferry.ServerNotice{Leaving: h.Get("X-Leaving") != "", Pause: time.Duration(seconds) * time.Second}, err
	},
	ColdTimeHeader: "X-Cold", InstanceHeader: "X-Instance", ParseColdTime: func(text string) (time.Duration, bool) {
		n, err := strconv.Atoi(text)
		return time.Duration(n) * time.Millisecond, err == nil
	},
	LoadHeader: "X-Load", ParseLoad: func(string) (briarferry.ServerLoad, bool) { return briarferry.ServerLoad{}, false },
}

// behaviour is how a fake backend server handles one request.
type behaviour func(w http.ResponseWriter, r *http.Request)

func answer(status int, header string) behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set(header, "1")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "answer")
	}
}

// answerAfter answers like a server that was frozen for the time while it ran the request.
func answerAfter(d time.Duration, b behaviour) behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(d)
		b(w, r)
	}
}

func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// raw writes the text to the connection and, unless it repeats the text until the entry
// closes the connection, closes it.
func raw(text string, repeats bool) behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		text := strings.ReplaceAll(text, "ID", r.Header.Get("X-Id"))
		for _, err = io.WriteString(c, text); err == nil && repeats; {
			_, err = io.WriteString(c, text)
		}
	}
}

// testEntry is an entry with fake backend servers of one service.
type testEntry struct {
	t      testing.TB
	node   *Node
	server *httptest.Server
	// runs counts the requests that reached a backend server.
	runs  atomic.Int64
	state *bffleet.State
	mu    sync.Mutex
	// header is that of the last request at a backend server.
	header http.Header
}

// newTestEntry starts an entry. The backend servers handle the first request with the
// first behaviour, the second one with the second and so on, and all later ones with the
// last.
func newTestEntry(t testing.TB, behaviours ...behaviour) *testEntry {
	e := &testEntry{t: t}
	ln, err := bflistener.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	e.node = &Node{
		VM: briarferry.VM{Name: "entry", Region: "r", FailureDomain: "a"}, Regions: map[string]string{"a": "r"},
		Seeds: func() []netip.Addr { return nil }, Dialect: testDialect, listener: ln, Log: zerolog.Nop(),
		Limits: bfsteering.Limits{RetryShare: 0.2, RetrySlack: 64, RetryWindow: 10 * time.Second},
	}
	e.node.setup()
	e.state = &bffleet.State{Revision: 1, Routes: &briarferry.RouteTable{
		Version: 1, Services: []briarferry.RouteService{{Name: "s", ConnectionLimit: 100}}, Limits: briarferry.EntryLimits{MaxBodyBytes: 1000},
		Routes: []briarferry.Route{route("read", true), route("order", false), route("chart", true)},
	}}
	e.state.Routes.Routes[2].LargeAnswers = true
	for i := range max(3, len(behaviours)) {
		backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			n := int(e.runs.Add(1)) - 1
			_, _ = io.Copy(io.Discard, req.Body)
			e.mu.Lock()
			e.header = req.Header.Clone()
			e.mu.Unlock()
			behaviours[min(n, len(behaviours)-1)](w, req)
		}))
		t.Cleanup(backend.Close)
		e.state.Servers = append(e.state.Servers, bffleet.Server{Instance: briarferry.Instance{
			ID: fmt.Sprint("i-", i), Service: "s", FailureDomain: "a", Slots: 8, Address: netip.MustParseAddrPort(backend.Listener.Addr().String()),
		}})
	}
	e.node.update(e.state)
	e.server = httptest.NewServer(e.node)
	t.Cleanup(e.server.Close)
	return e
}

func route(name string, idempotent bool) briarferry.Route {
	return briarferry.Route{
		Name: name, Host: "shop.example", Prefix: "/" + name + "/", Idempotent: idempotent, MaxAttempts: 2,
		Timeout: briarferry.Duration(testTimeout), Target: briarferry.Duration(testTimeout / 2),
		Split: []briarferry.SplitPart{{Service: "s", Weight: 1}},
	}
}

type reply struct {
	status  int
	header  http.Header
	body    string
	problem bfapi.Problem
	took    time.Duration
}

func (e *testEntry) send(ctx context.Context, path, body string) (reply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.server.URL+path, strings.NewReader(body))
	if err != nil {
		e.t.Fatal(err)
	}
	req.Host = "shop.example"
	req.Header.Set("X-Id", "q1")
	req.Header.Set("X-Left", "300")
	started := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	out := reply{status: resp.StatusCode, header: resp.Header, body: string(data), took: time.Since(started)}
	_ = json.Unmarshal(data, &out.problem)
	return out, err
}

// TestAtMostOnce guards against running a request that is not idempotent twice, and
// against reporting one as not run that a server may have run.
func TestAtMostOnce(t *testing.T) {
	cases := []struct {
		name       string
		path       string
		behaviours []behaviour
		status     int
		outcome    briarferry.Outcome
		runs       int64
	}{
		{"answered", "/order/1", []behaviour{answer(200, "X-Signature")}, 200, "", 1},
		{"connection closed", "/order/1", []behaviour{abortConnection, answer(200, "X-Signature")}, 502, briarferry.OutcomeUnknown, 1},
		{"server silent for a while", "/order/1", []behaviour{answerAfter(testTimeout/2, answer(200, "X-Signature")), answer(200, "X-None")}, 200, "", 1},
		{"answer lost in its head", "/order/1", []behaviour{raw("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Sign", false), answer(200, "X-Signature")}, 502, briarferry.OutcomeUnknown, 1},
		{"answer lost in its body", "/order/1", []behaviour{raw("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: 1\r\nContent-Length: 9\r\n\r\nhalf", false), answer(200, "X-Signature")}, 502, briarferry.OutcomeUnknown, 1},
		{"head without end", "/order/1", []behaviour{raw("HTTP/1.1 103 Early Hints\r\n\r\n", true), answer(200, "X-Signature")}, 502, briarferry.OutcomeUnknown, 1},
		{"idempotent, answer lost in its body", "/read/1", []behaviour{raw("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: 1\r\nContent-Length: 9\r\n\r\nhalf", false), answer(200, "X-Signature")}, 200, "", 2},
		{"idempotent, head without end", "/read/1", []behaviour{raw("HTTP/1.1 103 Early Hints\r\n\r\n", true), answer(200, "X-Signature")}, 200, "", 2},
		{"no signature", "/order/1", []behaviour{answer(200, "X-None"), answer(200, "X-Signature")}, 502, briarferry.OutcomeUnknown, 1},
		{"server error", "/order/1", []behaviour{answer(500, "X-Signature"), answer(200, "X-Signature")}, 500, "", 1},
		{"silent", "/order/1", []behaviour{hang}, 504, briarferry.OutcomeUnknown, 1},
		{"shed then answered", "/order/1", []behaviour{answer(503, "X-Not-Run"), answer(200, "X-Signature")}, 200, "", 2},
		{"misdirected then answered", "/order/1", []behaviour{answer(421, "X-None"), answer(200, "X-Signature")}, 200, "", 2},
		{"shed by all", "/order/1", []behaviour{answer(503, "X-Not-Run")}, 503, briarferry.OutcomeNotRun, 2},
		{"idempotent, connection closed", "/read/1", []behaviour{abortConnection, answer(200, "X-Signature")}, 200, "", 2},
		{"idempotent, server error", "/read/1", []behaviour{answer(500, "X-Signature"), answer(200, "X-Signature")}, 200, "", 2},
		{"idempotent, connection closed, then shed", "/read/1", []behaviour{abortConnection, answer(503, "X-Not-Run")}, 502, briarferry.OutcomeUnknown, 2},
		{"idempotent, server error twice", "/read/1", []behaviour{answer(500, "X-Signature")}, 500, "", 2},
		{"no route", "/none/1", []behaviour{answer(200, "X-Signature")}, 404, briarferry.OutcomeNotRun, 0},
	}
	for _, c := range cases {
		e := newTestEntry(t, c.behaviours...)
		got, err := e.send(t.Context(), c.path, "body")
		if err != nil || got.status != c.status || got.problem.Outcome != c.outcome || e.runs.Load() != c.runs {
			t.Errorf("%s: status %d, outcome %q, %d runs, %v; want %d, %q, %d", c.name, got.status, got.problem.Outcome, e.runs.Load(), err, c.status, c.outcome, c.runs)
		}
		if got.header.Get("X-Id") != "q1" {
			t.Errorf("%s: the answer lacks the request's id", c.name)
		}
		if got.took >= testTimeout && got.status == http.StatusBadGateway {
			t.Errorf("%s: the caller waited %v for the final answer", c.name, got.took)
		}
		if got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") == "" {
			t.Errorf("%s: the refusal has no Retry-After header", c.name)
		}
	}
}

// TestRemainingTime guards against telling a server a longer remaining time than the
// caller's, and against answering the caller after its deadline.
func TestRemainingTime(t *testing.T) {
	e := newTestEntry(t, hang)
	got, err := e.send(t.Context(), "/order/1", "")
	if err != nil || got.status != 504 || got.took < 250*time.Millisecond || got.took > testTimeout+200*time.Millisecond {
		t.Errorf("status %d after %v, %v", got.status, got.took, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if left, err := strconv.Atoi(e.header.Get("X-Left")); err != nil || left > 300 || left < 200 {
		t.Errorf("the server got %q ms, want 200 to 300", e.header.Get("X-Left"))
	}
}

// TestCallerDisconnects guards against servers that keep running a request after its
// caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	cancelled := make(chan struct{})
	e := newTestEntry(t, func(_ http.ResponseWriter, req *http.Request) {
		<-req.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := e.send(ctx, "/order/1", ""); err == nil {
		t.Fatal("the request was answered before its caller disconnected")
	}
	select {
	case <-cancelled:
	case <-time.After(2 * time.Second):
		t.Error("the request was not cancelled at the server")
	}
}

// TestCallerHasLeft guards against sending a request whose caller has already disconnected.
func TestCallerHasLeft(t *testing.T) {
	e := newTestEntry(t, hang)
	// Idle connections to all servers, so that a try needs no time to connect.
	for _, s := range e.state.Servers {
		b := briarferry.Backend{Announcement: briarferry.Announcement{Address: s.Address, ConnectionLimit: 100}}
		if err := e.node.upstream.Probe(t.Context(), b); err != nil {
			t.Fatal(err)
		}
	}
	left, leave := context.WithCancel(t.Context())
	leave()
	for range 20 {
		req := httptest.NewRequest(http.MethodPost, "/order/1", nil)
		req.Host = "shop.example"
		c, refusal := e.node.readRequest(httptest.NewRecorder(), req, time.Now())
		if refusal != nil {
			t.Fatal(refusal)
		}
		_, _ = e.node.forward(left, c)
		c.end()
	}
	time.Sleep(50 * time.Millisecond)
	if runs := e.runs.Load(); runs != 0 {
		t.Errorf("%d of 20 requests reached a server", runs)
	}
}

// TestCancelledAfterDispatch guards against a second try of an order whose first try was
// cancelled after a server may have got it.
func TestCancelledAfterDispatch(t *testing.T) {
	order := route("order", false)
	for _, dispatched := range []bool{true, false} {
		f := &forwarder{call: &call{route: &bfroute.Route{Route: &order}}, sent: 1}
		_, err, done := f.handleResult(tryResult{outcome: bfsteering.Cancelled, dispatched: dispatched})
		if done != dispatched || f.mayHaveRun != dispatched {
			t.Errorf("dispatched %v: ends the request %v with %v, may have run %v", dispatched, done, err, f.mayHaveRun)
		}
	}
}

// TestServerDrainsDuringWait guards against sending an order to a server that began to drain
// after it was chosen, while the try waited for a connection.
func TestServerDrainsDuringWait(t *testing.T) {
	e := newTestEntry(t, answer(200, "X-Signature"))
	drained := ""
	e.node.upstream.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		next := *e.state
		next.Revision, next.Servers = 2, slices.Clone(e.state.Servers)
		for i := range next.Servers {
			if srv := &next.Servers[i]; drained == "" && srv.Address == address {
				drained, srv.Draining = srv.ID, true
				e.node.update(&next)
			}
		}
		return e.node.dial(ctx, address)
	}
	got, err := e.send(t.Context(), "/order/1", "")
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil || got.status != 200 || e.runs.Load() != 1 || e.header.Get("X-Expected") == drained {
		t.Errorf("status %d, %v, %d runs; %s drains, and %s got the order", got.status, err, e.runs.Load(), drained, e.header.Get("X-Expected"))
	}
}

// TestNoRouteTable guards against status 404 from an entry without a route table, which
// can't know yet whether the route exists.
func TestNoRouteTable(t *testing.T) {
	e := newTestEntry(t, answer(200, "X-Signature"))
	e.node.routes.Store(nil)
	if got, err := e.send(t.Context(), "/order/1", ""); err != nil || got.status != 503 || e.node.isReady() {
		t.Errorf("status %d, %v, ready %v", got.status, err, e.node.isReady())
	}
}

// TestBodyLimit guards against accepting bodies over the limit or sending their first part
// to a server.
func TestBodyLimit(t *testing.T) {
	e := newTestEntry(t, answer(200, "X-Signature"))
	if got, err := e.send(t.Context(), "/order/1", strings.Repeat("x", 1001)); err != nil || got.status != 413 || e.runs.Load() != 0 {
		t.Errorf("status %d, %d runs, %v", got.status, e.runs.Load(), err)
	}
}

// TestHeaderLimit guards against a changed limit of headers that doesn't hold on connections
// that are already open.
func TestHeaderLimit(t *testing.T) {
	e := newTestEntry(t, answer(200, "X-Signature"))
	go func() { _ = e.node.server.serve(e.node.listener) }()
	c, err := net.Dial("tcp", e.node.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for i, step := range []struct{ limit, size, want int }{{1000, 900, 200}, {1000, 1100, 431}, {20_000, 19_000, 200}, {20_000, 21_000, 431}, {500, 600, 431}, {500, 300, 200}} {
		next := *e.state
		table := *e.state.Routes
		table.Version, table.Limits.MaxHeaderBytes = uint64(i+2), step.limit
		next.Revision, next.Routes = uint64(i+2), &table
		e.node.update(&next)
		if _, err := fmt.Fprintf(c, "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: q%d\r\nX-Long: %s\r\n\r\n", i, strings.Repeat("x", step.size-60)); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("limit %d, headers of %d bytes: %v", step.limit, step.size, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != step.want {
			t.Errorf("limit %d, headers of %d bytes: status %d, want %d", step.limit, step.size, resp.StatusCode, step.want)
		}
	}
}

// TestBodyMemoryLimit guards against exceeding the memory for bodies, refusing bodies that
// just fit, and never releasing reserved memory.
func TestBodyMemoryLimit(t *testing.T) {
	e := newTestEntry(t, answer(200, "X-Signature"))
	e.node.bodyMemory.limit = 600
	for _, size := range []int{0, 1, 599, 600} {
		reply, err := e.send(t.Context(), "/order/1", strings.Repeat("x", size))
		if err != nil || reply.status != 200 {
			t.Errorf("%d bytes: status %d, %v", size, reply.status, err)
		}
	}
	if reply, err := e.send(t.Context(), "/order/1", strings.Repeat("x", 601)); err != nil || reply.status != 503 || reply.problem.Outcome != briarferry.OutcomeNotRun {
		t.Errorf("over the memory limit: status %d, %v", reply.status, err)
	}
	if used := e.node.bodyMemory.used.Load(); used != 0 {
		t.Errorf("%d bytes are still reserved", used)
	}
}

// TestChunkedBody guards against losing bytes of a body larger than bodyChunkBytes whose
// length isn't announced.
func TestChunkedBody(t *testing.T) {
	body := strings.Repeat("0123456789", 20_000)
	n := &Node{}
	for _, length := range []int64{-1, int64(len(body))} {
		req := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
		req.ContentLength = length
		got, release, refusal := n.readBody(httptest.NewRecorder(), req, 1<<20)
		release()
		if refusal != nil || string(got) != body {
			t.Errorf("length %d: %d of %d bytes, %v", length, len(got), len(body), refusal)
		}
	}
}

// TestStop guards against a stopping entry that stays ready, refuses requests while it
// drains, or accepts them afterwards.
func TestStop(t *testing.T) {
	e := newTestEntry(t, answer(200, "X-Signature"))
	e.node.stopPhase.Store(draining)
	got, err := e.send(t.Context(), "/order/1", "")
	if err != nil || got.status != 200 || e.node.isReady() {
		t.Errorf("while draining: status %d, %v, ready %v", got.status, err, e.node.isReady())
	}
	e.node.stopPhase.Store(refusing)
	if got, err = e.send(t.Context(), "/order/1", ""); err != nil || got.status != 503 || e.runs.Load() != 1 {
		t.Errorf("after draining: status %d, %d runs, %v", got.status, e.runs.Load(), err)
	}
}

// TestNewTableAppliesImmediately guards against using an older route table after a new one
// has arrived.
func TestNewTableAppliesImmediately(t *testing.T) {
	e := newTestEntry(t, answer(200, "X-Signature"))
	next := *e.state
	table := *e.state.Routes
	table.Version, table.Routes = 2, table.Routes[:1]
	next.Revision, next.Routes = 2, &table
	e.node.update(&next)
	if got, err := e.send(t.Context(), "/order/1", ""); err != nil || got.status != 404 {
		t.Errorf("dropped route: status %d, %v", got.status, err)
	}
}
