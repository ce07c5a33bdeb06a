package bfgateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/coordination/bfsteering"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/state/bffleet"
)

const testTimeout = 400 * time.Millisecond

var testDialect = &bfapi.Dialect{
	RequestIDHeader: "X-Id", RemainingTimeHeader: "X-Left", ExpectedInstanceHeader: "X-Expected", NotRunHeader: "X-Not-Run", ServerSignatureHeader: "X-Receipt", AffinityCookie: "thing",
	AllowCloseDelimited: true, DiscardMismatched: true,
	FormatRemainingTime: func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) },
	ParseRemainingTime: func(text string) (time.Duration, bool) {
		n, err := strconv.Atoi(text)
		return time.Duration(n) * time.Millisecond, err == nil
	},
	LoadHeader: "X-Load", ParseLoad: func(string) (int, int, int, bool) { return 0, 0, 0, false },
}

// behaviour is what a fake backend server does with one request.
type behaviour func(w http.ResponseWriter, r *http.Request)

func answer(status int, header string) behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set(header, "1")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "answer")
	}
}

func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func hangUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// rig is an entry with backend servers of one service.
type rig struct {
	t     *testing.T
	node  *Node
	front *httptest.Server
	hits  atomic.Int64
	state *bffleet.State
	mu    sync.Mutex
	// header is that of the request which a backend server got last.
	header http.Header
}

// newRig starts an entry; the first backend servers to get a request behave in the
// given ways, one after the other.
func newRig(t *testing.T, ways ...behaviour) *rig {
	r := &rig{t: t}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	r.node = &Node{
		VM: briarferry.VM{Name: "entry", Region: "r", FailureDomain: "a"}, Regions: map[string]string{"a": "r"},
		Seeds: func() []netip.Addr { return nil }, Dialect: testDialect, listener: ln, Log: zerolog.Nop(),
		Limits: bfsteering.Limits{RetryShare: 0.2, RetrySlack: 64, RetryWindow: 10 * time.Second},
	}
	r.node.setup()
	r.state = &bffleet.State{Revision: 1, Routes: &briarferry.RouteTable{
		Version: 1, Services: []briarferry.RouteService{{Name: "s", ConnectionLimit: 100}}, Limits: briarferry.EdgeLimits{MaxBodyBytes: 1000},
		Routes: []briarferry.Route{route("read", true), route("order", false)},
	}}
	for i := range max(3, len(ways)) {
		backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			n := int(r.hits.Add(1)) - 1
			_, _ = io.Copy(io.Discard, req.Body)
			r.mu.Lock()
			r.header = req.Header.Clone()
			r.mu.Unlock()
			ways[min(n, len(ways)-1)](w, req)
		}))
		t.Cleanup(backend.Close)
		r.state.Servers = append(r.state.Servers, bffleet.Server{Instance: briarferry.Instance{
			ID: fmt.Sprint("i-", i), Service: "s", FailureDomain: "a", Slots: 8, Address: netip.MustParseAddrPort(backend.Listener.Addr().String()),
		}})
	}
	r.node.update(r.state)
	r.front = httptest.NewServer(r.node)
	t.Cleanup(r.front.Close)
	return r
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

func (r *rig) send(ctx context.Context, path, body string) (reply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.front.URL+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
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

// TestAtMostOnce guards against a second run of a request that may run once at most, and
// against "not run" where a server may have run it.
func TestAtMostOnce(t *testing.T) {
	cases := []struct {
		name    string
		path    string
		ways    []behaviour
		status  int
		outcome briarferry.Outcome
		hits    int64
	}{
		{"answered", "/order/1", []behaviour{answer(200, "X-Receipt")}, 200, "", 1},
		{"died", "/order/1", []behaviour{hangUp, answer(200, "X-Receipt")}, 502, briarferry.OutcomeUnknown, 1},
		{"no receipt", "/order/1", []behaviour{answer(200, "X-None"), answer(200, "X-Receipt")}, 502, briarferry.OutcomeUnknown, 1},
		{"own failure", "/order/1", []behaviour{answer(500, "X-Receipt"), answer(200, "X-Receipt")}, 500, "", 1},
		{"silent", "/order/1", []behaviour{hang}, 504, briarferry.OutcomeUnknown, 1},
		{"shed then answered", "/order/1", []behaviour{answer(503, "X-Not-Run"), answer(200, "X-Receipt")}, 200, "", 2},
		{"misdirected then answered", "/order/1", []behaviour{answer(421, "X-None"), answer(200, "X-Receipt")}, 200, "", 2},
		{"shed by all", "/order/1", []behaviour{answer(503, "X-Not-Run")}, 503, briarferry.OutcomeNotRun, 2},
		{"idempotent died", "/read/1", []behaviour{hangUp, answer(200, "X-Receipt")}, 200, "", 2},
		{"idempotent failed", "/read/1", []behaviour{answer(500, "X-Receipt"), answer(200, "X-Receipt")}, 200, "", 2},
		{"idempotent died, then shed", "/read/1", []behaviour{hangUp, answer(503, "X-Not-Run")}, 502, briarferry.OutcomeUnknown, 2},
		{"idempotent failed twice", "/read/1", []behaviour{answer(500, "X-Receipt")}, 500, "", 2},
		{"no route", "/none/1", []behaviour{answer(200, "X-Receipt")}, 404, briarferry.OutcomeNotRun, 0},
	}
	for _, c := range cases {
		r := newRig(t, c.ways...)
		got, err := r.send(t.Context(), c.path, "body")
		if err != nil || got.status != c.status || got.problem.Outcome != c.outcome || r.hits.Load() != c.hits {
			t.Errorf("%s: status %d, outcome %q, %d runs, %v; want %d, %q, %d", c.name, got.status, got.problem.Outcome, r.hits.Load(), err, c.status, c.outcome, c.hits)
		}
		if got.header.Get("X-Id") != "q1" {
			t.Errorf("%s: answer without the request's id", c.name)
		}
		if got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") == "" {
			t.Errorf("%s: a refusal that doesn't say when to come back", c.name)
		}
	}
}

