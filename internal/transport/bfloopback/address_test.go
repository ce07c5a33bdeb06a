package bfloopback

import (
	"net"
	"net/netip"
	"testing"
)

// TestFreeAddresses guards against addresses that are returned twice.
func TestFreeAddresses(t *testing.T) {
	seen := map[netip.AddrPort]bool{}
	for range 3 {
		list, err := FreeAddresses(10)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range list {
			if seen[a] {
				t.Errorf("%s was returned twice", a)
			}
			seen[a] = true
		}
	}
}

// TestFreeRange guards against a range that contains a port in use.
func TestFreeRange(t *testing.T) {
	list, err := FreeAddresses(5)
	if err != nil {
		t.Fatal(err)
	}
	taken := list[4]
	ln, err := net.Listen("tcp", taken.String())
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	nextPort = int(list[0].Port()) - 1
	base, err := FreeRange(10)
	if err != nil {
		t.Fatal(err)
	}
	if base.Port() <= taken.Port() && taken.Port() < base.Port()+10 {
		t.Errorf("the range from %s contains %s, which is in use", base, taken)
	}
}
