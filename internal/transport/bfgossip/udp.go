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
	// loops is the number of event loops on each side; messages are small and few.
	loops = 1
	// idleSocket is how long an unused socket is kept; VMs are replaced under new
	// addresses many times a day.
	idleSocket = time.Minute
)

type (
	// UDPNetwork is the Network over UDP. Its exported fields are set before Run.
	UDPNetwork struct {
		// Listen is the address for datagrams of other VMs.
		Listen netip.AddrPort
		// Receive takes each datagram; it must not keep the slice.
		Receive func(data []byte)
		Log     zerolog.Logger

		client *gnet.Client
		mu     sync.Mutex
		conns  map[netip.AddrPort]*socket
		swept  time.Time
	}

	// socket sends to one VM.
	socket struct {
		conn gnet.Conn
		used time.Time
	}

	server struct {
		gnet.BuiltinEventEngine
		g      *UDPNetwork
		booted chan gnet.Engine
	}

	dialer struct {
		gnet.BuiltinEventEngine
		g *UDPNetwork
	}

	// logger passes gnet's errors on; its other lines are of no use to operators.
	logger struct{ log zerolog.Logger }
)

var _ logging.Logger = logger{}

// Start opens the sockets and returns a function that closes them.
func (g *UDPNetwork) Start() (stop func(), err error) {
	s := &server{g: g, booted: make(chan gnet.Engine, 1)}
	opts := []gnet.Option{gnet.WithNumEventLoop(loops), gnet.WithLogger(logger{g.Log}),
		gnet.WithSocketRecvBuffer(socketBuffer), gnet.WithSocketSendBuffer(socketBuffer)}
	g.conns = make(map[netip.AddrPort]*socket)
	if g.client, err = gnet.NewClient(&dialer{g: g}, opts...); err != nil {
		return nil, eris.Wrap(err, "bfgossip: create client")
	}
	if err := g.client.Start(); err != nil {
		return nil, eris.Wrap(err, "bfgossip: start client")
	}
	failed := make(chan error, 1)
	go func() { failed <- gnet.Run(s, "udp://"+g.Listen.String(), opts...) }()
	select {
	case engine := <-s.booted:
		return func() { g.stop(engine, failed) }, nil
	case err := <-failed:
		_ = g.client.Stop()
		return nil, eris.Wrapf(err, "bfgossip: listen on %s", g.Listen)
	}
}

func (g *UDPNetwork) stop(engine gnet.Engine, finished <-chan error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = engine.Stop(ctx)
	<-finished
	_ = g.client.Stop()
}

// Send sends one datagram; a failure counts as its loss.
func (g *UDPNetwork) Send(to netip.AddrPort, data []byte) {
	c, err := g.conn(to)
	if err == nil {
		err = c.AsyncWrite(data, nil)
	}
	if err == nil {
		return
	}
	counters.sendErrors.Add(1)
	if c != nil && !errors.Is(err, unix.ECONNREFUSED) && !errors.Is(err, unix.EAGAIN) {
		g.forget(to, c)
	}
}

func (g *UDPNetwork) conn(to netip.AddrPort) (gnet.Conn, error) {
	now := time.Now()
	if c := g.use(to, now); c != nil {
		return c, nil
	}
	// The lock isn't held here: dialing waits for the event loop, and the event
	// loop takes the lock when it closes a socket.
	c, err := g.client.DialContext("udp", to.String(), to)
	if err != nil {
		return nil, eris.Wrap(err, "bfgossip: dial")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if other := g.conns[to]; other != nil {
		_ = c.Close()
		return other.conn, nil
	}
	g.conns[to] = &socket{conn: c, used: now}
	return c, nil
}

// use returns the socket to a VM, or nil, and closes those that are idle.
func (g *UDPNetwork) use(to netip.AddrPort, now time.Time) gnet.Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.swept) > idleSocket {
		g.swept = now
		for a, s := range g.conns {
			if now.Sub(s.used) > idleSocket {
				delete(g.conns, a)
				_ = s.conn.Close()
			}
		}
	}
	s := g.conns[to]
	if s == nil {
		return nil
	}
	s.used = now
	return s.conn
}

func (g *UDPNetwork) forget(to netip.AddrPort, c gnet.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.conns[to]; s != nil && s.conn == c {
		delete(g.conns, to)
	}
}

// OnBoot hands out the engine, which is needed to stop it.
func (s *server) OnBoot(e gnet.Engine) gnet.Action {
	s.booted <- e
	return gnet.None
}

// OnTraffic takes one datagram.
func (s *server) OnTraffic(c gnet.Conn) gnet.Action {
	if data, err := c.Next(-1); err == nil {
		s.g.Receive(data)
	}
	return gnet.None
}

// OnClose forgets the socket, so that the next datagram opens another.
func (d *dialer) OnClose(c gnet.Conn, _ error) gnet.Action {
	if to, ok := c.Context().(netip.AddrPort); ok {
		d.g.forget(to, c)
	}
	return gnet.None
}

// Debugf drops the line.
func (logger) Debugf(string, ...any) {}

// Infof drops the line.
func (logger) Infof(string, ...any) {}

// Warnf drops the line.
func (logger) Warnf(string, ...any) {}

// Errorf logs a failure inside gnet.
func (l logger) Errorf(format string, args ...any) { l.log.Error().Msgf(format, args...) }

// Fatalf logs a failure inside gnet; it doesn't end the process.
func (l logger) Fatalf(format string, args ...any) { l.log.Error().Msgf(format, args...) }
