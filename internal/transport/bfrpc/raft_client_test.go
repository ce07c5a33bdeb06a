package bfrpc

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bfraft"
	"briarferry/internal/coordination/bfreplica"
)

// stallingProxy forwards connections to a target. After a call of stall, connections that
// were open before it drop all data, while new ones work.
type stallingProxy struct {
	ln      net.Listener
	target  string
	mu      sync.Mutex
	stalled []*atomic.Bool
	conns   []net.Conn
	opened  int
}

func newStallingProxy(t *testing.T, target string) *stallingProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &stallingProxy{ln: ln, target: target}
	go p.serve()
	t.Cleanup(p.close)
	return p
}

func (p *stallingProxy) serve() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		stalled := new(atomic.Bool)
		p.mu.Lock()
		p.stalled, p.conns = append(p.stalled, stalled), append(p.conns, in, out)
		p.opened++
		p.mu.Unlock()
		go forward(in, out, stalled)
		go forward(out, in, stalled)
	}
}

func forward(from, to net.Conn, stalled *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if stalled.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil && err != io.EOF {
			return
		}
	}
}

func (p *stallingProxy) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.stalled {
		s.Store(true)
	}
}

func (p *stallingProxy) openedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

func (p *stallingProxy) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

// commitRecorder records the commit index of each message that it receives.
type commitRecorder struct {
	mu      sync.Mutex
	commits []uint64
}

func (r *commitRecorder) Deliver(m bfraft.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commits = append(r.commits, m.Commit)
}

func (r *commitRecorder) Info() bfreplica.Info { return bfreplica.Info{} }
func (r *commitRecorder) Pledge(_ context.Context, former string) (bfreplica.Info, error) {
	return bfreplica.Info{ID: "new/1", Former: former}, nil
}

func (r *commitRecorder) Join(context.Context, string) error { return nil }

func (r *commitRecorder) Leave(_ context.Context, id string) (bool, error) {
	if id == "c/1" {
		return false, briarferry.ErrNotLeader
	}
	return id == "b/1", nil
}

func (r *commitRecorder) list() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]uint64(nil), r.commits...)
}

func heartbeat(i uint64) bfraft.Message {
	return bfraft.Message{Type: bfraft.MsgHeartbeat, From: "a/1", To: "b/1", Term: 1, Commit: i}
}

func startRecorder(t *testing.T) (*commitRecorder, string) {
	r := &commitRecorder{}
	mux := http.NewServeMux()
	HandleRaft(mux, r)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(mux)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return r, ln.Addr().String()
}

func startClient(t *testing.T, addr netip.AddrPort) *RaftClient {
	return startClientWith(t, addr, 300*time.Millisecond)
}

func startClientWith(t *testing.T, addr netip.AddrPort, ackTimeout time.Duration) *RaftClient {
	c := &RaftClient{Peers: map[string]netip.AddrPort{"b": addr}, AckTimeout: ackTimeout, QueueMessages: 1000}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// TestStalledConnectionIsReplaced guards against a peer that stays unreachable because
// its open connection carries no data any more, while new connections would work.
func TestStalledConnectionIsReplaced(t *testing.T) {
	r, addr := startRecorder(t)
	p := newStallingProxy(t, addr)
	c := startClient(t, p.ln.Addr().(*net.TCPAddr).AddrPort())
	next := uint64(0)
	send := func() {
		next++
		_ = c.Send(context.Background(), "b/1", heartbeat(next))
	}
	send()
	waitFor(t, "first message", func() bool { return len(r.list()) > 0 })
	before := p.openedCount()
	p.stall()
	waitFor(t, "a message over a new connection", func() bool {
		send()
		return p.openedCount() > before && r.list()[len(r.list())-1] > 1
	})
}

// TestMessageOrderAndQueueLimit guards against messages to a peer that are reordered, and
// against a queue without a limit.
func TestMessageOrderAndQueueLimit(t *testing.T) {
	r, addr := startRecorder(t)
	c := startClient(t, netip.MustParseAddrPort(addr))
	sent := 0
	for i := range uint64(20_000) {
		if c.Send(context.Background(), "b/1", heartbeat(i)) == nil {
			sent++
		}
	}
	waitFor(t, "all queued messages", func() bool { return len(r.list()) == sent })
	got := r.list()
	for i := 1; i < len(got); i++ {
		if got[i] <= got[i-1] {
			t.Fatalf("message %d came after message %d", got[i], got[i-1])
		}
	}
	idle := &RaftClient{Peers: map[string]netip.AddrPort{"b": netip.MustParseAddrPort(addr)}, QueueMessages: 3}
	for i := range uint64(4) {
		if err := idle.Send(context.Background(), "b/1", heartbeat(i)); (err != nil) != (i == 3) {
			t.Errorf("message %d in a queue of 3: %v", i, err)
		}
	}
}

// TestLeave guards against a leader's answer to a stopping replica that is lost or changed on
// its way, and against a replica that holds up its stop for a leader of an earlier version.
func TestLeave(t *testing.T) {
	_, addr := startRecorder(t)
	earlier := httptest.NewServer(http.NewServeMux())
	t.Cleanup(earlier.Close)
	client := &RaftClient{Peers: map[string]netip.AddrPort{
		"new": netip.MustParseAddrPort(addr), "earlier": netip.MustParseAddrPort(earlier.Listener.Addr().String()),
	}}
	for _, tc := range []struct {
		vm, id          string
		mayStop, failed bool
	}{
		{"new", "a/1", false, false},
		{"new", "b/1", true, false},
		{"new", "c/1", false, true},
		{"new", "no-disk", false, true},
		{"earlier", "a/1", true, false},
		{"unknown", "a/1", false, true},
	} {
		mayStop, err := client.Leave(t.Context(), tc.vm, tc.id)
		if mayStop != tc.mayStop || (err != nil) != tc.failed {
			t.Errorf("leave of %s at %s: %v, %v; want %v, failed %v", tc.id, tc.vm, mayStop, err, tc.mayStop, tc.failed)
		}
	}
}

// TestPledge guards against a group that doesn't form while some replicas are of an earlier
// version, which doesn't know the call.
func TestPledge(t *testing.T) {
	_, addr := startRecorder(t)
	mux := http.NewServeMux()
	Handle(mux, procedureRaftInfo, func(context.Context, *Empty) (*bfreplica.Info, error) {
		return &bfreplica.Info{ID: "earlier/1"}, nil
	})
	earlier := httptest.NewServer(mux)
	t.Cleanup(earlier.Close)
	client := &RaftClient{Peers: map[string]netip.AddrPort{
		"new": netip.MustParseAddrPort(addr), "earlier": netip.MustParseAddrPort(earlier.Listener.Addr().String()),
	}}
	for _, tc := range []struct{ vm, former, id, pledged string }{
		{"new", "a/1", "new/1", "a/1"},
		{"earlier", "a/1", "earlier/1", ""},
		{"new", "no-disk", "", ""},
		{"unknown", "a/1", "", ""},
	} {
		info, err := client.Pledge(t.Context(), tc.vm, tc.former)
		if info.ID != tc.id || info.Former != tc.pledged || (err == nil) != (tc.id != "") {
			t.Errorf("pledge of %s to %s: %+v, %v; want that of %q to %q", tc.vm, tc.former, info, err, tc.id, tc.pledged)
		}
	}
}
