package bfrpc

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bfquarantine"
)

// TestQuarantineCalls guards against fields that are lost between entries and against
// updates above their limits.
func TestQuarantineCalls(t *testing.T) {
	q := &bfquarantine.Quarantine{}
	mux := http.NewServeMux()
	HandleQuarantine(mux, q)
	server := httptest.NewServer(mux)
	defer server.Close()
	vm := briarferry.VM{RPC: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
	p := QuarantinePeers{HTTP: server.Client()}

	lock := bfquarantine.LockRequest{Fingerprint: 1 << 63, Holder: "vm1", TTL: time.Minute}
	other := lock
	other.Holder = "vm2"
	first, err := p.Lock(t.Context(), vm, lock)
	second, err2 := p.Lock(t.Context(), vm, other)
	if err != nil || err2 != nil || !first || second {
		t.Errorf("locks granted: %v and %v, want only the first; errors %v and %v", first, second, err, err2)
	}
	if err := p.Unlock(t.Context(), vm, lock); err != nil {
		t.Error(err)
	}
	if third, _ := p.Lock(t.Context(), vm, other); !third {
		t.Error("the lock was not released")
	}

	crash := bfquarantine.Crash{
		Backend:       briarferry.BackendID{Service: "orders", Address: netip.MustParseAddrPort("127.0.0.1:80")},
		FailureDomain: "a", Age: time.Minute, Fingerprints: []uint64{1, 1 << 63},
	}
	if err := p.Share(t.Context(), vm, bfquarantine.Update{Crashes: []bfquarantine.Crash{crash}}); err != nil {
		t.Fatal(err)
	}
	got, err := p.Fetch(t.Context(), vm)
	if err != nil || len(got.Crashes) != 1 {
		t.Fatalf("fetched %+v, %v", got, err)
	}
	if age := got.Crashes[0].Age - crash.Age; age < 0 || age > 10*time.Second {
		t.Errorf("age grew by %v", age)
	}
	got.Crashes[0].Age = crash.Age
	if !reflect.DeepEqual(got.Crashes[0], crash) {
		t.Errorf("fetched %+v, want %+v", got.Crashes[0], crash)
	}
	crash.Fingerprints = make([]uint64, 10_000)
	if err := p.Share(t.Context(), vm, bfquarantine.Update{Crashes: []bfquarantine.Crash{crash}}); err == nil {
		t.Error("an update above its limits was accepted")
	}
}
