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

const relayPoll = 10 * time.Millisecond

type (
	// relay forwards the calls of one VM to another. A cut direction stalls without
	// closing, as packets that are lost on the way do.
	relay struct {
		from, to int
		target   netip.AddrPort
		address  netip.AddrPort
		out, in  atomic.Bool
	}

	// relays connects every VM with every control VM.
	relays []*relay
)

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
			go forward(server, caller, &r.out)
			go forward(caller, server, &r.in)
		}
	}()
	return r
}

// forward copies until one side closes, and holds the data back while cut.
func forward(to, from net.Conn, cut *atomic.Bool) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for cut.Load() {
			time.Sleep(relayPoll)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				from.Close()
			}
			return
		}
	}
}

// cut stalls what leaves a VM, and what reaches it, or lets it pass again.
func (rs relays) cut(vm int, leaving, reaching bool) {
	for _, r := range rs {
		switch vm {
		case r.from:
			r.out.Store(leaving)
			r.in.Store(reaching)
		case r.to:
			r.out.Store(reaching)
			r.in.Store(leaving)
		}
	}
}
