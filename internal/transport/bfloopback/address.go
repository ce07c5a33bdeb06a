// Package bfloopback finds free loopback addresses for processes that tests and
// benchmarks start.
package bfloopback

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
)

// The ports are below the range that the kernel assigns to outgoing connections. Otherwise
// such a connection could take a port before the process for which the port is meant
// listens on it.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

var (
	mu sync.Mutex
	// nextPort starts at a number that depends on the process id, so that concurrent test
	// runs rarely use the same ports.
	nextPort = firstPort + os.Getpid()%100*200
)

// FreeAddresses returns n addresses whose TCP and UDP ports are free. Repeated calls return
// other addresses.
func FreeAddresses(n int) ([]netip.AddrPort, error) {
	mu.Lock()
	defer mu.Unlock()
	var out []netip.AddrPort
	for range lastPort - firstPort {
		if len(out) == n {
			return out, nil
		}
		if a := nextAddress(); isFree(a) {
			out = append(out, a)
		}
	}
	return nil, fmt.Errorf("bfloopback: fewer than %d free ports", n)
}

// FreeRange returns the first of n addresses with consecutive free ports.
func FreeRange(n int) (netip.AddrPort, error) {
	mu.Lock()
	defer mu.Unlock()
	count, last := 0, uint16(0)
	for range 2 * (lastPort - firstPort) {
		a := nextAddress()
		if !isFree(a) || a.Port() != last+1 {
			count = 0
		}
		last = a.Port()
		if isFree(a) {
			count++
		}
		if count == n {
			return netip.AddrPortFrom(a.Addr(), a.Port()-uint16(n)+1), nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("bfloopback: no %d consecutive free ports", n)
}

// nextAddress returns the next address to try. mu is held.
func nextAddress() netip.AddrPort {
	nextPort++
	if nextPort >= lastPort {
		nextPort = firstPort
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(nextPort))
}

func isFree(a netip.AddrPort) bool {
	ln, err := net.Listen("tcp", a.String())
	if err != nil {
		return false
	}
	defer ln.Close()
	pc, err := net.ListenPacket("udp", a.String())
	if err != nil {
		return false
	}
	return pc.Close() == nil
}
