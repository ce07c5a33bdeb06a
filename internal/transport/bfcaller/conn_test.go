package bfcaller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestCallerLeavesAfterByteBeforeWatch guards against a request that goes on although its
// caller has left: net/http had read a byte of the next request between the start of the
// handler and the start of the watch, and reads no further until the request has ended.
func TestCallerLeavesAfterByteBeforeWatch(t *testing.T) {
	started, following, ended := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	handler := func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		c := FromContext(r.Context())
		// A handler that gets no processor time starts to watch late.
		for end := time.Now().Add(2 * time.Second); !c.hasReturnedByte() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		ctx, _, stop := Follow(r.Context())
		defer stop()
		close(following)
		select {
		case <-ctx.Done():
			ended <- context.Cause(ctx)
		case <-time.After(2 * time.Second):
			ended <- nil
		}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(handler), ConnContext: WithConn}
	go func() { _ = srv.Serve(Listener{ln}) }()
	defer func() { _ = srv.Close() }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	write := func(text string) {
		t.Helper()
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
	}
	write("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	write("G")
	<-following
	write("ET / HTTP/1.1\r\n")
	time.Sleep(20 * time.Millisecond)
	_ = c.Close()
	if err := <-ended; !errors.Is(err, ErrLeft) {
		t.Errorf("2 s after its caller had left, the request ended with %v, want %v", err, ErrLeft)
	}
}

func (c *Conn) hasReturnedByte() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.returnedByte
}
