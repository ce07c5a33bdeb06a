package bfgateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
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

// TestStopEndsRequests guards against a planned stop that cuts requests without an answer: those
// that it takes late although their servers won't have answered by its end, and those whose
// servers are silent.
func TestStopEndsRequests(t *testing.T) {
	const work = 500 * time.Millisecond
	var silent atomic.Bool
	e := newTestEntry(t, func(w http.ResponseWriter, r *http.Request) {
		if silent.Load() {
			hang(w, r)
			return
		}
		answerAfter(work, answer(http.StatusOK, "X-Signature"))(w, r)
	})
	next := *e.state
	table := *e.state.Routes
	table.Version, table.Routes = 2, slices.Clone(table.Routes)
	for i := range table.Routes {
		table.Routes[i].Timeout, table.Routes[i].Target = briarferry.Duration(5*time.Second), briarferry.Duration(2*time.Second)
	}
	next.Revision, next.Routes = 2, &table
	e.node.update(&next)
	go func() { _ = e.node.server.serve(e.node.listener) }()
	send := func() (int, bfapi.Problem) {
		c := e.connect()
		write(t, c, "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: q1\r\nContent-Length: 0\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0, bfapi.Problem{}
		}
		defer func() { _ = resp.Body.Close() }()
		var p bfapi.Problem
		_ = json.NewDecoder(resp.Body).Decode(&p)
		return resp.StatusCode, p
	}
	// The entry measures how long the servers take.
	var measured sync.WaitGroup
	for range 3 * len(e.state.Servers) {
		measured.Go(func() { send() })
	}
	measured.Wait()
	e.node.GracePeriod, e.node.DrainTime = 2*work+abortMargin, 2*work-work/4
	stopped := make(chan struct{})
	silent.Store(true)
	runs := e.runs.Load()
	results := make(chan bfapi.Problem, 1)
	go func() {
		_, p := send()
		results <- p
	}()
	waitFor(t, func() bool { return e.runs.Load() > runs })
	time.Sleep(work / 10)
	go func() {
		e.node.drain(t.Context())
		close(stopped)
	}()
	silent.Store(false)
	time.Sleep(work + work/5)
	runs = e.runs.Load()
	if status, p := send(); status != http.StatusServiceUnavailable || p.Outcome != briarferry.OutcomeNotRun || e.runs.Load() != runs {
		t.Errorf("late request: status %d, outcome %q, %d runs; want it to be refused", status, p.Outcome, e.runs.Load()-runs)
	}
	if p := <-results; p.Status != http.StatusBadGateway || p.Outcome != briarferry.OutcomeUnknown {
		t.Errorf("request at a silent server: status %d, outcome %q; want 502, unknown", p.Status, p.Outcome)
	}
	<-stopped
}
