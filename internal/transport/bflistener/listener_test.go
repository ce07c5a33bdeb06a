package bflistener

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// TestBacklog guards against a planned stop that resets connections which the system has
// established but the server has not accepted yet.
func TestBacklog(t *testing.T) {
	const callers = 200
	ln, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	conns := make([]net.Conn, callers)
	for i := range conns {
		if conns[i], err = net.Dial("tcp", ln.Addr().String()); err != nil {
			t.Fatal(err)
		}
		defer conns[i].Close()
		if _, err := fmt.Fprint(conns[i], "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })}
	served := make(chan error, 1)
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	go func() { served <- srv.Serve(ln) }()
	lost := 0
	for _, c := range conns {
		_ = c.SetDeadline(time.Now().Add(2 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusNoContent {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d requests in the backlog got no answer", lost, callers)
	}
	if err := <-served; !errors.Is(err, net.ErrClosed) {
		t.Errorf("the server ended with %v", err)
	}
	if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("the address still accepts connections after the stop")
	}
}

// TestCloseWithoutAccept guards against a socket that stays open because nobody accepts
// connections any more.
func TestCloseWithoutAccept(t *testing.T) {
	ln, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = ln.Close(), ln.Close()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			return
		}
		_ = c.Close()
	}
	t.Error("the address still accepts connections 5 s after Close")
}

// TestBacklogOfStarvedProcess guards against a socket that is closed with connections in its
// backlog because the process got no processor time until the deadline had passed.
func TestBacklogOfStarvedProcess(t *testing.T) {
	ln, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	const callers = 20
	for range callers {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * backlogTime)
	accepted := 0
	for ; ; accepted++ {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if accepted == callers/2 {
			time.Sleep(2 * backlogTime)
		}
	}
	if accepted != callers {
		t.Errorf("%d of %d connections in the backlog were accepted", accepted, callers)
	}
	select {
	case <-ln.Closed():
	default:
		t.Error("the socket is open after Accept returned net.ErrClosed")
	}
}
