package systemtest

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	relayChunk = 32 << 10
	// relayDial bounds the connection to the process behind a relay.
	relayDial = time.Second
)

type (
	// vmRelay stands before all ports of one VM and disturbs what reaches it.
	vmRelay struct {
		listeners []net.Listener
		packets   []net.PacketConn
		// delay is added to each chunk and datagram, in nanoseconds.
		delay atomic.Int64
		// cut holds everything back that comes from other VMs, and cutOuter what comes from
		// callers, workers and operators, without closing anything.
		cut, cutOuter atomic.Bool

		mu    sync.Mutex
		pairs map[*relayPair]bool
	}

	// relayPair is one relayed connection; a silent one passes nothing any more.
	relayPair struct {
		caller, server net.Conn
		cut            *atomic.Bool
		silent         atomic.Bool
	}
)

// startVMRelay relays the ports from one IP address to another.
func startVMRelay(from, to netip.Addr, tcp, udp []uint16) (*vmRelay, error) {
	r := &vmRelay{pairs: map[*relayPair]bool{}}
	for _, port := range tcp {
		ln, err := net.Listen("tcp", netip.AddrPortFrom(from, port).String())
		if err != nil {
			return nil, errors.Join(err, r.close())
		}
		r.listeners = append(r.listeners, ln)
		cut := &r.cut
		if port >= soakReady {
			cut = &r.cutOuter
		}
		go r.accept(ln, netip.AddrPortFrom(to, port).String(), cut)
	}
	for _, port := range udp {
		pc, err := net.ListenPacket("udp", netip.AddrPortFrom(from, port).String())
		if err != nil {
			return nil, errors.Join(err, r.close())
		}
		r.packets = append(r.packets, pc)
		go r.datagrams(pc, netip.AddrPortFrom(to, port).String())
	}
	return r, nil
}

func (r *vmRelay) close() error {
	for _, ln := range r.listeners {
		_ = ln.Close()
	}
	for _, pc := range r.packets {
		_ = pc.Close()
	}
	r.reset()
	return nil
}

func (r *vmRelay) accept(ln net.Listener, to string, cut *atomic.Bool) {
	for {
		caller, err := ln.Accept()
		if err != nil {
			return
		}
		go r.open(&relayPair{caller: caller, cut: cut}, to)
	}
}

func (r *vmRelay) open(p *relayPair, to string) {
	p.hold()
	var err error
	if p.server, err = net.DialTimeout("tcp", to, relayDial); err != nil {
		reset(p.caller)
		return
	}
	r.mu.Lock()
	r.pairs[p] = true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.copy(p, p.server, p.caller) })
	both.Go(func() { r.copy(p, p.caller, p.server) })
	both.Wait()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// hold waits while the relay is cut or the connection is silent.
func (p *relayPair) hold() {
	for p.cut.Load() || p.silent.Load() {
		time.Sleep(relayPoll)
	}
}

func (r *vmRelay) copy(p *relayPair, to, from net.Conn) {
	defer p.caller.Close()
	defer p.server.Close()
	buf := make([]byte, relayChunk)
	for {
		n, err := from.Read(buf)
		time.Sleep(time.Duration(r.delay.Load()))
		p.hold()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// datagrams relays datagrams; those that come while the relay is cut are lost.
func (r *vmRelay) datagrams(pc net.PacketConn, to string) {
	out, err := net.Dial("udp", to)
	if err != nil {
		return
	}
	defer out.Close()
	buf := make([]byte, relayChunk)
	for {
		n, _, err := pc.ReadFrom(buf)
		if err != nil {
			return
		}
		if r.cut.Load() {
			continue
		}
		time.Sleep(time.Duration(r.delay.Load()))
		_, _ = out.Write(buf[:n])
	}
}

// silence makes the open connections pass nothing any more; new ones work.
func (r *vmRelay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.silent.Store(true)
	}
}

// reset ends the open connections at once.
func (r *vmRelay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.silent.Store(false)
		reset(p.caller)
		reset(p.server)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
