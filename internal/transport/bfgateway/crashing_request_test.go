package bfgateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"briarferry"
	"briarferry/internal/coordination/bfquarantine"
	"briarferry/internal/state/bffleet"
)

// crashingKey is the affinity key of the caller whose requests crash servers.
const crashingKey = "17"

type (
	// crashSystem is a group of entries that share servers and know each other's crashes.
	crashSystem struct {
		t       *testing.T
		entries []*testEntry
		state   bffleet.State
		crashes atomic.Int64
		mu      sync.Mutex
		crashed map[netip.AddrPort]bool
	}

	quarantineMembers struct {
		own briarferry.VM
		all []briarferry.VM
	}

	// quarantinePeers calls the quarantines of other entries in memory.
	quarantinePeers map[string]*bfquarantine.Quarantine

	testCaller struct{ address, key string }
)

var crashingCaller = testCaller{"198.51.100.17", crashingKey}

func (m quarantineMembers) Self() briarferry.VM   { return m.own }
func (m quarantineMembers) Live() []briarferry.VM { return m.all }
func (m quarantineMembers) Connected() bool       { return true }

func (p quarantinePeers) Lock(_ context.Context, vm briarferry.VM, r bfquarantine.LockRequest) (bool, error) {
	return p[vm.Name].AcquireLock(r), nil
}

func (p quarantinePeers) Unlock(_ context.Context, vm briarferry.VM, r bfquarantine.LockRequest) error {
	p[vm.Name].ReleaseLock(r)
	return nil
}

func (p quarantinePeers) Share(_ context.Context, vm briarferry.VM, u bfquarantine.Update) error {
	p[vm.Name].Receive(u)
	return nil
}

func (p quarantinePeers) Fetch(_ context.Context, vm briarferry.VM) (bfquarantine.Update, error) {
	return p[vm.Name].KnownCrashes(), nil
}

// newCrashSystem starts two entries and servers, each in a failure domain of its own, that crash
// when they run a request of the crashing caller.
func newCrashSystem(t *testing.T) *crashSystem {
	s := &crashSystem{t: t, crashed: map[netip.AddrPort]bool{}}
	servers := make([]bffleet.Server, 20)
	for i := range servers {
		servers[i] = bffleet.Server{Instance: briarferry.Instance{
			ID: fmt.Sprintf("c-%02d", i), Service: "s", FailureDomain: fmt.Sprint(i), Slots: 8, Address: s.startServer(),
		}}
	}
	members, peers := quarantineMembers{all: []briarferry.VM{{Name: "e0"}, {Name: "e1"}}}, quarantinePeers{}
	for _, vm := range members.all {
		e := newTestEntry(t, hang)
		members.own = vm
		e.node.quarantine = &bfquarantine.Quarantine{Members: members, Peers: peers}
		peers[vm.Name] = e.node.quarantine
		s.entries = append(s.entries, e)
	}
	table := *s.entries[0].state.Routes
	upload := route("upload", false)
	upload.LargeBodies = true
	table.Version, table.Routes = 2, append(table.Routes, upload)
	table.Limits.MaxBodyBytes = 2 * minStreamedBodyBytes
	s.state = bffleet.State{Revision: 2, Servers: servers, Routes: &table}
	s.removeCrashed()
	return s
}

// removeCrashed removes the crashed servers from the entries' state, so that no other request is
// lost on a connection to one of them.
func (s *crashSystem) removeCrashed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.state
	next.Revision++
	next.Servers = slices.DeleteFunc(slices.Clone(next.Servers), func(server bffleet.Server) bool { return s.crashed[server.Address] })
	s.state = next
	for _, e := range s.entries {
		e.node.update(&next)
	}
}

func (s *crashSystem) startServer() netip.AddrPort {
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if cookie, err := r.Cookie(testDialect.AffinityCookie); err == nil && cookie.Value == crashingKey {
			s.crashes.Add(1)
			s.mu.Lock()
			s.crashed[netip.MustParseAddrPort(server.Listener.Addr().String())] = true
			s.mu.Unlock()
			_ = server.Config.Close()
			return
		}
		answer(200, "X-Signature")(w, r)
	}))
	s.t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// send sends the caller's request from another port each time, and returns the answer's status.
func (s *crashSystem) send(entry int, c testCaller, method, path, body string) int {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Host, req.RemoteAddr = "shop.example", net.JoinHostPort(c.address, fmt.Sprint(40000+s.crashes.Load()))
	req.Header.Set("X-Id", "q1")
	req.AddCookie(&http.Cookie{Name: testDialect.AffinityCookie, Value: c.key})
	w := httptest.NewRecorder()
	s.entries[entry].node.ServeHTTP(w, req)
	s.removeCrashed()
	return w.Code
}

var crashCases = []struct{ name, method, path, body string }{
	{"read", http.MethodGet, "/read/today", ""},
	{"order", http.MethodPost, "/order/today", "body"},
	{"upload", http.MethodPost, "/upload/today", strings.Repeat("b", minStreamedBodyBytes)},
}

// TestCleanRunsOfOtherCallers guards against a request that is never quarantined, since equal
// requests of other callers run without a crash after each of its crashes.
func TestCleanRunsOfOtherCallers(t *testing.T) {
	for _, tc := range crashCases {
		t.Run(tc.name, func(t *testing.T) {
			s := newCrashSystem(t)
			status := 0
			for try := range 6 {
				for i := range 6 {
					other := testCaller{fmt.Sprint("198.51.100.", 100+i), fmt.Sprint(100 + i)}
					if got := s.send(i%2, other, tc.method, tc.path, tc.body); got != 200 {
						t.Fatalf("try %d: another caller got status %d", try, got)
					}
				}
				status = s.send(try%2, crashingCaller, tc.method, tc.path, tc.body)
			}
			if n := s.crashes.Load(); n != 2 || status != http.StatusServiceUnavailable {
				t.Errorf("%d servers crashed, want 2; the crashing request got status %d at last", n, status)
			}
		})
	}
}

// TestOtherCallersOfQuarantinedRequest guards against refusing the equal requests of all callers
// because one caller's crashes servers.
func TestOtherCallersOfQuarantinedRequest(t *testing.T) {
	for _, tc := range crashCases {
		t.Run(tc.name, func(t *testing.T) {
			s := newCrashSystem(t)
			for try := range 4 {
				s.send(try%2, crashingCaller, tc.method, tc.path, tc.body)
			}
			for i := range s.entries {
				if got := s.send(i, crashingCaller, tc.method, tc.path, tc.body); got != http.StatusServiceUnavailable {
					t.Errorf("entry %d: the crashing request got status %d", i, got)
				}
				for _, other := range []testCaller{{"198.51.100.18", "18"}, {crashingCaller.address, "19"}, {"2001:db8::17", "20"}} {
					if got := s.send(i, other, tc.method, tc.path, tc.body); got != 200 {
						t.Errorf("entry %d: caller %v got status %d", i, other, got)
					}
				}
			}
			if n := s.crashes.Load(); n != 2 {
				t.Errorf("%d servers crashed, want 2", n)
			}
		})
	}
}
