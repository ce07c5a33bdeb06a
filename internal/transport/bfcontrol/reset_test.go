package bfcontrol

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"briarferry/internal/transport/bfloopback"
)

const (
	// orderTimeout is the time after which an operator gives up an order.
	orderTimeout = time.Second
	testDuration = 4 * time.Second
	// burstInterval is the time between two bursts of faults. A connection that goes silent is
	// replaced within it.
	burstInterval = 1500 * time.Millisecond
	// maxConfirmation covers three orders that wait for their time limit.
	maxConfirmation = 3500 * time.Millisecond
	// maxSync is the time for a disk sync up to which the time limits apply. Replicas that wait
	// for their disks answer nothing, and syncs of a shared disk can take seconds.
	maxSync = 300 * time.Millisecond
	// putTimeout is far above the longest sync of a shared disk.
	putTimeout = time.Minute
)

type (
	// relay forwards TCP connections. Its open connections can be reset or fall silent, while
	// new ones work.
	relay struct {
		to string

		mu    sync.Mutex
		conns map[*relayedConn]bool
	}

	relayedConn struct {
		near, far net.Conn
		silent    atomic.Bool
	}

	// relayedGroup is a group of control VMs behind relays.
	relayedGroup struct {
		t     *testing.T
		nodes []*testNode
		// internal are the relays between control VMs, and external those of operators.
		internal, external []*relay

		api    []netip.AddrPort
		client *http.Client
	}

	// orderStats are the results of changes and reads. Took has the times until each change was
	// confirmed, and refused counts answers without a confirmation.
	orderStats struct {
		version            uint64
		took               []time.Duration
		refused            int
		reads, failedReads atomic.Int64
		// slowestSync is the longest time that the disk took for a sync meanwhile.
		slowestSync time.Duration
	}
)

func startRelay(t *testing.T, from, to netip.AddrPort) *relay {
	t.Helper()
	ln, err := net.Listen("tcp", from.String())
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{to: to.String(), conns: map[*relayedConn]bool{}}
	t.Cleanup(func() { _ = ln.Close(); r.reset() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r
}

func (r *relay) serve(near net.Conn) {
	far, err := net.DialTimeout("tcp", r.to, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &relayedConn{near: near, far: far}
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.forward(far, near) })
	both.Go(func() { c.forward(near, far) })
	both.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// forward copies until the connection ends. What a silent connection carries is lost.
func (c *relayedConn) forward(to, from net.Conn) {
	defer func() { _, _ = c.near.Close(), c.far.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if c.silent.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		for _, end := range []net.Conn{c.near, c.far} {
			_ = end.(*net.TCPConn).SetLinger(0)
			_ = end.Close()
		}
	}
}

func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.silent.Store(true)
	}
}

// startRelayedGroup starts three control VMs that reach each other, and that operators reach,
// through relays only.
func startRelayedGroup(t *testing.T) *relayedGroup {
	t.Helper()
	ports, err := bfloopback.FreeAddresses(3)
	if err != nil {
		t.Fatal(err)
	}
	g := &relayedGroup{t: t, client: &http.Client{Transport: &http.Transport{}, Timeout: orderTimeout}}
	var seeds []netip.Addr
	for i := range 3 {
		seeds = append(seeds, netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}))
	}
	for i, a := range seeds {
		bind := netip.AddrFrom4([4]byte{127, 0, 2, byte(i + 1)})
		rpc, api := netip.AddrPortFrom(a, ports[0].Port()), netip.AddrPortFrom(a, ports[2].Port())
		n := &testNode{ended: make(chan error, 1), Node: &Node{
			Address: a, Bind: bind, RPC: rpc, Gossip: netip.AddrPortFrom(a, ports[1].Port()), Bootstrap: true,
			Seeds: func() []netip.Addr { return seeds }, DataDir: t.TempDir(), Regions: map[string]string{"a": "r"}, Log: zerolog.Nop(),
		}}
		n.Setup()
		n.Handlers = map[netip.AddrPort]http.Handler{api: relayedHandler(n.Node)}
		g.internal = append(g.internal, startRelay(t, rpc, netip.AddrPortFrom(bind, rpc.Port())))
		g.external = append(g.external, startRelay(t, api, netip.AddrPortFrom(bind, api.Port())))
		g.nodes, g.api = append(g.nodes, n), append(g.api, api)
	}
	for _, n := range g.nodes {
		var ctx context.Context
		ctx, n.stop = context.WithCancel(context.Background())
		go func() { n.ended <- n.Run(ctx) }()
	}
	t.Cleanup(func() {
		for _, n := range g.nodes {
			n.stop()
		}
		for _, n := range g.nodes {
			if err := <-n.ended; err != nil {
				t.Errorf("%s: %v", n.Address, err)
			}
		}
	})
	return g
}

