package bfentry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bfupstream"
)

// newStatusEntry starts an entry whose servers answer the first request with the first status
// line, the second one with the second and so on, and all later ones with the last.
func newStatusEntry(t *testing.T, s briarferry.Service, runs *atomic.Int64, lines ...string) (*Pipeline, *httptest.Server) {
	servers := newTestServers(4, 1, 1)
	for _, srv := range servers.servers {
		backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			line := lines[min(int(runs.Add(1)), len(lines))-1]
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			defer c.Close()
			_, _ = io.WriteString(c, "HTTP/1.1 "+line+"\r\nRequest-Id: "+r.Header.Get("Request-Id")+"\r\nContent-Length: 2\r\n\r\nok")
		}))
		t.Cleanup(backend.Close)
		srv.backend.Address = netip.MustParseAddrPort(strings.TrimPrefix(backend.URL, "http://"))
		srv.backend.ConnectionLimit = 4
	}
	p := newTestPipeline(servers)
	p.Upstream = bfupstream.New()
	e := &Entry{
		Config:  FixedConfig{Config: &briarferry.Config{Limits: briarferry.DefaultLimits(), Services: []briarferry.Service{s}}},
		Members: fixedMembers{}, Announcements: syncedTable{}, Pipeline: p,
	}
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return p, server
}

func sendOrder(t *testing.T, server *httptest.Server, key string) (status int, outcome briarferry.Outcome) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/s/"+testService+"/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(bfapi.HeaderRequestTimeout, "2")
	if key != "" {
		r.Header.Set(bfapi.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Errorf("no answer: %v", err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	var p bfapi.Problem
	_ = json.NewDecoder(resp.Body).Decode(&p)
	return resp.StatusCode, p.Outcome
}

// TestInvalidStatus guards against an answer whose status no answer has: it must neither reach
// the caller, end its connection without an answer, nor be recorded as the completion of a claim.
func TestInvalidStatus(t *testing.T) {
	slow := briarferry.Duration(time.Second)
	read := briarferry.Service{Name: testService, Slots: 1, Idempotent: true, ExpectedLatency: slow}
	order := briarferry.Service{Name: testService, Slots: 1, ExpectedLatency: slow}
	cases := []struct {
		name    string
		service briarferry.Service
		key     string
		header  string
		lines   int
		status  int
		outcome briarferry.Outcome
		runs    int64
	}{
		{"idempotent", read, "", "", 2, http.StatusOK, "", 2},
		{"idempotent, all servers", read, "", "", 1, http.StatusServiceUnavailable, briarferry.OutcomeUnknown, maxTries},
		{"keyed", order, "k", "", 2, http.StatusServiceUnavailable, briarferry.OutcomeUnknown, 1},
		{"keyed that claims not to have run", order, "k", "\r\nRequest-Shed: 1", 2, http.StatusServiceUnavailable, briarferry.OutcomeUnknown, 1},
	}
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for _, c := range cases {
			t.Run(status+" "+c.name, func(t *testing.T) {
				var runs atomic.Int64
				p, server := newStatusEntry(t, c.service, &runs, []string{status + " None" + c.header, "200 OK"}[:c.lines]...)
				if got, outcome := sendOrder(t, server, c.key); got != c.status || outcome != c.outcome || runs.Load() != c.runs {
					t.Errorf("status %d, outcome %q, %d runs; want %d, %q, %d", got, outcome, runs.Load(), c.status, c.outcome, c.runs)
				}
				if n := p.Counters.Value(testService, "", countInvalidStatus); c.key != "" && n != 1 {
					t.Errorf("%d answers counted, want 1", n)
				}
				if c.key == "" {
					return
				}
				// The answer is recorded in the background.
				time.Sleep(50 * time.Millisecond)
				if claim := p.Claims.(*MemoryClaims).table[testService+"/"+c.key]; claim == nil || claim.completed {
					t.Errorf("the claim is %+v, want one that is held", claim)
				}
				if got, outcome := sendOrder(t, server, c.key); got != http.StatusServiceUnavailable || outcome != briarferry.OutcomeUnknown || runs.Load() != 1 {
					t.Errorf("resent: status %d, outcome %q, %d runs", got, outcome, runs.Load())
				}
			})
		}
	}
}

// TestRecordedInvalidStatus guards against an entry that can't answer a resent request, as an
// earlier build recorded an answer whose status no answer has.
func TestRecordedInvalidStatus(t *testing.T) {
	order := briarferry.Service{Name: testService, Slots: 1, ExpectedLatency: briarferry.Duration(time.Second)}
	for _, status := range []int{-1, 0, 99, 100, 101, 199, 600, 999} {
		var runs atomic.Int64
		p, server := newStatusEntry(t, order, &runs, "200 OK")
		p.Claims = &faultyClaims{claim: briarferry.ClaimReply{Result: briarferry.ClaimCompleted, Answer: &briarferry.Answer{Status: status}}}
		if got, outcome := sendOrder(t, server, "k"); got != http.StatusServiceUnavailable || outcome != briarferry.OutcomeUnknown || runs.Load() != 0 {
			t.Errorf("recorded status %d: status %d, outcome %q, %d runs", status, got, outcome, runs.Load())
		}
		lease := briarferry.Lease{}
		r := newTestRequest("a", time.Second)
		r.Key = "k"
		p.Claims = &refusedClaims{answer: &briarferry.Answer{Status: status}}
		_, err := p.Refuse(t.Context(), order, r, lease)
		checkOutcome(t, err, briarferry.OutcomeUnknown)
	}
}

// refusedClaims is a Claimer whose Refuse finds the request completed.
type refusedClaims struct {
	MemoryClaims
	answer *briarferry.Answer
}

func (c *refusedClaims) Refuse(context.Context, briarferry.Claim) (briarferry.ClaimReply, error) {
	return briarferry.ClaimReply{Result: briarferry.ClaimCompleted, Answer: c.answer}, nil
}
