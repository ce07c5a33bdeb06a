package bfgossip

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

const (
	socketBuffer = 1 << 20
	// eventLoops is the number of event loops for receiving and, separately, for sending.
	// One is enough, as messages are small and few.
	eventLoops = 1
	// socketIdleTimeout is the time after which an unused socket is closed. VMs are
	// replaced by VMs with new addresses many times a day.
	socketIdleTimeout = time.Minute
)

type (
	// UDPNetwork implements Network over UDP. Its exported fields are set before Start.
	UDPNetwork struct {
		// Listen is the address on which datagrams are received.
		Listen netip.AddrPort
		// Receive is called with each datagram; it must not retain the slice.
		Receive func(data []byte)
		Log     zerolog.Logger

		client    *gnet.Client
		mu        sync.Mutex
		conns     map[netip.AddrPort]*socket
		lastSweep time.Time
	}

	// socket is a connected socket for sending to one VM.
	socket struct {
		conn     gnet.Conn
		lastUsed time.Time
	}

	serverHandler struct {
		gnet.BuiltinEventEngine
		network *UDPNetwork
		started chan gnet.Engine
	}

	clientHandler struct {
		gnet.BuiltinEventEngine
		network *UDPNetwork
	}

	// gnetLogger logs the errors of gnet and drops its other lines, which are of no use
	// to operators.
	gnetLogger struct{ log zerolog.Logger }
)

var _ logging.Logger = gnetLogger{}

// Start opens the sockets and returns a function that closes them.
func (n *UDPNetwork) Start() (stop func(), err error) {
	s := &serverHandler{network: n, started: make(chan gnet.Engine, 1)}
	opts := []gnet.Option{gnet.WithNumEventLoop(eventLoops), gnet.WithLogger(gnetLogger{n.Log}),
		gnet.WithSocketRecvBuffer(socketBuffer), gnet.WithSocketSendBuffer(socketBuffer)}
	n.conns = make(map[netip.AddrPort]*socket)
	if n.client, err = gnet.NewClient(&clientHandler{network: n}, opts...); err != nil {
		return nil, eris.Wrap(err, "bfgossip: create client")
	}
	if err := n.client.Start(); err != nil {
		return nil, eris.Wrap(err, "bfgossip: start client")
	}
	done := make(chan error, 1)
	go func() { done <- gnet.Run(s, "udp://"+n.Listen.String(), opts...) }()
	select {
	case engine := <-s.started:
		return func() { n.stop(engine, done) }, nil
	case err := <-done:
		_ = n.client.Stop()
		return nil, eris.Wrapf(err, "bfgossip: listen on %s", n.Listen)
	}
}

func (n *UDPNetwork) stop(engine gnet.Engine, done <-chan error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = engine.Stop(ctx)
	<-done
	_ = n.client.Stop()
}

// Send sends one datagram. A datagram that can't be sent is lost.
func (n *UDPNetwork) Send(to netip.AddrPort, data []byte) {
	c, err := n.conn(to)
	if err == nil {
		err = c.AsyncWrite(data, nil)
	}
	if err == nil {
		return
	}
	counters.sendErrors.Add(1)
	if c != nil && !errors.Is(err, unix.ECONNREFUSED) && !errors.Is(err, unix.EAGAIN) {
		n.removeConn(to, c)
	}
}

func (n *UDPNetwork) conn(to netip.AddrPort) (gnet.Conn, error) {
	now := time.Now()
	if c := n.cachedConn(to, now); c != nil {
		return c, nil
	}
	// mu must not be held here: dialing waits for the event loop, and the event loop
	// acquires mu when it closes a socket.
	c, err := n.client.DialContext("udp", to.String(), to)
	if err != nil {
		return nil, eris.Wrap(err, "bfgossip: dial")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if other := n.conns[to]; other != nil {
		_ = c.Close()
		return other.conn, nil
	}
	n.conns[to] = &socket{conn: c, lastUsed: now}
	return c, nil
}

// cachedConn returns the open socket to a VM, or nil if there is none. It also closes
// idle sockets.
func (n *UDPNetwork) cachedConn(to netip.AddrPort, now time.Time) gnet.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.lastSweep) > socketIdleTimeout {
		n.lastSweep = now
		for a, s := range n.conns {
			if now.Sub(s.lastUsed) > socketIdleTimeout {
				delete(n.conns, a)
				_ = s.conn.Close()
			}
		}
	}
	s := n.conns[to]
	if s == nil {
		return nil
	}
	s.lastUsed = now
	return s.conn
}

func (n *UDPNetwork) removeConn(to netip.AddrPort, c gnet.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.conns[to]; s != nil && s.conn == c {
		delete(n.conns, to)
	}
}

// OnBoot passes the engine to Start, which needs it to stop the server.
func (s *serverHandler) OnBoot(e gnet.Engine) gnet.Action {
	s.started <- e
	return gnet.None
}

// OnTraffic receives one datagram.
func (s *serverHandler) OnTraffic(c gnet.Conn) gnet.Action {
	if data, err := c.Next(-1); err == nil {
		s.network.Receive(data)
	}
	return gnet.None
}

// OnClose removes the socket, so that the next datagram opens a new one.
func (h *clientHandler) OnClose(c gnet.Conn, _ error) gnet.Action {
	if to, ok := c.Context().(netip.AddrPort); ok {
		h.network.removeConn(to, c)
	}
	return gnet.None
}

// Debugf drops the line.
func (gnetLogger) Debugf(string, ...any) {}

// Infof drops the line.
func (gnetLogger) Infof(string, ...any) {}

// Warnf drops the line.
func (gnetLogger) Warnf(string, ...any) {}

// Errorf logs an error of gnet.
func (l gnetLogger) Errorf(format string, args ...any) { l.log.Error().Msgf(format, args...) }

// Fatalf logs an error of gnet; it doesn't end the process.
func (l gnetLogger) Fatalf(format string, args ...any) { l.log.Error().Msgf(format, args...) }
