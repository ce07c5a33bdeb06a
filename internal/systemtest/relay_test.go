package systemtest

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const relayPollInterval = 10 * time.Millisecond

type (
	// relay forwards the calls of one VM to another. A blocked direction passes no data
	// but keeps its connections open, as after a loss of all packets.
	relay struct {
		from, to          int
		target            netip.AddrPort
		address           netip.AddrPort
		blockOut, blockIn atomic.Bool
	}

	// relays forward the calls of every VM to every other control VM.
	relays []*relay
)

// newRelay starts a relay on a free loopback port.
func newRelay(t *testing.T, from, to int, target netip.AddrPort) *relay {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{from: from, to: to, target: target, address: netip.MustParseAddrPort(ln.Addr().String())}
	var mu sync.Mutex
	var open []net.Conn
	t.Cleanup(func() {
		ln.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			c.Close()
		}
	})
	go func() {
		for {
			caller, err := ln.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target.String())
			if err != nil {
				caller.Close()
				continue
			}
			mu.Lock()
			open = append(open, caller, server)
			mu.Unlock()
			go forward(server, caller, &r.blockOut)
			go forward(caller, server, &r.blockIn)
		}
	}()
	return r
}

// forward copies data until one side closes, and pauses while blocked is set.
func forward(dst, src net.Conn, blocked *atomic.Bool) {
	defer dst.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		for blocked.Load() {
			time.Sleep(relayPollInterval)
		}
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				src.Close()
			}
			return
		}
	}
}

// setBlocked sets which directions of a VM's connections are blocked.
func (rs relays) setBlocked(vm int, outbound, inbound bool) {
	for _, r := range rs {
		switch vm {
		case r.from:
			r.blockOut.Store(outbound)
			r.blockIn.Store(inbound)
		case r.to:
			r.blockOut.Store(inbound)
			r.blockIn.Store(outbound)
		}
	}
}