// TestTimeLeft guards against servers that are handed more time than there is, and
// answers that are held back beyond it.
func TestTimeLeft(t *testing.T) {
	r := newRig(t, hang)
	got, err := r.send(t.Context(), "/order/1", "")
	if err != nil || got.status != 504 || got.took < 250*time.Millisecond || got.took > testTimeout+200*time.Millisecond {
		t.Errorf("status %d after %v, %v", got.status, got.took, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if left, err := strconv.Atoi(r.header.Get("X-Left")); err != nil || left > 300 || left < 200 {
		t.Errorf("the server was handed %q ms of 300", r.header.Get("X-Left"))
	}
}

// TestCallerLeaves guards against servers that work on for a caller that has left.
func TestCallerLeaves(t *testing.T) {
	left := make(chan struct{})
	r := newRig(t, func(_ http.ResponseWriter, req *http.Request) {
		<-req.Context().Done()
		close(left)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := r.send(ctx, "/order/1", ""); err == nil {
		t.Fatal("answered")
	}
	select {
	case <-left:
	case <-time.After(2 * time.Second):
		t.Error("the server works on")
	}
}

// TestNoTable guards against 404 from an entry that doesn't know the routes yet.
func TestNoTable(t *testing.T) {
	r := newRig(t, answer(200, "X-Receipt"))
	r.node.routes.Store(nil)
	if got, err := r.send(t.Context(), "/order/1", ""); err != nil || got.status != 503 || r.node.isReady() {
		t.Errorf("status %d, %v, ready %v", got.status, err, r.node.isReady())
	}
}

// TestBodyLimit guards against bodies beyond the limit, and against some of their bytes
// at a server.
func TestBodyLimit(t *testing.T) {
	r := newRig(t, answer(200, "X-Receipt"))
	if got, err := r.send(t.Context(), "/order/1", strings.Repeat("x", 1001)); err != nil || got.status != 413 || r.hits.Load() != 0 {
		t.Errorf("status %d, %d runs, %v", got.status, r.hits.Load(), err)
	}
}

// TestBodyRoom guards against bodies that together fill the memory, bodies that are cut,
// and room that is never given back.
func TestBodyRoom(t *testing.T) {
	r := newRig(t, answer(200, "X-Receipt"))
	r.node.room.limit = 600
	for _, size := range []int{0, 1, 599, 600} {
		reply, err := r.send(t.Context(), "/order/1", strings.Repeat("x", size))
		if err != nil || reply.status != 200 {
			t.Errorf("%d bytes: status %d, %v", size, reply.status, err)
		}
	}
	if reply, err := r.send(t.Context(), "/order/1", strings.Repeat("x", 601)); err != nil || reply.status != 503 || reply.problem.Outcome != briarferry.OutcomeNotRun {
		t.Errorf("beyond the room: status %d, %v", reply.status, err)
	}
	if used := r.node.room.used.Load(); used != 0 {
		t.Errorf("%d bytes are still held", used)
	}
}

// TestChunkedBody guards against bytes of a body without a length that don't arrive.
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

// TestStop guards against a stopping entry that keeps callers, refuses them too early or
// takes new work at the end.
func TestStop(t *testing.T) {
	r := newRig(t, answer(200, "X-Receipt"))
	r.node.stops.Store(draining)
	got, err := r.send(t.Context(), "/order/1", "")
	if err != nil || got.status != 200 || r.node.isReady() {
		t.Errorf("while draining: status %d, %v, ready %v", got.status, err, r.node.isReady())
	}
	r.node.stops.Store(refusing)
	if got, err = r.send(t.Context(), "/order/1", ""); err != nil || got.status != 503 || r.hits.Load() != 1 {
		t.Errorf("at the end: status %d, %d runs, %v", got.status, r.hits.Load(), err)
	}
}

// TestNewTableCountsAtOnce guards against requests that are handled by an older table.
func TestNewTableCountsAtOnce(t *testing.T) {
	r := newRig(t, answer(200, "X-Receipt"))
	next := *r.state
	table := *r.state.Routes
	table.Version, table.Routes = 2, table.Routes[:1]
	next.Revision, next.Routes = 2, &table
	r.node.update(&next)
	if got, err := r.send(t.Context(), "/order/1", ""); err != nil || got.status != 404 {
		t.Errorf("dropped route: status %d, %v", got.status, err)
	}
}
