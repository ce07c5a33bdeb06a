package bfrpc

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"briarferry"
	"briarferry/internal/coordination/bfquarantine"
	"briarferry/internal/coordination/bfraft"
	"briarferry/internal/coordination/bfreplica"
	"briarferry/internal/transport/bftls"
)

var allProcedures = []string{
	procedureRaftStream, procedureRaftInfo, procedureRaftJoin, procedureRaftLeave, procedureRaftPledge, procedureSync, procedureClaims, procedureChange, procedureConfig, procedureStatus,
	procedureQuarantineLock, procedureQuarantineUnlock, procedureQuarantineShare, procedureQuarantineFetch,
}

// countingReplica counts the messages that it receives.
type countingReplica struct{ delivered atomic.Int64 }

func (r *countingReplica) Deliver(bfraft.Message) { r.delivered.Add(1) }
func (r *countingReplica) Info() bfreplica.Info   { return bfreplica.Info{} }
func (r *countingReplica) Pledge(context.Context, string) (bfreplica.Info, error) {
	return bfreplica.Info{}, nil
}
func (r *countingReplica) Join(context.Context, string) error          { return nil }
func (r *countingReplica) Leave(context.Context, string) (bool, error) { return true, nil }

// securedServer serves the procedures on a loopback socket and counts the calls that
// reach a handler.
type securedServer struct {
	addr    netip.AddrPort
	calls   atomic.Int64
	replica countingReplica
}

func newSecuredServer(t testing.TB, s *Security) *securedServer {
	t.Helper()
	g := newFakeGroup(1)
	srv := &securedServer{}
	mux := g.nodes[0].mux
	HandleRaft(mux, &srv.replica)
	HandleQuarantine(mux, &bfquarantine.Quarantine{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := s.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		srv.calls.Add(1)
		mux.ServeHTTP(w, r)
	}))
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(server, ln) }()
	t.Cleanup(func() { _ = server.Close(); <-done })
	srv.addr = ln.Addr().(*net.TCPAddr).AddrPort()
	return srv
}

// testSecurity issues a certificate for the VM, signed by the CA in the folder.
func testSecurity(t testing.TB, dir, system, vm string) *Security {
	t.Helper()
	setup := bftls.Setup{Folder: dir, System: system, VMs: []bftls.VM{{Name: vm}}, Valid: time.Hour}
	if _, err := setup.Run(); err != nil {
		t.Fatal(err)
	}
	source, findings := bftls.Load(bftls.Files{
		Cert: bftls.File{Path: filepath.Join(dir, vm+".pem")}, Key: bftls.File{Path: filepath.Join(dir, vm+".key")},
		CA: bftls.File{Path: filepath.Join(dir, bftls.FileCA)}, Name: vm,
	})
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	return &Security{System: system, TLS: source}
}

// TestUnauthorizedCallsAreRejected guards against procedures that can be called by a process
// of another system, in cleartext, or without a certificate signed by the system's CA, and
// against calls to a VM whose certificate has another name than the expected one.
func TestUnauthorizedCallsAreRejected(t *testing.T) {
	dir := t.TempDir()
	server := newSecuredServer(t, testSecurity(t, dir, "north", "vm1"))
	member := testSecurity(t, dir, "north", "vm2")
	insecure := func(certs ...tls.Certificate) *http.Client {
		return &http.Client{Transport: &http.Transport{
			TLSClientConfig: &tls.Config{InsecureSkipVerify: true, GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
				return &append(certs, tls.Certificate{})[0], nil
			}},
		}}
	}
	otherDir := t.TempDir()
	testSecurity(t, otherDir, "north", "vm2")
	foreign, err := tls.LoadX509KeyPair(filepath.Join(otherDir, "vm2.pem"), filepath.Join(otherDir, "vm2.key"))
	if err != nil {
		t.Fatal(err)
	}
	wrongName := *member
	wrongName.NameOf = func(netip.AddrPort) string { return "vm3" }
	tests := []struct {
		name   string
		scheme string
		client *http.Client
	}{
		{"cleartext", "http", (&Security{System: "north"}).NewClient(&http.Transport{}, 0)},
		{"no certificate", "https", insecure()},
		{"certificate of another CA", "https", insecure(foreign)},
		{"another system", "https", testSecurity(t, dir, "south", "vm4").NewClient(&http.Transport{}, 0)},
		{"no system", "https", (&Security{TLS: member.TLS}).NewClient(&http.Transport{}, 0)},
		{"another VM expected", "https", wrongName.NewClient(&http.Transport{}, 0)},
	}
	for _, tt := range tests {
		for _, procedure := range allProcedures {
			body := bytes.NewReader([]byte{0xa0})
			resp, err := tt.client.Post(tt.scheme+"://"+server.addr.String()+procedure, "application/cbor", body)
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode < http.StatusBadRequest {
				t.Errorf("%s: the reply to %s has status %d", tt.name, procedure, resp.StatusCode)
			}
		}
		tt.client.CloseIdleConnections()
	}
	if n := server.calls.Load(); n != 0 {
		t.Errorf("%d unauthorized calls reached a handler", n)
	}
}

