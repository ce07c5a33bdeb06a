package bfloopback

import (
	"net"
	"net/netip"
	"testing"
)

// TestFree guards against addresses that are given twice or are taken.
func TestFree(t *testing.T) {
	seen := map[netip.AddrPort]bool{}
	for range 3 {
		list, err := FreeAddresses(10)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range list {
			if seen[a] {
				t.Errorf("%s was given twice", a)
			}
			seen[a] = true
		}
	}
}

// TestFreeRun guards against a run with a port that is taken.
func TestFreeRun(t *testing.T) {
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
	next = int(list[0].Port()) - 1
	base, err := FreeRange(10)
	if err != nil {
		t.Fatal(err)
	}
	if base.Port() <= taken.Port() && taken.Port() < base.Port()+10 {
		t.Errorf("run from %s holds %s", base, taken)
	}
}
