package bfapi

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"briarferry"
)

// TestRequestFingerprint guards against one fingerprint for equal requests of several callers,
// and against different ones when a caller sends its request again.
func TestRequestFingerprint(t *testing.T) {
	read := func(remote, target, body string) uint64 {
		r := httptest.NewRequest(http.MethodPost, PathRequests+"orders/"+target, strings.NewReader(body))
		r.RemoteAddr = remote
		cfg := &briarferry.Config{Limits: briarferry.DefaultLimits()}
		req, err := ReadRequest(httptest.NewRecorder(), r, cfg, briarferry.Service{Name: "orders", Idempotent: true})
		if err != nil {
			t.Fatal(err)
		}
		return req.Fingerprint
	}
	base, base6 := read("198.51.100.1:1000", "a", "b"), read("[2001:db8:0:1::1]:1000", "a", "b")
	for name, same := range map[string]bool{
		"port":                      read("198.51.100.1:2000", "a", "b") == base,
		"mapped address":            read("[::ffff:198.51.100.1]:1000", "a", "b") == base,
		"address of an IPv6 subnet": read("[2001:db8:0:1::2]:1000", "a", "b") == base6,
	} {
		if !same {
			t.Errorf("a request from another %s has another fingerprint", name)
		}
	}
	for name, other := range map[string]uint64{
		"address": read("198.51.100.2:1000", "a", "b"), "IPv6 subnet": read("[2001:db8:0:2::1]:1000", "a", "b"),
	} {
		if other == base || other == base6 || briarferry.FingerprintContent(other) != briarferry.FingerprintContent(base) {
			t.Errorf("the same request from another %s has fingerprint %x, and not only its caller's part differs from %x", name, other, base)
		}
	}
	for name, other := range map[string]uint64{"target": read("198.51.100.1:1000", "c", "b"), "body": read("198.51.100.1:1000", "a", "c")} {
		if briarferry.FingerprintContent(other) == briarferry.FingerprintContent(base) {
			t.Errorf("a request with another %s has the same content", name)
		}
	}
}

// TestCallerIdentity guards against callers behind one address that count as one.
func TestCallerIdentity(t *testing.T) {
	address := netip.MustParseAddr("198.51.100.1")
	seen := map[uint64]CallerIdentity{}
	for _, c := range []CallerIdentity{
		{}, {Address: address}, {Address: address, Organisation: "k"}, {Address: address, AffinityKey: "k"}, {Address: address, Organisation: "k", AffinityKey: "k"},
	} {
		f := Fingerprint(c, nil, "h", "GET", "/")
		if other, ok := seen[f]; ok {
			t.Errorf("%v and %v have the same fingerprint", c, other)
		}
		seen[f] = c
	}
}