// relayedHandler handles route tables, which are numbers here, with the time limits of the
// operators' API.
func relayedHandler(n *Node) http.Handler {
	const timeout = 900 * time.Millisecond
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		version, _ := strconv.ParseUint(string(data), 10, 64)
		if err := n.PutRoutes(ctx, version-1, testTable(version), data); err != nil {
			w.WriteHeader(HTTPStatus(err))
		}
	})
	mux.HandleFunc("GET /", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		source, _, err := n.Routes(ctx)
		if err != nil {
			w.WriteHeader(HTTPStatus(err))
			return
		}
		_, _ = w.Write(source)
	})
	return mux
}

// call sends one order or read to a control VM. It returns status 0 if the connection ended or
// no answer came in time.
func (g *relayedGroup) call(i int, method, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+g.api[i].String()+"/", bytes.NewReader([]byte(body)))
	if err != nil {
		g.t.Fatal(err)
	}
	resp, err := g.client.Do(r)
	if err != nil {
		// The other connections may be silent, too.
		g.client.CloseIdleConnections()
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

// term returns the highest term of the group.
func (g *relayedGroup) term() uint64 {
	var out uint64
	for _, n := range g.nodes {
		out = max(out, n.replica.Status().Term)
	}
	return out
}

// put sends a change until a control VM confirms it, the next one after each failure. It
// returns how long that took and the number of refusals, that is answers without a
// confirmation.
func (g *relayedGroup) put(version uint64, first int) (took time.Duration, refused int, ok bool) {
	started := time.Now()
	for i := first; time.Since(started) < putTimeout; i++ {
		status, _ := g.call(i%3, http.MethodPut, strconv.FormatUint(version, 10))
		if status == http.StatusOK {
			return time.Since(started), refused, true
		}
		if status != 0 {
			refused++
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(started), refused, false
}

// TestConnectionsReset guards against changes that are lost, reads that go back, a change of
// leader, and orders and reads that fail, when all open connections of control VMs are reset
// several times within seconds or go silent while new ones work.
func TestConnectionsReset(t *testing.T) {
	cases := []struct {
		name string
		// faults is the number of faults of a burst, and every the time between them.
		faults int
		every  time.Duration
		fault  func(r *relay)
		// internalOnly spares the connections of operators.
		internalOnly bool
	}{
		{"reset once", 1, 0, (*relay).reset, false},
		{"reset between control VMs once", 1, 0, (*relay).reset, true},
		{"reset ten times in 2 s", 10, 200 * time.Millisecond, (*relay).reset, false},
		{"reset between control VMs ten times in 2 s", 10, 200 * time.Millisecond, (*relay).reset, true},
		{"reset between control VMs 40 times in 2 s", 40, 50 * time.Millisecond, (*relay).reset, true},
		{"silent", 1, 0, (*relay).silence, false},
		{"silent between control VMs", 1, 0, (*relay).silence, true},
	}
	g := startRelayedGroup(t)
	if _, _, ok := g.put(1, 0); !ok {
		t.Fatal("no change was confirmed at the start")
	}
	version := uint64(1)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g.t = t
			term := g.term()
			s := g.changeDuring(version, func(stop chan struct{}) {
				for pause(stop, burstInterval) {
					for range tc.faults {
						for i := range g.nodes {
							tc.fault(g.internal[i])
							if !tc.internalOnly {
								tc.fault(g.external[i])
							}
						}
						pause(stop, tc.every)
					}
				}
			})
			version = s.version
			for i := range g.nodes {
				if status, text := g.call(i, http.MethodGet, ""); status == http.StatusOK && text != fmt.Sprint(version) {
					t.Errorf("control VM %d: version %s, want %d", i, text, version)
				}
			}
			t.Logf("%d changes, longest %v, median %v, %d refused; %d reads, %d failed; term %d to %d; slowest sync %v", len(s.took), s.took[len(s.took)-1], s.took[len(s.took)/2], s.refused, s.reads.Load(), s.failedReads.Load(), term, g.term(), s.slowestSync)
			if s.slowestSync > maxSync {
				t.Logf("the time limits don't apply, as the disk took %v for a sync", s.slowestSync)
				return
			}
			if g.term() != term {
				t.Errorf("the leader changed: term %d to %d", term, g.term())
			}
			if longest := s.took[len(s.took)-1]; longest > maxConfirmation {
				t.Errorf("a change took %v, want at most %v", longest, maxConfirmation)
			}
			if s.refused > len(s.took)/5 {
				t.Errorf("%d orders were refused for %d changes", s.refused, len(s.took))
			}
			if n := s.failedReads.Load(); n > s.reads.Load()/5 {
				t.Errorf("%d of %d reads failed", n, s.reads.Load())
			}
		})
	}
	for i, n := range g.nodes {
		err := eventually(t, func(ctx context.Context) error {
			_, got, err := n.Routes(ctx)
			if err == nil && got != version {
				t.Errorf("control VM %d has version %d, want %d", i, got, version)
			}
			return err
		})
		if err != nil {
			t.Errorf("control VM %d: %v", i, err)
		}
	}
}

