package bfrpc

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"briarferry/internal/coordination/bfraft"
	"briarferry/internal/coordination/bfreplica"
)

// tunnel forwards connections to a target; connections that were open when it goes
// silent carry nothing any more, while new ones work.
type tunnel struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	silent []*atomic.Bool
	conns  []net.Conn
	opened int
}

func newTunnel(t *testing.T, target string) *tunnel {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &tunnel{ln: ln, target: target}
	go p.serve()
	t.Cleanup(p.close)
	return p
}

func (p *tunnel) serve() {
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
		silent := new(atomic.Bool)
		p.mu.Lock()
		p.silent, p.conns = append(p.silent, silent), append(p.conns, in, out)
		p.opened++
		p.mu.Unlock()
		go forward(in, out, silent)
		go forward(out, in, silent)
	}
}

func forward(from, to net.Conn, silent *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if silent.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil && err != io.EOF {
			return
		}
	}
}

func (p *tunnel) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.silent {
		s.Store(true)
	}
}

func (p *tunnel) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

func (p *tunnel) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

// sink records the commit index of each message that it gets.
type sink struct {
	mu  sync.Mutex
	got []uint64
}

func (s *sink) Deliver(m bfraft.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.got = append(s.got, m.Commit)
}

func (s *sink) Info() bfreplica.Info               { return bfreplica.Info{} }
func (s *sink) Join(context.Context, string) error { return nil }

func (s *sink) list() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]uint64(nil), s.got...)
}

func heartbeat(i uint64) bfraft.Message {
	return bfraft.Message{Type: bfraft.MsgHeartbeat, From: "a/1", To: "b/1", Term: 1, Commit: i}
}

func startSink(t *testing.T) (*sink, string) {
	s := &sink{}
	mux := http.NewServeMux()
	HandleRaft(mux, s)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(mux)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return s, ln.Addr().String()
}

func startClient(t *testing.T, addr netip.AddrPort) *RaftClient {
	c := &RaftClient{Peers: map[string]netip.AddrPort{"b": addr}, AckTimeout: 300 * time.Millisecond, QueueMessages: 1000}
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
			t.Fatalf("not reached in time: %s", what)
		}
	}
}

// TestSilentConnectionIsReplaced guards against a peer that stays cut off because
// its open connection went silent while new ones work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	s, addr := startSink(t)
	p := newTunnel(t, addr)
	c := startClient(t, p.ln.Addr().(*net.TCPAddr).AddrPort())
	next := uint64(0)
	send := func() {
		next++
		_ = c.Send(context.Background(), "b/1", heartbeat(next))
	}
	send()
	waitFor(t, "first message", func() bool { return len(s.list()) > 0 })
	before := p.count()
	p.silence()
	waitFor(t, "a message over a new connection", func() bool {
		send()
		return p.count() > before && s.list()[len(s.list())-1] > 1
	})
}

// TestOrderIsKept guards against reordered messages of one peer and against a queue
// without a bound.
func TestOrderIsKept(t *testing.T) {
	s, addr := startSink(t)
	c := startClient(t, netip.MustParseAddrPort(addr))
	sent := 0
	for i := range uint64(20_000) {
		if c.Send(context.Background(), "b/1", heartbeat(i)) == nil {
			sent++
		}
	}
	waitFor(t, "all queued messages", func() bool { return len(s.list()) == sent })
	got := s.list()
	for i := 1; i < len(got); i++ {
		if got[i] <= got[i-1] {
			t.Fatalf("message %d came after message %d", got[i], got[i-1])
		}
	}
	idle := &RaftClient{Peers: map[string]netip.AddrPort{"b": netip.MustParseAddrPort(addr)}, QueueMessages: 3}
	for i := range uint64(4) {
		if err := idle.Send(context.Background(), "b/1", heartbeat(i)); (err != nil) != (i == 3) {
			t.Errorf("message %d into a queue of 3: %v", i, err)
		}
	}
}
