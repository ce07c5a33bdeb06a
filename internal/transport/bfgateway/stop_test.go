package bfgateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/transport/bflistener"
)

// TestStopAnswersBacklog guards against a planned stop that closes connections which the
// entry has just accepted, or is about to accept, without an answer.
func TestStopAnswersBacklog(t *testing.T) {
	const callers = 200
	ln, err := bflistener.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	cs := &callerServer{handler: handler, meter: &linkMeter{}, log: zerolog.Nop()}
	cs.configure(ln.Addr(), briarferry.EntryLimits{})
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
	started := make(chan struct{})
	go func() {
		close(started)
		_ = cs.serve(ln)
	}()
	<-started
	time.Sleep(time.Millisecond)
	cs.stopAccepting(ln)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	go cs.shutdown(ctx)
	lost := 0
	for _, c := range conns {
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d requests got no answer", lost, callers)
	}
}