// pause waits and returns false if stop is closed.
func pause(stop chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

// measureSyncs syncs a file until stop is closed and returns the longest time that it took.
func (g *relayedGroup) measureSyncs(stop chan struct{}) time.Duration {
	f, err := os.Create(filepath.Join(g.t.TempDir(), "sync"))
	if err != nil {
		g.t.Error(err)
		return 0
	}
	defer func() { _ = f.Close() }()
	longest := time.Duration(0)
	for pause(stop, 50*time.Millisecond) {
		started := time.Now()
		if _, err := f.WriteString("x"); err != nil {
			g.t.Error(err)
		}
		if err := f.Sync(); err != nil {
			g.t.Error(err)
		}
		longest = max(longest, time.Since(started))
	}
	return longest
}

// changeDuring sends changes one after the other, and reads, for testDuration.
func (g *relayedGroup) changeDuring(version uint64, faults func(stop chan struct{})) *orderStats {
	s := &orderStats{version: version}
	var confirmed atomic.Uint64
	confirmed.Store(version)
	stop := make(chan struct{})
	var group sync.WaitGroup
	defer group.Wait()
	defer close(stop)
	group.Go(func() { faults(stop) })
	group.Go(func() { s.slowestSync = g.measureSyncs(stop) })
	for i := range g.nodes {
		group.Go(func() { g.readUntil(stop, i, &confirmed, s) })
	}
	for end := time.Now().Add(testDuration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		took, refused, ok := g.put(s.version+1, int(s.version))
		if !ok {
			g.t.Errorf("change %d was not confirmed within %v", s.version+1, took)
			break
		}
		s.version++
		confirmed.Store(s.version)
		s.took, s.refused = append(s.took, took), s.refused+refused
	}
	slices.Sort(s.took)
	return s
}

// readUntil reads from one control VM until stop is closed. A read whose connection ends is
// repeated; one that is answered must not fail, and must contain what was confirmed before it.
func (g *relayedGroup) readUntil(stop chan struct{}, i int, confirmed *atomic.Uint64, s *orderStats) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		before := confirmed.Load()
		status, text := g.call(i, http.MethodGet, "")
		s.reads.Add(1)
		switch version, _ := strconv.ParseUint(text, 10, 64); {
		case status == 0:
		case status != http.StatusOK:
			s.failedReads.Add(1)
		case version < before:
			g.t.Errorf("control VM %d: read version %d after %d was confirmed", i, version, before)
		}
	}
}
