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
	relayBufferSize = 32 << 10
	// relayDialTimeout limits connecting to the process behind a relay.
	relayDialTimeout = time.Second
)

type (
	// vmRelay forwards all ports of one VM and injects network faults.
	vmRelay struct {
		listeners   []net.Listener
		packetConns []net.PacketConn
		// delay is added to each chunk of data and each datagram, in nanoseconds.
		delay atomic.Int64
		// blockInternal blocks connections and datagrams from other VMs, and blockExternal
		// connections from callers, backend servers and operators, without closing them.
		blockInternal, blockExternal atomic.Bool

		mu    sync.Mutex
		conns map[*relayedConn]bool
	}

	// relayedConn is a relayed connection. A stalled one stays open but passes no data.
	relayedConn struct {
		caller, server net.Conn
		blocked        *atomic.Bool
		stalled        atomic.Bool
	}
)

// startVMRelay forwards TCP and UDP ports from one IP address to the same ports of
// another.
func startVMRelay(from, to netip.Addr, tcp, udp []uint16) (*vmRelay, error) {
	r := &vmRelay{conns: map[*relayedConn]bool{}}
	for _, port := range tcp {
		ln, err := net.Listen("tcp", netip.AddrPortFrom(from, port).String())
		if err != nil {
			return nil, errors.Join(err, r.close())
		}
		r.listeners = append(r.listeners, ln)
		blocked := &r.blockInternal
		if port >= soakReadyPort {
			blocked = &r.blockExternal
		}
		go r.accept(ln, netip.AddrPortFrom(to, port).String(), blocked)
	}
	for _, port := range udp {
		pc, err := net.ListenPacket("udp", netip.AddrPortFrom(from, port).String())
		if err != nil {
			return nil, errors.Join(err, r.close())
		}
		r.packetConns = append(r.packetConns, pc)
		go r.relayDatagrams(pc, netip.AddrPortFrom(to, port).String())
	}
	return r, nil
}

func (r *vmRelay) close() error {
	for _, ln := range r.listeners {
		_ = ln.Close()
	}
	for _, pc := range r.packetConns {
		_ = pc.Close()
	}
	r.resetConnections()
	return nil
}

func (r *vmRelay) accept(ln net.Listener, to string, blocked *atomic.Bool) {
	for {
		caller, err := ln.Accept()
		if err != nil {
			return
		}
		go r.serve(&relayedConn{caller: caller, blocked: blocked}, to)
	}
}

// serve connects to the VM and forwards data in both directions.
func (r *vmRelay) serve(p *relayedConn, to string) {
	p.waitUnblocked()
	var err error
	if p.server, err = net.DialTimeout("tcp", to, relayDialTimeout); err != nil {
		resetConnection(p.caller)
		return
	}
	r.mu.Lock()
	r.conns[p] = true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.forward(p, p.server, p.caller) })
	both.Go(func() { r.forward(p, p.caller, p.server) })
	both.Wait()
	r.mu.Lock()
	delete(r.conns, p)
	r.mu.Unlock()
}

// waitUnblocked waits while the connection is blocked or stalled.
func (p *relayedConn) waitUnblocked() {
	for p.blocked.Load() || p.stalled.Load() {
		time.Sleep(relayPollInterval)
	}
}

func (r *vmRelay) forward(p *relayedConn, to, from net.Conn) {
	defer p.caller.Close()
	defer p.server.Close()
	buf := make([]byte, relayBufferSize)
	for {
		n, err := from.Read(buf)
		time.Sleep(time.Duration(r.delay.Load()))
		p.waitUnblocked()
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

// relayDatagrams forwards datagrams and drops those that arrive while blocked.
func (r *vmRelay) relayDatagrams(pc net.PacketConn, to string) {
	out, err := net.Dial("udp", to)
	if err != nil {
		return
	}
	defer out.Close()
	buf := make([]byte, relayBufferSize)
	for {
		n, _, err := pc.ReadFrom(buf)
		if err != nil {
			return
		}
		if r.blockInternal.Load() {
			continue
		}
		time.Sleep(time.Duration(r.delay.Load()))
		_, _ = out.Write(buf[:n])
	}
}

// stallConnections stalls the open connections. New ones work.
func (r *vmRelay) stallConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		p.stalled.Store(true)
	}
}

// resetConnections closes the open connections with a TCP reset.
func (r *vmRelay) resetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		p.stalled.Store(false)
		resetConnection(p.caller)
		resetConnection(p.server)
	}
}

func resetConnection(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