// TestAuthorizedCallsOverTLS guards against calls that fail over TLS: unary calls, the
// Raft stream over HTTP/2, and calls that expect the server's name.
func TestAuthorizedCallsOverTLS(t *testing.T) {
	dir := t.TempDir()
	server := newSecuredServer(t, testSecurity(t, dir, "north", "vm1"))
	member := testSecurity(t, dir, "north", "vm2")
	member.NameOf = func(netip.AddrPort) string { return "vm1" }

	control := &ControlClient{Targets: []netip.AddrPort{server.addr}, Security: member}
	if _, err := control.Status(t.Context()); err != nil {
		t.Errorf("control status: %v", err)
	}
	peers := QuarantinePeers{HTTP: member.NewClient(&http.Transport{}, time.Second), Security: member}
	if _, err := peers.Fetch(t.Context(), briarferry.VM{RPC: server.addr}); err != nil {
		t.Errorf("quarantine fetch: %v", err)
	}
	raft := &RaftClient{Peers: map[string]netip.AddrPort{"vm1": server.addr}, Security: member}
	if _, err := raft.Info(t.Context(), "vm1"); err != nil {
		t.Errorf("raft info: %v", err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { _ = raft.Run(ctx) })
	defer done.Wait()
	defer stop()
	waitFor(t, "a message over the stream", func() bool {
		_ = raft.Send(ctx, "vm1/d", heartbeat(1))
		return server.replica.delivered.Load() > 0
	})
}

// BenchmarkClaimsOverTLS measures the cost of TLS for claims between an entry and the
// leader over loopback sockets.
func BenchmarkClaimsOverTLS(b *testing.B) {
	dir := b.TempDir()
	plain := &Security{System: "north"}
	tests := []struct {
		name           string
		server, client *Security
	}{
		{"cleartext", plain, plain},
		{"tls", testSecurity(b, dir, "north", "vm1"), testSecurity(b, dir, "north", "vm2")},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			server := newSecuredServer(b, tt.server)
			c := &ControlClient{Targets: []netip.AddrPort{server.addr}, Security: tt.client}
			benchmarkClaimCalls(b, c)
		})
	}
}

func benchmarkClaimCalls(b *testing.B, c *ControlClient) {
	const callers = 64
	hist, mu := hdrhistogram.New(1, 60_000_000, 3), sync.Mutex{}
	var next atomic.Int64
	var wg sync.WaitGroup
	run := fmt.Sprint(b.N)
	used := cpuTime(b)
	b.ResetTimer()
	for range callers {
		wg.Go(func() {
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				start := time.Now()
				if _, err := c.Claim(b.Context(), briarferry.Claim{Service: "orders", Key: run + "-" + fmt.Sprint(i), Token: "t"}); err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				_ = hist.RecordValue(time.Since(start).Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	// The CPU time of both sides depends less on the load of the machine than the
	// elapsed time does.
	b.ReportMetric(float64((cpuTime(b)-used).Microseconds())/float64(b.N), "cpu-us/claim")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(hist.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(hist.ValueAtQuantile(99))/1000, "p99-ms")
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
