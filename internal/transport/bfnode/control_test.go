package bfnode

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"briarferry"
	"briarferry/internal/coordination/bfdrain"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bfloopback"
	"briarferry/internal/transport/bfrpc"
)

type (
	// testSystem is a group of nodes in one process on loopback addresses.
	testSystem struct {
		t       testing.TB
		dir     string
		vms     []briarferry.VM
		control map[string]netip.AddrPort
		stops   map[string]func()
		// secretsDir is a folder written by bftls.Setup; empty means cleartext.
		secretsDir string
	}

	testResponse struct {
		status int
		etag   string
		body   []byte
	}
)

func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	list, err := bfloopback.FreeAddresses(1)
	if err != nil {
		t.Fatal(err)
	}
	return list[0]
}

// newTestSystem starts 3 control VMs and an entry without a data directory.
func newTestSystem(t testing.TB) *testSystem { return newTestSystemWith(t, "") }

func newTestSystemWith(t testing.TB, secretsDir string) *testSystem {
	s := &testSystem{t: t, dir: t.TempDir(), control: map[string]netip.AddrPort{}, stops: map[string]func(){}, secretsDir: secretsDir}
	for i := range 4 {
		vm := briarferry.VM{
			Name: fmt.Sprint("vm", i), Region: "koshi", FailureDomain: "k1", Control: i < 3,
			HTTP: freeAddress(t), RPC: freeAddress(t), Gossip: freeAddress(t),
		}
		s.vms = append(s.vms, vm)
		if vm.Control {
			s.control[vm.Name] = vm.RPC
		}
	}
	for i := range s.vms {
		s.start(i)
	}
	t.Cleanup(func() {
		for _, stop := range s.stops {
			stop()
		}
	})
	return s
}

func (s *testSystem) start(i int) {
	vm := s.vms[i]
	vm.Incarnation = uint64(time.Now().UnixMicro())
	n := &Node{VM: vm, Control: s.control, DrainFor: time.Millisecond, Security: s.security(vm.Name)}
	for j, other := range s.vms {
		if i != j {
			n.Peers = append(n.Peers, other.Gossip)
		}
	}
	if vm.Control {
		n.DataDir = filepath.Join(s.dir, vm.Name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		if err := n.Run(ctx); err != nil {
			s.t.Errorf("%s: %v", vm.Name, err)
		}
	})
	s.stops[vm.Name] = func() { cancel(); done.Wait() }
}

func (s *testSystem) stop(i int) {
	name := s.vms[i].Name
	s.stops[name]()
	delete(s.stops, name)
}

