package bfupstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"briarferry"
)

// abandonedBody is more than the socket buffers of both ends hold.
const abandonedBody = 15 << 20

// TestAbandonedRequestIsWithdrawn guards against an abandoned request whose bytes wait in
// this VM's socket and reach the server later, such as after a partition. Here the server
// doesn't read for a while.
func TestAbandonedRequestIsWithdrawn(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	c := New()
	b := briarferry.Backend{Announcement: briarferry.Announcement{Address: netip.MustParseAddrPort(ln.Addr().String()), ConnectionLimit: 1}}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err = c.Do(ctx, b, &briarferry.Request{ID: "q1", Method: http.MethodPost, Target: "/", Body: make([]byte, abandonedBody), Deadline: time.Now().Add(time.Second)})
	var tryErr *briarferry.TryError
	if !errors.As(err, &tryErr) || !tryErr.Dispatched || !tryErr.TimedOut {
		t.Fatalf("try: %v, want a dispatched one that timed out", err)
	}
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	_ = server.SetReadDeadline(time.Now().Add(5 * time.Second))
	n, err := io.Copy(io.Discard, server)
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the server read %d bytes, then %v; want a reset", n, err)
	}
}

// TestAcknowledgedRequestIsClosed guards against a reset, which may be lost for good, as the only
// notice that a server gets of an abandoned request that it has received.
func TestAcknowledgedRequestIsClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	ended := make(chan error, 1)
	ctx, abandon := context.WithCancel(t.Context())
	go func() {
		server, err := ln.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer func() { _ = server.Close() }()
		br := bufio.NewReader(server)
		if _, err := http.ReadRequest(br); err != nil {
			ended <- err
			return
		}
		// The acknowledgement may be delayed.
		time.Sleep(200 * time.Millisecond)
		abandon()
		_, err = br.ReadByte()
		ended <- err
	}()
	c := New()
	b := briarferry.Backend{Announcement: briarferry.Announcement{Address: netip.MustParseAddrPort(ln.Addr().String()), ConnectionLimit: 1}}
	if _, err := c.Do(ctx, b, &briarferry.Request{ID: "q1", Method: http.MethodGet, Target: "/", Deadline: time.Now().Add(time.Minute)}); err == nil {
		t.Error("the abandoned request was answered")
	}
	if err := <-ended; err != io.EOF {
		t.Errorf("the server's connection ended with %v, want EOF", err)
	}
}

// TestAnsweredConnectionIsClosed guards against a reset of connections that are closed after
// their last answer, which servers would count as failures.
func TestAnsweredConnectionIsClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	ended := make(chan error, 1)
	go func() {
		server, err := ln.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer func() { _ = server.Close() }()
		buf := make([]byte, 4096)
		_, _ = server.Read(buf)
		_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signature: s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		_, err = server.Read(buf)
		ended <- err
	}()
	c := &Client{Dialect: testDialect}
	b := briarferry.Backend{Announcement: briarferry.Announcement{Address: netip.MustParseAddrPort(ln.Addr().String()), ConnectionLimit: 1}}
	if _, err := c.Do(t.Context(), b, &briarferry.Request{ID: "q1", Method: http.MethodGet, Target: "/", Deadline: time.Now().Add(time.Second)}); err != nil {
		t.Error(err)
	}
	if err := <-ended; err != io.EOF {
		t.Errorf("the server's connection ended with %v, want EOF", err)
	}
}
