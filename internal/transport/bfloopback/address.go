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

// The ports lie below the range that the kernel gives to outgoing connections, one
// of which could otherwise take a port before its process listens.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

var (
	mu sync.Mutex
	// next differs from process to process, so that two test runs rarely meet.
	next = firstPort + os.Getpid()%100*200
)

// FreeAddresses returns addresses whose TCP and UDP ports are free, none of them twice.
func FreeAddresses(n int) ([]netip.AddrPort, error) {
	mu.Lock()
	defer mu.Unlock()
	var out []netip.AddrPort
	for range lastPort - firstPort {
		if len(out) == n {
			return out, nil
		}
		if a := step(); isFree(a) {
			out = append(out, a)
		}
	}
	return nil, fmt.Errorf("bfloopback: no %d free ports", n)
}

// FreeRange returns the first of n addresses with free ports in a row.
func FreeRange(n int) (netip.AddrPort, error) {
	mu.Lock()
	defer mu.Unlock()
	run, last := 0, uint16(0)
	for range 2 * (lastPort - firstPort) {
		a := step()
		if !isFree(a) || a.Port() != last+1 {
			run = 0
		}
		last = a.Port()
		if isFree(a) {
			run++
		}
		if run == n {
			return netip.AddrPortFrom(a.Addr(), a.Port()-uint16(n)+1), nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("bfloopback: no %d free ports in a row", n)
}

// step returns the next address; mu is held.
func step() netip.AddrPort {
	next++
	if next >= lastPort {
		next = firstPort
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(next))
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
