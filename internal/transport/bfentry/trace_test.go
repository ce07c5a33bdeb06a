package bfentry

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bfstandin"
	"briarferry/internal/transport/bfupstream"
)

// TestSpans guards against a step of the pipeline without a span, and against a backend server
// that isn't passed the caller's trace.
func TestSpans(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	otel.SetTracerProvider(trace.NewTracerProvider(trace.WithSpanProcessor(spans)))
	otel.SetTextMapPropagator(propagation.TraceContext{})
	standin := &bfstandin.Server{Service: testService, Slots: 1, ExecutionLog: &bfstandin.ExecutionLog{}}
	standin.SetBehaviour(bfstandin.DefaultBehaviour(time.Millisecond))
	backend := httptest.NewServer(standin)
	defer backend.Close()
	servers := newTestServers(1, 1, 1)
	servers.servers[0].backend.Address = netip.MustParseAddrPort(strings.TrimPrefix(backend.URL, "http://"))
	p := newTestPipeline(servers)
	p.Upstream = bfupstream.New()
	cfg := &briarferry.Config{Limits: briarferry.DefaultLimits(), Services: []briarferry.Service{{Name: testService, Slots: 1}}}
	e := &Entry{Config: FixedConfig{Config: cfg}, Members: fixedMembers{}, Announcements: syncedTable{}, Pipeline: p}

	r := httptest.NewRequest(http.MethodPost, "/s/"+testService+"/x", strings.NewReader("body"))
	r.Header.Set(bfapi.HeaderIdempotencyKey, "key")
	const callerTrace = "0af7651916cd43dd8448eb211c80319c"
	r.Header.Set("Traceparent", "00-"+callerTrace+"-b7ad6b7169203331-01")
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, r)
	if w.Code != http.StatusOK {
		t.Fatalf("status %d: %s", w.Code, w.Body)
	}
	backend.Close()
	seen := map[string]int{}
	for _, span := range spans.Ended() {
		if got := span.SpanContext().TraceID().String(); got != callerTrace {
			t.Errorf("span %s belongs to trace %s", span.Name(), got)
		}
		seen[span.Name()]++
	}
	for _, name := range []string{"request", "claim", "queue", "attempt", "backend"} {
		if seen[name] != 1 {
			t.Errorf("%d spans %s, want 1", seen[name], name)
		}
	}
}