func (s *testSystem) call(i int, method, path string, header map[string]string, body any) (testResponse, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return testResponse{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.vms[i].HTTP.String()+path, bytes.NewReader(data))
	if err != nil {
		return testResponse{}, err
	}
	for k, v := range header {
		r.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return testResponse{}, err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return testResponse{resp.StatusCode, resp.Header.Get("ETag"), got}, err
}

// put changes the configuration through a VM. It resends the change while the VM is unavailable,
// as an operator would.
func (s *testSystem) put(i int, base uint64, key string) testResponse {
	header := map[string]string{"If-Match": fmt.Sprintf("%q", fmt.Sprint(base)), "Idempotency-Key": key}
	cfg := briarferry.Config{
		Regions: []briarferry.Region{{Name: "koshi", FailureDomains: []string{"k1"}, CapacityShare: 0.8}},
		Classes: []briarferry.PriorityClass{{Name: "high", Target: 1}},
		Limits:  briarferry.DefaultLimits(),
	}
	for range 5 {
		a, err := s.call(i, "PUT", "/v1/config", header, cfg)
		if err == nil && a.status != http.StatusServiceUnavailable {
			return a
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.t.Errorf("change %s got no answer", key)
	return testResponse{}
}

func (s *testSystem) status(i int) bfapi.VMStatus {
	var v bfapi.VMStatus
	if a, err := s.call(i, "GET", "/v1/status?scope=local", nil, nil); err == nil {
		_ = json.Unmarshal(a.body, &v)
	}
	return v
}

// leader waits for a leader and returns its index.
func (s *testSystem) leader() int {
	for range 100 {
		for i, vm := range s.vms {
			if s.stops[vm.Name] != nil && s.status(i).Role == bfapi.RoleLeader {
				return i
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Fatal("no leader")
	return -1
}

// expectVersion checks the configuration of every running VM. A VM with a lease must have the
// version at once. Every VM must have a lease for the version within about 5 s.
func (s *testSystem) expectVersion(version uint64) {
	s.t.Helper()
	checksums := map[string]bool{}
	for i, vm := range s.vms {
		if s.stops[vm.Name] == nil {
			continue
		}
		v := s.status(i)
		if v.LeaseSeconds > 0 && v.ConfigVersion < version {
			s.t.Errorf("%s uses version %d after %d was accepted", vm.Name, v.ConfigVersion, version)
		}
		for range 50 {
			if v = s.status(i); v.LeaseSeconds > 0 && v.ConfigVersion == version {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if v.ConfigVersion != version || v.LeaseSeconds <= 0 {
			s.t.Errorf("%s has version %d and a lease of %.1f s, want version %d with a lease", vm.Name, v.ConfigVersion, v.LeaseSeconds, version)
		}
		checksums[v.ConfigChecksum] = true
	}
	if len(checksums) != 1 {
		s.t.Errorf("checksums differ: %v", checksums)
	}
}

// claimConcurrently starts several attempts that all claim the same keys in turn. The returned
// function waits for them and checks that each key was granted to exactly one attempt.
func (s *testSystem) claimConcurrently(keys, attempts int) (wait func()) {
	client := &bfrpc.ControlClient{Targets: slices.Collect(maps.Values(s.control))}
	var mu sync.Mutex
	var group sync.WaitGroup
	granted := map[string]int{}
	for attempt := range attempts {
		group.Go(func() {
			for i := range keys {
				key := fmt.Sprint("key", i)
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				r, err := client.Claim(ctx, briarferry.Claim{Service: "orders", Key: key, Token: fmt.Sprint(attempt)})
				cancel()
				if err != nil {
					s.t.Errorf("claim of %s: %v", key, err)
				}
				mu.Lock()
				if r.Result == briarferry.ClaimGranted {
					granted[key]++
				}
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return func() {
		group.Wait()
		for i := range keys {
			if n := granted[fmt.Sprint("key", i)]; n != 1 {
				s.t.Errorf("key%d was granted to %d attempts", i, n)
			}
		}
	}
}

// TestControlGroup guards against components that work in isolation but not as a system. A
// change through any VM must be in force everywhere when it is answered, also after the leader
// has stopped. Claims must be granted once while the leader stops, and a restarted VM must have
// the same state as the others.
func TestControlGroup(t *testing.T) {
	s := newTestSystem(t)
	s.leader()
	if a := s.put(3, 0, "first"); a.status != http.StatusOK || a.etag != `"1"` {
		t.Fatalf("first change: %d %s", a.status, a.body)
	}
	s.expectVersion(1)
	start := time.Now()
	if a := s.put(0, 1, "second"); a.status != http.StatusOK {
		t.Errorf("second change: %d %s", a.status, a.body)
	}
	t.Logf("second change took %s", time.Since(start).Round(time.Millisecond))
	if a := s.put(1, 1, "late"); a.status != http.StatusPreconditionFailed || a.etag != `"2"` {
		t.Errorf("change on an old version: %d %s", a.status, a.body)
	}
	stopped := s.leader()
	waitForClaims := s.claimConcurrently(200, 4)
	s.stop(stopped)
	start = time.Now()
	if a := s.put(3, 2, "third"); a.status != http.StatusOK {
		t.Errorf("change after the leader stopped: %d %s", a.status, a.body)
	}
	t.Logf("change after the leader stopped took %s", time.Since(start).Round(time.Millisecond))
	if a := s.put(3, 1, "second"); a.status != http.StatusOK || a.etag != `"2"` {
		t.Errorf("resend of the second change: %d %s", a.status, a.body)
	}
	waitForClaims()
	s.expectVersion(3)
	s.start(stopped)
	s.expectVersion(3)
	drain := briarferry.Drain{Kind: briarferry.DrainVM, Target: "vm3"}
	if a, err := s.call(stopped, "POST", "/v1/drains", map[string]string{"Idempotency-Key": "d"}, drain); err != nil || a.status != http.StatusCreated {
		t.Errorf("drain: %d %s %v", a.status, a.body, err)
	}
	start = time.Now()
	for i, vm := range s.vms {
		v := s.status(i)
		for len(v.Drains) == 0 && time.Since(start) < bfdrain.PropagationTime {
			time.Sleep(20 * time.Millisecond)
			v = s.status(i)
		}
		if len(v.Drains) != 1 || v.Drains[0].Target != "vm3" {
			t.Errorf("%s does not show the drain after %s: %+v", vm.Name, time.Since(start), v.Drains)
		}
	}
}

// BenchmarkControlGroup measures claims through the Raft log of 3 VMs on loopback addresses,
// with files synced to disk, in cleartext and over TLS.
func BenchmarkControlGroup(b *testing.B) {
	for _, secured := range []bool{false, true} {
		b.Run(fmt.Sprint("tls=", secured), func(b *testing.B) {
			secretsDir := ""
			if secured {
				secretsDir = makeSecrets(b)
			}
			s := newTestSystemWith(b, secretsDir)
			s.leader()
			for _, callers := range []int{1, 32, 512} {
				b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) { s.benchmarkClaims(b, callers) })
			}
		})
	}
}

// benchmarkClaims measures claims by concurrent callers, each with a new key.
func (s *testSystem) benchmarkClaims(b *testing.B, callers int) {
	node := &Node{Control: s.control, Security: s.security("vm3")}
	client := &bfrpc.ControlClient{Targets: slices.Collect(maps.Values(s.control)), Security: node.rpcSecurity(nil)}
	hist, mu := hdrhistogram.New(1, 60_000_000, 3), sync.Mutex{}
	claim := func(key string) {
		start := time.Now()
		r, err := client.Claim(b.Context(), briarferry.Claim{Service: "orders", Key: key, Token: "t"})
		if err != nil || r.Result != briarferry.ClaimGranted {
			b.Errorf("claim: %+v, %v", r, err)
		}
		mu.Lock()
		defer mu.Unlock()
		_ = hist.RecordValue(time.Since(start).Microseconds())
	}
	claim("first")
	hist.Reset()
	var next atomic.Int64
	var group sync.WaitGroup
	b.ResetTimer()
	for range callers {
		group.Go(func() {
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				claim(fmt.Sprint(callers, "-", b.N, "-", i))
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(hist.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(hist.ValueAtQuantile(99))/1000, "p99-ms")
}
