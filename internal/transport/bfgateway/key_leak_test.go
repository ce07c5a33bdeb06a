package bfgateway

import (
	"bytes"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"briarferry"
	"briarferry/internal/transport/bfexplain"
)

// lockedBuffer holds what several goroutines write.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends the bytes.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns all bytes written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// recordRequests returns a behaviour that also records all that the server gets.
func recordRequests(to io.Writer, b behaviour) behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(to, r.Method, r.Host, r.RequestURI, r.Header, r.Trailer)
		b(w, r)
	}
}

// recordSpans records the spans of all processes of the test and returns them as text.
func recordSpans(t *testing.T) func() string {
	t.Helper()
	spans := tracetest.NewSpanRecorder()
	provider, propagator := otel.GetTracerProvider(), otel.GetTextMapPropagator()
	otel.SetTracerProvider(trace.NewTracerProvider(trace.WithSpanProcessor(spans)))
	otel.SetTextMapPropagator(propagation.TraceContext{})
	t.Cleanup(func() {
		otel.SetTracerProvider(provider)
		otel.SetTextMapPropagator(propagator)
	})
	return func() string {
		var out strings.Builder
		for _, s := range spans.Ended() {
			fmt.Fprintln(&out, s.Name(), s.SpanContext().TraceState(), s.Attributes(), s.Events(), s.Status())
		}
		return out.String()
	}
}

// TestKeyLeak guards against a caller's key, valid or not, in what a server gets, in a log
// line, a span, a metric, the output of explain or the answer, and against log lines without
// the name of the organisation.
func TestKeyLeak(t *testing.T) {
	const unknownKey = "zz5unknown4key3zz"
	spans := recordSpans(t)
	var log, served, answers lockedBuffer
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	e := newOrganisationEntry(t, recordRequests(&served, answer(500, "X-Signature")))
	logger := zerolog.New(&log).With().Timestamp().Str("vm", "entry").Logger()
	e.node.Log, e.node.fleet.log, e.node.steering.Log, e.node.server.log, e.node.logSampler.log = logger, logger, logger, logger, logger
	for _, key := range []string{northKey, southKey, unknownKey} {
		for _, path := range []string{"/read/1", "/order/1", "/free/1", "/bound/1", "/none/1", "/none/?key=" + key, "/none/" + key + "/x"} {
			for _, headers := range [][]string{
				{},
				{"X-Key: " + key},
				{"Authorization: Bearer " + key, "Proxy-Authorization: " + key, "X-Api-Key: " + key, "x_key: " + key, "Cookie: a=b; affinity=" + key},
				{"Traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", "Tracestate: a=" + key, "Baggage: key=" + key},
				{"Connection: X-Key, X-Org", "X-Org: " + key},
				{"X-Id: " + key},
			} {
				// All requests are logged, also above the limit of a second.
				e.node.logSampler.mu.Lock()
				e.node.logSampler.lines = 0
				e.node.logSampler.mu.Unlock()
				resp := e.dial().send(path, append([]string{"X-Key: " + key}, headers...)...)
				body, _ := io.ReadAll(resp.Body)
				fmt.Fprintln(&answers, resp.Header, string(body))
			}
		}
	}
	e.changeTable(func(table *briarferry.RouteTable) { table.Organisations = table.Organisations[1:] })
	e.dial().send("/read/1", "X-Key: "+northKey)
	var vars, explained strings.Builder
	expvar.Do(func(kv expvar.KeyValue) { fmt.Fprintln(&vars, kv.Key, kv.Value) })
	if err := bfexplain.Explain(&explained, bfexplain.Query{RequestID: "q1", Margin: time.Minute}, strings.NewReader(log.String())); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"servers": served.String(), "log": log.String(), "spans": spans(), "metrics": vars.String(), "explain": explained.String(), "answers": answers.String(),
	} {
		if len(text) < 100 {
			t.Errorf("%s: nothing was recorded: %q", name, text)
		}
		for _, key := range []string{northKey, southKey, unknownKey} {
			if i := strings.Index(text, key); i >= 0 {
				t.Errorf("%s: has a key: %q", name, text[max(0, i-100):i+40])
			}
		}
	}
	for name, text := range map[string]string{"log": log.String(), "explain": explained.String(), "spans": spans()} {
		if !strings.Contains(text, "north") {
			t.Errorf("%s: lacks the organisation's name", name)
		}
	}
}

// TestContainsWord guards against a key that is not found in a header, and against headers
// that are dropped because a short key is part of one of their words.
func TestContainsWord(t *testing.T) {
	for text, want := range map[string]bool{
		"k1": true, "Bearer k1": true, "a=k1;b": true, "k11 k1": true, "\xffk1\xff": true, "tak1ng": false, "k11": false, "ök1": false, "": false,
	} {
		if got := containsWord(text, "k1"); got != want {
			t.Errorf("%q: %v", text, got)
		}
	}
}

// TestFingerprintOfKeys guards against a crashing request that isn't recognized because it
// comes with another key.
func TestFingerprintOfKeys(t *testing.T) {
	e := newOrganisationEntry(t, answer(200, "X-Signature"))
	prints := map[uint64]bool{}
	for _, key := range []string{northKey, southKey, ""} {
		c := e.read("/free/1", key)
		prints[c.request.Fingerprint] = true
	}
	if len(prints) != 1 {
		t.Errorf("%d fingerprints of one request with several keys", len(prints))
	}
}
